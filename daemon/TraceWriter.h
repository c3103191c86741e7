#pragma once

// Writes spans to a file in OTLP's JSON format, one export request per line.

#include "traffic/Actions.h"

#include <cstdio>
#include <string>

namespace jaydoor {

class TraceWriter
{
public:
  // Opens the file for appending; with an empty path nothing is written.
  TraceWriter(const std::string& aPath, std::string aVm);
  ~TraceWriter();
  TraceWriter(const TraceWriter&) = delete;
  TraceWriter& operator=(const TraceWriter&) = delete;

  bool IsOpen() const { return file_ != nullptr; }
  void Write(const EmitSpan& aSpan);

private:
  std::string vm_;
  std::FILE* file_ = nullptr;
};

} // namespace jaydoor

#pragma once

// Writes spans as OTLP's JSON form, one export request a line.

#include "traffic/Actions.h"

#include <cstdio>
#include <string>

namespace jaydoor {

class TraceWriter
{
public:
  // An empty path writes nothing.
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

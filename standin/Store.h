#pragma once

// What a stand-in database server keeps: a log with terms and positions, the
// highest term promised, and the data that the log makes.
//
// A log entry is one committed transaction. Statements:
//   put KEY VALUE    sets the key to one value
//   add KEY VALUE    appends a value to the key's list
//   get KEY          reads the list
//
// Everything is appended to one file and synced, so that a killed server
// comes back with what it acknowledged.

#include "base/Error.h"
#include "base/Types.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace jaydoor::standin {

struct LogEntry
{
  LogPoint point_;
  std::vector<std::string> statements_;
};

class Store
{
public:
  Store() = default;
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Reads the file; a torn last line is dropped. No path: memory only.
  Expected<bool> Open(const std::string& aPath, bool aSync);

  void Promise(std::uint64_t aTerm);
  // Appends one entry and returns its point.
  LogPoint Commit(std::uint64_t aTerm, std::vector<std::string> aStatements);
  // Appends an entry of the primary's, which must follow the last one.
  void Replicate(LogEntry aEntry);
  // Drops the last entry.
  void DropLast();

  // Rows of a read, or an error text for a statement that is none.
  Expected<std::vector<std::string>> Read(std::string_view aStatement) const;
  static bool IsWrite(std::string_view aStatement);

  std::uint64_t Promised() const { return promised_; }
  LogPoint Last() const;
  std::uint64_t TermAt(std::uint64_t aPosition) const;
  // Up to `aMax` entries after a position.
  std::vector<LogEntry> After(std::uint64_t aPosition, std::size_t aMax) const;

private:
  void Write(std::string aLine);
  void Apply(const LogEntry& aEntry);
  void Rebuild();
  bool Load(std::string_view aLine);

  std::vector<LogEntry> log_; // log_[i] is at position i + 1
  std::map<std::string, std::vector<std::string>> data_;
  std::uint64_t promised_ = 0;
  int file_ = -1;
  bool sync_ = true;
};

} // namespace jaydoor::standin

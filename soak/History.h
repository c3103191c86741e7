#pragma once

// What callers were told and saw, and the check against what servers hold.
//
// Each caller writes increasing numbers to an item of its own and reads it, in
// sessions at changing VMs. Other bytes may follow a number. Thread-safe.

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jaydoor::soak {

enum class WriteFate : std::uint8_t
{
  Acknowledged,
  Refused, // the caller was told that nothing of it is kept
  InDoubt, // no answer, or one that promises nothing
};

// Returns the number at the start of the value; none if there is no number.
std::optional<std::uint64_t>
ReadNumber(std::string_view aValue);

class History
{
public:
  void RecordWrite(int aCaller, std::uint64_t aValue, WriteFate aFate);
  // A read returned this value, at a time at which everything up to
  // `aLeast` had to be seen.
  void RecordRead(int aCaller,
                  std::uint64_t aValue,
                  std::uint64_t aLeast,
                  const std::string& aDatabase);
  void RecordFailure(const std::string& aWhat);

  // Compares the caller's writes with the values that the servers hold, in the
  // order of their log.
  void CheckItem(int aCaller, const std::vector<std::string>& aValues);

  std::vector<std::string> Failures() const;
  std::size_t CountWrites(WriteFate aFate) const;
  std::size_t CountReads() const;

private:
  mutable std::mutex mutex_;
  std::map<int, std::map<std::uint64_t, WriteFate>> writes_; // by caller, value
  std::vector<std::string> failures_;
  std::size_t reads_ = 0;
};

} // namespace jaydoor::soak

#include "soak/History.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace jaydoor::soak {

std::optional<std::uint64_t>
ReadNumber(std::string_view aValue)
{
  std::uint64_t number = 0;
  const auto result =
    std::from_chars(aValue.data(), aValue.data() + aValue.size(), number);
  return result.ec == std::errc() ? std::optional(number) : std::nullopt;
}

void
History::RecordWrite(int aCaller, std::uint64_t aValue, WriteFate aFate)
{
  const std::scoped_lock lock(mutex_);
  writes_[aCaller][aValue] = aFate;
}

void
History::RecordRead(int aCaller,
                    std::uint64_t aValue,
                    std::uint64_t aLeast,
                    const std::string& aDatabase)
{
  const std::scoped_lock lock(mutex_);
  reads_++;
  if (aValue < aLeast) {
    failures_.push_back(
      fmt::format("caller {}: a read of '{}' returned {}, after {}",
                  aCaller,
                  aDatabase,
                  aValue,
                  aLeast));
  }
}

void
History::RecordFailure(const std::string& aWhat)
{
  const std::scoped_lock lock(mutex_);
  failures_.push_back(aWhat);
}

void
History::CheckItem(int aCaller, const std::vector<std::string>& aValues)
{
  const std::scoped_lock lock(mutex_);
  std::map<std::uint64_t, int> counts;
  for (const auto& value : aValues) {
    if (const auto number = ReadNumber(value)) {
      counts[*number]++;
    } else {
      failures_.push_back(
        fmt::format("caller {}: its item holds {:?}", aCaller, value));
    }
  }
  for (const auto& [value, fate] : writes_[aCaller]) {
    const int count = counts[value];
    const auto fail = [&, value = value](std::string_view aWhat) {
      failures_.push_back(
        fmt::format("caller {}: write {} {}", aCaller, value, aWhat));
    };
    if (count > 1) {
      fail("took effect twice");
    }
    if (fate == WriteFate::Acknowledged && count == 0) {
      fail("was acknowledged and is lost");
    }
    if (fate == WriteFate::Refused && count > 0) {
      fail("was refused and took effect");
    }
  }
}

std::vector<std::string>
History::Failures() const
{
  const std::scoped_lock lock(mutex_);
  return failures_;
}

std::size_t
History::CountWrites(WriteFate aFate) const
{
  const std::scoped_lock lock(mutex_);
  std::size_t count = 0;
  for (const auto& [caller, writes] : writes_) {
    count += static_cast<std::size_t>(
      std::count_if(writes.begin(), writes.end(), [&](const auto& aWrite) {
        return aWrite.second == aFate;
      }));
  }
  return count;
}

std::size_t
History::CountReads() const
{
  const std::scoped_lock lock(mutex_);
  return reads_;
}

} // namespace jaydoor::soak

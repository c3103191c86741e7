#pragma once

// The values and prepared statements of one session, with limits on their
// number and size.
//
//   SessionState state;
//   if (!state.Set("colour", "red")) { ... refuse the statement }
//
// A connection to a server keeps only digests of the values that were set on
// it: the load that this answers is sessions with large values, each of which
// would otherwise be held once more by every connection that served it.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <xxhash.h>

namespace jaydoor {

struct PreparedStatement
{
  bool writes_ = false; // it writes data
  std::string text_;    // statement that was prepared
};

struct ValueDigest
{
  std::uint64_t low_ = 0;
  std::uint64_t high_ = 0;

  bool operator==(const ValueDigest&) const = default;
};

struct SessionValue
{
  std::string text_;
  ValueDigest digest_;
};

class SessionState
{
public:
  // Maximum number of values, and of prepared statements.
  static constexpr std::size_t kMaxNames = 4096;
  // Maximum of all names, values and texts together. A message has at most
  // 1 MiB.
  static constexpr std::size_t kMaxBytes = 4UL * 1024 * 1024;

  // These return false, and change nothing, if a limit would be exceeded.
  bool Set(const std::string& aName, std::string_view aValue)
  {
    const auto found = values_.find(aName);
    const std::size_t oldBytes =
      found == values_.end() ? 0 : CountBytes(aName, found->second.text_);
    if (!ReplaceBytes(values_.size(), oldBytes, CountBytes(aName, aValue))) {
      return false;
    }
    const auto digest = XXH3_128bits(aValue.data(), aValue.size());
    values_[aName] = { std::string(aValue), { digest.low64, digest.high64 } };
    return true;
  }

  bool Prepare(const std::string& aName, bool aWrites, std::string_view aText)
  {
    const auto found = prepared_.find(aName);
    const std::size_t oldBytes =
      found == prepared_.end() ? 0 : CountBytes(aName, found->second.text_);
    if (!ReplaceBytes(prepared_.size(), oldBytes, CountBytes(aName, aText))) {
      return false;
    }
    prepared_[aName] = { aWrites, std::string(aText) };
    return true;
  }

  // Returns false if there is no prepared statement of that name.
  bool Deallocate(const std::string& aName)
  {
    const auto found = prepared_.find(aName);
    if (found == prepared_.end()) {
      return false;
    }
    bytes_ -= CountBytes(aName, found->second.text_);
    prepared_.erase(found);
    return true;
  }

  // Are exactly these values set?
  bool HasValues(const std::map<std::string, ValueDigest>& aDigests) const
  {
    return std::equal(values_.begin(),
                      values_.end(),
                      aDigests.begin(),
                      aDigests.end(),
                      [](const auto& aValue, const auto& aDigest) {
                        return aValue.first == aDigest.first &&
                               aValue.second.digest_ == aDigest.second;
                      });
  }

  const std::map<std::string, SessionValue>& Values() const { return values_; }
  const std::map<std::string, PreparedStatement>& Prepared() const
  {
    return prepared_;
  }
  std::size_t Bytes() const { return bytes_; }

private:
  // Memory of an entry besides its name and text.
  static constexpr std::size_t kEntryBytes = 128;

  static std::size_t CountBytes(std::string_view aName, std::string_view aText)
  {
    return kEntryBytes + aName.size() + aText.size();
  }

  // Replaces an entry's bytes in the sum if there is room for the new ones. An
  // entry that does not exist yet has no old bytes.
  bool ReplaceBytes(std::size_t aCount,
                    std::size_t aOldBytes,
                    std::size_t aNewBytes)
  {
    const std::size_t bytes = bytes_ - aOldBytes + aNewBytes;
    if (bytes > kMaxBytes || (aOldBytes == 0 && aCount >= kMaxNames)) {
      return false;
    }
    bytes_ = bytes;
    return true;
  }

  std::map<std::string, SessionValue> values_;
  std::map<std::string, PreparedStatement> prepared_;
  std::size_t bytes_ = 0; // of all entries
};

} // namespace jaydoor

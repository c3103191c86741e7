#pragma once

// Random histories against the naive version: one copy, one thread.
//
// What the fleet answered is held against what one list per key, appended to
// once by each acknowledged write, would hold:
//   1. an acknowledged write is there exactly once,
//   2. a write that was not run is not there,
//   3. no write is there twice,
//   4. a read holds all that its session has written and read before.

#include "base/Types.h"
#include "wire/Json.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

namespace jaydoor::tests {

class History
{
public:
  void NoteWrite(const std::string& aSession,
                 const std::string& aKey,
                 const std::string& aValue,
                 const CallerAnswer& aAnswer)
  {
    operations_++;
    writes_.push_back({ aKey, aValue, aAnswer.outcome_ });
    outcomes_[aAnswer.outcome_]++;
    if (aAnswer.outcome_ == Outcome::Done) {
      seen_[aSession][aKey].insert(aValue);
    }
  }

  void NoteRead(const std::string& aSession,
                const std::string& aKey,
                const CallerAnswer& aAnswer)
  {
    operations_++;
    outcomes_[aAnswer.outcome_]++;
    if (aAnswer.outcome_ != Outcome::Done) {
      return;
    }
    auto& seen = seen_[aSession][aKey];
    for (const auto& value : seen) {
      if (!Contains(aAnswer.rows_, value)) {
        problems_.push_back(
          fmt::format("session {} read key {} at {} without {}: [{}]",
                      aSession,
                      aKey,
                      aAnswer.server_,
                      value,
                      fmt::join(aAnswer.rows_, ",")));
      }
    }
    seen.insert(aAnswer.rows_.begin(), aAnswer.rows_.end());
  }

  // Compares with the lists that the fleet holds in the end.
  std::vector<std::string> Check(
    const std::map<std::string, std::vector<std::string>>& aFinal)
  {
    for (const auto& write : writes_) {
      const auto found = aFinal.find(write.key_);
      const auto count = found == aFinal.end()
                           ? 0
                           : std::count(found->second.begin(),
                                        found->second.end(),
                                        write.value_);
      const bool lost = write.outcome_ == Outcome::Done && count == 0;
      const bool ran = write.outcome_ == Outcome::NotRun && count > 0;
      if (lost || ran || count > 1) {
        problems_.push_back(fmt::format("write {} to {} was answered {} and is "
                                        "there {} times",
                                        write.value_,
                                        write.key_,
                                        ToText(write.outcome_),
                                        count));
      }
    }
    return problems_;
  }

  std::size_t Operations() const { return operations_; }
  std::size_t Count(Outcome aOutcome) { return outcomes_[aOutcome]; }

private:
  struct Write
  {
    std::string key_;
    std::string value_;
    Outcome outcome_ = Outcome::Unknown;
  };

  static bool Contains(const std::vector<std::string>& aRows,
                       const std::string& aValue)
  {
    return std::find(aRows.begin(), aRows.end(), aValue) != aRows.end();
  }

  std::vector<Write> writes_;
  std::map<std::string, std::map<std::string, std::set<std::string>>> seen_;
  std::map<Outcome, std::size_t> outcomes_;
  std::vector<std::string> problems_;
  std::size_t operations_ = 0;
};

} // namespace jaydoor::tests

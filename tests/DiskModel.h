#pragma once

// What a voter's disk holds after the saves that its node asks for.

#include "control/ControlNode.h"

namespace jaydoor::tests {

// Applies a save; other actions change nothing.
inline void
ApplySaveAction(RaftDisk& aDisk, const ControlAction& aAction)
{
  if (const auto* hard = std::get_if<SaveHardState>(&aAction)) {
    aDisk.hardState_ = hard->state_;
  } else if (const auto* entries = std::get_if<SaveEntries>(&aAction)) {
    const std::uint64_t first = entries->entries_.front().index();
    aDisk.entries_.resize(first - aDisk.snapshot_.index() - 1);
    aDisk.entries_.insert(
      aDisk.entries_.end(), entries->entries_.begin(), entries->entries_.end());
  } else if (const auto* snapshot = std::get_if<SaveSnapshot>(&aAction)) {
    aDisk.snapshot_ = snapshot->snapshot_;
    aDisk.entries_ = snapshot->entries_;
  }
}

} // namespace jaydoor::tests

#pragma once

// Decides on the next change of the voters from what any VM can see: the set in
// the control log, and which VMs are live. It depends on nothing that only an
// earlier leader knew.

#include "base/Types.h"
#include "control/Raft.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace jaydoor {

// Why a voter is to be replaced, from the least urgent cause to the most urgent
// one.
enum class VoterFault : std::uint8_t
{
  None,
  Leaving,  // its VM has said that it leaves
  Gone,     // its VM is not live
  DiskLost, // its VM is live with another disk
};

// Name for the log.
std::string_view
ToString(VoterFault aFault);

struct VoterStatus
{
  VoterId id_;
  ZoneId zone_; // empty: unknown
  VoterFault fault_ = VoterFault::None;
};

struct VoterChange
{
  std::vector<VoterId> added_;       // learners
  std::vector<VoterStatus> removed_; // voters
};

// Returns the next change; none if the voters are to stay as they are.
//
// A voter with a fault is replaced by a learner, also by one in another zone.
// Without faults, voters that are missing are added, and voters are moved from
// one zone to another until they are spread evenly, so that a majority remains
// when a zone is lost.
//
// Beyond `aMinCount`, learners become voters in pairs, since each pair lets one
// more voter go without notice: a replacement takes time and needs a majority.
// They are taken out in pairs once one of them has a fault and no learner can
// replace it.
//
// `aLearners`: those that may become voters. `aMinCount`: number of voters that
// is needed for the losses to be tolerated; 0: all learners become voters. The
// leader `aLeader` is never removed.
std::optional<VoterChange>
PlanVoterChange(std::span<const VoterStatus> aVoters,
                std::span<const VoterStatus> aLearners,
                std::size_t aMinCount,
                const VoterId& aLeader);

} // namespace jaydoor

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
  VoterId added_;   // a learner; empty: a voter too many is removed
  VoterId removed_; // empty: voters are missing
  VoterFault fault_ = VoterFault::None; // of the one that is removed
};

// Returns the next change; none if the voters are to stay as they are.
//
// A voter with a fault is replaced by a learner, also by one in another zone.
// Without faults, voters that are missing are added, and voters are moved from
// one zone to another until they are spread evenly, so that a majority remains
// when a zone is lost.
//
// `aLearners`: those that may become voters. `aTarget`: number of voters to aim
// for; 0: all learners. The leader `aLeader` is never removed.
std::optional<VoterChange>
PlanVoterChange(std::span<const VoterStatus> aVoters,
                std::span<const VoterStatus> aLearners,
                std::size_t aTarget,
                const VoterId& aLeader);

} // namespace jaydoor

#include "control/VoterPlan.h"

#include <algorithm>
#include <map>

namespace jaydoor {
namespace {

using ZoneCounts = std::map<ZoneId, std::size_t>;

// Voters without a fault in each zone.
ZoneCounts
CountPerZone(std::span<const VoterStatus> aVoters)
{
  ZoneCounts counts;
  for (const auto& voter : aVoters) {
    if (voter.fault_ == VoterFault::None && !voter.zone_.empty()) {
      counts[voter.zone_]++;
    }
  }
  return counts;
}

std::size_t
CountIn(const ZoneCounts& aCounts, const ZoneId& aZone)
{
  const auto found = aCounts.find(aZone);
  return found == aCounts.end() ? 0 : found->second;
}

// The voter with the most urgent fault; null: there is none.
const VoterStatus*
FindFaulty(std::span<const VoterStatus> aVoters, const VoterId& aLeader)
{
  const VoterStatus* worst = nullptr;
  for (const auto& voter : aVoters) {
    const VoterFault least =
      worst == nullptr ? VoterFault::None : worst->fault_;
    if (voter.id_ != aLeader && voter.fault_ > least) {
      worst = &voter;
    }
  }
  return worst;
}

// A voter of the zone with the most voters.
const VoterStatus*
FindCrowded(std::span<const VoterStatus> aVoters,
            const ZoneCounts& aCounts,
            const VoterId& aLeader)
{
  const VoterStatus* crowded = nullptr;
  for (const auto& voter : aVoters) {
    const std::size_t count = CountIn(aCounts, voter.zone_);
    if (voter.id_ != aLeader &&
        (crowded == nullptr || count > CountIn(aCounts, crowded->zone_))) {
      crowded = &voter;
    }
  }
  return crowded;
}

// The learner whose zone has the fewest voters.
const VoterStatus*
FindSuccessor(std::span<const VoterStatus> aLearners, const ZoneCounts& aCounts)
{
  const auto found = std::min_element(
    aLearners.begin(), aLearners.end(), [&](const auto& aLeft, auto& aRight) {
      return CountIn(aCounts, aLeft.zone_) < CountIn(aCounts, aRight.zone_);
    });
  return found == aLearners.end() ? nullptr : &*found;
}

} // namespace

std::string_view
ToString(VoterFault aFault)
{
  switch (aFault) {
    case VoterFault::None:
      return "none";
    case VoterFault::Leaving:
      return "leaving";
    case VoterFault::Gone:
      return "gone";
    case VoterFault::DiskLost:
      return "disk_lost";
  }
  return "";
}

std::optional<VoterChange>
PlanVoterChange(std::span<const VoterStatus> aVoters,
                std::span<const VoterStatus> aLearners,
                std::size_t aTarget,
                const VoterId& aLeader)
{
  const ZoneCounts counts = CountPerZone(aVoters);
  const VoterStatus* faulty = FindFaulty(aVoters, aLeader);
  const VoterStatus* crowded = FindCrowded(aVoters, counts, aLeader);
  const VoterStatus* successor = FindSuccessor(aLearners, counts);
  if (aTarget > 0 && aVoters.size() > aTarget) {
    const VoterStatus* surplus = faulty != nullptr ? faulty : crowded;
    return surplus == nullptr
             ? std::nullopt
             : std::optional(VoterChange{ {}, surplus->id_, surplus->fault_ });
  }
  if (successor == nullptr) {
    return std::nullopt;
  }
  if (faulty != nullptr) {
    return VoterChange{ successor->id_, faulty->id_, faulty->fault_ };
  }
  if (aTarget == 0 || aVoters.size() < aTarget) {
    return VoterChange{ successor->id_, {}, VoterFault::None };
  }
  const bool spreadsBetter =
    crowded != nullptr && !successor->zone_.empty() &&
    CountIn(counts, crowded->zone_) >= CountIn(counts, successor->zone_) + 2;
  return spreadsBetter ? std::optional(VoterChange{
                           successor->id_, crowded->id_, VoterFault::None })
                       : std::nullopt;
}

} // namespace jaydoor

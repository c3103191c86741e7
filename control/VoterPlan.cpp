#include "control/VoterPlan.h"

#include <algorithm>
#include <map>

namespace jaydoor {
namespace {

// No voters are added beyond this number: each entry waits for a majority.
constexpr std::size_t kMaxVoters = 7;

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

// True if a majority of the voters remains when any zone is lost.
bool
SurvivesZoneLoss(std::span<const VoterStatus> aVoters)
{
  const ZoneCounts counts = CountPerZone(aVoters);
  return std::all_of(counts.begin(), counts.end(), [&](const auto& aEntry) {
    return 2 * aEntry.second < aVoters.size();
  });
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
FindCrowded(std::span<const VoterStatus> aVoters, const VoterId& aLeader)
{
  const ZoneCounts counts = CountPerZone(aVoters);
  const VoterStatus* crowded = nullptr;
  for (const auto& voter : aVoters) {
    const std::size_t count = CountIn(counts, voter.zone_);
    if (voter.id_ != aLeader &&
        (crowded == nullptr || count > CountIn(counts, crowded->zone_))) {
      crowded = &voter;
    }
  }
  return crowded;
}

// The learner whose zone has the fewest voters.
const VoterStatus*
FindSuccessor(std::span<const VoterStatus> aLearners,
              std::span<const VoterStatus> aVoters)
{
  const ZoneCounts counts = CountPerZone(aVoters);
  const auto found = std::min_element(
    aLearners.begin(), aLearners.end(), [&](const auto& aLeft, auto& aRight) {
      return CountIn(counts, aLeft.zone_) < CountIn(counts, aRight.zone_);
    });
  return found == aLearners.end() ? nullptr : &*found;
}

// An odd number of voters follows: an even one tolerates no more losses than
// the odd one below it.
std::size_t
CountToOddNumber(std::size_t aVoterCount)
{
  return aVoterCount % 2 == 0 ? 1 : 2;
}

// Adds learners that stand ready, unless the loss of a zone would then take a
// majority.
std::optional<VoterChange>
PlanGrowth(std::span<const VoterStatus> aVoters,
           std::span<const VoterStatus> aLearners)
{
  const std::size_t count = CountToOddNumber(aVoters.size());
  if (aLearners.size() < count || aVoters.size() + count > kMaxVoters) {
    return std::nullopt;
  }
  std::vector<VoterStatus> voters(aVoters.begin(), aVoters.end());
  std::vector<VoterStatus> learners(aLearners.begin(), aLearners.end());
  VoterChange change;
  while (change.added_.size() < count) {
    const VoterStatus successor = *FindSuccessor(learners, voters);
    change.added_.push_back(successor.id_);
    voters.push_back(successor);
    std::erase_if(learners, [&](const auto& aOther) {
      return aOther.id_ == successor.id_;
    });
  }
  const bool weakens = SurvivesZoneLoss(aVoters) && !SurvivesZoneLoss(voters);
  return weakens ? std::nullopt : std::optional(std::move(change));
}

// Takes out voters, those with a fault first.
std::optional<VoterChange>
PlanReduction(std::span<const VoterStatus> aVoters,
              std::size_t aMinCount,
              const VoterId& aLeader)
{
  const std::size_t count = CountToOddNumber(aVoters.size());
  if (aVoters.size() < aMinCount + count) {
    return std::nullopt;
  }
  std::vector<VoterStatus> voters(aVoters.begin(), aVoters.end());
  VoterChange change;
  while (change.removed_.size() < count) {
    const VoterStatus* faulty = FindFaulty(voters, aLeader);
    const VoterStatus* chosen =
      faulty != nullptr ? faulty : FindCrowded(voters, aLeader);
    if (chosen == nullptr) {
      return std::nullopt;
    }
    change.removed_.push_back(*chosen);
    voters.erase(voters.begin() + (chosen - voters.data()));
  }
  return change;
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
                std::size_t aMinCount,
                const VoterId& aLeader)
{
  const VoterStatus* faulty = FindFaulty(aVoters, aLeader);
  const VoterStatus* successor = FindSuccessor(aLearners, aVoters);
  if (faulty != nullptr && successor != nullptr) {
    return VoterChange{ { successor->id_ }, { *faulty } };
  }
  if (successor != nullptr && (aMinCount == 0 || aVoters.size() < aMinCount)) {
    return VoterChange{ { successor->id_ }, {} };
  }
  const bool isVariable = aMinCount > 0 && aVoters.size() >= aMinCount;
  if (isVariable && faulty == nullptr) {
    if (auto growth = PlanGrowth(aVoters, aLearners)) {
      return growth;
    }
  }
  const bool isTooMany =
    aVoters.size() % 2 == 0 || aVoters.size() > std::max(kMaxVoters, aMinCount);
  if (isVariable && (faulty != nullptr || isTooMany)) {
    if (auto reduction = PlanReduction(aVoters, aMinCount, aLeader)) {
      return reduction;
    }
  }
  const VoterStatus* crowded = FindCrowded(aVoters, aLeader);
  if (successor == nullptr || crowded == nullptr || successor->zone_.empty()) {
    return std::nullopt;
  }
  const ZoneCounts counts = CountPerZone(aVoters);
  const bool spreadsBetter =
    CountIn(counts, crowded->zone_) >= CountIn(counts, successor->zone_) + 2;
  return spreadsBetter
           ? std::optional(VoterChange{ { successor->id_ }, { *crowded } })
           : std::nullopt;
}

} // namespace jaydoor

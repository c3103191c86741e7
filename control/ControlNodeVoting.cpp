// The part of ControlNode that acts as a voter: founding the control state,
// replacing lost disks and voters, elections, snapshots.

#include "control/ControlNode.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kFoundingInterval = 200ms;
// A blank voter takes part in the founding if it was heard from within this
// time.
constexpr Duration kBlankVoterWindow = 2s;
constexpr std::uint64_t kChangesPerSnapshot = 256;
// A log of more bytes than this is compacted at once.
constexpr std::size_t kMaxLogBytes = 2UL * 1024 * 1024;
constexpr Duration kLogSizeCheckInterval = 500ms;
// A voter that has not heard from a leader for this long asks to join again.
constexpr Duration kRejoinDelay = 2s;
// A voter that is gone for this long is replaced by one in its own zone.
constexpr Duration kReplaceInZoneDelay = 3s;
// A voter that is gone for this long is replaced by one in another zone. This
// takes longer, since the voter may come back.
constexpr Duration kReplaceAcrossZonesDelay = 20s;
// A learner that is gone for this long is removed.
constexpr Duration kLearnerTimeout = 30s;
// Log entries that are kept after the index of a snapshot.
constexpr std::uint64_t kEntriesAfterSnapshot = 64;

} // namespace

// A voter with a blank disk announces this to the other voters. When all voters
// are blank, the one on the VM with the lowest id founds the control state with
// the disks that it has heard of.
void
ControlNode::TickFounding(Time aNow, ControlActions& aOut)
{
  if (!raft_ || aNow < nextFoundingAt_) {
    return;
  }
  nextFoundingAt_ = aNow + kFoundingInterval;
  wire::ControlMessage message;
  message.set_from_voter(raft_->Self());
  message.mutable_founding()->set_blank(raft_->IsBlank());
  if (!raft_->IsBlank()) {
    // The others may have removed this voter while it was away.
    if (aNow - std::max(startedAt_, raft_->LeaderHeardAt()) >= kRejoinDelay) {
      SendToVoters(message, aOut);
    }
    return;
  }
  SendToVoters(message, aOut);
  if (!config_.mayFoundFleet_) {
    return;
  }
  const auto founder =
    std::min_element(config_.voterVms_.begin(), config_.voterVms_.end());
  if (founder == config_.voterVms_.end() || *founder != config_.self_.id()) {
    return;
  }
  wire::VoterSet voters;
  voters.add_voters(raft_->Self());
  std::set<VmId> vms{ config_.self_.id() };
  for (const auto& [voter, at] : blankVotersHeardAt_) {
    if (aNow - at <= kBlankVoterWindow && vms.insert(VmOfVoter(voter)).second) {
      voters.add_voters(voter);
    }
  }
  if (vms.size() < config_.voterVms_.size()) {
    return;
  }
  RaftActions actions;
  raft_->FoundControlState(voters, actions);
  PerformRaftActions(std::move(actions), aOut);
  aOut.push_back(LogControlEvent{
    Event::DiskFounded, fmt::format("voters={}", voters.voters_size()) });
  message.mutable_founding()->set_blank(false);
  *message.mutable_founding()->mutable_voters() = voters;
  SendToVoters(message, aOut);
}

void
ControlNode::HandleFounding(const wire::ControlMessage& aMessage,
                            Time aNow,
                            ControlActions& aOut)
{
  if (!raft_) {
    return;
  }
  const VoterId& voter = aMessage.from_voter();
  const wire::Founding& founding = aMessage.founding();
  if (raft_->IsBlank()) {
    const auto& voters = founding.voters().voters();
    const bool isNamed =
      std::find(voters.begin(), voters.end(), raft_->Self()) != voters.end();
    if (founding.blank()) {
      blankVotersHeardAt_[voter] = aNow;
    } else if (isNamed) {
      RaftActions actions;
      raft_->FoundControlState(founding.voters(), actions);
      PerformRaftActions(std::move(actions), aOut);
    }
    return;
  }
  if (founding.voters().voters_size() > 0) {
    return;
  }
  if (raft_->IsVoter(voter)) {
    // This voter has missed the founding: its disk is still blank.
    wire::ControlMessage reply;
    reply.set_from_voter(raft_->Self());
    *reply.mutable_founding()->mutable_voters() = raft_->Voters();
    Send(VmOfVoter(voter), std::move(reply), aOut);
    return;
  }
  ProposeLearner(voter, aNow, aOut);
}

// Proposes an unknown disk as a learner. The former disk of its VM is lost and
// is removed from voters and learners. The set of voters changes one step at a
// time.
void
ControlNode::ProposeLearner(const VoterId& aVoter,
                            Time aNow,
                            ControlActions& aOut)
{
  const auto& learners = raft_->Voters().learners();
  const bool known =
    std::find(learners.begin(), learners.end(), aVoter) != learners.end();
  if (known || !CanDecideAsLeader(aNow) || !raft_->CanChangeVoters()) {
    return;
  }
  wire::VoterSet next;
  for (const auto& id : raft_->Voters().voters()) {
    if (VmOfVoter(id) != VmOfVoter(aVoter)) {
      next.add_voters(id);
    }
  }
  for (const auto& id : learners) {
    if (VmOfVoter(id) != VmOfVoter(aVoter)) {
      next.add_learners(id);
    }
  }
  next.add_learners(aVoter);
  aOut.push_back(
    LogControlEvent{ Event::VoterReplaced, fmt::format("learner={}", aVoter) });
  RaftActions actions;
  raft_->ProposeVoters(std::move(next), aNow, actions);
  PerformRaftActions(std::move(actions), aOut);
}

// Advances Raft, resets what belongs to one leadership when this VM becomes the
// leader or ceases to be it, and maintains the set of voters and the log.
void
ControlNode::TickRaft(Time aNow, ControlActions& aOut)
{
  if (!raft_) {
    return;
  }
  RaftActions actions;
  raft_->Tick(aNow, actions);
  PerformRaftActions(std::move(actions), aOut);
  if (raft_->IsLeader() != wasLeader_) {
    wasLeader_ = raft_->IsLeader();
    promoter_.Reset();
    failover_.Reset();
    leasesReset_ = false;
    proposedDocumentVersion_ = 0;
    voterLiveAt_.clear();
    loggedGoneVoters_.clear();
    holderLiveAt_.clear();
    holderProposedAt_.clear();
    aOut.push_back(
      LogControlEvent{ wasLeader_ ? Event::LeaderElected : Event::LeaderLost,
                       fmt::format("term={}", raft_->Term()) });
  }
  TickVoterSet(aNow, aOut);
  TickCompaction(aNow, aOut);
}

// True if the VM of this voter has not been live for `aLimit`, as seen by this
// VM since it became the leader.
bool
ControlNode::IsVoterGone(const VoterId& aVoter, Time aNow, Duration aLimit)
{
  // For a voter that has just joined the time starts now, and not at the
  // election.
  Time& liveAt = voterLiveAt_.try_emplace(aVoter, aNow).first->second;
  if (membership_.IsLive(VmOfVoter(aVoter))) {
    liveAt = aNow;
  }
  return aNow - liveAt >= aLimit;
}

// Brings the set of voters closer to the target by at most one proposal:
// the set changes one step at a time. Learners that have caught up become
// voters while voters are missing, spread over the zones so that a majority
// remains when a zone is lost. A voter that is gone is replaced: the new
// one is added before the old one is removed, so that no acknowledged change is
// on fewer disks in between. Learners that are gone are removed.
void
ControlNode::TickVoterSet(Time aNow, ControlActions& aOut)
{
  if (!CanDecideAsLeader(aNow) || !raft_->CanChangeVoters()) {
    return;
  }
  std::map<VmId, ZoneId> zoneByVm;
  std::set<ZoneId> zones;
  for (const auto& vm : membership_.ListLiveVms()) {
    zoneByVm[vm.id()] = vm.zone();
    if (!vm.voter().empty()) {
      zones.insert(vm.zone());
    }
  }
  const auto findZoneOfVoter = [&](const VoterId& aVoter) {
    const auto known = voterZones_.find(aVoter);
    return known == voterZones_.end() ? ZoneId() : known->second;
  };
  wire::VoterSet set = raft_->Voters();
  std::map<ZoneId, std::size_t> votersPerZone;
  std::vector<VoterId> gone;
  for (const auto& id : set.voters()) {
    if (const auto zone = zoneByVm.find(VmOfVoter(id));
        zone != zoneByVm.end()) {
      voterZones_[id] = zone->second;
    }
    if (id != raft_->Self() && IsVoterGone(id, aNow, kReplaceInZoneDelay)) {
      gone.push_back(id);
      if (loggedGoneVoters_.insert(id).second) {
        const ZoneId zone = findZoneOfVoter(id);
        aOut.push_back(
          LogControlEvent{ Event::VoterGone,
                           fmt::format("voter={} zone={} ready_learners={}",
                                       id,
                                       zone.empty() ? "-" : zone,
                                       raft_->ListReadyLearners().size()) });
      }
    } else {
      votersPerZone[findZoneOfVoter(id)]++;
    }
  }
  const auto voterCount = static_cast<std::size_t>(set.voters_size());
  const std::size_t target = config_.targetVoterCount_;
  const std::size_t maxPerZone =
    zones.empty() ? target : (target + zones.size() - 1) / zones.size();
  const auto propose = [&](Event aEvent, const VoterId& aVoter) {
    aOut.push_back(
      LogControlEvent{ aEvent,
                       fmt::format("voter={} voters={} learners={}",
                                   aVoter,
                                   set.voters_size(),
                                   set.learners_size()) });
    RaftActions actions;
    raft_->ProposeVoters(set, aNow, actions);
    PerformRaftActions(std::move(actions), aOut);
  };
  auto& voters = *set.mutable_voters();
  auto& learners = *set.mutable_learners();
  if (target > 0 && voterCount > target) {
    VoterId removed = gone.empty() ? VoterId() : gone.front();
    for (const auto& id : voters) {
      const bool isSurplus = removed.empty() && id != raft_->Self() &&
                             votersPerZone[findZoneOfVoter(id)] > maxPerZone;
      removed = isSurplus ? id : removed;
    }
    if (!removed.empty()) {
      voters.erase(std::find(voters.begin(), voters.end(), removed));
      propose(Event::VoterRemoved, removed);
    }
    return;
  }
  for (const auto& id : raft_->ListReadyLearners()) {
    const ZoneId zone = zoneByVm[VmOfVoter(id)];
    const bool wanted = target == 0 || voterCount < target || !gone.empty();
    const bool keepsBalance = target == 0 || votersPerZone[zone] < maxPerZone;
    const bool canReplace =
      voterCount < target || target == 0 ||
      std::any_of(gone.begin(), gone.end(), [&](const auto& aGone) {
        return findZoneOfVoter(aGone) == zone ||
               IsVoterGone(aGone, aNow, kReplaceAcrossZonesDelay);
      });
    if (wanted && keepsBalance && canReplace) {
      learners.erase(std::find(learners.begin(), learners.end(), id));
      voters.Add(std::string(id));
      propose(Event::VoterReplaced, id);
      return;
    }
  }
  const auto goneLearner =
    std::find_if(learners.begin(), learners.end(), [&](const auto& aLearner) {
      return IsVoterGone(aLearner, aNow, kLearnerTimeout);
    });
  if (goneLearner != learners.end()) {
    const VoterId id = std::move(*goneLearner);
    learners.erase(goneLearner);
    propose(Event::VoterRemoved, id);
  }
}

// Takes a snapshot every kChangesPerSnapshot changes, and compacts the log up
// to it once kEntriesAfterSnapshot more changes are applied, so that followers
// that are only slightly behind still find the entries that they need in the
// log and don't need the snapshot. A log that has grown too large is compacted
// at once.
void
ControlNode::TickCompaction(Time aNow, ControlActions& aOut)
{
  const std::uint64_t index = state_.Index();
  if (aNow >= nextLogSizeCheckAt_) {
    nextLogSizeCheckAt_ = aNow + kLogSizeCheckInterval;
    if (raft_->LogBytes() > kMaxLogBytes && index > raft_->SnapshotIndex()) {
      pendingSnapshot_.reset();
      RaftActions actions;
      raft_->Compact(state_.MakeSnapshot(), actions);
      aOut.push_back(LogControlEvent{
        Event::SnapshotTaken, fmt::format("index={} cause=size", index) });
      PerformRaftActions(std::move(actions), aOut);
      return;
    }
  }
  if (!pendingSnapshot_ &&
      index >= raft_->SnapshotIndex() + kChangesPerSnapshot) {
    pendingSnapshot_ = state_.MakeSnapshot();
  }
  if (!pendingSnapshot_ ||
      index < pendingSnapshot_->index() + kEntriesAfterSnapshot) {
    return;
  }
  RaftActions actions;
  aOut.push_back(LogControlEvent{
    Event::SnapshotTaken, fmt::format("index={}", pendingSnapshot_->index()) });
  raft_->Compact(std::move(*pendingSnapshot_), actions);
  pendingSnapshot_.reset();
  PerformRaftActions(std::move(actions), aOut);
}

} // namespace jaydoor

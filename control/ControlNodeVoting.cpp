// A node's part as a voter: founding, lost disks, elections, snapshots.

#include "control/ControlNode.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kFoundingEvery = 200ms;
constexpr Duration kBlankFresh = 2s; // a blank voter was heard this lately
constexpr std::uint64_t kSnapshotEvery = 256;             // changes
constexpr std::size_t kSnapshotBytes = 2UL * 1024 * 1024; // of changes
constexpr Duration kSizeEvery = 500ms; // the log's size is counted
constexpr Duration kRejoinAfter = 2s;  // a voter that no leader talks to asks
constexpr Duration kReplaceAfter = 3s; // a lost voter, in its own zone
constexpr Duration kReplaceFarAfter = 20s; // in another one: it may come back
constexpr Duration kForgetLearnerAfter = 30s;
constexpr std::uint64_t kKeptBehind = 64; // log entries kept behind a snapshot

} // namespace

// Blank voters greet the others. When all of them are blank, the first by id
// founds the control state with the disks that it has heard of.
void
ControlNode::TickFounding(Time aNow, ControlActions& aOut)
{
  if (!raft_ || aNow < nextFoundingAt_) {
    return;
  }
  nextFoundingAt_ = aNow + kFoundingEvery;
  wire::ControlMessage hello;
  hello.set_from_voter(raft_->Self());
  hello.mutable_founding()->set_blank(raft_->IsBlank());
  if (!raft_->IsBlank()) {
    // The others may have gone on without this voter while it was away.
    if (aNow - std::max(startedAt_, raft_->LeaderHeardAt()) >= kRejoinAfter) {
      SendToVoters(hello, aOut);
    }
    return;
  }
  SendToVoters(hello, aOut);
  if (!config_.mayFoundFleet_) {
    return;
  }
  const auto first =
    std::min_element(config_.voterVms_.begin(), config_.voterVms_.end());
  if (first == config_.voterVms_.end() || *first != config_.self_.id()) {
    return;
  }
  wire::VoterSet voters;
  voters.add_voters(raft_->Self());
  std::set<VmId> vms{ config_.self_.id() };
  for (const auto& [voter, at] : blankVotersHeardAt_) {
    if (aNow - at <= kBlankFresh && vms.insert(VmOfVoter(voter)).second) {
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
  hello.mutable_founding()->set_blank(false);
  *hello.mutable_founding()->mutable_voters() = voters;
  SendToVoters(hello, aOut);
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
    const bool named =
      std::find(voters.begin(), voters.end(), raft_->Self()) != voters.end();
    if (founding.blank()) {
      blankVotersHeardAt_[voter] = aNow;
    } else if (named) {
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
    // It missed the founding: its disk has never held anything.
    wire::ControlMessage reply;
    reply.set_from_voter(raft_->Self());
    *reply.mutable_founding()->mutable_voters() = raft_->Voters();
    Send(VmOfVoter(voter), std::move(reply), aOut);
    return;
  }
  ProposeLearner(voter, aNow, aOut);
}

// A disk that is not known: its VM's former disk is lost and votes no more;
// the new one learns first. One change of voters at a time.
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
  wire::Change change;
  for (const auto& id : raft_->Voters().voters()) {
    if (VmOfVoter(id) != VmOfVoter(aVoter)) {
      change.mutable_voters()->add_voters(id);
    }
  }
  for (const auto& id : learners) {
    if (VmOfVoter(id) != VmOfVoter(aVoter)) {
      change.mutable_voters()->add_learners(id);
    }
  }
  change.mutable_voters()->add_learners(aVoter);
  aOut.push_back(
    LogControlEvent{ Event::VoterReplaced, fmt::format("learner={}", aVoter) });
  Propose(change, aNow, aOut);
}

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
    holderLiveAt_.clear();
    holderProposedAt_.clear();
    aOut.push_back(
      LogControlEvent{ wasLeader_ ? Event::LeaderElected : Event::LeaderLost,
                       fmt::format("term={}", raft_->Term()) });
  }
  TickVoterSet(aNow, aOut);
  TickCompaction(aNow, aOut);
}

// True if the VM of this voter has been away for so long, as seen from here.
bool
ControlNode::IsVoterGone(const VoterId& aVoter, Time aNow, Duration aLimit)
{
  // One that joined a moment ago counts from now, and not from the election.
  Time& seen = voterLiveAt_.try_emplace(aVoter, aNow).first->second;
  if (membership_.IsLive(VmOfVoter(aVoter))) {
    seen = aNow;
  }
  return aNow - seen >= aLimit;
}

// Learners that have caught up vote while voters are wanted, spread over the
// zones so that the loss of one leaves a majority. A voter that is gone is
// replaced: the new one comes first, so that no acknowledged change is on
// fewer disks meanwhile. One change of voters at a time.
void
ControlNode::TickVoterSet(Time aNow, ControlActions& aOut)
{
  if (!CanDecideAsLeader(aNow) || !raft_->CanChangeVoters()) {
    return;
  }
  std::map<VmId, ZoneId> zoneOf;
  std::set<ZoneId> zones;
  for (const auto& vm : membership_.ListLiveVms()) {
    zoneOf[vm.id()] = vm.zone();
    if (!vm.voter().empty()) {
      zones.insert(vm.zone());
    }
  }
  const auto zoneOfVoter = [&](const VoterId& aVoter) {
    const auto known = voterZones_.find(aVoter);
    return known == voterZones_.end() ? ZoneId() : known->second;
  };
  wire::VoterSet set = raft_->Voters();
  std::map<ZoneId, std::size_t> perZone;
  std::vector<VoterId> gone;
  for (const auto& id : set.voters()) {
    if (const auto zone = zoneOf.find(VmOfVoter(id)); zone != zoneOf.end()) {
      voterZones_[id] = zone->second;
    }
    if (id != raft_->Self() && IsVoterGone(id, aNow, kReplaceAfter)) {
      gone.push_back(id);
    } else {
      perZone[zoneOfVoter(id)]++;
    }
  }
  const auto count = static_cast<std::size_t>(set.voters_size());
  const std::size_t target = config_.targetVoterCount_;
  const std::size_t most =
    zones.empty() ? target : (target + zones.size() - 1) / zones.size();
  const auto propose = [&](Event aEvent, const VoterId& aVoter) {
    wire::Change change;
    *change.mutable_voters() = set;
    aOut.push_back(
      LogControlEvent{ aEvent,
                       fmt::format("voter={} voters={} learners={}",
                                   aVoter,
                                   set.voters_size(),
                                   set.learners_size()) });
    Propose(change, aNow, aOut);
  };
  auto& voters = *set.mutable_voters();
  auto& learners = *set.mutable_learners();
  if (target > 0 && count > target) {
    VoterId drop = gone.empty() ? VoterId() : gone.front();
    for (const auto& id : voters) {
      const bool spare =
        drop.empty() && id != raft_->Self() && perZone[zoneOfVoter(id)] > most;
      drop = spare ? id : drop;
    }
    if (!drop.empty()) {
      voters.erase(std::find(voters.begin(), voters.end(), drop));
      propose(Event::VoterRemoved, drop);
    }
    return;
  }
  for (const auto& id : raft_->ListReadyLearners()) {
    const ZoneId zone = zoneOf[VmOfVoter(id)];
    const bool wanted = target == 0 || count < target || !gone.empty();
    const bool balanced = target == 0 || perZone[zone] < most;
    const bool replaces =
      count < target || target == 0 ||
      std::any_of(gone.begin(), gone.end(), [&](const auto& aGone) {
        return zoneOfVoter(aGone) == zone ||
               IsVoterGone(aGone, aNow, kReplaceFarAfter);
      });
    if (wanted && balanced && replaces) {
      learners.erase(std::find(learners.begin(), learners.end(), id));
      voters.Add(std::string(id));
      propose(Event::VoterReplaced, id);
      return;
    }
  }
  const auto lost =
    std::find_if(learners.begin(), learners.end(), [&](const auto& aLearner) {
      return IsVoterGone(aLearner, aNow, kForgetLearnerAfter);
    });
  if (lost != learners.end()) {
    const VoterId id = std::move(*lost);
    learners.erase(lost);
    propose(Event::VoterRemoved, id);
  }
}

// A snapshot is filed once the log has moved on a little, so that followers
// that are only a little behind need entries and not the snapshot.
void
ControlNode::TickCompaction(Time aNow, ControlActions& aOut)
{
  const std::uint64_t index = state_.Index();
  if (aNow >= nextLogSizeCheckAt_) {
    nextLogSizeCheckAt_ = aNow + kSizeEvery;
    if (raft_->LogBytes() > kSnapshotBytes && index > raft_->SnapshotIndex()) {
      pendingSnapshot_.reset();
      RaftActions actions;
      raft_->Compact(state_.MakeSnapshot(), actions);
      aOut.push_back(LogControlEvent{
        Event::SnapshotTaken, fmt::format("index={} cause=size", index) });
      PerformRaftActions(std::move(actions), aOut);
      return;
    }
  }
  if (!pendingSnapshot_ && index >= raft_->SnapshotIndex() + kSnapshotEvery) {
    pendingSnapshot_ = state_.MakeSnapshot();
  }
  if (!pendingSnapshot_ || index < pendingSnapshot_->index() + kKeptBehind) {
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

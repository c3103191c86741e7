// The part of ControlNode that acts as a voter: founding the control state,
// replacing lost disks and voters, elections, snapshots.

#include "control/ControlNode.h"

#include "base/Erase.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

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
// A voter that has not been live for this long is replaced. A process that was
// only restarted is back earlier.
constexpr Duration kVoterGoneDelay = 1s;
// A voter that leaves repeats this to the other voters.
constexpr Duration kDescriptionInterval = 100ms;
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
      DescribeToVoters(aOut);
      SendToVoters(message, aOut);
    }
    return;
  }
  DescribeToVoters(aOut);
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
  SendToDataFolderVms(message, aOut);
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

// Proposes an unknown disk as a learner, unless it is a former disk of its VM,
// whose messages may arrive late.
void
ControlNode::ProposeLearner(const VoterId& aVoter,
                            Time aNow,
                            ControlActions& aOut)
{
  wire::VoterSet next = raft_->Voters();
  auto& learners = *next.mutable_learners();
  const bool known =
    std::find(learners.begin(), learners.end(), aVoter) != learners.end();
  const wire::Vm* vm = membership_.Find(VmOfVoter(aVoter));
  const bool isFormerDisk = vm != nullptr && vm->voter() != aVoter;
  if (known || isFormerDisk || !CanDecideAsLeader(aNow) ||
      !raft_->CanChangeVoters()) {
    return;
  }
  const auto kept =
    std::remove_if(learners.begin(), learners.end(), [&](const auto& aId) {
      return VmOfVoter(aId) == VmOfVoter(aVoter);
    });
  learners.erase(kept, learners.end());
  next.add_learners(aVoter);
  aOut.push_back(
    LogControlEvent{ Event::VoterReplaced, fmt::format("learner={}", aVoter) });
  ProposeVoters(std::move(next), aNow, aOut);
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
    loggedFaults_.clear();
    holderLiveAt_.clear();
    holderProposedIndexes_.clear();
    proposedServers_.clear();
    leadershipAnnounced_ = false;
    aOut.push_back(LogControlEvent{
      wasLeader_ ? Event::LeaderElected : Event::LeaderLost,
      fmt::format(
        "term={} last_index={}", raft_->Term(), raft_->LastIndex()) });
  }
  AnnounceLeadership(aNow, aOut);
  RecordVotersSeen(aNow);
  TickVoterSet(aNow, aOut);
  TickLeaving(aNow, aOut);
  TickCompaction(aNow, aOut);
}

// Tells all live VMs once who leads, so that none of them has to ask all voters
// for leases or for proof of its state.
void
ControlNode::AnnounceLeadership(Time aNow, ControlActions& aOut)
{
  if (leadershipAnnounced_ || !CanDecideAsLeader(aNow)) {
    return;
  }
  leadershipAnnounced_ = true;
  std::vector<SendToVm> messages;
  for (const auto& vm : membership_.ListLiveVms()) {
    if (vm.id() != config_.self_.id()) {
      membership_.SendDescription(vm.id(), messages);
    }
  }
  SendMembershipMessages(std::move(messages), aOut);
}

// ---- The set of voters

// True if the VM of the voter is live, with this disk.
bool
ControlNode::IsUsable(const VoterId& aVoter) const
{
  const VmId vm = VmOfVoter(aVoter);
  const wire::Vm* known = membership_.Find(vm);
  return known != nullptr && known->voter() == aVoter && membership_.IsLive(vm);
}

// A voter or learner that this VM has not known before counts as seen now. A
// leader goes by the answers to its own messages: the membership takes longer
// to notice that a VM is gone.
void
ControlNode::RecordVotersSeen(Time aNow)
{
  std::set<VoterId> ids;
  const wire::VoterSet& set = raft_->Voters();
  for (const auto* group :
       { &set.voters(), &set.outgoing(), &set.learners() }) {
    ids.insert(group->begin(), group->end());
  }
  EraseWhere(voterSeenAt_,
             [&](const VoterId& aId, Time) { return !ids.contains(aId); });
  for (const auto& id : ids) {
    Time& seenAt = voterSeenAt_.try_emplace(id, aNow).first->second;
    const bool isSeen =
      raft_->IsLeader() ? raft_->IsReachable(id, aNow) : IsUsable(id);
    if (isSeen) {
      seenAt = aNow;
    }
  }
}

VoterStatus
ControlNode::FindVoterStatus(const VoterId& aVoter, Time aNow) const
{
  VoterStatus status{ aVoter, {}, VoterFault::None };
  const wire::Vm* vm = membership_.Find(VmOfVoter(aVoter));
  if (vm != nullptr) {
    status.zone_ = vm->zone();
  }
  if (vm != nullptr && vm->voter() != aVoter) {
    status.fault_ = VoterFault::DiskLost;
  } else if (aNow - voterSeenAt_.at(aVoter) >= kVoterGoneDelay) {
    status.fault_ = VoterFault::Gone;
  } else if (vm != nullptr && vm->leaving()) {
    status.fault_ = VoterFault::Leaving;
  }
  return status;
}

// Brings the set of voters closer to the target, by one change at a time. A
// leader that leaves has its successor do so. Learners that are gone are
// removed.
void
ControlNode::TickVoterSet(Time aNow, ControlActions& aOut)
{
  if (!CanDecideAsLeader(aNow)) {
    return;
  }
  const wire::VoterSet& set = raft_->Voters();
  std::vector<VoterStatus> voters;
  std::vector<VoterId> successors;
  for (const auto& id : set.voters()) {
    voters.push_back(FindVoterStatus(id, aNow));
    const VoterStatus& voter = voters.back();
    if (voter.fault_ == VoterFault::None) {
      successors.push_back(id);
    }
    VoterFault& logged = loggedFaults_[id];
    if (voter.fault_ > logged) {
      aOut.push_back(LogControlEvent{
        Event::VoterFaulty,
        fmt::format("voter={} cause={} zone={} ready_learners={}",
                    id,
                    ToString(voter.fault_),
                    voter.zone_.empty() ? "-" : voter.zone_,
                    raft_->ListReadyLearners(aNow).size()) });
    }
    logged = voter.fault_;
  }
  if (IsLeaving()) {
    RaftActions actions;
    raft_->TransferLeadership(successors, aNow, actions);
    PerformRaftActions(std::move(actions), aOut);
    return;
  }
  if (!raft_->CanChangeVoters()) {
    return;
  }
  std::vector<VoterStatus> ready;
  for (const auto& id : raft_->ListReadyLearners(aNow)) {
    const VoterStatus learner = FindVoterStatus(id, aNow);
    if (learner.fault_ == VoterFault::None && IsUsable(id)) {
      ready.push_back(learner);
    }
  }
  if (const auto change =
        PlanVoterChange(voters, ready, config_.minVoterCount_, raft_->Self())) {
    ProposeVoterChange(*change, aNow, aOut);
    return;
  }
  const auto goneLearner = std::find_if(
    set.learners().begin(), set.learners().end(), [&](const auto& aLearner) {
      return aNow - voterSeenAt_.at(aLearner) >= kLearnerTimeout;
    });
  if (goneLearner != set.learners().end()) {
    ProposeVoterChange(
      VoterChange{ {}, { FindVoterStatus(*goneLearner, aNow) } }, aNow, aOut);
  }
}

// A voter that is removed stays as a learner unless its disk is lost, so that
// it is up to date if it comes back. A change that would leave this leader
// without a quorum of the new voters is not proposed.
void
ControlNode::ProposeVoterChange(const VoterChange& aChange,
                                Time aNow,
                                ControlActions& aOut)
{
  wire::VoterSet next = raft_->Voters();
  const auto remove = [](auto& aIds, const VoterId& aId) {
    const auto found = std::find(aIds.begin(), aIds.end(), aId);
    const bool isIn = found != aIds.end();
    if (isIn) {
      aIds.erase(found);
    }
    return isIn;
  };
  std::vector<std::string_view> removed;
  std::vector<std::string_view> causes;
  for (const auto& status : aChange.removed_) {
    removed.push_back(status.id_);
    causes.push_back(ToString(status.fault_));
    const bool wasVoter = remove(*next.mutable_voters(), status.id_);
    remove(*next.mutable_learners(), status.id_);
    if (wasVoter && status.fault_ != VoterFault::DiskLost) {
      next.add_learners(status.id_);
    }
  }
  for (const auto& id : aChange.added_) {
    remove(*next.mutable_learners(), id);
    next.add_voters(id);
  }
  if (!raft_->ReachesQuorumOf(next, aNow)) {
    return;
  }
  const bool adds = !aChange.added_.empty();
  const auto join = [](const auto& aNames) {
    return aNames.empty() ? std::string("-")
                          : fmt::format("{}", fmt::join(aNames, ","));
  };
  aOut.push_back(
    LogControlEvent{ adds ? Event::VoterReplaced : Event::VoterRemoved,
                     fmt::format("voter={} removed={} cause={} voters={} "
                                 "learners={}",
                                 adds ? join(aChange.added_) : join(removed),
                                 join(removed),
                                 join(causes),
                                 next.voters_size(),
                                 next.learners_size()) });
  ProposeVoters(std::move(next), aNow, aOut);
}

void
ControlNode::ProposeVoters(wire::VoterSet aNext,
                           Time aNow,
                           ControlActions& aOut)
{
  RaftActions actions;
  raft_->ProposeVoters(std::move(aNext), aNow, actions);
  PerformRaftActions(std::move(actions), aOut);
}

// ---- Leaving

bool
ControlNode::IsLeaving() const
{
  return membership_.Find(config_.self_.id())->leaving();
}

// Tells the voters that this one leaves. Whichever of them leads replaces it.
void
ControlNode::TickLeaving(Time aNow, ControlActions& aOut)
{
  if (IsLeaving() && raft_->IsVoter(raft_->Self()) &&
      aNow >= nextDescriptionAt_) {
    nextDescriptionAt_ = aNow + kDescriptionInterval;
    DescribeToVoters(aOut);
  }
}

bool
ControlNode::IsNeededAsVoter() const
{
  if (!raft_ || raft_->IsBlank()) {
    return false;
  }
  const wire::VoterSet& set = raft_->Voters();
  const auto canTakeOver = [&](const VoterId& aId) {
    return aId != raft_->Self() && IsUsable(aId) &&
           !membership_.Find(VmOfVoter(aId))->leaving();
  };
  const bool votes =
    raft_->IsVoter(raft_->Self()) || !raft_->AreVotersCommitted();
  const bool leads =
    raft_->IsLeader() &&
    std::any_of(set.voters().begin(), set.voters().end(), canTakeOver);
  const bool isReplaceable =
    std::any_of(set.learners().begin(), set.learners().end(), canTakeOver);
  const bool isRemovable =
    config_.minVoterCount_ > 0 &&
    static_cast<std::size_t>(set.voters_size()) > config_.minVoterCount_;
  return votes && (leads || isReplaceable || isRemovable);
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

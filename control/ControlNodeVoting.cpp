// A node's part as a voter: founding, lost disks, elections, snapshots.

#include "control/ControlNode.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kFoundingEvery = 200ms;
constexpr Duration kBlankFresh = 2s; // a blank voter was heard this lately
constexpr std::uint64_t kSnapshotEvery = 256; // changes
constexpr std::uint64_t kKeptBehind = 64; // log entries kept behind a snapshot

} // namespace

// Blank voters greet the others. When all of them are blank, the first by id
// founds the control state with the disks that it has heard of.
void
ControlNode::TickFounding(Time aNow, ControlActions& aOut)
{
  if (!raft_ || !raft_->IsBlank() || aNow < foundingAt_) {
    return;
  }
  foundingAt_ = aNow + kFoundingEvery;
  wire::ControlMessage hello;
  hello.set_from_voter(raft_->Self());
  hello.mutable_founding()->set_blank(true);
  for (const auto& vm : config_.voterVms_) {
    Send(vm, hello, aOut);
  }
  const auto first =
    std::min_element(config_.voterVms_.begin(), config_.voterVms_.end());
  if (first == config_.voterVms_.end() || *first != config_.self_.id()) {
    return;
  }
  wire::VoterSet voters;
  voters.add_voters(raft_->Self());
  std::set<VmId> vms{ config_.self_.id() };
  for (const auto& [voter, at] : blanks_) {
    if (aNow - at <= kBlankFresh && vms.insert(VmOfVoter(voter)).second) {
      voters.add_voters(voter);
    }
  }
  if (vms.size() < config_.voterVms_.size()) {
    return;
  }
  RaftActions actions;
  raft_->Found(voters, actions);
  PerformRaft(std::move(actions), aOut);
  aOut.push_back(ControlNote{ Event::DiskFounded,
                              fmt::format("voters={}", voters.voters_size()) });
  hello.mutable_founding()->set_blank(false);
  *hello.mutable_founding()->mutable_voters() = voters;
  for (const auto& vm : config_.voterVms_) {
    Send(vm, hello, aOut);
  }
}

void
ControlNode::TakeFounding(const wire::ControlMessage& aMessage,
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
      blanks_[voter] = aNow;
    } else if (named) {
      RaftActions actions;
      raft_->Found(founding.voters(), actions);
      PerformRaft(std::move(actions), aOut);
    }
    return;
  }
  if (!founding.blank()) {
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
  AdmitVoter(voter, aNow, aOut);
}

// A disk that is not known: its VM's former disk is lost and votes no more;
// the new one learns first. One change of voters at a time.
void
ControlNode::AdmitVoter(const VoterId& aVoter, Time aNow, ControlActions& aOut)
{
  const auto& learners = raft_->Voters().learners();
  const bool known =
    std::find(learners.begin(), learners.end(), aVoter) != learners.end();
  if (known || !MayDecide(aNow) || !raft_->MayChangeVoters()) {
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
    ControlNote{ Event::VoterReplaced, fmt::format("learner={}", aVoter) });
  Propose(change, aNow, aOut);
}

void
ControlNode::TickVoter(Time aNow, ControlActions& aOut)
{
  if (!raft_) {
    return;
  }
  RaftActions actions;
  raft_->Tick(aNow, actions);
  PerformRaft(std::move(actions), aOut);
  if (raft_->IsLeader() != wasLeader_) {
    wasLeader_ = raft_->IsLeader();
    promoter_.Reset();
    aOut.push_back(
      ControlNote{ wasLeader_ ? Event::LeaderElected : Event::LeaderLost,
                   fmt::format("term={}", raft_->Term()) });
  }
  const auto ready =
    raft_->MayChangeVoters() ? raft_->FindReadyLearner() : std::nullopt;
  if (ready) {
    wire::Change change;
    *change.mutable_voters() = raft_->Voters();
    auto& learners = *change.mutable_voters()->mutable_learners();
    learners.erase(std::find(learners.begin(), learners.end(), *ready));
    change.mutable_voters()->add_voters(*ready);
    aOut.push_back(
      ControlNote{ Event::VoterReplaced, fmt::format("voter={}", *ready) });
    Propose(change, aNow, aOut);
  }
  MoveSnapshot(aOut);
}

// A snapshot is filed once the log has moved on a little, so that followers
// that are only a little behind need entries and not the snapshot.
void
ControlNode::MoveSnapshot(ControlActions& aOut)
{
  const std::uint64_t index = state_.Index();
  if (!pendingSnapshot_ && index >= raft_->SnapshotIndex() + kSnapshotEvery) {
    pendingSnapshot_ = state_.TakeSnapshot();
  }
  if (!pendingSnapshot_ || index < pendingSnapshot_->index() + kKeptBehind) {
    return;
  }
  RaftActions actions;
  aOut.push_back(ControlNote{
    Event::SnapshotTaken, fmt::format("index={}", pendingSnapshot_->index()) });
  raft_->Compact(std::move(*pendingSnapshot_), actions);
  pendingSnapshot_.reset();
  PerformRaft(std::move(actions), aOut);
}

} // namespace jaydoor

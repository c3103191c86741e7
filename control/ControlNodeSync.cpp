// The part of ControlNode that keeps the control state of a VM up to date:
// changes that are requested from other VMs or pushed to them, and the proof
// that the state is in force.

#include "control/ControlNode.h"

#include "base/Erase.h"

#include <algorithm>

namespace jaydoor {
namespace {

// Deltas that may be awaited at once, each from another VM. A delta can be the
// whole state, and copies of it that arrive together take up the link of an
// entry VM.
constexpr std::size_t kMaxAwaitedDeltas = 3;
// It then counts as lost. The time doubles with each one that is lost: a VM
// that is slow to send the state would have to send it again.
constexpr Duration kDeltaTimeout = 200ms;
constexpr Duration kMaxDeltaTimeout = 1600ms;
// Snapshots that a VM sends to others within a window; further requests are not
// answered, and the VMs that sent them ask again.
constexpr std::size_t kMaxSnapshotsPerWindow = 8;
constexpr Duration kSnapshotWindow = 100ms;
// Up to this number of live VMs, the leader itself is asked for changes.
constexpr std::size_t kMaxVmsServedByLeader = 50;
// A change that the leader had applied at a grant should have been pushed to
// this VM after this time.
constexpr Duration kPushTimeout = 100ms;
// After a grant, the next ones are expected to name the index for this long.
constexpr Duration kGrantIndexWindow = 1s;
// After this time without a proof by the quorum, a delta from another VM whose
// state was proven is proof enough.
constexpr Duration kNeighbourProofDelay = 3s;
// After this time without a proof by the quorum, other VMs are asked for one.
constexpr Duration kNeighbourRequestDelay = 200ms;
constexpr Duration kProofRequestInterval = 50ms;
// In a larger fleet the interval is longer. At 100 VMs it is the same.
constexpr Duration kProofRequestIntervalPerVm = 500us;
constexpr std::size_t kProofRequestsPerQuery = 3;
// After so many requests the interval doubles.
constexpr std::size_t kProofRequestsPerBackoff = 12;
constexpr std::size_t kMaxProofDoublings = 3;
// Time between two pushes.
constexpr Duration kPushIntervalPerVm = 100us;
constexpr Duration kMaxPushInterval = 100ms;
constexpr std::size_t kPushFanout = 5; // VMs that each VM pushes a change to
// Up to this number of live VMs, voters push changes to all other VMs.
constexpr std::size_t kMaxDirectPushVms = 500;

} // namespace

// ---- Requested changes

void
ControlNode::HandleIndexReply(const VmId& aFrom,
                              const wire::IndexReply& aReply,
                              Time aNow,
                              ControlActions& aOut)
{
  const auto read = pendingDocumentReads_.find(aReply.request());
  if (read != pendingDocumentReads_.end()) {
    read->second.committedIndex_ = aReply.index();
  } else if (aReply.request() != proofRequestId_) {
    return;
  }
  proofIndex_ = std::max(proofIndex_.value_or(0), aReply.index());
  if (aReply.index() > state_.Index() && !raft_) {
    RequestDelta(ChooseDeltaSource(aFrom), aNow, aOut);
  }
}

// The VM to ask for changes that the leader has. In a large fleet it is one of
// the VMs with a data folder, since the leader has the most other work.
VmId
ControlNode::ChooseDeltaSource(const VmId& aLeader)
{
  if (membership_.CountLiveVms() <= kMaxVmsServedByLeader) {
    return aLeader;
  }
  std::vector<VmId> sources;
  for (const auto& vm : ListDataFolderVms()) {
    if (vm != aLeader && membership_.IsLive(vm)) {
      sources.push_back(vm);
    }
  }
  return sources.empty() ? aLeader : sources[random_() % sources.size()];
}

void
ControlNode::SendRequestedDelta(const VmId& aTo,
                                std::uint64_t aApplied,
                                Time aNow,
                                ControlActions& aOut)
{
  if (aNow - snapshotWindowAt_ >= kSnapshotWindow) {
    snapshotWindowAt_ = aNow;
    snapshotsSent_ = 0;
  }
  if (state_.NeedsSnapshot(aApplied) &&
      ++snapshotsSent_ > kMaxSnapshotsPerWindow) {
    counters_.snapshotsRefused_++;
    return;
  }
  wire::ControlMessage reply;
  *reply.mutable_delta() = state_.DeltaAfter(aApplied);
  reply.mutable_delta()->set_proven(stateProven_);
  Send(aTo, std::move(reply), aOut);
}

// Asks a VM for the committed changes that this VM lacks, unless too many
// answers are awaited.
void
ControlNode::RequestDelta(const VmId& aFrom, Time aNow, ControlActions& aOut)
{
  deltaTimeout_ = std::max(deltaTimeout_, kDeltaTimeout);
  EraseWhere(awaitedDeltas_, [&](const VmId&, Time aUntil) {
    const bool isLost = aNow >= aUntil;
    if (isLost) {
      deltaTimeout_ = std::min(2 * deltaTimeout_, kMaxDeltaTimeout);
    }
    return isLost;
  });
  if (awaitedDeltas_.size() >= kMaxAwaitedDeltas ||
      !awaitedDeltas_.try_emplace(aFrom, aNow + deltaTimeout_).second) {
    return;
  }
  wire::ControlMessage message;
  message.mutable_delta_request()->set_applied(state_.Index());
  Send(aFrom, std::move(message), aOut);
}

// Requests the missing changes from a VM that has applied more than this one.
void
ControlNode::HandlePeerIndex(const VmId& aFrom,
                             std::uint64_t aIndex,
                             Time aNow,
                             ControlActions& aOut)
{
  if (raft_ || aIndex <= state_.Index()) {
    return; // a voter receives its changes through Raft
  }
  RequestDelta(aFrom, aNow, aOut);
}

// While grants arrive, they tell what this VM lacks: asking all peers that are
// ahead would open links to most of the fleet.
void
ControlNode::HandleProbedIndex(const VmId& aFrom,
                               std::uint64_t aIndex,
                               Time aNow,
                               ControlActions& aOut)
{
  if (aNow - grantReceivedAt_ >= kGrantIndexWindow) {
    HandlePeerIndex(aFrom, aIndex, aNow, aOut);
  }
}

// Notes the index that the leader had applied. Changes up to it are being
// pushed to this VM.
void
ControlNode::RecordGrantedIndex(std::uint64_t aIndex, Time aNow)
{
  if (aIndex > state_.Index() && grantedIndex_ <= state_.Index()) {
    grantedIndex_ = aIndex;
    grantedIndexAt_ = aNow;
  }
}

// Requests the changes whose push has not arrived in time.
void
ControlNode::TickMissedChanges(Time aNow, ControlActions& aOut)
{
  if (grantedIndex_ > state_.Index() &&
      aNow - grantedIndexAt_ >= kPushTimeout) {
    HandlePeerIndex(ChooseDeltaSource(LeaderVm()), grantedIndex_, aNow, aOut);
  }
}

void
ControlNode::HandleDelta(const VmId& aFrom,
                         const wire::Delta& aDelta,
                         Time aNow,
                         ControlActions& aOut)
{
  awaitedDeltas_.erase(aFrom);
  deltaTimeout_ = kDeltaTimeout;
  neighbourStateProven_ = neighbourStateProven_ || aDelta.proven();
  if (raft_) {
    return;
  }
  const std::uint64_t before = state_.Index();
  state_.ApplyDelta(aDelta);
  counters_.changesApplied_ += state_.Index() - before;
  const bool hasGap =
    aDelta.changes_size() > 0 &&
    aDelta.changes(aDelta.changes_size() - 1).index() > state_.Index();
  if (hasGap) {
    RequestDelta(aFrom, aNow, aOut);
  }
}

// ---- Proof of the state after the start

// After its start a VM serves nothing until its state is proven to be recent:
// either it has applied all that the quorum had committed, or, if no quorum
// could be reached for kNeighbourProofDelay, a VM whose state was proven has
// sent it a delta. A leader that can decide needs no other proof.
void
ControlNode::TickStateProof(Time aNow, ControlActions& aOut)
{
  if (stateProven_) {
    return;
  }
  const bool byQuorum = proofIndex_ && state_.Index() >= *proofIndex_;
  const bool byNeighbour =
    neighbourStateProven_ && aNow - startedAt_ >= kNeighbourProofDelay;
  if (byQuorum || byNeighbour || CanDecideAsLeader(aNow)) {
    stateProven_ = true;
    viewOutdated_ = true;
    return;
  }
  if (aNow < nextProofRequestAt_) {
    return;
  }
  // Of several requests, one goes to all voters, as the leader that this VM
  // knows of may have been replaced. Later requests are less frequent.
  const VmId leader = LeaderVm();
  const bool isLeaderKnown = !leader.empty() && membership_.IsLive(leader);
  const bool asksAll =
    !isLeaderKnown || proofRequests_ % kProofRequestsPerQuery == 0;
  const std::size_t doublings =
    std::min(proofRequests_ / kProofRequestsPerBackoff, kMaxProofDoublings);
  proofRequests_++;
  const auto vms = static_cast<Duration::rep>(membership_.CountLiveVms());
  const Duration interval =
    std::max(kProofRequestInterval, kProofRequestIntervalPerVm * vms) *
    (1 << doublings);
  const auto spread = static_cast<std::uint64_t>(interval.count()) / 4 + 1;
  nextProofRequestAt_ =
    aNow + interval + Duration(static_cast<Duration::rep>(random_() % spread));
  wire::ControlMessage request;
  request.mutable_index_request()->set_request(proofRequestId_);
  if (asksAll) {
    SendToVoters(request, aOut);
  } else {
    Send(leader, std::move(request), aOut);
  }
  // A VM that is ahead is asked when it is heard of. One that is not can still
  // tell that its state is proven.
  if (aNow - startedAt_ >= kNeighbourRequestDelay) {
    for (const auto& vm : membership_.ChooseRandomVms(1)) {
      RequestDelta(vm, aNow, aOut);
    }
  }
}

// ---- Pushed changes

// The VMs to which this one passes on a change that it has applied.
//
// One voter of each availability zone serves the VMs there, so that a change
// crosses between zones once, in the Raft log; the leader serves the zones
// without a live voter. A VM that is missed learns of the change from the next
// lease grants. In a fleet beyond kMaxDirectPushVms, each VM pushes to a few
// random ones.
std::vector<VmId>
ControlNode::ListPushTargets()
{
  const std::vector<wire::Vm> live = membership_.ListLiveVms();
  if (live.size() > kMaxDirectPushVms) {
    return membership_.ChooseRandomVms(kPushFanout);
  }
  if (!raft_) {
    return {};
  }
  std::map<ZoneId, VmId> voterByZone; // the first by id
  for (const auto& vm : live) {
    if (!vm.voter().empty()) {
      voterByZone.try_emplace(vm.zone(), vm.id());
    }
  }
  std::vector<VmId> targets;
  for (const auto& vm : live) {
    const auto voter = voterByZone.find(vm.zone());
    const bool isServedHere = voter == voterByZone.end()
                                ? raft_->IsLeader()
                                : voter->second == config_.self_.id();
    if (vm.voter().empty() && isServedHere) {
      targets.push_back(vm.id());
    }
  }
  return targets;
}

// Pushes the changes applied since the last push, unless that was only just
// now: then they wait for the next ones, since each push costs a message to
// each VM.
void
ControlNode::TickPush(Time aNow, ControlActions& aOut)
{
  if (state_.Index() > pushedIndex_ && aNow >= nextPushAt_) {
    PushDelta(pushedIndex_, aOut);
    pushedIndex_ = state_.Index();
    nextPushAt_ =
      aNow + std::min(kPushIntervalPerVm *
                        static_cast<Duration::rep>(membership_.CountLiveVms()),
                      kMaxPushInterval);
  }
}

void
ControlNode::PushDelta(std::uint64_t aFrom, ControlActions& aOut)
{
  const wire::Delta delta = state_.DeltaAfter(aFrom);
  if (delta.has_snapshot()) {
    return; // too large to push; the other VMs will request it
  }
  for (const auto& vm : ListPushTargets()) {
    wire::ControlMessage message;
    *message.mutable_delta() = delta;
    message.mutable_delta()->set_proven(stateProven_);
    Send(vm, std::move(message), aOut);
  }
}

} // namespace jaydoor

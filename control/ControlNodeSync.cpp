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
constexpr Duration kDeltaTimeout = 200ms; // it then counts as lost
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
    RequestDelta(aFrom, aNow, aOut);
  }
}

// Asks a VM for the committed changes that this VM lacks, unless too many
// answers are awaited.
void
ControlNode::RequestDelta(const VmId& aFrom, Time aNow, ControlActions& aOut)
{
  EraseWhere(awaitedDeltas_,
             [&](const VmId&, Time aUntil) { return aNow >= aUntil; });
  if (awaitedDeltas_.size() >= kMaxAwaitedDeltas ||
      !awaitedDeltas_.try_emplace(aFrom, aNow + kDeltaTimeout).second) {
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
  if (aNow - grantedIndexAt_ >= kPushTimeout) {
    HandlePeerIndex(LeaderVm(), grantedIndex_, aNow, aOut);
  }
}

void
ControlNode::HandleDelta(const VmId& aFrom,
                         const wire::Delta& aDelta,
                         Time aNow,
                         ControlActions& aOut)
{
  awaitedDeltas_.erase(aFrom);
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
  nextProofRequestAt_ = aNow + kProofRequestInterval;
  wire::ControlMessage request;
  request.mutable_index_request()->set_request(proofRequestId_);
  SendToVoters(request, aOut);
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

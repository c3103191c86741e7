#include "control/ControlNode.h"

#include "base/Erase.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kVoterTick = 15ms;
constexpr Duration kMemberTick = 50ms;
constexpr Duration kProposeAgain = 300ms;
constexpr Duration kOperatorWait = 5s; // then the outcome is not known yet
constexpr Duration kProofEvery = 50ms;
constexpr Duration kPullEvery = 200ms;
constexpr Duration kZoneProofAfter = 3s; // no quorum: the zone's word counts
constexpr Duration kGoneEvery = 1s;
constexpr Duration kGoneAfter = 30s;    // no announcement for this long
constexpr std::size_t kFanout = 5;      // VMs that a change is pushed to
constexpr std::size_t kDirectPush = 32; // VMs that the leader tells itself

// True if both describe the server alike; each announcement has another
// sequence number.
bool
IsSame(const wire::Upstream& aLeft, wire::Upstream aRight)
{
  aRight.set_sequence(aLeft.sequence());
  return aLeft.SerializeAsString() == aRight.SerializeAsString();
}

} // namespace

VmId
VmOfVoter(const VoterId& aVoter)
{
  return aVoter.substr(0, aVoter.find('/'));
}

ControlNode::ControlNode(ControlConfig aConfig, std::optional<RaftDisk> aDisk)
  : config_(std::move(aConfig))
  , membership_(config_.self_,
                config_.seeds_,
                config_.membership_,
                config_.seed_)
  , promoter_(config_.promoter_)
  , failover_(config_.failover_)
  , leases_(config_.lease_)
  // Answers to questions of an earlier run may still come in.
  , nextRead_(std::mt19937_64(config_.seed_)())
  , proofRequest_(nextRead_++)
{
  if (aDisk) {
    state_.Install(aDisk->snapshot_);
    raft_.emplace(
      config_.self_.voter(), config_.raft_, config_.seed_, std::move(*aDisk));
    published_ = state_.Index();
    for (const auto& voter : raft_->Voters().voters()) {
      AddStoredVm(VmOfVoter(voter));
    }
  }
}

void
ControlNode::Step(ControlEvent aEvent, Time aNow, ControlActions& aOut)
{
  if (!started_) {
    started_ = true;
    startedAt_ = aNow;
  }
  std::visit([&](auto& aCase) { Handle(aCase, aNow, aOut); }, aEvent);
  Finish(aNow, aOut);
}

void
ControlNode::AddSeeds(std::vector<wire::Vm> aSeeds)
{
  for (const auto& seed : aSeeds) {
    const auto& known = config_.voterVms_;
    if (std::find(known.begin(), known.end(), seed.id()) == known.end()) {
      config_.voterVms_.push_back(seed.id());
    }
  }
  membership_.AddSeeds(std::move(aSeeds));
}

// The settings may name VMs that are gone, or none: those that the control
// state names are tried as well.
void
ControlNode::AddStoredVm(const VmId& aVm)
{
  if (config_.idsAreHosts_ && aVm != config_.self_.id()) {
    wire::Vm vm;
    vm.set_id(aVm);
    vm.set_host(aVm);
    vm.set_control_port(config_.self_.control_port());
    membership_.AddSeeds({ std::move(vm) });
  }
}

VmId
ControlNode::LeaderVm() const
{
  const bool known = raft_ && !raft_->Leader().empty();
  return VmOfVoter(known ? raft_->Leader() : leaderHint_);
}

// True if this VM is the leader, nobody else can be, and all that earlier
// leaders have committed is applied here.
bool
ControlNode::MayDecide(Time aNow) const
{
  return raft_ && raft_->HasLease(aNow) && raft_->IsCurrent();
}

// ---- Sending

void
ControlNode::Send(const VmId& aTo,
                  wire::ControlMessage aMessage,
                  ControlActions& aOut)
{
  if (aTo.empty() || aTo == config_.self_.id()) {
    return;
  }
  aMessage.set_from(config_.self_.id());
  aMessage.set_to(aTo);
  counters_.messagesOut_++;
  counters_.bytesOut_ += aMessage.ByteSizeLong();
  aOut.push_back(SendVm{ aTo, std::move(aMessage) });
}

// Probes carry along how far this VM has come and who leads.
void
ControlNode::SendAll(std::vector<SendVm> aMessages, ControlActions& aOut)
{
  const VoterId leader = raft_ ? raft_->Leader() : leaderHint_;
  for (auto& send : aMessages) {
    if (send.message_.has_probe()) {
      send.message_.mutable_probe()->set_applied(state_.Index());
      send.message_.mutable_probe()->set_leader(leader);
    } else if (send.message_.has_probe_reply()) {
      send.message_.mutable_probe_reply()->set_applied(state_.Index());
      send.message_.mutable_probe_reply()->set_leader(leader);
    }
    Send(send.to_, std::move(send.message_), aOut);
  }
}

void
ControlNode::SendToLeader(const wire::ControlMessage& aMessage,
                          ControlActions& aOut)
{
  const VmId leader = LeaderVm();
  if (!leader.empty() && membership_.IsAlive(leader)) {
    Send(leader, aMessage, aOut);
    return;
  }
  SendToVoters(aMessage, aOut);
}

// The VMs that vote, as far as this one knows: those that the settings name
// and those that say so themselves.
std::vector<VmId>
ControlNode::ListControlVms() const
{
  std::set<VmId> ids(config_.voterVms_.begin(), config_.voterVms_.end());
  for (const auto& vm : membership_.LiveVms()) {
    if (!vm.voter().empty()) {
      ids.insert(vm.id());
    }
  }
  return { ids.begin(), ids.end() };
}

void
ControlNode::SendToVoters(const wire::ControlMessage& aMessage,
                          ControlActions& aOut)
{
  for (const auto& vm : ListControlVms()) {
    Send(vm, aMessage, aOut);
  }
}

void
ControlNode::PerformRaft(RaftActions aActions, ControlActions& aOut)
{
  for (auto& action : aActions) {
    if (auto* hard = std::get_if<SaveHardState>(&action)) {
      aOut.push_back(std::move(*hard));
    } else if (auto* entries = std::get_if<SaveEntries>(&action)) {
      aOut.push_back(std::move(*entries));
    } else if (auto* snapshot = std::get_if<SaveSnapshot>(&action)) {
      aOut.push_back(std::move(*snapshot));
    } else if (auto* send = std::get_if<SendVoter>(&action)) {
      Send(VmOfVoter(send->to_), std::move(send->message_), aOut);
    } else if (auto* apply = std::get_if<ApplyChange>(&action)) {
      state_.Apply(apply->change_);
      counters_.changesApplied_++;
    } else if (auto* install = std::get_if<ApplySnapshot>(&action)) {
      state_.Install(install->snapshot_);
    }
  }
}

void
ControlNode::Propose(const wire::Change& aChange,
                     Time aNow,
                     ControlActions& aOut)
{
  if (raft_ && raft_->IsLeader()) {
    if (aChange.has_document()) {
      if (aChange.document().version() <= proposedDocument_) {
        return; // it is in the log, or overtaken there
      }
      proposedDocument_ = aChange.document().version();
    }
    RaftActions actions;
    raft_->Propose(aChange, aNow, actions);
    PerformRaft(std::move(actions), aOut);
    return;
  }
  wire::ControlMessage message;
  *message.mutable_propose()->mutable_change() = aChange;
  SendToLeader(message, aOut);
}

// ---- Messages

void
ControlNode::Handle(TakeControlMessage& aEvent, Time aNow, ControlActions& aOut)
{
  const wire::ControlMessage& message = aEvent.message_;
  const VmId& from = message.from();
  counters_.messagesIn_++;
  counters_.bytesIn_ += message.ByteSizeLong();
  if (TakeLeaseMessage(message, aNow, aOut)) {
    return;
  }
  std::vector<SendVm> sends;
  switch (message.body_case()) {
    case wire::ControlMessage::kProbe:
      NotePeerIndex(from, message.probe().applied(), aNow, aOut);
      NoteLeader(message.probe().leader());
      membership_.ReceiveProbe(from, message.probe(), aNow, sends);
      break;
    case wire::ControlMessage::kProbeReply:
      NotePeerIndex(from, message.probe_reply().applied(), aNow, aOut);
      NoteLeader(message.probe_reply().leader());
      membership_.ReceiveReply(from, message.probe_reply(), aNow, sends);
      break;
    case wire::ControlMessage::kDelta:
      TakeDelta(from, message.delta(), aOut);
      break;
    case wire::ControlMessage::kDeltaRequest: {
      wire::ControlMessage reply;
      *reply.mutable_delta() =
        state_.DeltaAfter(message.delta_request().applied());
      reply.mutable_delta()->set_proven(proven_);
      Send(from, std::move(reply), aOut);
      break;
    }
    case wire::ControlMessage::kIndexRequest:
      if (MayDecide(aNow)) {
        wire::ControlMessage reply;
        reply.mutable_index_reply()->set_request(
          message.index_request().request());
        reply.mutable_index_reply()->set_index(raft_->CommitIndex());
        Send(from, std::move(reply), aOut);
      }
      break;
    case wire::ControlMessage::kIndexReply:
      TakeIndexReply(from, message.index_reply(), aOut);
      break;
    case wire::ControlMessage::kPropose:
      // Only the leader takes it: a proposal is not passed on twice.
      if (raft_ && raft_->IsLeader()) {
        Propose(message.propose().change(), aNow, aOut);
      }
      break;
    case wire::ControlMessage::kSuspicion:
      promoter_.NoteSuspicion(from, message.suspicion(), aNow);
      failover_.NoteSuspicion(from, message.suspicion(), aNow);
      break;
    case wire::ControlMessage::kFounding:
      TakeFounding(message, aNow, aOut);
      break;
    default:
      if (raft_) {
        RaftActions actions;
        raft_->Receive(message, aNow, actions);
        PerformRaft(std::move(actions), aOut);
      }
      break;
  }
  SendAll(std::move(sends), aOut);
}

// Only an answer to a question of this run proves anything: links keep what
// could not be delivered while this VM was down.
void
ControlNode::TakeIndexReply(const VmId& aFrom,
                            const wire::IndexReply& aReply,
                            ControlActions& aOut)
{
  const auto read = reads_.find(aReply.request());
  if (read != reads_.end()) {
    read->second.index_ = aReply.index();
  } else if (aReply.request() != proofRequest_) {
    return;
  }
  provenIndex_ = std::max(provenIndex_.value_or(0), aReply.index());
  if (aReply.index() > state_.Index() && !raft_) {
    AskDelta(aFrom, aOut);
  }
}

// Asks for what this VM lacks.
void
ControlNode::AskDelta(const VmId& aFrom, ControlActions& aOut)
{
  wire::ControlMessage message;
  message.mutable_delta_request()->set_applied(state_.Index());
  Send(aFrom, std::move(message), aOut);
}

void
ControlNode::NoteLeader(const VoterId& aLeader)
{
  if (!aLeader.empty()) {
    leaderHint_ = aLeader;
  }
}

void
ControlNode::NotePeerIndex(const VmId& aFrom,
                           std::uint64_t aIndex,
                           Time aNow,
                           ControlActions& aOut)
{
  if (raft_ || aIndex <= state_.Index() || aNow < pullAt_) {
    return; // a voter takes its changes from the log
  }
  pullAt_ = aNow + kPullEvery;
  AskDelta(aFrom, aOut);
}

void
ControlNode::TakeDelta(const VmId& aFrom,
                       const wire::Delta& aDelta,
                       ControlActions& aOut)
{
  neighbourProven_ = neighbourProven_ || aDelta.proven();
  if (raft_) {
    return;
  }
  const std::uint64_t before = state_.Index();
  state_.ApplyDelta(aDelta);
  counters_.changesApplied_ += state_.Index() - before;
  const bool gap =
    aDelta.changes_size() > 0 &&
    aDelta.changes(aDelta.changes_size() - 1).index() > state_.Index();
  if (gap) {
    AskDelta(aFrom, aOut);
  }
}

// ---- Promotions

void
ControlNode::Handle(TakeSuspicion& aEvent, Time aNow, ControlActions& aOut)
{
  promoter_.NoteSuspicion(config_.self_.id(), aEvent.suspicion_, aNow);
  failover_.NoteSuspicion(config_.self_.id(), aEvent.suspicion_, aNow);
  if (raft_ && raft_->IsLeader()) {
    return;
  }
  wire::ControlMessage message;
  *message.mutable_suspicion() = aEvent.suspicion_;
  SendToLeader(message, aOut);
}

void
ControlNode::Handle(TakeUpstreamAnswer& aEvent, Time aNow, ControlActions&)
{
  promoter_.NoteAnswer(aEvent.call_, aEvent.answer_, aNow);
}

void
ControlNode::TickPromoter(Time aNow, ControlActions& aOut)
{
  if (!MayDecide(aNow)) {
    return;
  }
  if (config_.outsidePromotion_) {
    TickFailover(aNow, aOut);
    return;
  }
  promoter_.Tick(state_, owners_, aNow);
  for (const auto& change : promoter_.TakeProposals()) {
    Propose(change, aNow, aOut);
  }
  for (auto& call : promoter_.TakeCalls()) {
    aOut.push_back(std::move(call));
  }
  for (auto& note : promoter_.TakeNotes()) {
    aOut.push_back(std::move(note));
  }
}

// ---- Upstreams that announce themselves

void
ControlNode::Handle(TakeAnnounce& aEvent, Time aNow, ControlActions&)
{
  const wire::Upstream& info = aEvent.upstream_;
  Heard& heard = heard_[info.server()];
  const bool late = std::pair(info.born_ms(), info.sequence()) <
                    std::pair(heard.info_.born_ms(), heard.info_.sequence());
  if (late || !state_.IsNews(info)) {
    return; // it was delayed, and says nothing about now
  }
  if (heard.info_.leaving() != info.leaving()) {
    viewDirty_ = true; // in force here at once, elsewhere with the log
  }
  heard = { info, aNow };
  const wire::Upstream* known = state_.FindServer(info.server());
  if (known != nullptr && IsSame(*known, info)) {
    upstreams_.erase(info.server());
    return;
  }
  PendingUpstream& pending = upstreams_[info.server()];
  *pending.change_.mutable_upstream() = info;
  pending.change_.set_gone(false);
}

// A server that this VM owns, that announced itself here, and that has been
// silent for long is gone. One that never announced itself here is not: it
// may do so to other VMs.
void
ControlNode::TickGone(Time aNow)
{
  if (aNow < goneAt_) {
    return;
  }
  goneAt_ = aNow + kGoneEvery;
  EraseWhere(heard_, [&](const ServerId& aId, const Heard& aHeard) {
    const wire::Upstream* server = state_.FindServer(aId);
    if (server == nullptr || aNow - aHeard.at_ < kGoneAfter) {
      return false;
    }
    const auto& database = state_.Databases().at(server->database());
    // A primary is first replaced, and then it may go.
    const bool gone = database.primary() != aId &&
                      owners_.Choose(*server) == config_.self_.id();
    if (gone) {
      PendingUpstream& pending = upstreams_[aId];
      *pending.change_.mutable_upstream() = *server;
      pending.change_.set_gone(true);
    }
    return gone;
  });
}

// ---- Operators

void
ControlNode::Handle(TakeRuleChange& aEvent, Time aNow, ControlActions&)
{
  PendingRules& pending = rules_[aEvent.change_.request()];
  if (pending.operators_.empty()) {
    pending.change_ = std::move(aEvent.change_);
    pending.sendAt_ = aNow;
  }
  pending.until_ = aNow + kOperatorWait;
  pending.operators_.push_back(aEvent.operator_);
}

void
ControlNode::TickPending(Time aNow, ControlActions& aOut)
{
  EraseWhere(rules_, [&](const std::string& aRequest, PendingRules& aPending) {
    const auto outcome = state_.OutcomeOf(aRequest);
    const bool over = outcome || aNow >= aPending.until_;
    if (over) {
      if (outcome && !outcome->accepted()) {
        aOut.push_back(ControlNote{ Event::RulesConflict,
                                    fmt::format("request={} in_force={}",
                                                aRequest,
                                                outcome->version()) });
      }
      for (const std::uint64_t id : aPending.operators_) {
        aOut.push_back(AnswerOperator{ id, outcome });
      }
    } else if (aNow >= aPending.sendAt_) {
      aPending.sendAt_ = aNow + kProposeAgain;
      wire::Change change;
      *change.mutable_rules() = aPending.change_;
      Propose(change, aNow, aOut);
    }
    return over;
  });
  EraseWhere(upstreams_, [&](const ServerId& aId, PendingUpstream& aPending) {
    const wire::Upstream* known = state_.FindServer(aId);
    const bool gone = aPending.change_.gone();
    const wire::Upstream& info = aPending.change_.upstream();
    const bool overtaken = info.born_ms() > 0 && !state_.IsNews(info);
    const bool done =
      gone ? known == nullptr
           : overtaken || (known != nullptr && IsSame(*known, info));
    if (!done && aNow >= aPending.sendAt_) {
      aPending.sendAt_ = aNow + kProposeAgain;
      wire::Change change;
      *change.mutable_upstream() = aPending.change_;
      Propose(change, aNow, aOut);
    }
    return done;
  });
}

// ---- Proof that the rules are in force

// A VM that starts serves nothing until it has proven its state: with the
// quorum, or, if that can't be reached for a while, by the word of a
// neighbour that had proven it.
void
ControlNode::TickProof(Time aNow, ControlActions& aOut)
{
  if (proven_) {
    return;
  }
  const bool byQuorum = provenIndex_ && state_.Index() >= *provenIndex_;
  const bool byZone = neighbourProven_ && aNow - startedAt_ >= kZoneProofAfter;
  if (byQuorum || byZone || MayDecide(aNow)) {
    proven_ = true;
    viewDirty_ = true;
    return;
  }
  if (aNow < proofAt_) {
    return;
  }
  proofAt_ = aNow + kProofEvery;
  wire::ControlMessage ask;
  ask.mutable_index_request()->set_request(proofRequest_);
  SendToVoters(ask, aOut);
  for (const auto& vm : membership_.ChooseRandom(1)) {
    AskDelta(vm, aOut);
  }
}

// ---- Time

void
ControlNode::Handle(TakeLeave& aEvent, Time, ControlActions&)
{
  membership_.SetLeaving(aEvent.on_);
  viewDirty_ = true;
}

void
ControlNode::Handle(TakeControlTick&, Time aNow, ControlActions& aOut)
{
  std::vector<SendVm> sends;
  membership_.Tick(aNow, sends);
  SendAll(std::move(sends), aOut);
  TickFounding(aNow, aOut);
  TickVoter(aNow, aOut);
  TickPromoter(aNow, aOut);
  TickGone(aNow);
  TickPending(aNow, aOut);
  TickDocuments(aNow, aOut);
  TickReads(aNow, aOut);
  TickProof(aNow, aOut);
}

// A voter keeps elections and heartbeats; the others have only slow clocks.
Time
ControlNode::NextWake(Time aNow) const
{
  return aNow + (raft_ ? kVoterTick : kMemberTick);
}

// ---- After each event

void
ControlNode::Finish(Time aNow, ControlActions& aOut)
{
  TickPending(aNow, aOut);
  TickDocuments(aNow, aOut);
  TickReads(aNow, aOut);
  if (state_.Index() > published_) {
    PushDelta(published_, aOut);
    published_ = state_.Index();
    viewDirty_ = true;
    TickPromoter(aNow, aOut);
  }
  for (const auto& change : membership_.TakeChanges()) {
    viewDirty_ = true;
    const Event event = change.state_ == MemberState::Alive ? Event::VmJoined
                        : change.state_ == MemberState::Suspect
                          ? Event::VmSuspected
                          : Event::VmDead;
    aOut.push_back(ControlNote{ event, fmt::format("vm={}", change.vm_.id()) });
  }
  if (viewDirty_) {
    viewDirty_ = false;
    owners_ = OwnerMap(ListVms());
    NoteChanges(aOut);
    aOut.push_back(PublishView{ BuildView() });
  }
}

void
ControlNode::PushDelta(std::uint64_t aFrom, ControlActions& aOut)
{
  const wire::Delta delta = state_.DeltaAfter(aFrom);
  if (delta.has_snapshot()) {
    return; // too much to push; it is asked for
  }
  // In a small fleet the leader tells everybody, and nobody passes it on.
  const std::vector<wire::Vm> live = membership_.LiveVms();
  const bool small = live.size() <= kDirectPush;
  std::vector<VmId> targets;
  if (!small) {
    targets = membership_.ChooseRandom(kFanout);
  } else if (raft_ && raft_->IsLeader()) {
    for (const auto& vm : live) {
      if (vm.voter().empty()) {
        targets.push_back(vm.id());
      }
    }
  }
  for (const auto& vm : targets) {
    wire::ControlMessage message;
    *message.mutable_delta() = delta;
    message.mutable_delta()->set_proven(proven_);
    Send(vm, std::move(message), aOut);
  }
}

} // namespace jaydoor

#include "control/ControlNode.h"

#include "base/Erase.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr Duration kVoterTickInterval = 15ms;
constexpr Duration kNonVoterTickInterval = 50ms;
constexpr Duration kMinTickInterval = 2ms;
constexpr Duration kProposalRetryInterval = 300ms;
constexpr Duration kMaxProposalRetryInterval = 2400ms;
// After this time the operator is told that the outcome is not known yet.
constexpr Duration kRuleChangeTimeout = 5s;
constexpr Duration kGoneCheckInterval = 1s;
// A server that has announced itself to this VM counts as gone after this time
// without an announcement.
constexpr Duration kAnnouncementTimeout = 30s;
// A server asks another VM if it got no answer for a second.
constexpr Duration kAnnouncementAnswerTimeout = 800ms;
// VMs with a data folder that are asked for the leader besides known voters.
constexpr std::size_t kOtherVotersAsked = 3;

// True if both describe the server alike. The sequence numbers are not
// compared, since each announcement has another one.
bool
IsSameDescription(const wire::Upstream& aLeft, wire::Upstream aRight)
{
  aRight.set_sequence(aLeft.sequence());
  return aLeft.SerializeAsString() == aRight.SerializeAsString();
}

// True if other VMs can read the description. Texts that are not UTF-8 can be
// written into a message, but not read from it.
bool
IsReadable(const wire::Upstream& aInfo)
{
  wire::Upstream copy;
  return copy.ParseFromString(aInfo.SerializeAsString());
}

} // namespace

bool
ToleratesLoss(const wire::ControlMessage& aMessage)
{
  switch (aMessage.body_case()) {
    case wire::ControlMessage::kProbe:
    case wire::ControlMessage::kProbeReply:
    case wire::ControlMessage::kIndexRequest:
    case wire::ControlMessage::kIndexReply:
    case wire::ControlMessage::kLeaseRequest:
    case wire::ControlMessage::kLeaseGrant:
    case wire::ControlMessage::kLeaseRevoke:
    case wire::ControlMessage::kLeaseRelease:
    case wire::ControlMessage::kSuspicion:
    case wire::ControlMessage::kDelta:
    case wire::ControlMessage::kDeltaRequest:
      return true;
    default:
      return false;
  }
}

VmId
VmOfVoter(const VoterId& aVoter)
{
  return aVoter.substr(0, aVoter.find('/'));
}

ControlNode::ControlNode(ControlConfig aConfig, std::optional<RaftDisk> aDisk)
  : config_(std::move(aConfig))
  , membership_(config_.self_,
                config_.seeds_,
                config_.membershipTiming_,
                config_.randomSeed_)
  , promoter_(config_.promoterTiming_)
  , failover_(config_.failoverTiming_)
  , leases_(config_.leaseTiming_)
  // The ids start at a random number, since answers to requests of an earlier
  // run of this VM may still arrive.
  , nextIndexRequestId_(std::mt19937_64(config_.randomSeed_)())
  , proofRequestId_(nextIndexRequestId_++)
  , random_(config_.randomSeed_)
{
  if (aDisk) {
    state_.InstallSnapshot(aDisk->snapshot_);
    raft_.emplace(config_.self_.voter(),
                  config_.raftTiming_,
                  config_.randomSeed_,
                  std::move(*aDisk));
    pushedIndex_ = state_.Index();
    for (const auto& voter : raft_->Voters().voters()) {
      AddSeedById(VmOfVoter(voter));
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
  std::visit([&](auto& aTypedEvent) { Handle(aTypedEvent, aNow, aOut); },
             aEvent);
  FinishStep(aNow, aOut);
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

// Adds a VM that the control state names to the seeds, since the settings may
// name no VMs, or only VMs that are gone. Does nothing unless VM ids are IPs.
void
ControlNode::AddSeedById(const VmId& aVm)
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

// True if this VM is the leader, no other VM can be the leader now, and
// everything that earlier leaders committed is applied here.
bool
ControlNode::CanDecideAsLeader(Time aNow) const
{
  return raft_ && raft_->HasLease(aNow) && raft_->HasCommittedInOwnTerm();
}

// ---- Sending messages

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
  const std::size_t bytes = aMessage.ByteSizeLong();
  counters_.messagesOut_++;
  counters_.bytesOut_ += bytes;
  counters_.outByKind_.at(aMessage.body_case()).Add(bytes);
  aOut.push_back(SendToVm{ aTo, std::move(aMessage) });
}

// Sends messages of the membership protocol. Probes and their replies also
// carry the applied index of this VM and the leader that it knows.
void
ControlNode::SendMembershipMessages(std::vector<SendToVm> aMessages,
                                    ControlActions& aOut)
{
  const VoterId leader = raft_ ? raft_->Leader() : leaderHint_;
  const auto members = static_cast<std::uint32_t>(membership_.CountLiveVms());
  for (auto& send : aMessages) {
    if (send.message_.has_probe()) {
      send.message_.mutable_probe()->set_applied(state_.Index());
      send.message_.mutable_probe()->set_leader(leader);
      send.message_.mutable_probe()->set_members(members);
    } else if (send.message_.has_probe_reply()) {
      send.message_.mutable_probe_reply()->set_applied(state_.Index());
      send.message_.mutable_probe_reply()->set_leader(leader);
      send.message_.mutable_probe_reply()->set_members(members);
    }
    Send(send.to_, std::move(send.message_), aOut);
  }
}

// Sends to the leader, or to all voters if no live leader is known.
void
ControlNode::SendToLeader(const wire::ControlMessage& aMessage,
                          ControlActions& aOut)
{
  const VmId leader = LeaderVm();
  if (!leader.empty() && membership_.IsLive(leader)) {
    Send(leader, aMessage, aOut);
    return;
  }
  SendToVoters(aMessage, aOut);
}

// The VMs that may be voters, as far as this VM knows: those that the settings
// name, the one said to lead, and those that are members and name their voter
// id.
std::vector<VmId>
ControlNode::ListDataFolderVms() const
{
  std::set<VmId> ids(config_.voterVms_.begin(), config_.voterVms_.end());
  if (const VmId leader = LeaderVm(); !leader.empty()) {
    ids.insert(leader);
  }
  membership_.VisitLiveVms([&](const wire::Vm& aVm) {
    if (!aVm.voter().empty()) {
      ids.insert(aVm.id());
    }
  });
  return { ids.begin(), ids.end() };
}

// The VMs among which the leader is: those that vote by the control state,
// those that the settings name and the one said to lead. Of the other VMs with
// a data folder, a few are added, others each time, since the state of this VM
// may be old. A fleet of 300 machines has 30 of them, and a message from each
// VM to all of these took the control VMs' whole processor time.
std::vector<VmId>
ControlNode::ListVoterVms()
{
  std::set<VmId> ids(config_.voterVms_.begin(), config_.voterVms_.end());
  const wire::VoterSet& voters = raft_ ? raft_->Voters() : state_.Voters();
  for (const auto& voter : voters.voters()) {
    ids.insert(VmOfVoter(voter));
  }
  if (const VmId leader = LeaderVm(); !leader.empty()) {
    ids.insert(leader);
  }
  std::vector<VmId> others;
  for (const auto& vm : ListDataFolderVms()) {
    if (!ids.contains(vm)) {
      others.push_back(vm);
    }
  }
  for (std::size_t i = 0; i < std::min(kOtherVotersAsked, others.size()); i++) {
    ids.insert(others[nextOtherVoter_++ % others.size()]);
  }
  return { ids.begin(), ids.end() };
}

void
ControlNode::SendToVoters(const wire::ControlMessage& aMessage,
                          ControlActions& aOut)
{
  for (const auto& vm : ListVoterVms()) {
    Send(vm, aMessage, aOut);
  }
}

void
ControlNode::SendToDataFolderVms(const wire::ControlMessage& aMessage,
                                 ControlActions& aOut)
{
  for (const auto& vm : ListDataFolderVms()) {
    Send(vm, aMessage, aOut);
  }
}

// Describes this VM to the voters, so that they need not wait for news of it.
void
ControlNode::DescribeToVoters(ControlActions& aOut)
{
  std::vector<SendToVm> messages;
  for (const auto& vm : ListVoterVms()) {
    membership_.SendDescription(vm, messages);
  }
  SendMembershipMessages(std::move(messages), aOut);
}

// Describes this VM to the leader, which grants leases only to VMs that it
// knows to be live. Among many VMs that start at once, news takes long to reach
// it.
void
ControlNode::DescribeToLeader(ControlActions& aOut)
{
  if (const VmId leader = LeaderVm(); !leader.empty()) {
    std::vector<SendToVm> messages;
    membership_.SendDescription(leader, messages);
    SendMembershipMessages(std::move(messages), aOut);
  }
}

void
ControlNode::PerformRaftActions(RaftActions aActions, ControlActions& aOut)
{
  for (auto& action : aActions) {
    if (auto* hardState = std::get_if<SaveHardState>(&action)) {
      aOut.push_back(std::move(*hardState));
    } else if (auto* entries = std::get_if<SaveEntries>(&action)) {
      aOut.push_back(std::move(*entries));
    } else if (auto* snapshot = std::get_if<SaveSnapshot>(&action)) {
      aOut.push_back(std::move(*snapshot));
    } else if (auto* send = std::get_if<SendToVoter>(&action)) {
      Send(VmOfVoter(send->to_), std::move(send->message_), aOut);
    } else if (auto* apply = std::get_if<ApplyChange>(&action)) {
      state_.Apply(apply->change_);
      counters_.changesApplied_++;
    } else if (auto* install = std::get_if<ApplySnapshot>(&action)) {
      state_.InstallSnapshot(install->snapshot_);
      aOut.push_back(
        LogControlEvent{ Event::SnapshotInstalled,
                         fmt::format("index={} term={} dropped_entries={}",
                                     install->snapshot_.index(),
                                     install->snapshot_.term(),
                                     install->droppedEntries_) });
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
      if (aChange.document().version() <= proposedDocumentVersion_) {
        return; // this version or a later one is in the log already
      }
      proposedDocumentVersion_ = aChange.document().version();
    }
    if (IsInLog(aChange)) {
      counters_.proposalsMerged_++;
      return;
    }
    RaftActions actions;
    counters_.proposals_++;
    const auto index = raft_->Propose(aChange, aNow, actions);
    if (index && aChange.has_upstream()) {
      const ServerId& server = aChange.upstream().upstream().server();
      proposedServers_[server] = { aChange.upstream(), *index };
    }
    PerformRaftActions(std::move(actions), aOut);
    return;
  }
  wire::ControlMessage message;
  *message.mutable_propose()->mutable_change() = aChange;
  SendToLeader(message, aOut);
}

// True if this leader has proposed the same change of a server already, or if
// the control state contains it. A server announces itself to one control VM
// after the other, and each of them proposes its first announcement.
bool
ControlNode::IsInLog(const wire::Change& aChange)
{
  if (!aChange.has_upstream()) {
    return false;
  }
  const wire::UpstreamChange& change = aChange.upstream();
  const wire::Upstream& info = change.upstream();
  const auto proposed = proposedServers_.find(info.server());
  if (proposed != proposedServers_.end()) {
    if (proposed->second.index_ > state_.Index()) {
      const wire::UpstreamChange& last = proposed->second.change_;
      return last.gone() == change.gone() &&
             IsSameDescription(last.upstream(), info);
    }
    proposedServers_.erase(proposed);
  }
  const wire::Upstream* known = state_.FindServer(info.server());
  return !change.gone() && known != nullptr && IsSameDescription(*known, info);
}

// ---- Messages from other VMs

void
ControlNode::Handle(ControlMessageReceived& aEvent,
                    Time aNow,
                    ControlActions& aOut)
{
  const wire::ControlMessage& message = aEvent.message_;
  const VmId& from = message.from();
  const std::size_t bytes = message.ByteSizeLong();
  counters_.messagesIn_++;
  counters_.bytesIn_ += bytes;
  counters_.inByKind_.at(message.body_case()).Add(bytes);
  if (HandleLeaseMessage(message, aNow, aOut)) {
    return;
  }
  std::vector<SendToVm> messages;
  switch (message.body_case()) {
    case wire::ControlMessage::kProbe:
      HandleProbedIndex(from, message.probe().applied(), aNow, aOut);
      RecordLeader(message.probe().leader(), aNow, aOut);
      membership_.HandleProbe(from, message.probe(), aNow, messages);
      break;
    case wire::ControlMessage::kProbeReply:
      HandleProbedIndex(from, message.probe_reply().applied(), aNow, aOut);
      RecordLeader(message.probe_reply().leader(), aNow, aOut);
      membership_.HandleProbeReply(from, message.probe_reply(), aNow, messages);
      break;
    case wire::ControlMessage::kDelta:
      HandleDelta(from, message.delta(), aNow, aOut);
      break;
    case wire::ControlMessage::kDeltaRequest:
      SendRequestedDelta(from, message.delta_request().applied(), aNow, aOut);
      break;
    case wire::ControlMessage::kIndexRequest:
      if (CanDecideAsLeader(aNow)) {
        wire::ControlMessage reply;
        reply.mutable_index_reply()->set_request(
          message.index_request().request());
        reply.mutable_index_reply()->set_index(raft_->CommitIndex());
        Send(from, std::move(reply), aOut);
      }
      break;
    case wire::ControlMessage::kIndexReply:
      HandleIndexReply(from, message.index_reply(), aNow, aOut);
      break;
    case wire::ControlMessage::kPropose:
      // Only the leader accepts it: a proposal is forwarded at most once.
      if (raft_ && raft_->IsLeader()) {
        Propose(message.propose().change(), aNow, aOut);
      }
      break;
    case wire::ControlMessage::kSuspicion:
      promoter_.RecordSuspicion(from, message.suspicion(), aNow);
      failover_.RecordSuspicion(from, message.suspicion(), aNow);
      break;
    case wire::ControlMessage::kFounding:
      HandleFounding(message, aNow, aOut);
      break;
    default:
      if (raft_) {
        RaftActions actions;
        raft_->HandleMessage(message, aNow, actions);
        PerformRaftActions(std::move(actions), aOut);
      }
      break;
  }
  SendMembershipMessages(std::move(messages), aOut);
}

// Only a reply to a request of this run is proof: links keep messages that
// could not be delivered while this VM was down, so that replies to an earlier
// run may arrive now.
void
ControlNode::RecordLeader(const VoterId& aLeader,
                          Time aNow,
                          ControlActions& aOut)
{
  if (aLeader.empty() || aLeader == leaderHint_) {
    return;
  }
  leaderHint_ = aLeader;
  nextProofRequestAt_ = std::min(nextProofRequestAt_, aNow);
  if (!membership_.IsLive(VmOfVoter(aLeader))) {
    AddSeedById(VmOfVoter(aLeader)); // news of it may take longer to arrive
  }
  DescribeToLeader(aOut);
}

// ---- Suspected primaries and promotions

void
ControlNode::Handle(SuspicionReported& aEvent, Time aNow, ControlActions& aOut)
{
  promoter_.RecordSuspicion(config_.self_.id(), aEvent.suspicion_, aNow);
  failover_.RecordSuspicion(config_.self_.id(), aEvent.suspicion_, aNow);
  if (raft_ && raft_->IsLeader()) {
    return;
  }
  wire::ControlMessage message;
  *message.mutable_suspicion() = aEvent.suspicion_;
  SendToLeader(message, aOut);
}

void
ControlNode::Handle(PromoterRequestCompleted& aEvent,
                    Time aNow,
                    ControlActions&)
{
  promoter_.HandleAnswer(aEvent.callId_, aEvent.answer_, aNow);
}

void
ControlNode::TickPromotions(Time aNow, ControlActions& aOut)
{
  if (!CanDecideAsLeader(aNow)) {
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
  for (auto& call : promoter_.TakeRequests()) {
    aOut.push_back(std::move(call));
  }
  for (auto& logEvent : promoter_.TakeLogEvents()) {
    aOut.push_back(std::move(logEvent));
  }
}

// ---- Upstreams that announce themselves

void
ControlNode::Handle(UpstreamAnnounced& aEvent, Time aNow, ControlActions& aOut)
{
  const wire::Upstream& info = aEvent.upstream_;
  if (!IsReadable(info)) {
    // In the control log it would stop all VMs.
    aOut.push_back(LogControlEvent{ Event::AnnounceRefused,
                                    "cause=\"a text of it is not UTF-8\"" });
    return;
  }
  if (aEvent.call_ != 0) {
    awaitedAnnouncements_.push_back(
      { info, aEvent.call_, aNow + kAnnouncementAnswerTimeout });
  }
  Announcement& announcement = announcements_[info.server()];
  const bool delayed =
    GetAnnouncementOrder(info) < GetAnnouncementOrder(announcement.info_);
  if (delayed || !state_.IsNewerAnnouncement(info)) {
    return; // it is no newer than what is known of the server or its address
  }
  if (announcement.info_.leaving() != info.leaving()) {
    // Takes effect on this VM at once, on the others through the control log.
    viewOutdated_ = true;
  }
  announcement = { info, aNow };
  const wire::Upstream* known = state_.FindServer(info.server());
  if (known != nullptr && IsSameDescription(*known, info)) {
    pendingUpstreamChanges_.erase(info.server());
    return;
  }
  PendingUpstreamChange& pending = pendingUpstreamChanges_[info.server()];
  if (pending.change_.upstream().leaving() != info.leaving()) {
    pending.nextProposalAt_ = aNow; // a server that leaves waits for it
    pending.interval_ = Duration{};
  }
  *pending.change_.mutable_upstream() = info;
  pending.change_.set_gone(false);
  pendingChangesOutdated_ = true;
}

// A server that exits is announced as leaving, so that it gets no more
// statements.
void
ControlNode::Handle(UpstreamDeregistered& aEvent,
                    Time aNow,
                    ControlActions& aOut)
{
  const wire::Upstream* known = state_.FindServer(aEvent.server_);
  const auto announced = announcements_.find(aEvent.server_);
  wire::Upstream info;
  if (known != nullptr) {
    info = *known;
  }
  if (announced != announcements_.end() &&
      GetAnnouncementOrder(announced->second.info_) >
        GetAnnouncementOrder(info)) {
    info = announced->second.info_;
  }
  if (info.server().empty()) {
    aOut.push_back(AnswerAnnouncement{ aEvent.call_, true });
    return; // an unknown server gets no statements
  }
  info.set_leaving(true);
  info.set_sequence(info.sequence() + 1);
  UpstreamAnnounced announcement{ std::move(info), aEvent.call_ };
  Handle(announcement, aNow, aOut);
}

// Answers announcements once the control log contains them or newer ones, or
// with failure once they have waited for too long.
void
ControlNode::TickAwaitedAnnouncements(Time aNow, ControlActions& aOut)
{
  std::erase_if(awaitedAnnouncements_, [&](const auto& aAwaited) {
    const wire::Upstream& info = aAwaited.info_;
    const wire::Upstream* known = state_.FindServer(info.server());
    const bool recorded = !state_.IsNewerAnnouncement(info) ||
                          (known != nullptr && IsSameDescription(*known, info));
    const bool finished = recorded || aNow >= aAwaited.answerUntil_;
    if (finished) {
      aOut.push_back(AnswerAnnouncement{ aAwaited.call_, recorded });
    }
    if (finished && !recorded) {
      aOut.push_back(LogControlEvent{
        Event::AnnounceUnrecorded,
        fmt::format("server={} leaving={}", info.server(), info.leaving()) });
    }
    return finished;
  });
}

// Proposes to remove servers that this VM owns, that have announced themselves
// here, and that have not done so for kAnnouncementTimeout. A server that never
// announced itself here is kept: it may announce itself to other VMs.
void
ControlNode::TickGoneUpstreams(Time aNow)
{
  if (aNow < nextGoneCheckAt_) {
    return;
  }
  nextGoneCheckAt_ = aNow + kGoneCheckInterval;
  EraseWhere(announcements_,
             [&](const ServerId& aId, const Announcement& aAnnouncement) {
               const wire::Upstream* server = state_.FindServer(aId);
               if (server == nullptr ||
                   aNow - aAnnouncement.receivedAt_ < kAnnouncementTimeout) {
                 return false;
               }
               const auto& database = state_.Databases().at(server->database());
               // A primary is replaced before it can be removed.
               const bool gone =
                 database.primary() != aId &&
                 owners_.FindOwner(*server) == config_.self_.id();
               if (gone) {
                 PendingUpstreamChange& pending = pendingUpstreamChanges_[aId];
                 *pending.change_.mutable_upstream() = *server;
                 pending.change_.set_gone(true);
               }
               return gone;
             });
}

// ---- Changes of rules and upstreams that are not in the control state yet

void
ControlNode::Handle(RuleChangeRequested& aEvent, Time aNow, ControlActions&)
{
  PendingRuleChange& pending = pendingRuleChanges_[aEvent.change_.request()];
  if (pending.operatorCalls_.empty()) {
    pending.change_ = std::move(aEvent.change_);
    pending.nextProposalAt_ = aNow;
  }
  pendingChangesOutdated_ = true;
  pending.answerUntil_ = aNow + kRuleChangeTimeout;
  pending.operatorCalls_.push_back(aEvent.operatorCall_);
}

// Proposes pending changes of rules and upstreams until they are applied, and
// answers the operators whose changes have an outcome or have waited too long.
void
ControlNode::TickPendingChanges(Time aNow, ControlActions& aOut)
{
  if (!pendingChangesOutdated_ && aNow < nextPendingCheckAt_) {
    return;
  }
  pendingChangesOutdated_ = false;
  nextPendingCheckAt_ = aNow + kVoterTickInterval;
  EraseWhere(pendingRuleChanges_,
             [&](const std::string& aRequest, PendingRuleChange& aPending) {
               const auto outcome = state_.FindRuleOutcome(aRequest);
               const bool finished = outcome || aNow >= aPending.answerUntil_;
               if (finished) {
                 if (outcome && !outcome->accepted()) {
                   aOut.push_back(
                     LogControlEvent{ Event::RulesConflict,
                                      fmt::format("request={} in_force={}",
                                                  aRequest,
                                                  outcome->version()) });
                 }
                 for (const std::uint64_t id : aPending.operatorCalls_) {
                   aOut.push_back(AnswerRuleChange{ id, outcome });
                 }
               } else if (aNow >= aPending.nextProposalAt_) {
                 aPending.nextProposalAt_ = aNow + kProposalRetryInterval;
                 wire::Change change;
                 *change.mutable_rules() = aPending.change_;
                 Propose(change, aNow, aOut);
               }
               return finished;
             });
  EraseWhere(pendingUpstreamChanges_,
             [&](const ServerId& aId, PendingUpstreamChange& aPending) {
               const wire::Upstream* known = state_.FindServer(aId);
               const bool gone = aPending.change_.gone();
               const wire::Upstream& info = aPending.change_.upstream();
               const bool superseded =
                 info.born_ms() > 0 && !state_.IsNewerAnnouncement(info);
               const bool done =
                 gone ? known == nullptr
                      : superseded ||
                          (known != nullptr && IsSameDescription(*known, info));
               if (!done && aNow >= aPending.nextProposalAt_) {
                 // The leader has the proposal already if it is only slow.
                 aPending.interval_ = std::clamp(2 * aPending.interval_,
                                                 kProposalRetryInterval,
                                                 kMaxProposalRetryInterval);
                 aPending.nextProposalAt_ = aNow + aPending.interval_;
                 wire::Change change;
                 *change.mutable_upstream() = aPending.change_;
                 Propose(change, aNow, aOut);
               }
               return done;
             });
}

// ---- Leaving, and the tick

void
ControlNode::Handle(LeavingChanged& aEvent, Time, ControlActions&)
{
  membership_.SetLeaving(aEvent.leaving_);
  viewOutdated_ = true;
}

void
ControlNode::Handle(ControlTick&, Time aNow, ControlActions& aOut)
{
  std::vector<SendToVm> messages;
  membership_.Tick(aNow, messages);
  SendMembershipMessages(std::move(messages), aOut);
  TickFounding(aNow, aOut);
  TickRaft(aNow, aOut);
  TickPromotions(aNow, aOut);
  TickGoneUpstreams(aNow);
  TickPendingChanges(aNow, aOut);
  TickDocumentWrites(aNow, aOut);
  TickDocumentReads(aNow, aOut);
  TickStateProof(aNow, aOut);
  TickMissedChanges(aNow, aOut);
}

// A voter needs short intervals for elections and heartbeats; the work of other
// VMs is less urgent.
Time
ControlNode::NextWake(Time aNow) const
{
  Time wake = aNow + (raft_ ? kVoterTickInterval : kNonVoterTickInterval);
  if (viewOutdated_) {
    wake = std::min(wake, std::max(nextViewAt_, aNow + kMinTickInterval));
  }
  return wake;
}

// ---- After each event

void
ControlNode::FinishStep(Time aNow, ControlActions& aOut)
{
  TickPendingChanges(aNow, aOut);
  TickAwaitedAnnouncements(aNow, aOut);
  TickDocumentWrites(aNow, aOut);
  TickDocumentReads(aNow, aOut);
  if (state_.Index() > handledIndex_) {
    handledIndex_ = state_.Index();
    pendingChangesOutdated_ = true;
    viewOutdated_ = true;
    TickPromotions(aNow, aOut);
  }
  TickPush(aNow, aOut);
  for (const auto& change : membership_.TakeChanges()) {
    viewOutdated_ = true;
    const Event event = change.state_ == MemberState::Alive ? Event::VmJoined
                        : change.state_ == MemberState::Suspect
                          ? Event::VmSuspected
                          : Event::VmDead;
    aOut.push_back(
      LogControlEvent{ event, fmt::format("vm={}", change.vm_.id()) });
  }
  TickView(aNow, aOut);
}

} // namespace jaydoor

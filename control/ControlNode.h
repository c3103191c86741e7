#pragma once

// All control decisions of one VM behind one entry point.
//
//   ControlNode node(config, disk);
//   node.Step(TakeControlMessage{ message }, now, actions);
//
// Sections:
//   1. Events
//   2. Actions
//   3. The node
//
// A VM with a data folder votes on the control log; the others take committed
// changes from their neighbours. Every VM is a member, and every VM forwards
// what it hears from upstreams and operators to the leader.

#include "base/Log.h"
#include "control/ControlState.h"
#include "control/Failover.h"
#include "control/LeaseTable.h"
#include "control/Membership.h"
#include "control/Promoter.h"
#include "control/Raft.h"

#include <set>
#include <variant>

namespace jaydoor {

// ---- 1. Events

struct ControlMessageReceived
{
  wire::ControlMessage message_;
};

struct UpstreamAnnounced
{
  wire::Upstream upstream_;
};

// From the traffic thread of this VM.
struct SuspicionReported
{
  wire::Suspicion suspicion_;
};

struct PromoterRequestCompleted
{
  std::uint64_t callId_ = 0;
  std::optional<UpstreamAnswer> answer_; // none: the call failed
};

// An operator's change of the rules; the answer is AnswerOperator.
struct RuleChangeRequested
{
  std::uint64_t operatorCall_ = 0;
  wire::RuleChange change_;
};

// An operator's whole configuration; the answer is AnswerDocument.
struct DocumentWriteRequested
{
  std::uint64_t operatorCall_ = 0;
  wire::Document document_;
};

// Asks for the newest configuration; the answer is AnswerDocumentRead.
struct DocumentReadRequested
{
  std::uint64_t operatorCall_ = 0;
};

// From the traffic thread of this VM: it wants leases on the primaries, or
// gives some back.
struct LeasesRequested
{
  wire::LeaseRequest request_;
};

struct LeasesReleased
{
  wire::LeaseRelease release_;
};

// Answers to CallServer and RequestPromotion.
struct ServerStatusRequestCompleted
{
  std::uint64_t callId_ = 0;
  std::optional<ServerStatus> status_; // none: the call failed
};

struct PromotionRequestCompleted
{
  std::uint64_t callId_ = 0;
  PromotionAnswer answer_ = PromotionAnswer::Unknown;
};

struct LeavingChanged
{
  bool leaving_ = true; // off: the VM comes back after all
};

struct ControlTick
{};

using ControlEvent = std::variant<ControlMessageReceived,
                                  UpstreamAnnounced,
                                  SuspicionReported,
                                  PromoterRequestCompleted,
                                  RuleChangeRequested,
                                  DocumentWriteRequested,
                                  DocumentReadRequested,
                                  LeasesRequested,
                                  LeasesReleased,
                                  ServerStatusRequestCompleted,
                                  PromotionRequestCompleted,
                                  LeavingChanged,
                                  ControlTick>;

// ---- 2. Actions

struct PublishView
{
  FleetViewPtr view_;
};

struct AnswerRuleChange
{
  std::uint64_t operatorCall_ = 0;
  std::optional<wire::RuleOutcome> outcome_; // none: not known yet; resend
};

struct AnswerDocumentWrite
{
  std::uint64_t operatorCall_ = 0;
  bool stored_ = false; // false: not known yet; resend
};

struct AnswerDocumentRead
{
  std::uint64_t operatorCall_ = 0;
  std::shared_ptr<const std::string> body_; // none: can't prove the newest
};

// For the traffic thread of this VM.
struct DeliverLeaseGrant
{
  wire::LeaseGrant grant_;
};

struct DeliverLeaseRevocation
{
  wire::LeaseRevoke revoke_;
};

// Saves are synced before a later message is sent.
using ControlAction = std::variant<SaveHardState,
                                   SaveEntries,
                                   SaveSnapshot,
                                   SendToVm,
                                   SendPromoterRequest,
                                   PublishView,
                                   AnswerRuleChange,
                                   AnswerDocumentWrite,
                                   AnswerDocumentRead,
                                   RequestServerStatus,
                                   RequestPromotion,
                                   DeliverLeaseGrant,
                                   DeliverLeaseRevocation,
                                   LogControlEvent>;
using ControlActions = std::vector<ControlAction>;

// ---- 3. The node

struct ControlConfig
{
  wire::Vm self_;
  std::vector<wire::Vm> seeds_; // VMs to join through
  std::vector<VmId> voterVms_;  // VMs that have a data folder, at the start
  std::uint64_t randomSeed_ = 1;
  std::size_t targetVoterCount_ =
    0;                        // voters wanted; 0: all that have a data folder
  bool mayFoundFleet_ = true; // a blank fleet may found its control state
  bool outsidePromotion_ = false; // an outside service promotes: see Failover
  bool idsAreHosts_ = false; // VM ids are IPs, with one control port for all
  RaftTiming raftTiming_;
  MembershipTiming membershipTiming_;
  PromoterTiming promoterTiming_;
  FailoverTiming failoverTiming_;
  LeaseTiming leaseTiming_;
};

struct ControlCounters
{
  std::uint64_t messagesOut_ = 0;
  std::uint64_t bytesOut_ = 0;
  std::uint64_t messagesIn_ = 0;
  std::uint64_t bytesIn_ = 0;
  std::uint64_t changesApplied_ = 0;
};

class ControlNode
{
public:
  // `aDisk`: none on a VM without a data folder.
  ControlNode(ControlConfig aConfig, std::optional<RaftDisk> aDisk);

  void Step(ControlEvent aEvent, Time aNow, ControlActions& aOut);
  // When a TakeControlTick is due at the latest.
  Time NextWake(Time aNow) const;

  // Other VMs to join through; those that are known stay.
  void AddSeeds(std::vector<wire::Vm> aSeeds);

  const ControlState& State() const { return state_; }
  const Membership& Members() const { return membership_; }
  const Raft* Consensus() const { return raft_ ? &*raft_ : nullptr; }
  bool IsStateProven() const { return stateProven_; }
  VmId LeaderVm() const;
  std::vector<VmView> ListVms() const;
  const ControlCounters& Counters() const { return counters_; }

private:
  struct PendingRuleChange
  {
    wire::RuleChange change_;
    std::vector<std::uint64_t> operatorCalls_;
    Time nextProposalAt_;
    Time answerUntil_;
  };

  struct PendingDocumentWrite
  {
    wire::Document document_;
    std::vector<std::uint64_t> operatorCalls_;
    Time nextProposalAt_;
    Time answerUntil_;
  };

  // A read of the configuration that waits for a proof.
  struct PendingDocumentRead
  {
    std::uint64_t operatorCall_ = 0;
    std::optional<std::uint64_t>
      committedIndex_; // surely committed at the read
    Time nextIndexRequestAt_;
    Time answerUntil_;
  };

  struct PendingUpstreamChange
  {
    wire::UpstreamChange change_;
    Time nextProposalAt_;
  };

  struct Announcement
  {
    wire::Upstream info_;
    Time receivedAt_;
  };

  void Handle(ControlMessageReceived& aEvent, Time aNow, ControlActions& aOut);
  void Handle(UpstreamAnnounced& aEvent, Time aNow, ControlActions& aOut);
  void Handle(SuspicionReported& aEvent, Time aNow, ControlActions& aOut);
  void Handle(PromoterRequestCompleted& aEvent,
              Time aNow,
              ControlActions& aOut);
  void Handle(RuleChangeRequested& aEvent, Time aNow, ControlActions& aOut);
  void Handle(DocumentWriteRequested& aEvent, Time aNow, ControlActions& aOut);
  void Handle(DocumentReadRequested& aEvent, Time aNow, ControlActions& aOut);
  void Handle(LeasesRequested& aEvent, Time aNow, ControlActions& aOut);
  void Handle(LeasesReleased& aEvent, Time aNow, ControlActions& aOut);
  void Handle(ServerStatusRequestCompleted& aEvent,
              Time aNow,
              ControlActions& aOut);
  void Handle(PromotionRequestCompleted& aEvent,
              Time aNow,
              ControlActions& aOut);
  void Handle(LeavingChanged& aEvent, Time aNow, ControlActions& aOut);
  void Handle(ControlTick& aEvent, Time aNow, ControlActions& aOut);

  void Send(const VmId& aTo,
            wire::ControlMessage aMessage,
            ControlActions& aOut);
  void SendMembershipMessages(std::vector<SendToVm> aMessages,
                              ControlActions& aOut);
  void SendToVoters(const wire::ControlMessage& aMessage, ControlActions& aOut);
  void SendToLeader(const wire::ControlMessage& aMessage, ControlActions& aOut);
  void PerformRaftActions(RaftActions aActions, ControlActions& aOut);
  void Propose(const wire::Change& aChange, Time aNow, ControlActions& aOut);
  bool CanDecideAsLeader(Time aNow) const;

  void HandleFounding(const wire::ControlMessage& aMessage,
                      Time aNow,
                      ControlActions& aOut);
  void ProposeLearner(const VoterId& aVoter, Time aNow, ControlActions& aOut);
  void TickVoterSet(Time aNow, ControlActions& aOut);
  bool IsVoterGone(const VoterId& aVoter, Time aNow, Duration aLimit);
  void TickDocumentWrites(Time aNow, ControlActions& aOut);
  void TickDocumentReads(Time aNow, ControlActions& aOut);
  bool HandleLeaseMessage(const wire::ControlMessage& aMessage,
                          Time aNow,
                          ControlActions& aOut);
  void GrantLeases(const VmId& aHolder,
                   const wire::LeaseRequest& aRequest,
                   Time aNow,
                   ControlActions& aOut);
  void ResetLeases(Time aNow);
  void ProposeLeaseHolder(const VmId& aHolder, Time aNow, ControlActions& aOut);
  void TickLeaseHolders(Time aNow, ControlActions& aOut);
  void RevokeLeases(const DatabaseId& aDatabase, ControlActions& aOut);
  void TickFailover(Time aNow, ControlActions& aOut);
  std::vector<VmId> ListVoterVms() const;
  void TickRaft(Time aNow, ControlActions& aOut);
  void TickFounding(Time aNow, ControlActions& aOut);
  void TickPromotions(Time aNow, ControlActions& aOut);
  void TickPendingChanges(Time aNow, ControlActions& aOut);
  void TickStateProof(Time aNow, ControlActions& aOut);
  void TickGoneUpstreams(Time aNow);
  void TickCompaction(Time aNow, ControlActions& aOut);

  void HandleIndexReply(const VmId& aFrom,
                        const wire::IndexReply& aReply,
                        ControlActions& aOut);
  void AddSeedById(const VmId& aVm);
  void RequestDelta(const VmId& aFrom, ControlActions& aOut);
  void RecordLeader(const VoterId& aLeader);
  void HandleDelta(const VmId& aFrom,
                   const wire::Delta& aDelta,
                   ControlActions& aOut);
  void HandlePeerIndex(const VmId& aFrom,
                       std::uint64_t aIndex,
                       Time aNow,
                       ControlActions& aOut);
  void FinishStep(Time aNow, ControlActions& aOut);
  void PushDelta(std::uint64_t aFrom, ControlActions& aOut);
  void LogStateChanges(ControlActions& aOut);
  void LogServerChanges(ControlActions& aOut);
  FleetViewPtr BuildView() const;

  ControlConfig config_;
  ControlState state_;
  Membership membership_;
  Promoter promoter_;
  Failover failover_;
  LeaseTable leases_;
  OwnerMap owners_; // of the live VMs
  std::optional<Raft> raft_;

  std::map<std::string, PendingRuleChange> pendingRuleChanges_; // by request
  std::map<std::string, PendingDocumentWrite>
    pendingDocumentWrites_; // by content
  std::map<std::uint64_t, PendingDocumentRead>
    pendingDocumentReads_;               // by request
  std::uint64_t nextIndexRequestId_ = 1; // from a random number on, each start
  std::uint64_t proofRequestId_ = 0;     // asks for the proof at the start
  std::uint64_t proposedDocumentVersion_ = 0; // highest version, as the leader
  std::map<ServerId, PendingUpstreamChange> pendingUpstreamChanges_;
  std::map<ServerId, Announcement>
    announcements_; // upstreams that announce to this VM
  std::map<VoterId, Time> blankVotersHeardAt_; // blank voters heard while blank
  Time nextFoundingAt_;
  Time nextProofRequestAt_;
  Time nextDeltaRequestAt_;
  Time nextGoneCheckAt_;
  Time startedAt_;
  bool leasesReset_ = false; // with all that earlier leaders have committed
  std::map<VmId, Time> holderProposedAt_;
  Time grantReceivedAt_;              // as a holder
  std::map<VmId, Time> holderLiveAt_; // while this VM is the leader
  Time nextLogSizeCheckAt_;
  std::map<VoterId, Time> voterLiveAt_;  // while this VM is the leader
  std::map<VoterId, ZoneId> voterZones_; // last known
  VoterId leaderHint_;
  std::optional<std::uint64_t> proofIndex_;
  bool neighbourStateProven_ = false;
  bool started_ = false;
  bool stateProven_ = false;
  bool viewOutdated_ = true;
  bool wasLeader_ = false;
  std::optional<wire::ControlSnapshot> pendingSnapshot_;
  std::uint64_t pushedIndex_ = 0; // index last pushed to others
  std::map<DatabaseId, std::uint64_t> loggedPrimaryTerms_;
  std::uint64_t loggedServersRevision_ = 0; // of the servers
  std::map<ServerId, bool> loggedServers_;  // true: leaving
  std::uint64_t loggedRulesVersion_ = 0;
  std::uint64_t loggedDocumentVersion_ = 0;
  ControlCounters counters_;
};

// The VM part of a voter id "vm/disk".
VmId
VmOfVoter(const VoterId& aVoter);

} // namespace jaydoor

#pragma once

// Makes all control decisions of one VM, behind a single entry point.
//
//   ControlNode node(config, disk);
//   node.Step(ControlMessageReceived{ message }, now, actions);
//
// Sections:
//   1. Events: the inputs of Step
//   2. Actions: the outputs of Step
//   3. The node
//
// A VM with a data folder runs Raft and can vote on the control log; the other
// VMs receive committed changes from the leader or from one another. Every VM
// is a member of the fleet, and every VM forwards the announcements of
// upstreams and the requests of operators to the leader.

#include "base/Log.h"
#include "control/ControlCounters.h"
#include "control/ControlState.h"
#include "control/Failover.h"
#include "control/LeaseTable.h"
#include "control/LimitDivider.h"
#include "control/Membership.h"
#include "control/OverloadMonitor.h"
#include "control/PrimaryPoints.h"
#include "control/Promoter.h"
#include "control/Raft.h"
#include "control/VoterPlan.h"

#include <random>
#include <set>
#include <variant>

namespace jaydoor {

// ---- 1. Events: the inputs of Step

// A message from the ControlNode of another VM.
struct ControlMessageReceived
{
  wire::ControlMessage message_;
};

// An upstream has described itself to this VM.
struct UpstreamAnnounced
{
  wire::Upstream upstream_;
  std::uint64_t call_ = 0; // answered by AnswerAnnouncement; 0: no answer
};

// An upstream has said to this VM that it exits.
struct UpstreamDeregistered
{
  ServerId server_;
  std::uint64_t call_ = 0; // answered by AnswerAnnouncement
};

// The traffic thread of this VM suspects a primary, or suspects it no longer.
struct SuspicionReported
{
  wire::Suspicion suspicion_;
};

// The result of SendPromoterRequest with the same id.
struct PromoterRequestCompleted
{
  std::uint64_t callId_ = 0;
  std::optional<UpstreamAnswer> answer_; // none: the request failed
};

// An operator asks for a change of the rules; AnswerRuleChange answers.
// `operatorCall_` identifies the operator's call and is repeated in the answer,
// here and in the two events below.
struct RuleChangeRequested
{
  std::uint64_t operatorCall_ = 0;
  wire::RuleChange change_;
};

// An operator asks to store a whole configuration; AnswerDocumentWrite answers.
struct DocumentWriteRequested
{
  std::uint64_t operatorCall_ = 0;
  wire::Document document_;
};

// An operator asks for the newest configuration; AnswerDocumentRead answers.
struct DocumentReadRequested
{
  std::uint64_t operatorCall_ = 0;
};

// The traffic thread of this VM asks for leases on all primaries.
struct LeasesRequested
{
  wire::LeaseRequest request_;
};

// The traffic thread of this VM has given leases back.
struct LeasesReleased
{
  wire::LeaseRelease release_;
};

// The result of RequestServerStatus with the same id.
struct ServerStatusRequestCompleted
{
  std::uint64_t callId_ = 0;
  std::optional<ServerStatus> status_; // none: the request failed
};

// The result of RequestPromotion with the same id.
struct PromotionRequestCompleted
{
  std::uint64_t callId_ = 0;
  PromotionAnswer answer_ = PromotionAnswer::Unknown;
};

// This VM starts to leave the fleet, or stays after all.
struct LeavingChanged
{
  bool leaving_ = true; // false: the VM stays
};

// Time has passed: the node does everything that is due. NextWake tells when
// the next tick is needed.
struct ControlTick
{};

using ControlEvent = std::variant<ControlMessageReceived,
                                  UpstreamAnnounced,
                                  UpstreamDeregistered,
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

// ---- 2. Actions: the outputs of Step

// Replaces the view that the traffic threads of this VM use for their
// decisions.
struct PublishView
{
  FleetViewPtr view_;
};

// Answers RuleChangeRequested. Without an outcome the change may still take
// effect; the operator can safely send the same request again.
struct AnswerRuleChange
{
  std::uint64_t operatorCall_ = 0;
  std::optional<wire::RuleOutcome> outcome_; // none: not known yet
};

// Answers UpstreamAnnounced and UpstreamDeregistered.
struct AnswerAnnouncement
{
  std::uint64_t call_ = 0;
  // The control log contains the announcement or a newer one. False: not known
  // yet; the upstream has to announce itself again, to any VM.
  bool recorded_ = false;
};

// Answers DocumentWriteRequested. If the result is not known, the operator can
// safely send the same configuration again.
struct AnswerDocumentWrite
{
  std::uint64_t operatorCall_ = 0;
  bool stored_ = false; // false: not known yet
};

// Answers DocumentReadRequested.
struct AnswerDocumentRead
{
  std::uint64_t operatorCall_ = 0;
  // None if this VM can't prove that it has the newest configuration.
  std::shared_ptr<const std::string> body_;
};

// Passes a grant of the leader to the traffic thread of this VM.
struct DeliverLeaseGrant
{
  wire::LeaseGrant grant_;
};

// Passes a revocation by the leader to the traffic thread of this VM.
struct DeliverLeaseRevocation
{
  wire::LeaseRevoke revoke_;
};

// Actions are performed in order. The data of a Save action is synced to the
// disk before any later message is sent.
using ControlAction = std::variant<SaveHardState,
                                   SaveEntries,
                                   SaveSnapshot,
                                   SendToVm,
                                   SendPromoterRequest,
                                   PublishView,
                                   AnswerRuleChange,
                                   AnswerAnnouncement,
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
  std::vector<wire::Vm> seeds_; // VMs to join the fleet through
  std::vector<VmId> voterVms_;  // VMs with a data folder, as configured
  std::uint64_t randomSeed_ = 1;
  // Number of voters that is needed for the losses to be tolerated; 0: all VMs
  // that have a data folder.
  std::size_t minVoterCount_ = 0;
  // Whether this VM may found the control state while all voters are blank.
  bool mayFoundFleet_ = true;
  // True: an outside service promotes servers, and Failover runs; false: the
  // Promoter runs.
  bool outsidePromotion_ = false;
  // True: the id of a VM is its IP, and all VMs have the same control port.
  bool idsAreHosts_ = false;
  RaftTiming raftTiming_;
  MembershipTiming membershipTiming_;
  PromoterTiming promoterTiming_;
  FailoverTiming failoverTiming_;
  LeaseTiming leaseTiming_;
};

class ControlNode
{
public:
  // `aDisk`: what the voter's disk holds; none on a VM without a data folder.
  ControlNode(ControlConfig aConfig, std::optional<RaftDisk> aDisk);

  // Handles one event and appends the actions that follow from it to `aOut`.
  void Step(ControlEvent aEvent, Time aNow, ControlActions& aOut);
  // The latest time at which Step needs the next ControlTick.
  Time NextWake(Time aNow) const;

  // Adds VMs to join the fleet through. The seeds given before are kept.
  void AddSeeds(std::vector<wire::Vm> aSeeds);

  const ControlState& State() const { return state_; }
  const Membership& Members() const { return membership_; }
  const Raft* Consensus() const { return raft_ ? &*raft_ : nullptr; }
  // True once the state was proven to be recent after the start; until then
  // the rules may be out of date, and the VM must not serve by them.
  bool IsStateProven() const { return stateProven_; }
  // The VM that leads as far as this one knows; empty: none is known.
  VmId LeaderVm() const;
  // True if this VM, which leaves, should run on for a while: it votes, and
  // another voter can take over its leadership, or a learner its vote, or there
  // are voters enough without it.
  bool IsNeededAsVoter() const;
  // The live VMs, this one included.
  std::vector<VmView> ListVms() const;
  const ControlCounters& Counters() const { return counters_; }

private:
  // A change of the rules whose outcome is not known yet.
  struct PendingRuleChange
  {
    wire::RuleChange change_;
    std::vector<std::uint64_t> operatorCalls_;
    Time nextProposalAt_;
    Time answerUntil_;
  };

  // A configuration that is not known to be stored yet.
  struct PendingDocumentWrite
  {
    wire::Document document_;
    std::vector<std::uint64_t> operatorCalls_;
    Time nextProposalAt_;
    Time answerUntil_;
  };

  // A read of the configuration that waits for proof that it is the newest.
  struct PendingDocumentRead
  {
    std::uint64_t operatorCall_ = 0;
    // Commit index of the leader after the read arrived, once it has answered.
    std::optional<std::uint64_t> committedIndex_;
    Time nextIndexRequestAt_;
    Time answerUntil_;
  };

  // A change of an upstream that is not in the control state yet.
  struct PendingUpstreamChange
  {
    wire::UpstreamChange change_;
    Time nextProposalAt_;
    Duration interval_{}; // between proposals
  };

  struct ProposedServer
  {
    wire::UpstreamChange change_;
    std::uint64_t index_ = 0; // of the entry
  };

  // An announcement whose sender waits until it is in the control log.
  struct AwaitedAnnouncement
  {
    wire::Upstream info_;
    std::uint64_t call_ = 0;
    Time answerUntil_;
  };

  // The newest announcement of an upstream to this VM.
  struct Announcement
  {
    wire::Upstream info_;
    Time receivedAt_;
  };

  void Handle(ControlMessageReceived& aEvent, Time aNow, ControlActions& aOut);
  void Handle(UpstreamAnnounced& aEvent, Time aNow, ControlActions& aOut);
  void Handle(UpstreamDeregistered& aEvent, Time aNow, ControlActions& aOut);
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
  void SendToDataFolderVms(const wire::ControlMessage& aMessage,
                           ControlActions& aOut);
  void DescribeToVoters(ControlActions& aOut);
  void SendToLeader(const wire::ControlMessage& aMessage, ControlActions& aOut);
  void PerformRaftActions(RaftActions aActions, ControlActions& aOut);
  void Propose(const wire::Change& aChange, Time aNow, ControlActions& aOut);
  bool CanDecideAsLeader(Time aNow) const;

  void HandleFounding(const wire::ControlMessage& aMessage,
                      Time aNow,
                      ControlActions& aOut);
  void ProposeLearner(const VoterId& aVoter, Time aNow, ControlActions& aOut);
  void TickVoterSet(Time aNow, ControlActions& aOut);
  void TickLeaving(Time aNow, ControlActions& aOut);
  void RecordVotersSeen(Time aNow);
  bool IsLeaving() const;
  bool IsUsable(const VoterId& aVoter) const;
  VoterStatus FindVoterStatus(const VoterId& aVoter, Time aNow) const;
  void ProposeVoters(wire::VoterSet aNext, Time aNow, ControlActions& aOut);
  void ProposeVoterChange(const VoterChange& aChange,
                          Time aNow,
                          ControlActions& aOut);
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
  void RevokeLeases(const std::vector<DatabaseId>& aDatabases,
                    Time aNow,
                    ControlActions& aOut);
  void TickFailover(Time aNow, ControlActions& aOut);
  std::vector<VmId> ListVoterVms();
  std::vector<VmId> ListDataFolderVms() const;
  bool MayAskAllVoters(Time aNow);
  void AnnounceLeadership(Time aNow, ControlActions& aOut);
  void TickRaft(Time aNow, ControlActions& aOut);
  void TickFounding(Time aNow, ControlActions& aOut);
  void TickPromotions(Time aNow, ControlActions& aOut);
  void TickPendingChanges(Time aNow, ControlActions& aOut);
  void TickAwaitedAnnouncements(Time aNow, ControlActions& aOut);
  void TickStateProof(Time aNow, ControlActions& aOut);
  void TickGoneUpstreams(Time aNow);
  void TickCompaction(Time aNow, ControlActions& aOut);

  void HandleIndexReply(const VmId& aFrom,
                        const wire::IndexReply& aReply,
                        Time aNow,
                        ControlActions& aOut);
  void AddSeedById(const VmId& aVm);
  void RequestDelta(const VmId& aFrom, Time aNow, ControlActions& aOut);
  void RecordLeader(const VoterId& aLeader, Time aNow, ControlActions& aOut);
  void DescribeToLeader(ControlActions& aOut);
  void SendRequestedDelta(const VmId& aTo,
                          std::uint64_t aApplied,
                          Time aNow,
                          ControlActions& aOut);
  VmId ChooseDeltaSource(const VmId& aLeader);
  void HandleDelta(const VmId& aFrom,
                   const wire::Delta& aDelta,
                   Time aNow,
                   ControlActions& aOut);
  void HandlePeerIndex(const VmId& aFrom,
                       std::uint64_t aIndex,
                       Time aNow,
                       ControlActions& aOut);
  void HandleProbedIndex(const VmId& aFrom,
                         std::uint64_t aIndex,
                         Time aNow,
                         ControlActions& aOut);
  void RecordGrantedIndex(std::uint64_t aIndex, Time aNow);
  void TickMissedChanges(Time aNow, ControlActions& aOut);
  void FinishStep(Time aNow, ControlActions& aOut);
  std::vector<VmId> ListPushTargets();
  void TickPush(Time aNow, ControlActions& aOut);
  void PushDelta(std::uint64_t aFrom, ControlActions& aOut);
  void TickView(Time aNow, ControlActions& aOut);
  bool IsInLog(const wire::Change& aChange);
  void LogStateChanges(ControlActions& aOut);
  void LogServerChanges(ControlActions& aOut);
  FleetViewPtr BuildView(std::vector<VmView> aVms) const;

  ControlConfig config_;
  ControlState state_;
  Membership membership_;
  Promoter promoter_;
  Failover failover_;
  LeaseTable leases_;
  PrimaryPoints primaryPoints_;
  OverloadMonitor overloadMonitor_;
  LimitDivider limitDivider_;
  OwnerMap owners_;          // over the live VMs
  std::optional<Raft> raft_; // none on a VM without a data folder

  std::map<std::string, PendingRuleChange> pendingRuleChanges_; // by request id
  // By version and body.
  std::map<std::string, PendingDocumentWrite> pendingDocumentWrites_;
  // By IndexRequest id.
  std::map<std::uint64_t, PendingDocumentRead> pendingDocumentReads_;
  std::uint64_t nextIndexRequestId_ = 1; // starts at a random number
  std::uint64_t proofRequestId_ = 0; // IndexRequest id of the start-up proof
  // Highest version proposed in this leadership.
  std::uint64_t proposedDocumentVersion_ = 0;
  std::map<ServerId, PendingUpstreamChange> pendingUpstreamChanges_;
  std::map<ServerId, Announcement> announcements_; // made to this VM
  std::vector<AwaitedAnnouncement> awaitedAnnouncements_;
  // Recorded while this voter is blank itself.
  std::map<VoterId, Time> blankVotersHeardAt_;
  Time nextFoundingAt_;
  Time nextProofRequestAt_;
  std::size_t proofRequests_ = 0;  // sent so far
  std::size_t nextOtherVoter_ = 0; // position in the list of further voters
  // When all voters may be asked for leases again, and the time to the next.
  Time nextVoterQueryAt_;
  Duration voterQueryInterval_{};
  std::mt19937_64 random_;
  bool leadershipAnnounced_ = false;   // done once in each leadership
  std::map<VmId, Time> awaitedDeltas_; // by sender, and until when
  Duration deltaTimeout_{};            // grows while deltas stay out
  // Snapshots sent to other VMs in the present window.
  Time snapshotWindowAt_;
  std::size_t snapshotsSent_ = 0;
  Time nextGoneCheckAt_;
  Time startedAt_;           // time of the first Step
  bool leasesReset_ = false; // done once in each leadership
  // Index of the entry that adds a VM to the holders, in this leadership.
  std::map<VmId, std::uint64_t> holderProposedIndexes_;
  // Databases whose primary some VM suspects, and when they were listed.
  std::vector<DatabaseId> suspectedDatabases_;
  Time suspicionsListedAt_;
  Time grantReceivedAt_; // last grant to this VM
  // The first index named by a grant that this VM lacked, and when.
  std::uint64_t grantedIndex_ = 0;
  Time grantedIndexAt_;
  std::map<VmId, Time> holderLiveAt_; // last seen live, in this leadership
  Time nextLogSizeCheckAt_;
  // When voters and learners were last seen live. Every voter keeps this, so
  // that the next leader need not wait anew.
  std::map<VoterId, Time> voterSeenAt_;
  std::map<VoterId, VoterFault> loggedFaults_; // in this leadership
  Time nextDescriptionAt_;                     // while this voter leaves
  VoterId leaderHint_; // last leader named by another VM
  // The state is proven once this index is applied.
  std::optional<std::uint64_t> proofIndex_;
  // A VM whose state was proven has sent a delta.
  bool neighbourStateProven_ = false;
  bool started_ = false; // Step has been called
  bool stateProven_ = false;
  bool viewOutdated_ = true;
  bool wasLeader_ = false;
  std::optional<wire::ControlSnapshot> pendingSnapshot_; // not in Raft yet
  // Control log index up to which changes were pushed to other VMs.
  std::uint64_t pushedIndex_ = 0;
  Time nextPushAt_;
  Time nextViewAt_;
  std::uint64_t handledIndex_ = 0; // index that FinishStep() has seen
  // The last change of each server that this leader has proposed.
  std::map<ServerId, ProposedServer> proposedServers_;
  // Whether the pending changes may have to be looked at again.
  bool pendingChangesOutdated_ = true;
  Time nextPendingCheckAt_;
  std::map<DatabaseId, std::uint64_t> loggedPrimaryTerms_;
  std::uint64_t loggedServersRevision_ = 0;
  std::map<ServerId, bool> loggedServers_; // true: leaving
  std::uint64_t loggedRulesVersion_ = 0;
  std::uint64_t loggedDocumentVersion_ = 0;
  ControlCounters counters_;
};

// Returns the VM part of a voter id "vm/disk".
VmId
VmOfVoter(const VoterId& aVoter);

// True if the message is repeated until it has had its effect, so that its loss
// costs only a delay. A change that was pushed and lost is requested once a
// grant names its index.
bool
ToleratesLoss(const wire::ControlMessage& aMessage);

} // namespace jaydoor

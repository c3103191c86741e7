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
#include "control/ControlState.h"
#include "control/Failover.h"
#include "control/LeaseTable.h"
#include "control/Membership.h"
#include "control/Promoter.h"
#include "control/Raft.h"

#include <set>
#include <variant>

namespace jaydoor {

// ---- 1. Events: the inputs of Step

// A message from the ControlNode of another VM.
struct TakeControlMessage
{
  wire::ControlMessage message_;
};

// An upstream has described itself to this VM.
struct TakeAnnounce
{
  wire::Upstream upstream_;
};

// The traffic thread of this VM suspects a primary, or suspects it no longer.
struct TakeSuspicion
{
  wire::Suspicion suspicion_;
};

// The result of SendPromoterRequest with the same id.
struct TakeUpstreamAnswer
{
  std::uint64_t call_ = 0;
  std::optional<UpstreamAnswer> answer_; // none: the request failed
};

// An operator asks for a change of the rules; AnswerRuleChange answers.
// `operatorCall_` identifies the operator's call and is repeated in the answer,
// here and in the two events below.
struct TakeRuleChange
{
  std::uint64_t operator_ = 0;
  wire::RuleChange change_;
};

// An operator asks to store a whole configuration; AnswerDocumentWrite answers.
struct TakeDocument
{
  std::uint64_t operator_ = 0;
  wire::Document document_;
};

// An operator asks for the newest configuration; AnswerDocumentRead answers.
struct TakeDocumentRead
{
  std::uint64_t operator_ = 0;
};

// The traffic thread of this VM asks for leases on all primaries.
struct TakeLeaseRequest
{
  wire::LeaseRequest request_;
};

// The traffic thread of this VM has given leases back.
struct TakeLeaseRelease
{
  wire::LeaseRelease release_;
};

// The result of RequestServerStatus with the same id.
struct TakeServerStatus
{
  std::uint64_t call_ = 0;
  std::optional<ServerStatus> status_; // none: the request failed
};

// The result of RequestPromotion with the same id.
struct TakePromotionAnswer
{
  std::uint64_t call_ = 0;
  PromotionAnswer answer_ = PromotionAnswer::Unknown;
};

// This VM starts to leave the fleet, or stays after all.
struct TakeLeave
{
  bool on_ = true; // false: the VM stays
};

// Does everything that is due; see NextWake.
struct TakeControlTick
{};

using ControlEvent = std::variant<TakeControlMessage,
                                  TakeAnnounce,
                                  TakeSuspicion,
                                  TakeUpstreamAnswer,
                                  TakeRuleChange,
                                  TakeDocument,
                                  TakeDocumentRead,
                                  TakeLeaseRequest,
                                  TakeLeaseRelease,
                                  TakeServerStatus,
                                  TakePromotionAnswer,
                                  TakeLeave,
                                  TakeControlTick>;

// ---- 2. Actions: the outputs of Step

// Replaces the view that the traffic threads of this VM decide by.
struct PublishView
{
  FleetViewPtr view_;
};

// Answers RuleChangeRequested. Without an outcome the change may still take
// effect; the operator can safely send the same request again.
struct AnswerOperator
{
  std::uint64_t operator_ = 0;
  std::optional<wire::RuleOutcome> outcome_; // none: not known yet
};

// Answers DocumentWriteRequested. If the result is not known, the operator can
// safely send the same configuration again.
struct AnswerDocument
{
  std::uint64_t operator_ = 0;
  bool stored_ = false; // false: not known yet
};

// Answers DocumentReadRequested.
struct AnswerDocumentRead
{
  std::uint64_t operator_ = 0;
  // None if this VM can't prove that it has the newest configuration.
  std::shared_ptr<const std::string> body_;
};

// Passes a grant of the leader to the traffic thread of this VM.
struct DeliverGrant
{
  wire::LeaseGrant grant_;
};

// Passes a revocation by the leader to the traffic thread of this VM.
struct DeliverRevocation
{
  wire::LeaseRevoke revoke_;
};

// Actions are performed in order: what an action saves has been synced to the
// disk before any later message is sent.
using ControlAction = std::variant<SaveHardState,
                                   SaveEntries,
                                   SaveSnapshot,
                                   SendVm,
                                   CallUpstream,
                                   PublishView,
                                   AnswerOperator,
                                   AnswerDocument,
                                   AnswerDocumentRead,
                                   CallServer,
                                   RequestPromotion,
                                   DeliverGrant,
                                   DeliverRevocation,
                                   ControlNote>;
using ControlActions = std::vector<ControlAction>;

// ---- 3. The node

struct ControlConfig
{
  wire::Vm self_;
  std::vector<wire::Vm> seeds_; // VMs to join the fleet through
  std::vector<VmId> voterVms_;  // VMs with a data folder, as configured
  std::uint64_t seed_ = 1;      // of the random numbers of this node
  // Number of voters to aim for; 0: all VMs that have a data folder.
  std::size_t voterCount_ = 0;
  // Whether this VM may found the control state while all voters are blank.
  bool mayFound_ = true;
  // True: an outside service promotes servers, and Failover runs; false: the
  // Promoter runs.
  bool outsidePromotion_ = false;
  // True: the id of a VM is its IP, and all VMs have the same control port.
  bool idsAreHosts_ = false;
  RaftTiming raft_;
  MembershipTiming membership_;
  PromoterTiming promoter_;
  FailoverTiming failover_;
  LeaseTiming lease_;
};

// Totals since the start of this node.
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
  bool IsProven() const { return proven_; }
  // The VM that leads as far as this one knows; empty: none is known.
  VmId LeaderVm() const;
  // The live VMs, this one included.
  std::vector<VmView> ListVms() const;
  const ControlCounters& Counters() const { return counters_; }

private:
  // A change of the rules whose outcome is not known yet.
  struct PendingRules
  {
    wire::RuleChange change_;
    std::vector<std::uint64_t> operators_;
    Time sendAt_;
    Time until_;
  };

  // A configuration that is not known to be stored yet.
  struct PendingDocument
  {
    wire::Document document_;
    std::vector<std::uint64_t> operators_;
    Time sendAt_;
    Time until_;
  };

  // A read of the configuration that waits for proof that it is the newest.
  struct PendingRead
  {
    std::uint64_t operator_ = 0;
    // Commit index of the leader after the read arrived, once it has answered.
    std::optional<std::uint64_t> index_;
    Time askAt_;
    Time until_;
  };

  // A change of an upstream that is not in the control state yet.
  struct PendingUpstream
  {
    wire::UpstreamChange change_;
    Time sendAt_;
  };

  // The newest announcement of an upstream to this VM.
  struct Heard
  {
    wire::Upstream info_;
    Time at_;
  };

  void Handle(TakeControlMessage& aEvent, Time aNow, ControlActions& aOut);
  void Handle(TakeAnnounce& aEvent, Time aNow, ControlActions& aOut);
  void Handle(TakeSuspicion& aEvent, Time aNow, ControlActions& aOut);
  void Handle(TakeUpstreamAnswer& aEvent, Time aNow, ControlActions& aOut);
  void Handle(TakeRuleChange& aEvent, Time aNow, ControlActions& aOut);
  void Handle(TakeDocument& aEvent, Time aNow, ControlActions& aOut);
  void Handle(TakeDocumentRead& aEvent, Time aNow, ControlActions& aOut);
  void Handle(TakeLeaseRequest& aEvent, Time aNow, ControlActions& aOut);
  void Handle(TakeLeaseRelease& aEvent, Time aNow, ControlActions& aOut);
  void Handle(TakeServerStatus& aEvent, Time aNow, ControlActions& aOut);
  void Handle(TakePromotionAnswer& aEvent, Time aNow, ControlActions& aOut);
  void Handle(TakeLeave& aEvent, Time aNow, ControlActions& aOut);
  void Handle(TakeControlTick& aEvent, Time aNow, ControlActions& aOut);

  void Send(const VmId& aTo,
            wire::ControlMessage aMessage,
            ControlActions& aOut);
  void SendAll(std::vector<SendVm> aMessages, ControlActions& aOut);
  void SendToVoters(const wire::ControlMessage& aMessage, ControlActions& aOut);
  void SendToLeader(const wire::ControlMessage& aMessage, ControlActions& aOut);
  void PerformRaft(RaftActions aActions, ControlActions& aOut);
  void Propose(const wire::Change& aChange, Time aNow, ControlActions& aOut);
  bool MayDecide(Time aNow) const;

  void TakeFounding(const wire::ControlMessage& aMessage,
                    Time aNow,
                    ControlActions& aOut);
  void AdmitVoter(const VoterId& aVoter, Time aNow, ControlActions& aOut);
  void TickVoterSet(Time aNow, ControlActions& aOut);
  bool IsVoterGone(const VoterId& aVoter, Time aNow, Duration aLimit);
  void TickDocuments(Time aNow, ControlActions& aOut);
  void TickReads(Time aNow, ControlActions& aOut);
  bool TakeLeaseMessage(const wire::ControlMessage& aMessage,
                        Time aNow,
                        ControlActions& aOut);
  void GrantLeases(const VmId& aHolder,
                   const wire::LeaseRequest& aRequest,
                   Time aNow,
                   ControlActions& aOut);
  void ResetLeases(Time aNow);
  void RegisterHolder(const VmId& aHolder, Time aNow, ControlActions& aOut);
  void TickHolders(Time aNow, ControlActions& aOut);
  void RevokeLeases(const DatabaseId& aDatabase, ControlActions& aOut);
  void TickFailover(Time aNow, ControlActions& aOut);
  std::vector<VmId> ListControlVms() const;
  void TickVoter(Time aNow, ControlActions& aOut);
  void TickFounding(Time aNow, ControlActions& aOut);
  void TickPromoter(Time aNow, ControlActions& aOut);
  void TickPending(Time aNow, ControlActions& aOut);
  void TickProof(Time aNow, ControlActions& aOut);
  void TickGone(Time aNow);
  void MoveSnapshot(Time aNow, ControlActions& aOut);

  void TakeIndexReply(const VmId& aFrom,
                      const wire::IndexReply& aReply,
                      ControlActions& aOut);
  void AddStoredVm(const VmId& aVm);
  void AskDelta(const VmId& aFrom, ControlActions& aOut);
  void NoteLeader(const VoterId& aLeader);
  void TakeDelta(const VmId& aFrom,
                 const wire::Delta& aDelta,
                 ControlActions& aOut);
  void NotePeerIndex(const VmId& aFrom,
                     std::uint64_t aIndex,
                     Time aNow,
                     ControlActions& aOut);
  void Finish(Time aNow, ControlActions& aOut);
  void PushDelta(std::uint64_t aFrom, ControlActions& aOut);
  void NoteChanges(ControlActions& aOut);
  void NoteServers(ControlActions& aOut);
  FleetViewPtr BuildView() const;

  ControlConfig config_;
  ControlState state_;
  Membership membership_;
  Promoter promoter_;
  Failover failover_;
  LeaseTable leases_;
  OwnerMap owners_;          // over the live VMs
  std::optional<Raft> raft_; // none on a VM without a data folder

  std::map<std::string, PendingRules> rules_;        // by request id
  std::map<std::string, PendingDocument> documents_; // by version and body
  std::map<std::uint64_t, PendingRead> reads_;       // by IndexRequest id
  std::uint64_t nextRead_ = 1;         // starts at a random number
  std::uint64_t proofRequest_ = 0;     // IndexRequest id of the start-up proof
  std::uint64_t proposedDocument_ = 0; // highest version, as this leader
  std::map<ServerId, PendingUpstream> upstreams_;
  std::map<ServerId, Heard> heard_; // made to this VM
  std::map<VoterId, Time> blanks_;  // recorded while this voter is blank
  Time foundingAt_;
  Time proofAt_;
  Time pullAt_;
  Time goneAt_;
  Time startedAt_;                    // time of the first Step
  bool leasesReset_ = false;          // done once in each leadership
  std::map<VmId, Time> registeredAt_; // as this leader
  Time grantHeardAt_;                 // last grant to this VM
  std::map<VmId, Time> holderSeen_;   // last seen live, as this leader
  Time sizeAt_;
  std::map<VoterId, Time> voterSeen_;        // last seen live, as this leader
  std::map<VoterId, ZoneId> voterZones_;     // last known
  VoterId leaderHint_;                       // last leader named by another VM
  std::optional<std::uint64_t> provenIndex_; // to be applied for the proof
  bool neighbourProven_ = false;             // a proven VM sent a delta
  bool started_ = false;                     // Step has been called
  bool proven_ = false;
  bool viewDirty_ = true;
  bool wasLeader_ = false;
  std::optional<wire::ControlSnapshot> pendingSnapshot_; // not in Raft yet
  std::uint64_t published_ = 0;                          // control log index
  std::map<DatabaseId, std::uint64_t> notedTerms_;
  std::uint64_t notedRevision_ = 0;
  std::map<ServerId, bool> notedServers_; // true: leaving
  std::uint64_t notedRules_ = 0;
  std::uint64_t notedDocument_ = 0;
  ControlCounters counters_;
};

// Returns the VM part of a voter id "vm/disk".
VmId
VmOfVoter(const VoterId& aVoter);

} // namespace jaydoor

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

struct TakeControlMessage
{
  wire::ControlMessage message_;
};

struct TakeAnnounce
{
  wire::Upstream upstream_;
};

// From the traffic thread of this VM.
struct TakeSuspicion
{
  wire::Suspicion suspicion_;
};

struct TakeUpstreamAnswer
{
  std::uint64_t call_ = 0;
  std::optional<UpstreamAnswer> answer_; // none: the call failed
};

// An operator's change of the rules; the answer is AnswerOperator.
struct TakeRuleChange
{
  std::uint64_t operator_ = 0;
  wire::RuleChange change_;
};

// An operator's whole configuration; the answer is AnswerDocument.
struct TakeDocument
{
  std::uint64_t operator_ = 0;
  wire::Document document_;
};

// Asks for the newest configuration; the answer is AnswerDocumentRead.
struct TakeDocumentRead
{
  std::uint64_t operator_ = 0;
};

// From the traffic thread of this VM: it wants leases on the primaries, or
// gives some back.
struct TakeLeaseRequest
{
  wire::LeaseRequest request_;
};

struct TakeLeaseRelease
{
  wire::LeaseRelease release_;
};

// Answers to CallServer and RequestPromotion.
struct TakeServerStatus
{
  std::uint64_t call_ = 0;
  std::optional<ServerStatus> status_; // none: the call failed
};

struct TakePromotionAnswer
{
  std::uint64_t call_ = 0;
  PromotionAnswer answer_ = PromotionAnswer::Unknown;
};

struct TakeLeave
{
  bool on_ = true; // off: the VM comes back after all
};

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

// ---- 2. Actions

struct PublishView
{
  FleetViewPtr view_;
};

struct AnswerOperator
{
  std::uint64_t operator_ = 0;
  std::optional<wire::RuleOutcome> outcome_; // none: not known yet; resend
};

struct AnswerDocument
{
  std::uint64_t operator_ = 0;
  bool stored_ = false; // false: not known yet; resend
};

struct AnswerDocumentRead
{
  std::uint64_t operator_ = 0;
  std::shared_ptr<const std::string> body_; // none: can't prove the newest
};

// For the traffic thread of this VM.
struct DeliverGrant
{
  wire::LeaseGrant grant_;
};

struct DeliverRevocation
{
  wire::LeaseRevoke revoke_;
};

// Saves are synced before a later message is sent.
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
  std::vector<wire::Vm> seeds_; // VMs to join through
  std::vector<VmId> voterVms_;  // VMs that have a data folder, at the start
  std::uint64_t seed_ = 1;
  std::size_t voterCount_ = 0; // voters wanted; 0: all that have a data folder
  bool mayFound_ = true;       // a blank fleet may found its control state
  bool outsidePromotion_ = false; // an outside service promotes: see Failover
  bool idsAreHosts_ = false; // VM ids are IPs, with one control port for all
  RaftTiming raft_;
  MembershipTiming membership_;
  PromoterTiming promoter_;
  FailoverTiming failover_;
  LeaseTiming lease_;
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
  bool IsProven() const { return proven_; }
  VmId LeaderVm() const;
  std::vector<VmView> ListVms() const;
  const ControlCounters& Counters() const { return counters_; }

private:
  struct PendingRules
  {
    wire::RuleChange change_;
    std::vector<std::uint64_t> operators_;
    Time sendAt_;
    Time until_;
  };

  struct PendingDocument
  {
    wire::Document document_;
    std::vector<std::uint64_t> operators_;
    Time sendAt_;
    Time until_;
  };

  // A read of the configuration that waits for a proof.
  struct PendingRead
  {
    std::uint64_t operator_ = 0;
    std::optional<std::uint64_t> index_; // surely committed at the read
    Time askAt_;
    Time until_;
  };

  struct PendingUpstream
  {
    wire::UpstreamChange change_;
    Time sendAt_;
  };

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
  OwnerMap owners_; // of the live VMs
  std::optional<Raft> raft_;

  std::map<std::string, PendingRules> rules_;        // by request
  std::map<std::string, PendingDocument> documents_; // by content
  std::map<std::uint64_t, PendingRead> reads_;       // by request
  std::uint64_t nextRead_ = 1;         // from a random number on, each start
  std::uint64_t proofRequest_ = 0;     // asks for the proof at the start
  std::uint64_t proposedDocument_ = 0; // highest version, as the leader
  std::map<ServerId, PendingUpstream> upstreams_;
  std::map<ServerId, Heard> heard_; // upstreams that announce to this VM
  std::map<VoterId, Time> blanks_;  // blank voters heard while blank
  Time foundingAt_;
  Time proofAt_;
  Time pullAt_;
  Time goneAt_;
  Time startedAt_;
  bool leasesReset_ = false; // with all that earlier leaders have committed
  std::map<VmId, Time> registeredAt_;
  Time grantHeardAt_;               // as a holder
  std::map<VmId, Time> holderSeen_; // while this VM is the leader
  Time sizeAt_;
  std::map<VoterId, Time> voterSeen_;    // while this VM is the leader
  std::map<VoterId, ZoneId> voterZones_; // last known
  VoterId leaderHint_;
  std::optional<std::uint64_t> provenIndex_;
  bool neighbourProven_ = false;
  bool started_ = false;
  bool proven_ = false;
  bool viewDirty_ = true;
  bool wasLeader_ = false;
  std::optional<wire::ControlSnapshot> pendingSnapshot_;
  std::uint64_t published_ = 0; // index last pushed to others
  std::map<DatabaseId, std::uint64_t> notedTerms_;
  std::uint64_t notedRevision_ = 0;       // of the servers
  std::map<ServerId, bool> notedServers_; // true: leaving
  std::uint64_t notedRules_ = 0;
  std::uint64_t notedDocument_ = 0;
  ControlCounters counters_;
};

// The VM part of a voter id "vm/disk".
VmId
VmOfVoter(const VoterId& aVoter);

} // namespace jaydoor

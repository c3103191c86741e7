#pragma once

// Replaces primaries where an outside service performs the promotion. Runs on
// the leader of the control state only; without an outside service the Promoter
// runs instead.
//
// For each database whose primary is leaving, gone or suspected:
//   1. ask the other servers for the last entry of their logs, and choose the
//      successor,
//   2. fence the primary: grant no new leases on it, and revoke those granted,
//   3. once the primary can be reached, or no lease on it is left, write the
//      intent to the control log, so that a later leader can continue from
//      here,
//   4. make the old primary step down, if it can be reached,
//   5. request the promotion, once the old primary has stepped down or no lease
//      on it is left,
//   6. write the new primary to the control log, once it has become the primary
//      and no lease on the old one is left.
//
// For a database without a known primary, a server that already is one is
// looked for and written to the control log.
//
// Sections:
//   1. Requests to servers and to the outside service
//   2. The decisions

#include "control/LeaseTable.h"
#include "control/Promoter.h"

namespace jaydoor {

// ---- 1. Requests to servers and to the outside service

// The status of a server, as the server itself reports it.
struct ServerStatus
{
  bool primary_ = false;
  std::uint64_t term_ = 0;
  LogPoint received_; // last entry of the server's log
};

// Asks a server for its status, or to step down and then for its status.
// ServerStatusRequestCompleted brings the result.
struct RequestServerStatus
{
  std::uint64_t callId_ = 0;
  wire::Upstream server_;
  std::uint64_t stepDownTerm_ = 0; // 0: the server is not to step down
};

// Asks the outside service to make a server the primary.
// PromotionRequestCompleted brings the result.
struct RequestPromotion
{
  std::uint64_t callId_ = 0;
  DatabaseId database_;
  ServerId server_;
  std::uint64_t fencingToken_ = 0; // higher for each later leader
};

enum class PromotionAnswer : std::uint8_t
{
  Accepted,
  Refused, // the server is not running
  Unknown, // no answer, or the service does not work
};

// ---- 2. The decisions

struct FailoverTiming
{
  Duration suspicionWindow_ = 1s; // reports of suspicion count for this long
  // A status request without a result counts as failed after this time.
  Duration callTimeout_ = 500ms;
  // Time that the other servers have to send their statuses, after the first.
  Duration lateStatusDelay_ = 60ms;
  // A planned replacement waits this long for the successor's log to catch up.
  Duration catchUpLimit_ = 300ms;
  Duration statusInterval_ = 50ms; // between status requests in a replacement
  // An unanswered promotion request is repeated after this time.
  Duration promotionRetryInterval_ = 500ms;
  Duration promotionTimeout_ = 3s; // after it another successor is chosen
  // From the end of one replacement to the start of the next in a database.
  Duration minChangeInterval_ = 2s;
  // The primary is kept if it has not been suspected for this long.
  Duration suspicionClearDelay_ = 300ms;
  // Between status requests while no primary is known.
  Duration initialStatusInterval_ = 200ms;
};

class Failover
{
public:
  explicit Failover(FailoverTiming aTiming);

  // Stores a VM's newest report on the primary of a database.
  void RecordSuspicion(const VmId& aFrom,
                       const wire::Suspicion& aSuspicion,
                       Time aNow);
  // The result of a status request; none if it failed.
  void HandleServerStatus(std::uint64_t aCallId,
                          const std::optional<ServerStatus>& aStatus,
                          Time aNow);
  // The answer to a promotion request.
  void HandlePromotionAnswer(std::uint64_t aCallId,
                             PromotionAnswer aAnswer,
                             Time aNow);

  // Advances all replacements and starts those that are needed. Must be called
  // only while this VM is the leader and holds the leader lease.
  // `aFencingToken`: tells this leader's promotion requests from those of
  // earlier ones.
  void Tick(const ControlState& aState,
            LeaseTable& aLeases,
            std::uint64_t aFencingToken,
            Time aNow);
  // Databases whose primary at least one VM suspects. The other VMs are told to
  // try this primary, since those that don't use it now could not notice that
  // it has failed.
  std::vector<DatabaseId> ListDatabasesWithSuspicion(const ControlState& aState,
                                                     Time aNow) const;
  // Forgets all replacements and open requests. To be called when this VM has
  // become the leader or has ceased to be it.
  void Reset();

  // Each of these functions returns what was added since its last call.
  std::vector<RequestServerStatus> TakeStatusRequests();
  std::vector<RequestPromotion> TakePromotionRequests();
  std::vector<wire::Change> TakeProposals();
  // Databases whose leases must be revoked.
  std::vector<DatabaseId> TakeRevocations();
  std::vector<LogControlEvent> TakeLogEvents();

private:
  // A VM's report on the primary of a database.
  struct SuspicionReport
  {
    std::uint64_t term_ = 0;
    ServerId server_;
    Time receivedAt_;
    bool suspected_ = false;
  };

  enum class Phase : std::uint8_t
  {
    Choosing,  // until the successor is chosen
    Fencing,   // until the old primary stepped down or no lease on it is left
    Promoting, // until the successor is the primary in the control state
  };

  // The replacement of one database's primary.
  struct Replacement
  {
    Phase phase_ = Phase::Choosing;
    bool planned_ = false; // the old primary works, and is leaving
    Time startedAt_;
    Time phaseStartedAt_;
    Time statusesRequestedAt_;
    // Last request to step down (while fencing) or to promote.
    Time roleRequestSentAt_;
    Time proposedAt_; // last proposal: intent while fencing, then primary
    Time leasesRevokedAt_;
    std::optional<Time> firstStatusAt_;         // in this phase
    std::map<ServerId, ServerStatus> statuses_; // in this phase
    // Statuses of earlier requests are out of date: the first request that
    // counts, and the last one of each server that was answered.
    std::uint64_t firstCallId_ = 0;
    std::map<ServerId, std::uint64_t> answeredCallIds_;
    ServerId successor_;
    bool oldPrimarySteppedDown_ = false;
    bool promotionAccepted_ = false;
    bool promotionRefused_ = false;
    std::set<ServerId> excludedServers_; // not to be chosen again for now
    std::optional<Time> unsuspectedSince_;
  };

  // A status request that has no result yet.
  struct Call
  {
    DatabaseId database_;
    ServerId server_;
    Time sentAt_;
    bool stepDown_ = false;
  };

  void StartIfNeeded(const wire::Database& aDatabase,
                     LeaseTable& aLeases,
                     Time aNow);
  void ProposeInitialPrimary(const wire::Database& aDatabase, Time aNow);
  std::size_t CountSuspectingVms(const wire::Database& aDatabase,
                                 Time aNow) const;
  bool IsPrimarySuspected(const wire::Database& aDatabase,
                          const LeaseTable& aLeases,
                          Time aNow) const;
  void StartReplacement(const wire::Database& aDatabase,
                        bool aPlanned,
                        std::string_view aCause,
                        Time aNow);
  void Advance(const wire::Database& aDatabase,
               Replacement& aReplacement,
               LeaseTable& aLeases,
               Time aNow);
  void AdvanceChoosing(const wire::Database& aDatabase,
                       Replacement& aReplacement,
                       Time aNow);
  void AdvanceFencing(const wire::Database& aDatabase,
                      Replacement& aReplacement,
                      LeaseTable& aLeases,
                      Time aNow);
  void AdvancePromoting(const wire::Database& aDatabase,
                        Replacement& aReplacement,
                        LeaseTable& aLeases,
                        Time aNow);
  ServerId FindSuccessor(const wire::Database& aDatabase,
                         const Replacement& aReplacement) const;
  bool CanKeepPrimary(const wire::Database& aDatabase,
                      Replacement& aReplacement,
                      const LeaseTable& aLeases,
                      Time aNow);
  bool HasSuccessorCaughtUp(const wire::Database& aDatabase,
                            const Replacement& aReplacement,
                            Time aNow) const;
  void ProposeIntent(const wire::Database& aDatabase,
                     Replacement& aReplacement,
                     Time aNow);
  void RequestStatuses(const wire::Database& aDatabase,
                       Replacement& aReplacement,
                       Time aNow);
  void RequestStatus(const wire::Upstream& aServer,
                     std::uint64_t aStepDownTerm,
                     Time aNow);
  void SetPhase(Replacement& aReplacement, Phase aPhase, Time aNow);
  void DropTimedOutCalls(Time aNow);
  // Ignores the answers to promotion requests that were sent so far.
  void DropPromotionCalls(const DatabaseId& aDatabase);

  FailoverTiming timing_;
  std::optional<Time> electedAt_; // first tick of this leadership
  bool hasHeardHolders_ = false;  // or has waited for them
  std::uint64_t fencingToken_ = 0;
  std::map<DatabaseId, std::map<VmId, SuspicionReport>> suspicionReports_;
  std::map<DatabaseId, Replacement> replacements_;
  std::map<DatabaseId, Time> primaryChangedAt_; // end of the last replacement
  // Last status requests while no primary is known.
  std::map<DatabaseId, Time> initialStatusRequestedAt_;
  // Statuses that arrived while no replacement was in progress.
  std::map<DatabaseId, std::map<ServerId, ServerStatus>> initialStatuses_;
  std::map<std::uint64_t, Call> pendingCalls_;
  std::map<std::uint64_t, DatabaseId> pendingPromotionCalls_;
  std::uint64_t nextCallId_ = 1;
  std::vector<RequestServerStatus> statusRequests_;
  std::vector<RequestPromotion> promotionRequests_;
  std::vector<wire::Change> proposals_;
  std::vector<DatabaseId> revocations_;
  std::vector<LogControlEvent> logEvents_;
};

} // namespace jaydoor

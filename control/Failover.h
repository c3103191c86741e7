#pragma once

// Changes of primary where an outside service performs the promotion; runs on
// the leader of the control state only.
//
// For each database whose primary leaves, is suspected or is unknown:
//   1. ask the other servers how much of the log they have,
//   2. fence the primary: no new leases, and those granted are called back,
//   3. once it can be reached, or no lease on it is left, log the intent, so
//      that a later leader goes on from here,
//   4. make the old primary step down, if it can be reached,
//   5. ask for the promotion, once the old primary has stepped down or no
//      lease on it is left,
//   6. publish the new primary, once it leads and no lease is left.
//
// Sections:
//   1. What the shell is asked to call
//   2. The decisions

#include "control/LeaseTable.h"
#include "control/Promoter.h"

namespace jaydoor {

// ---- 1. What the shell is asked to call

// How a server describes itself.
struct ServerStatus
{
  bool primary_ = false;
  std::uint64_t term_ = 0;
  LogPoint received_; // last entry of its log
};

// Asks a server for its status, or to step down first.
struct RequestServerStatus
{
  std::uint64_t callId_ = 0;
  wire::Upstream server_;
  std::uint64_t stepDownTerm_ = 0; // 0: only the status
};

// Asks the outside service to make a server the primary.
struct RequestPromotion
{
  std::uint64_t callId_ = 0;
  DatabaseId database_;
  ServerId server_;
  std::uint64_t fencingToken_ = 0; // rises with each leader
};

enum class PromotionAnswer : std::uint8_t
{
  Accepted,
  Refused, // the server is not running
  Unknown, // no answer, or the service is out of order
};

// ---- 2. The decisions

struct FailoverTiming
{
  Duration suspicionWindow_ = 1s;   // an older suspicion no longer counts
  Duration callTimeout_ = 500ms;    // an unanswered call is given up
  Duration lateStatusDelay_ = 60ms; // for the last answers, after the first
  Duration catchUpLimit_ = 300ms;   // a planned change waits for its successor
  Duration statusInterval_ = 50ms;  // while a promotion takes effect
  Duration promotionRetryInterval_ = 500ms; // an unanswered request is repeated
  Duration promotionTimeout_ = 3s;          // then another server is chosen
  Duration minChangeInterval_ = 2s;      // between two changes of one primary
  Duration suspicionClearDelay_ = 300ms; // unsuspected for so long: it stays
  Duration initialStatusInterval_ =
    200ms; // questions while no primary is known
};

class Failover
{
public:
  explicit Failover(FailoverTiming aTiming);

  void RecordSuspicion(const VmId& aFrom,
                       const wire::Suspicion& aSuspicion,
                       Time aNow);
  void HandleServerStatus(std::uint64_t aCall,
                          const std::optional<ServerStatus>& aStatus,
                          Time aNow);
  void HandlePromotionAnswer(std::uint64_t aCall,
                             PromotionAnswer aAnswer,
                             Time aNow);

  // Moves all changes on. Call while this VM is the leader with a lease.
  // `aFence`: the number that tells this leader's requests from earlier ones.
  void Tick(const ControlState& aState,
            LeaseTable& aLeases,
            std::uint64_t aFence,
            Time aNow);
  // Databases whose primary somebody suspects: the others are to try it, since
  // those that do not use it now would not find out.
  std::vector<DatabaseId> ListDatabasesWithSuspicion(const ControlState& aState,
                                                     Time aNow) const;
  // Forgets what is under way: this VM has just become the leader.
  void Reset();

  std::vector<RequestServerStatus> TakeStatusRequests();
  std::vector<RequestPromotion> TakePromotionRequests();
  std::vector<wire::Change> TakeProposals();
  // Databases whose leases are to be called back.
  std::vector<DatabaseId> TakeRevocations();
  std::vector<LogControlEvent> TakeLogEvents();

private:
  struct SuspicionReport
  {
    std::uint64_t term_ = 0;
    ServerId server_;
    Time receivedAt_;
    bool suspected_ = false;
  };

  enum class Phase : std::uint8_t
  {
    Choosing,  // the successor
    Fencing,   // until the old primary has stopped or no lease is left
    Promoting, // until the successor leads
  };

  struct Replacement
  {
    Phase phase_ = Phase::Choosing;
    bool planned_ = false;
    Time startedAt_;
    Time phaseStartedAt_;
    Time statusesRequestedAt_; // statuses
    Time roleRequestSentAt_;   // request for the promotion
    Time proposedAt_;          // to the control log
    Time leasesRevokedAt_;     // leases called back
    std::optional<Time> firstStatusAt_;
    std::map<ServerId, ServerStatus> statuses_; // since the phase began
    ServerId successor_;
    bool oldPrimarySteppedDown_ = false;   // the old primary
    bool promotionAccepted_ = false;       // the request for the promotion
    bool promotionRefused_ = false;        //
    std::set<ServerId> excludedServers_;   // servers that can't be promoted now
    std::optional<Time> unsuspectedSince_; // nobody suspects the old primary
  };

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
               Replacement& aChange,
               LeaseTable& aLeases,
               Time aNow);
  void AdvanceChoosing(const wire::Database& aDatabase,
                       Replacement& aChange,
                       Time aNow);
  void AdvanceFencing(const wire::Database& aDatabase,
                      Replacement& aChange,
                      LeaseTable& aLeases,
                      Time aNow);
  void AdvancePromoting(const wire::Database& aDatabase,
                        Replacement& aChange,
                        LeaseTable& aLeases,
                        Time aNow);
  ServerId FindSuccessor(const wire::Database& aDatabase,
                         const Replacement& aChange) const;
  bool CanKeepPrimary(const wire::Database& aDatabase,
                      Replacement& aChange,
                      const LeaseTable& aLeases,
                      Time aNow);
  bool HasSuccessorCaughtUp(const wire::Database& aDatabase,
                            const Replacement& aChange,
                            Time aNow) const;
  void ProposeIntent(const wire::Database& aDatabase,
                     Replacement& aChange,
                     Time aNow);
  void RequestStatuses(const wire::Database& aDatabase,
                       Replacement& aChange,
                       Time aNow);
  void RequestStatus(const wire::Upstream& aServer,
                     std::uint64_t aStepDownTerm,
                     Time aNow);
  void SetPhase(Replacement& aChange, Phase aPhase, Time aNow);
  void DropTimedOutCalls(Time aNow);

  FailoverTiming timing_;
  std::uint64_t fencingToken_ = 0;
  std::map<DatabaseId, std::map<VmId, SuspicionReport>> suspicionReports_;
  std::map<DatabaseId, Replacement> replacements_;
  std::map<DatabaseId, Time> primaryChangedAt_; // last change of primary
  std::map<DatabaseId, Time>
    initialStatusRequestedAt_; // while no primary is known
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

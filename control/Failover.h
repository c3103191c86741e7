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
struct CallServer
{
  std::uint64_t call_ = 0;
  wire::Upstream server_;
  std::uint64_t stepDownTerm_ = 0; // 0: only the status
};

// Asks the outside service to make a server the primary.
struct RequestPromotion
{
  std::uint64_t call_ = 0;
  DatabaseId database_;
  ServerId server_;
  std::uint64_t fence_ = 0; // rises with each leader
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
  Duration reportAge_ = 1s;       // an older suspicion no longer counts
  Duration callLimit_ = 500ms;    // an unanswered call is given up
  Duration candidateWait_ = 60ms; // for the last answers, after the first
  Duration catchUp_ = 300ms;      // a planned change waits for its successor
  Duration statusEvery_ = 50ms;   // while a promotion takes effect
  Duration promoteAgain_ = 500ms; // an unanswered request is repeated
  Duration effectLimit_ = 3s;     // then another server is chosen
  Duration calm_ = 2s;            // between two changes of one primary
  Duration trust_ = 300ms;        // unsuspected for so long: it stays
  Duration initialEvery_ = 200ms; // questions while no primary is known
};

class Failover
{
public:
  explicit Failover(FailoverTiming aTiming);

  void NoteSuspicion(const VmId& aFrom,
                     const wire::Suspicion& aSuspicion,
                     Time aNow);
  void NoteStatus(std::uint64_t aCall,
                  const std::optional<ServerStatus>& aStatus,
                  Time aNow);
  void NotePromotion(std::uint64_t aCall, PromotionAnswer aAnswer, Time aNow);

  // Moves all changes on. Call while this VM is the leader with a lease.
  // `aFence`: the number that tells this leader's requests from earlier ones.
  void Tick(const ControlState& aState,
            LeaseTable& aLeases,
            std::uint64_t aFence,
            Time aNow);
  // Databases whose primary somebody suspects: the others are to try it, since
  // those that do not use it now would not find out.
  std::vector<DatabaseId> ListDoubted(const ControlState& aState,
                                      Time aNow) const;
  // Forgets what is under way: this VM has just become the leader.
  void Reset();

  std::vector<CallServer> TakeCalls();
  std::vector<RequestPromotion> TakePromotions();
  std::vector<wire::Change> TakeProposals();
  // Databases whose leases are to be called back.
  std::vector<DatabaseId> TakeRevocations();
  std::vector<ControlNote> TakeNotes();

private:
  struct Report
  {
    std::uint64_t term_ = 0;
    ServerId server_;
    Time at_;
    bool suspected_ = false;
  };

  enum class Phase : std::uint8_t
  {
    Choosing,  // the successor
    Fencing,   // until the old primary has stopped or no lease is left
    Promoting, // until the successor leads
  };

  struct Change
  {
    Phase phase_ = Phase::Choosing;
    bool planned_ = false;
    Time startedAt_;
    Time phaseAt_;
    Time askedAt_;    // statuses
    Time promotedAt_; // request for the promotion
    Time proposedAt_; // to the control log
    Time revokedAt_;  // leases called back
    std::optional<Time> firstAnswerAt_;
    std::map<ServerId, ServerStatus> statuses_; // since the phase began
    ServerId successor_;
    bool steppedDown_ = false;         // the old primary
    bool accepted_ = false;            // the request for the promotion
    bool refused_ = false;             //
    std::set<ServerId> refusing_;      // servers that can't be promoted now
    std::optional<Time> trustedSince_; // nobody suspects the old primary
  };

  struct Call
  {
    DatabaseId database_;
    ServerId server_;
    Time at_;
    bool stepDown_ = false;
  };

  void Watch(const wire::Database& aDatabase, LeaseTable& aLeases, Time aNow);
  void FindFirst(const wire::Database& aDatabase, Time aNow);
  std::size_t CountSuspecting(const wire::Database& aDatabase, Time aNow) const;
  bool IsSuspected(const wire::Database& aDatabase,
                   const LeaseTable& aLeases,
                   Time aNow) const;
  void Start(const wire::Database& aDatabase,
             bool aPlanned,
             std::string_view aCause,
             Time aNow);
  void Advance(const wire::Database& aDatabase,
               Change& aChange,
               LeaseTable& aLeases,
               Time aNow);
  void Choose(const wire::Database& aDatabase, Change& aChange, Time aNow);
  void FenceOld(const wire::Database& aDatabase,
                Change& aChange,
                LeaseTable& aLeases,
                Time aNow);
  void Promote(const wire::Database& aDatabase,
               Change& aChange,
               LeaseTable& aLeases,
               Time aNow);
  ServerId ChooseSuccessor(const wire::Database& aDatabase,
                           const Change& aChange) const;
  bool IsTrusted(const wire::Database& aDatabase,
                 Change& aChange,
                 const LeaseTable& aLeases,
                 Time aNow);
  bool HasCaughtUp(const wire::Database& aDatabase,
                   const Change& aChange,
                   Time aNow) const;
  void ProposeIntent(const wire::Database& aDatabase,
                     Change& aChange,
                     Time aNow);
  void AskAll(const wire::Database& aDatabase, Change& aChange, Time aNow);
  void Ask(const wire::Upstream& aServer,
           std::uint64_t aStepDownTerm,
           Time aNow);
  void SetPhase(Change& aChange, Phase aPhase, Time aNow);
  void DropLateCalls(Time aNow);

  FailoverTiming timing_;
  std::uint64_t fence_ = 0;
  std::map<DatabaseId, std::map<VmId, Report>> reports_;
  std::map<DatabaseId, Change> changes_;
  std::map<DatabaseId, Time> changedAt_; // last change of primary
  std::map<DatabaseId, Time> askedAt_;   // while no primary is known
  std::map<DatabaseId, std::map<ServerId, ServerStatus>> claims_;
  std::map<std::uint64_t, Call> calls_;
  std::map<std::uint64_t, DatabaseId> promotionCalls_;
  std::uint64_t nextCall_ = 1;
  std::vector<CallServer> out_;
  std::vector<RequestPromotion> promotions_;
  std::vector<wire::Change> proposals_;
  std::vector<DatabaseId> revocations_;
  std::vector<ControlNote> notes_;
};

} // namespace jaydoor

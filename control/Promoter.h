#pragma once

// Orders promotions; runs on the leader of the control state only.
//
// For each database without a primary that its watchers trust:
//   1. reserve a term in the control log,
//   2. seal a majority of the group at that term,
//   3. promote the sealed server with the highest log point,
//   4. publish it in the control log.
//
// What was acknowledged is on a majority, any two majorities meet, and a
// sealed server takes no more writes of an earlier term: so the promoted
// server holds all that was acknowledged, and nobody else can acknowledge.

#include "base/Log.h"
#include "control/ControlState.h"
#include "control/FleetView.h"
#include "wire/Json.h"

#include <map>
#include <set>
#include <vector>

namespace jaydoor {

struct PromoterTiming
{
  Duration suspicionWindow_ = 1s;  // an older suspicion no longer counts
  Duration newGroupDelay_ = 500ms; // for the rest of a new group to announce
  Duration lateSealDelay_ = 30ms;  // for the last server, after a majority
  Duration callRetryInterval_ = 300ms; // unanswered calls are repeated
  Duration proposalRetryInterval_ = 500ms;
};

// A line for the log.
struct LogControlEvent
{
  Event event_ = Event::Started;
  std::string fields_;
};

// A call to an upstream, on a connection of its own.
struct SendPromoterRequest
{
  std::uint64_t callId_ = 0;
  ServerId server_;
  std::string host_;
  std::uint16_t port_ = 0;
  UpstreamRequest request_;
};

class Promoter
{
public:
  Promoter(PromoterTiming aTiming);

  // A watcher's report on the primary of a database.
  void RecordSuspicion(const VmId& aFrom,
                       const wire::Suspicion& aSuspicion,
                       Time aNow);
  // The answer to a call, or none if it failed.
  void HandleAnswer(std::uint64_t aCall,
                    const std::optional<UpstreamAnswer>& aAnswer,
                    Time aNow);

  // Moves all promotions on. Call while this VM is the leader with a lease.
  void Tick(const ControlState& aState, const OwnerMap& aOwners, Time aNow);
  // Forgets what is under way: this VM is no longer the leader.
  void Reset();

  std::vector<SendPromoterRequest> TakeRequests();
  std::vector<wire::Change> TakeProposals();
  std::vector<LogControlEvent> TakeLogEvents();

private:
  struct SuspicionReport
  {
    std::uint64_t term_ = 0;
    Time receivedAt_;
    bool suspected_ = false;
  };

  enum class Phase : std::uint8_t
  {
    Reserving,
    Sealing,
    Promoting,
    Publishing,
  };

  struct Promotion
  {
    Phase phase_ = Phase::Reserving;
    std::uint64_t term_ = 0;
    Time startedAt_;
    Time phaseStartedAt_;
    Time retryAt_; // calls or proposal are repeated then
    std::map<ServerId, LogPoint> sealedPoints_;
    std::optional<Time> majoritySealedAt_;
    ServerId chosenServer_;
    bool promoted_ = false;
    bool needsNewTerm_ = false;         // a server has promised a later term
    std::uint64_t highestUsedTerm_ = 0; // highest term promised by a server
  };

  struct Call
  {
    DatabaseId database_;
    ServerId server_;
    std::uint64_t term_ = 0;
    UpstreamOp op_ = UpstreamOp::Seal;
  };

  bool IsPromotionNeeded(const wire::Database& aDatabase,
                         const OwnerMap& aOwners,
                         Time aNow);
  void Advance(const wire::Database& aDatabase,
               Promotion& aPromotion,
               Time aNow);
  void Reserve(const wire::Database& aDatabase,
               Promotion& aPromotion,
               Time aNow);
  void Seal(const wire::Database& aDatabase, Promotion& aPromotion, Time aNow);
  void Promote(const wire::Database& aDatabase,
               Promotion& aPromotion,
               Time aNow);
  void Publish(const wire::Database& aDatabase,
               Promotion& aPromotion,
               Time aNow);
  ServerId ChooseServer(const wire::Database& aDatabase,
                        const Promotion& aPromotion) const;
  void QueueRequest(const wire::Upstream& aServer,
                    UpstreamOp aOp,
                    const Promotion& aPromotion);
  void SetPhase(Promotion& aPromotion, Phase aPhase, Time aNow);

  PromoterTiming timing_;
  std::map<DatabaseId, std::map<VmId, SuspicionReport>> suspicionReports_;
  std::map<DatabaseId, Time>
    primaryMissingSince_; // databases that had no primary yet
  std::map<DatabaseId, Promotion> promotions_;
  std::map<std::uint64_t, Call> pendingCalls_;
  std::uint64_t nextCallId_ = 1;
  std::vector<SendPromoterRequest> requests_;
  std::vector<wire::Change> proposals_;
  std::vector<LogControlEvent> logEvents_;
};

} // namespace jaydoor

#pragma once

// Routes callers' statements to the owners of upstreams, and answers each with
// exactly one outcome.
//
// Sections:
//   1. Messages to owners
//   2. The router
//
// Routing: a write goes to the primary. A read whose rule allows stale data
// goes to the replica with the shortest expected answer time, then to the
// others, then to the primary. While no primary is known, statements wait until
// one is known or their deadline passes; they have not run.
//
// Retries: a statement is sent again only if it is proven not to have run or
// may run more than once. Retries are limited by the retry budget, except those
// that cost the fleet nothing: after a refusal that is due to an outdated
// route, and after a forward that could not be sent.

#include "control/FleetView.h"
#include "traffic/Actions.h"
#include "traffic/RetryBudget.h"
#include "traffic/Session.h"

#include <map>
#include <random>
#include <set>

namespace jaydoor {

// ---- 1. Messages to owners

struct OutgoingForward
{
  VmId owner_;
  wire::Forward forward_;
};

struct OutgoingCancel
{
  VmId owner_;
  RequestId request_ = 0;
};

// ---- 2. The router

class StatementRouter
{
public:
  StatementRouter(VmId aSelf,
                  ZoneId aZone,
                  SessionSigner aSigner,
                  std::uint64_t aSeed);

  // Adopts the view, routes the statements that wait for a route, and routes
  // repeatable statements again whose owner is no longer live.
  void SetView(FleetViewPtr aView, Time aNow);
  // While draining, refuses new statements and finishes those in flight.
  void SetDraining(bool aDraining) { draining_ = aDraining; }

  // Routes a caller's statement, or refuses it at once. `aId` is unique among
  // the statements in flight.
  void StartStatement(RequestId aId, CallerRequest aRequest, Time aNow);
  // Cancels a statement without an answer because its caller has disconnected.
  void AbandonStatement(RequestId aId);
  // Answers or retries a statement according to its owner's reply.
  void HandleReply(const wire::ForwardReply& aReply, Time aNow);
  // Schedules a retry of a statement whose forward could not be sent, which
  // proves that this attempt has not run.
  void HandleUnsentForward(RequestId aForward, Time aNow);
  // Retries what is due, and handles owners that have not replied in time.
  void Tick(Time aNow);

  // Messages to owners since the last call.
  std::vector<OutgoingForward> TakeForwards();
  std::vector<OutgoingCancel> TakeCancels();
  // Answers to callers, trace spans and log events since the last call.
  TrafficActions TakeActions();

  // Statements that have not been answered yet.
  std::size_t CountInFlight() const { return pendingStatements_.size(); }

private:
  // A statement that has not been answered yet.
  struct PendingStatement
  {
    CallerRequest request_;
    SessionState session_;
    Rank rank_ = Rank::Normal;
    Duration maxAge_{}; // greatest allowed age of the data, by rule
    Time startedAt_;
    Time deadline_;
    Time sentAt_;                     // of the current attempt
    RequestId forwardId_ = 0;         // 0: waiting to be routed
    ServerId server_;                 // of the current attempt
    VmId owner_;                      // of that server
    std::set<ServerId> triedServers_; // without success, for a stale read
    Time retryAt_;                    // if waiting: when it is routed again
    Reason waitReason_ = Reason::NoPrimary; // why it waits for a route
    bool mayHaveRun_ = false;  // no proof that an earlier attempt has not run
    std::string traceId_;      // 32 hex digits, empty: not traced
    std::string spanId_;       // 16 hex digits
    std::string parentSpanId_; // of the caller's span
  };

  // Where a statement is sent.
  struct Target
  {
    ServerId server_;
    VmId owner_;
  };

  struct ServerLatency
  {
    Duration smoothed_{}; // time until a reply arrives, as this VM sees it
  };

  using PendingStatements = std::map<RequestId, PendingStatement>;

  std::optional<Reason> FindRefusal(const PendingStatement& aPending) const;
  std::optional<Target> FindTarget(PendingStatement& aPending);
  std::optional<Target> FindReplica(const PendingStatement& aPending);
  std::optional<Target> FindTransactionTarget(
    const PendingStatement& aPending) const;
  std::optional<Target> FindTargetOn(const ServerId& aServer) const;
  Duration EstimateLatency(const wire::Upstream& aServer) const;
  void Route(RequestId aId, PendingStatement& aPending, Time aNow);
  void ScheduleRetry(PendingStatement& aPending, Reason aReason, Time aNow);
  void RerouteOrRefuse(RequestId aId,
                       PendingStatement& aPending,
                       Reason aReason,
                       Time aNow);
  void HandleDone(RequestId aId,
                  PendingStatement& aPending,
                  const wire::ForwardReply& aReply,
                  Time aNow);
  void HandleSilentOwner(RequestId aId, PendingStatement& aPending, Time aNow);
  void SendAnswer(RequestId aId, CallerAnswer aAnswer, Time aNow);
  void Refuse(RequestId aId, Outcome aOutcome, Reason aReason, Time aNow);
  void StartTrace(PendingStatement& aPending);
  std::string MakeSpanId();

  VmId self_;
  ZoneId zone_;
  SessionSigner signer_;
  std::mt19937_64 random_;
  RequestId nextForward_; // starts at a random id (see MakeFirstId)
  FleetViewPtr view_;
  bool draining_ = false;
  RetryBudget retryBudget_;
  PendingStatements pendingStatements_;
  std::map<RequestId, RequestId> requestByForward_; // by forward id
  std::map<ServerId, ServerLatency> latencies_;
  std::vector<OutgoingForward> outgoingForwards_;
  std::vector<OutgoingCancel> outgoingCancels_;
  TrafficActions actions_;
};

} // namespace jaydoor

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

struct ForwardOut
{
  VmId owner_;
  wire::Forward forward_;
};

struct CancelOut
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
  void Start(RequestId aId, CallerRequest aRequest, Time aNow);
  // Cancels a statement without an answer because its caller has disconnected.
  void Abandon(RequestId aId);
  // Answers or retries a statement according to its owner's reply.
  void TakeReply(const wire::ForwardReply& aReply, Time aNow);
  // Schedules a retry of a statement whose forward could not be sent, which
  // proves that this attempt has not run.
  void TakeUnsent(RequestId aForward, Time aNow);
  // Retries what is due, and handles owners that have not replied in time.
  void Tick(Time aNow);

  // Messages to owners since the last call.
  std::vector<ForwardOut> TakeForwards();
  std::vector<CancelOut> TakeCancels();
  // Answers to callers, trace spans and log events since the last call.
  TrafficActions TakeActions();

  // Statements that have not been answered yet.
  std::size_t InFlight() const { return flows_.size(); }

private:
  // A statement that has not been answered yet.
  struct Flow
  {
    CallerRequest request_;
    SessionState session_;
    Rank rank_ = Rank::Normal;
    Duration maxAge_{}; // greatest allowed age of the data, by rule
    Time startedAt_;
    Time deadline_;
    Time sentAt_;                         // of the current attempt
    RequestId forward_ = 0;               // 0: waiting to be routed
    ServerId server_;                     // of the current attempt
    VmId owner_;                          // of that server
    std::set<ServerId> tried_;            // servers that refused a stale read
    Time retryAt_;                        // when it is routed again
    Reason waitsFor_ = Reason::NoPrimary; // why it waits for a route
    bool mayHaveRun_ = false; // no proof that an earlier attempt has not run
    std::string traceId_;     // 32 hex digits, empty: not traced
    std::string spanId_;      // 16 hex digits
    std::string parentId_;    // of the caller's span
  };

  // Where a statement is sent.
  struct Target
  {
    ServerId server_;
    VmId owner_;
  };

  struct ServerNote
  {
    Duration time_{}; // time until a reply arrives, as this VM sees it
  };

  using Flows = std::map<RequestId, Flow>;

  std::optional<Reason> FindRefusal(const Flow& aPending) const;
  std::optional<Target> FindTarget(Flow& aPending);
  std::optional<Target> FindReplica(const Flow& aPending);
  std::optional<Target> FindTransactionTarget(const Flow& aPending) const;
  std::optional<Target> TargetFor(const ServerId& aServer) const;
  Duration ExpectTime(const wire::Upstream& aServer) const;
  void Route(RequestId aId, Flow& aPending, Time aNow);
  void Park(Flow& aPending, Reason aReason, Time aNow);
  void SettleRefusal(RequestId aId, Flow& aPending, Reason aReason, Time aNow);
  void SettleDone(RequestId aId,
                  Flow& aPending,
                  const wire::ForwardReply& aReply,
                  Time aNow);
  void SettleSilence(RequestId aId, Flow& aPending, Time aNow);
  void Answer(RequestId aId, CallerAnswer aAnswer, Time aNow);
  void Refuse(RequestId aId, Outcome aOutcome, Reason aReason, Time aNow);
  void StartTrace(Flow& aPending);
  std::string MakeSpanId();

  VmId self_;
  ZoneId zone_;
  SessionSigner signer_;
  std::mt19937_64 random_;
  RequestId nextForward_; // starts at a random id (see MakeFirstId)
  FleetViewPtr view_;
  bool draining_ = false;
  RetryBudget budget_;
  Flows flows_;
  std::map<RequestId, RequestId> forwards_; // by forward id
  std::map<ServerId, ServerNote> notes_;
  std::vector<ForwardOut> out_;
  std::vector<CancelOut> cancels_;
  TrafficActions actions_;
};

} // namespace jaydoor

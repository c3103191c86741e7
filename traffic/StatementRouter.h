#pragma once

// Takes callers' statements and sees each through to exactly one outcome.
//
// Sections:
//   1. What the router asks for: forwards to owners, answers to callers
//   2. The router
//
// Route: a write goes to the primary. A read whose rule allows an age goes to
// the replica with the least expected time, then to the others, then to the
// primary. While no primary is known, statements wait until one is or their
// deadline passes; they have not run.
//
// Retry: only what is proven not to have run, or may run twice; within the
// retry budget.

#include "control/FleetView.h"
#include "traffic/Actions.h"
#include "traffic/RetryBudget.h"
#include "traffic/Session.h"

#include <map>
#include <random>
#include <set>

namespace jaydoor {

// ---- 1. What the router asks for

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

  void SetView(FleetViewPtr aView, Time aNow);
  // While on, refuses new statements; those in flight are finished.
  void SetDraining(bool aOn) { draining_ = aOn; }

  void StartStatement(RequestId aId, CallerRequest aRequest, Time aNow);
  // The caller is gone: nobody waits for the answer.
  void AbandonStatement(RequestId aId);
  void HandleReply(const wire::ForwardReply& aReply, Time aNow);
  // The forward could not be sent: proof that it did not run.
  void HandleUnsentForward(RequestId aForward, Time aNow);
  void Tick(Time aNow);

  std::vector<OutgoingForward> TakeForwards();
  std::vector<OutgoingCancel> TakeCancels();
  // Answers, spans and notes.
  TrafficActions TakeActions();

  std::size_t CountInFlight() const { return pendingStatements_.size(); }

private:
  struct PendingStatement
  {
    CallerRequest request_;
    SessionState session_;
    Rank rank_ = Rank::Normal;
    Duration maxAge_{};
    Time startedAt_;
    Time deadline_;
    Time sentAt_;             // of the current attempt
    RequestId forwardId_ = 0; // 0: waiting to be routed
    ServerId server_;         // of the current attempt
    VmId owner_;
    std::set<ServerId> triedServers_;
    Time retryAt_; // when a waiting flow is routed again
    Reason waitReason_ = Reason::NoPrimary;
    bool mayHaveRun_ = false; // an earlier attempt has no proof
    std::string traceId_;     // 32 hex digits, empty: not traced
    std::string spanId_;
    std::string parentSpanId_;
  };

  struct Target
  {
    ServerId server_;
    VmId owner_;
  };

  struct ServerLatency
  {
    Duration smoothed_{}; // smoothed time of answers, as this VM sees it
  };

  using PendingStatements = std::map<RequestId, PendingStatement>;

  std::optional<Reason> FindRefusal(const PendingStatement& aFlow) const;
  std::optional<Target> FindTarget(PendingStatement& aFlow);
  std::optional<Target> FindReplica(const PendingStatement& aFlow);
  std::optional<Target> FindTransactionTarget(
    const PendingStatement& aFlow) const;
  std::optional<Target> FindTargetOn(const ServerId& aServer) const;
  Duration EstimateLatency(const wire::Upstream& aServer) const;
  void Route(RequestId aId, PendingStatement& aFlow, Time aNow);
  void ScheduleRetry(PendingStatement& aFlow, Reason aReason, Time aNow);
  void RerouteOrRefuse(RequestId aId,
                       PendingStatement& aFlow,
                       Reason aReason,
                       Time aNow);
  void HandleDone(RequestId aId,
                  PendingStatement& aFlow,
                  const wire::ForwardReply& aReply,
                  Time aNow);
  void HandleSilentOwner(RequestId aId, PendingStatement& aFlow, Time aNow);
  void SendAnswer(RequestId aId, CallerAnswer aAnswer, Time aNow);
  void Refuse(RequestId aId, Outcome aOutcome, Reason aReason, Time aNow);
  void StartTrace(PendingStatement& aFlow);
  std::string MakeSpanId();

  VmId self_;
  ZoneId zone_;
  SessionSigner signer_;
  std::mt19937_64 random_;
  RequestId nextForward_; // begins at random: see MakeFirstId
  FleetViewPtr view_;
  bool draining_ = false;
  RetryBudget retryBudget_;
  PendingStatements pendingStatements_;
  std::map<RequestId, RequestId> requestByForward_; // forward id to flow
  std::map<ServerId, ServerLatency> latencies_;
  std::vector<OutgoingForward> outgoingForwards_;
  std::vector<OutgoingCancel> outgoingCancels_;
  TrafficActions actions_;
};

} // namespace jaydoor

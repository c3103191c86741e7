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

  void SetView(FleetViewPtr aView, Time aNow);
  // While on, refuses new statements; those in flight are finished.
  void SetDraining(bool aOn) { draining_ = aOn; }

  void Start(RequestId aId, CallerRequest aRequest, Time aNow);
  // The caller is gone: nobody waits for the answer.
  void Abandon(RequestId aId);
  void TakeReply(const wire::ForwardReply& aReply, Time aNow);
  // The forward could not be sent: proof that it did not run.
  void TakeUnsent(RequestId aForward, Time aNow);
  void Tick(Time aNow);

  std::vector<ForwardOut> TakeForwards();
  std::vector<CancelOut> TakeCancels();
  // Answers, spans and notes.
  TrafficActions TakeActions();

  std::size_t InFlight() const { return flows_.size(); }

private:
  struct Flow
  {
    CallerRequest request_;
    SessionState session_;
    Rank rank_ = Rank::Normal;
    Duration maxAge_{};
    Time startedAt_;
    Time deadline_;
    Time sentAt_;           // of the current attempt
    RequestId forward_ = 0; // 0: waiting to be routed
    ServerId server_;       // of the current attempt
    VmId owner_;
    std::set<ServerId> tried_;
    Time retryAt_; // when a waiting flow is routed again
    Reason waitsFor_ = Reason::NoPrimary;
    bool mayHaveRun_ = false; // an earlier attempt has no proof
    std::string traceId_;     // 32 hex digits, empty: not traced
    std::string spanId_;
    std::string parentId_;
  };

  struct Target
  {
    ServerId server_;
    VmId owner_;
  };

  struct ServerNote
  {
    Duration time_{}; // smoothed time of answers, as this VM sees it
  };

  using Flows = std::map<RequestId, Flow>;

  std::optional<Reason> FindRefusal(const Flow& aFlow) const;
  std::optional<Target> FindTarget(Flow& aFlow);
  std::optional<Target> FindReplica(const Flow& aFlow);
  std::optional<Target> FindTransactionTarget(const Flow& aFlow) const;
  std::optional<Target> TargetFor(const ServerId& aServer) const;
  Duration ExpectTime(const wire::Upstream& aServer) const;
  void Route(RequestId aId, Flow& aFlow, Time aNow);
  void Park(Flow& aFlow, Reason aReason, Time aNow);
  void SettleRefusal(RequestId aId, Flow& aFlow, Reason aReason, Time aNow);
  void SettleDone(RequestId aId,
                  Flow& aFlow,
                  const wire::ForwardReply& aReply,
                  Time aNow);
  void SettleSilence(RequestId aId, Flow& aFlow, Time aNow);
  void Answer(RequestId aId, CallerAnswer aAnswer, Time aNow);
  void Refuse(RequestId aId, Outcome aOutcome, Reason aReason, Time aNow);
  void StartTrace(Flow& aFlow);
  std::string MakeSpanId();

  VmId self_;
  ZoneId zone_;
  SessionSigner signer_;
  std::mt19937_64 random_;
  RequestId nextForward_; // begins at random: see MakeFirstId
  FleetViewPtr view_;
  bool draining_ = false;
  RetryBudget budget_;
  Flows flows_;
  std::map<RequestId, RequestId> forwards_; // forward id to flow
  std::map<ServerId, ServerNote> notes_;
  std::vector<ForwardOut> out_;
  std::vector<CancelOut> cancels_;
  TrafficActions actions_;
};

} // namespace jaydoor

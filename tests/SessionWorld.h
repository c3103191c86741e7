#pragma once

// Gateways in front of one group of fake servers under virtual time, with
// callers that write and read at random, and the checks of what they are told.
//
//   SessionWorld world(seed);
//   world.Run(5s);
//   world.Failures();   // empty if every promise held
//
// The same seed gives the same run. Faults: servers that crash, fall behind,
// lose answers, hold them, or give them twice; gateways that freeze; changes of
// primary that wait for the leases.

#include "control/LeaseTable.h"
#include "control/PrimaryPoints.h"
#include "gateway/Gateway.h"
#include "tests/ConnectionAnswers.h"
#include "tests/Timeline.h"

#include <map>
#include <queue>
#include <random>
#include <set>

namespace jaydoor::tests {

struct SessionWorldConfig
{
  std::uint64_t seed_ = 1;
  std::size_t gateways_ = 2;
  std::size_t sessions_ = 8; // at each gateway
  Duration lag_ = 10ms;      // of replicas
  Duration work_ = 4ms;      // of a statement
  unsigned slots_ = 3;
  unsigned connections_ = 20;
  bool faults_ = true;
  // Servers say that they leave, some of them all at the same time, and stay
  // again after the drain bound. The news reaches some gateways late.
  bool leavings_ = false;
  // Share of the commands that servers answer a second time, later.
  double repeats_ = 0;
  // Share of the statements that servers refuse for lack of capacity.
  double refusals_ = 0;
};

// A server that says that it leaves is given new work for less than this time.
constexpr Duration kServerDrainBound = 7s;

class SessionWorld : private Timeline
{
public:
  explicit SessionWorld(SessionWorldConfig aConfig);

  using Timeline::Now;
  using Timeline::Run;
  const std::vector<std::string>& Failures() const { return failures_; }

  std::size_t Done() const { return done_; }
  std::size_t Refused() const { return refused_; }
  std::size_t Promotions() const { return promotions_; }
  std::size_t Leavings() const { return leavings_; }
  std::size_t Repeats() const { return repeats_; }

  // Faults by hand.
  void CrashServer(std::size_t aServer);
  void StartServer(std::size_t aServer);
  void SetLag(Duration aLag) { config_.lag_ = aLag; }
  void SetAnswerLoss(double aShare) { loss_ = aShare; }
  // Replaces the primary as the leader would; `aStepDown`: it can be reached.
  void ChangePrimary(bool aStepDown);
  void StopCallers() { callersStopped_ = true; }

private:
  struct Commit
  {
    LogPoint point_;
    std::string item_;
    std::string value_;
  };

  struct Connection
  {
    std::size_t server_ = 0;
    std::size_t gateway_ = 0;
    ConnectionAnswers answers_;
    bool reads_ = false;
    std::map<std::string, std::string> values_;
    std::map<std::string, std::pair<bool, std::string>> prepared_;
    std::vector<Commit> writes_; // of the open transaction
    std::string owner_;          // transaction of a caller
    std::deque<ServerCommand> inbox_;
    bool busy_ = false;

    bool IsInside() const { return answers_.State() != TransactionState::Idle; }
  };

  struct Server
  {
    bool up_ = true;
    bool primary_ = false;
    std::uint64_t term_ = 1;
    std::vector<Commit> log_;
    unsigned running_ = 0;
    std::uint64_t run_ = 1; // raised at each crash
    std::optional<Time> leavingSince_;
  };

  struct Caller
  {
    std::size_t gateway_ = 0;
    SessionId session_ = 0;
    std::string name_;
    std::string database_;
    std::map<std::string, std::string> values_;
    std::map<std::string, std::pair<bool, std::string>> prepared_;
    std::string waiting_; // id of the statement under way
    StatementKind kind_ = StatementKind::Malformed;
    std::string item_;
    std::string value_; // that is written
    Time sentAt_;       // of the statement, or of its transaction's begin
    bool inside_ = false;
    bool reads_ = false;
    std::size_t transactions_ = 0; // begun so far
    std::map<std::string, std::string> txWrites_;
    int left_ = 0;              // statements until the transaction ends
    std::set<std::string> own_; // values acknowledged to this session
  };

  // A statement that was sent, as the server sees it.
  struct SentStatement
  {
    std::size_t caller_ = 0;
    StatementKind kind_ = StatementKind::Malformed;
    std::string item_;
    std::string value_;       // that is written
    std::string transaction_; // of the caller; empty: none
  };

  // A run of a statement at a server.
  struct StatementRun
  {
    std::string id_; // of the statement
    std::vector<std::string> rows_;
  };

  // What the world knows of one written value.
  struct Fate
  {
    int commits_ = 0;
    bool refused_ = false;
    bool acknowledged_ = false;
    Time acknowledgedAt_;
    bool rolledBack_ = false;  // by a change of primary
    bool late_ = false;        // committed at a primary that was replaced
    std::size_t position_ = 0; // in the log
  };

  void Check(bool aHolds, const std::string& aWhat);
  void StepGateway(std::size_t aGateway, GatewayEvent aEvent);
  void Perform(std::size_t aGateway, GatewayAction& aAction);
  void TickGateway(std::size_t aGateway);
  void PublishFleet();

  using ConnectionKey = std::pair<std::size_t, ServerLinkId>;

  void Receive(ConnectionKey aKey, ServerCommand aCommand);
  void RunNext(ConnectionKey aKey);
  void AnswerLink(ConnectionKey aKey, ServerAnswer aAnswer);
  void RepeatAnswer(ConnectionKey aKey, const ServerAnswer& aAnswer);
  void LoseLink(ConnectionKey aKey);
  void Apply(wire::Change aChange);
  void Grant(std::size_t aGateway, const wire::LeaseRequest& aRequest);
  void AwaitFree(bool aStepDown);
  ServerAnswer Execute(Connection& aConnection, const ServerCommand& aCommand);
  std::optional<SessionError> ExecuteStatement(Connection& aConnection,
                                               const ServerCommand& aCommand);
  // Checks that a success is that of the caller's own statement.
  void CheckSuccess(const std::string& aId, const SessionReply& aReply);
  void CheckRead(const Server& aServer,
                 const Caller& aCaller,
                 const Connection& aConnection);
  void CommitAll(Server& aServer, const std::vector<Commit>& aWrites);
  bool Holds(const Server& aServer, LogPoint aPoint) const;
  void Replicate();
  std::size_t Primary() const;

  void Act(std::size_t aCaller);
  void Send(std::size_t aCaller, SessionStatement aStatement);
  void Answered(std::size_t aCaller, const SessionReply& aReply);
  // Returns true with the probability.
  bool Draw(double aProbability);
  void Disturb();
  void AnnounceServer(std::size_t aServer);
  void LeaveServers();
  void FinishPromotion();

  SessionWorldConfig config_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<Time> frozenUntil_;
  std::vector<Time> viewHeldUntil_; // by gateway: it gets no view before
  std::vector<Server> servers_;
  std::map<ConnectionKey, Connection> connections_;
  std::vector<Caller> callers_;
  std::map<std::string, SentStatement> statements_; // by id
  std::map<std::string, StatementRun> runs_;        // by signature
  std::map<std::string, Fate> fates_;               // by written value
  std::vector<std::string> acknowledged_;           // values, in order
  ControlState state_;
  std::uint64_t index_ = 0;
  LeaseTable leases_{ LeaseTiming{} };
  PrimaryPoints primaryPoints_;
  bool changing_ = false;
  std::size_t successor_ = 0;
  std::uint64_t nextValue_ = 1;
  double loss_ = 0;
  bool callersStopped_ = false;
  std::size_t done_ = 0;
  std::size_t refused_ = 0;
  std::size_t promotions_ = 0;
  std::size_t leavings_ = 0;
  std::size_t repeats_ = 0;
  std::vector<std::string> failures_;
};

} // namespace jaydoor::tests

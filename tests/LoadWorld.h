#pragma once

// Many gateways in front of one group of servers under virtual time, with
// callers that arrive at given rates, to measure how well load is served.
//
//   LoadWorld world(config);
//   world.Run(10s);
//   world.Results()[0].InTargetShare();
//
// A server runs as many statements at once as it has slots, queues some more in
// the order of their arrival and refuses the rest. It also refuses connections
// over its limit, and opening one takes time in a slot. A caller sends one
// statement or a transaction; if it is refused, it tries again through another
// gateway.

#include "control/OverloadMonitor.h"
#include "control/PrimaryPoints.h"
#include "gateway/Gateway.h"
#include "tests/ConnectionAnswers.h"
#include "tests/Timeline.h"

#include <deque>
#include <map>
#include <memory>
#include <random>

namespace jaydoor::tests {

// The callers of one database.
struct LoadClass
{
  std::string name_;
  Consistency consistency_ = Consistency::Primary;
  int rank_ = 0;
  double perSecond_ = 0;
  double writeShare_ = 0;
  Duration work_{}; // mean time that a statement takes in a slot
  Duration target_{};
  Duration deadline_{};
  double worth_ = 1;
  double lateWorth_ = 0;
  double transactionShare_ = 0;
};

struct LoadConfig
{
  std::uint64_t seed_ = 1;
  std::size_t gateways_ = 4;
  unsigned slots_ = 4;
  std::size_t queue_ = 32; // of each server
  std::vector<LoadClass> classes_;
  int retries_ = 2;
  Duration retryDelay_ = 20ms;        // from a refusal to the next try
  std::size_t connectionLimit_ = 140; // of each server
  // A server counts a connection of a gateway that was killed for this long.
  Duration lingerTime_ = 3s;
  // Of a transaction: statements before the commit, and the mean pause after
  // each of them.
  std::size_t transactionLength_ = 4;
  Duration transactionPause_ = 60ms;
};

struct LoadResult
{
  std::size_t asked_ = 0;
  std::size_t inTarget_ = 0;
  std::size_t late_ = 0;
  std::size_t refused_ = 0;
  double owed_ = 0;   // worth of all statements
  double earned_ = 0; // worth of those that were served

  double InTargetShare() const
  {
    return static_cast<double>(inTarget_) / static_cast<double>(asked_);
  }
};

class LoadWorld : private Timeline
{
public:
  explicit LoadWorld(LoadConfig aConfig);

  using Timeline::Run;
  // From now on replicas lack recent commits.
  void SetReplicasBehind(bool aBehind) { replicasBehind_ = aBehind; }
  // Multiplies the rates of all classes from now on.
  void SetRateFactor(double aFactor) { rateFactor_ = aFactor; }
  // Ends all gateways at once, and starts them again after `aPause`. Their
  // connections linger at the servers.
  void RestartGateways(Duration aPause);
  // Forgets all results so far.
  void StartMeasuring();
  // By class, of the callers that arrived since StartMeasuring().
  const std::vector<LoadResult>& Results() const { return results_; }
  // Worth earned of all that was owed.
  double WorthShare() const;
  // Refusals of statements that a server had run.
  std::size_t FalseRefusals() const { return falseRefusals_; }
  // Connections to servers that were opened since StartMeasuring(), and those
  // that a server refused.
  std::size_t ConnectionsOpened() const { return connectionsOpened_; }
  std::size_t ConnectionsRefused() const { return connectionsRefused_; }
  // Callers that were answered since StartMeasuring().
  std::size_t Asked() const;

private:
  // The run of a gateway, and the link.
  using LinkKey = std::pair<std::uint64_t, ServerLinkId>;

  struct Caller
  {
    std::size_t class_ = 0;
    Time arrivedAt_;
    int triesLeft_ = 0;
    bool ran_ = false; // a server has run its present statement
    bool measured_ = false;
    bool writes_ = false;
    bool transaction_ = false;
    std::size_t statementsLeft_ = 0; // of the transaction, before the commit
    bool committing_ = false;
    Duration paused_{}; // in the transaction; does not count as waiting
    std::size_t gateway_ = 0;
  };

  // A connection to a server.
  struct Connection
  {
    std::size_t server_ = 0;
    ConnectionAnswers answers_;
  };

  struct Job
  {
    LinkKey link_;
    ServerCommand command_;
    bool opens_ = false; // opens the connection
  };

  struct Server
  {
    unsigned running_ = 0;
    std::deque<Job> queue_;
    std::uint64_t position_ = 1;  // of the last commit
    std::size_t connections_ = 0; // open, or lingering
  };

  void StepGateway(std::size_t aGateway, GatewayEvent aEvent);
  void StepRun(std::uint64_t aRun, GatewayEvent aEvent);
  void Perform(std::size_t aGateway, GatewayAction& aAction);
  void TickGateway(std::size_t aGateway);
  void StartGateway(std::size_t aGateway);
  void Arrive(std::size_t aClass);
  void Try(std::uint64_t aCaller);
  void SendNext(std::uint64_t aCaller, StatementKind aKind);
  void HandleReply(std::uint64_t aCaller, const SessionReply& aReply);
  void FinishTry(std::uint64_t aCaller, const SessionReply& aReply);
  void Connect(const LinkKey& aLink, std::size_t aServer);
  void Disconnect(const LinkKey& aLink);
  void Submit(std::size_t aServer, Job aJob);
  void RunNext(std::size_t aServer);
  void FinishJob(std::size_t aServer, const Job& aJob);
  void Answer(const LinkKey& aLink, ServerAnswer aAnswer);
  wire::LeaseGrant MakeGrant(std::size_t aGateway,
                             const wire::LeaseRequest& aRequest);
  Duration DrawExponential(Duration aMean);

  LoadConfig config_;
  std::mt19937_64 random_;
  FleetViewPtr view_;
  CatalogPtr catalog_;
  std::vector<std::unique_ptr<Gateway>> gateways_; // null: not running
  std::vector<std::uint64_t> runs_;                // differ at each start
  std::uint64_t nextRun_ = 0;
  PrimaryPoints primaryPoints_;
  OverloadMonitor overloadMonitor_;
  std::vector<Server> servers_;
  std::map<LinkKey, Connection> connections_;
  std::map<std::uint64_t, Caller> callers_; // by session
  std::uint64_t nextCaller_ = 1;
  std::vector<LoadResult> results_;
  bool replicasBehind_ = false;
  double rateFactor_ = 1;
  bool measuring_ = false;
  std::size_t falseRefusals_ = 0;
  std::size_t connectionsOpened_ = 0;
  std::size_t connectionsRefused_ = 0;
};

} // namespace jaydoor::tests

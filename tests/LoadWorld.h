#pragma once

// Many gateways in front of one group of servers under virtual time, with
// callers that arrive at given rates, to measure how well load is served.
//
//   LoadWorld world(config);
//   world.Run(10s);
//   world.Results()[0].InTargetShare();
//
// A server runs as many statements at once as it has slots, queues some more in
// the order of their arrival and refuses the rest. A caller sends one
// statement; if it is refused, it tries again through another gateway.

#include "gateway/Gateway.h"
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
};

struct LoadConfig
{
  std::uint64_t seed_ = 1;
  std::size_t gateways_ = 4;
  unsigned slots_ = 4;
  std::size_t queue_ = 32; // of each server
  std::vector<LoadClass> classes_;
  int retries_ = 2;
  Duration retryDelay_ = 20ms; // from a refusal to the next try
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
  // Forgets all results so far.
  void StartMeasuring();
  // By class, of the callers that arrived since StartMeasuring().
  const std::vector<LoadResult>& Results() const { return results_; }
  // Worth earned of all that was owed.
  double WorthShare() const;
  // Refusals of statements that a server had run.
  std::size_t FalseRefusals() const { return falseRefusals_; }

private:
  using LinkKey = std::pair<std::size_t, ServerLinkId>; // gateway, link

  struct Caller
  {
    std::size_t class_ = 0;
    Time arrivedAt_;
    int triesLeft_ = 0;
    bool ran_ = false; // a server has run its present statement
    bool measured_ = false;
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
    std::uint64_t position_ = 1; // of the last commit
  };

  void StepGateway(std::size_t aGateway, GatewayEvent aEvent);
  void Perform(std::size_t aGateway, GatewayAction& aAction);
  void TickGateway(std::size_t aGateway);
  void Arrive(std::size_t aClass);
  void Try(std::uint64_t aCaller);
  void HandleReply(std::uint64_t aCaller, const SessionReply& aReply);
  void Submit(std::size_t aServer, Job aJob);
  void RunNext(std::size_t aServer);
  void FinishJob(std::size_t aServer, const Job& aJob);
  void Answer(const LinkKey& aLink, ServerAnswer aAnswer);
  wire::LeaseGrant MakeGrant(const wire::LeaseRequest& aRequest) const;
  Duration DrawExponential(Duration aMean);

  LoadConfig config_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<Server> servers_;
  std::map<LinkKey, std::size_t> serverByLink_;
  std::map<std::uint64_t, Caller> callers_; // by session
  std::uint64_t nextCaller_ = 1;
  std::vector<LoadResult> results_;
  bool replicasBehind_ = false;
  double rateFactor_ = 1;
  bool measuring_ = false;
  std::size_t falseRefusals_ = 0;
};

} // namespace jaydoor::tests

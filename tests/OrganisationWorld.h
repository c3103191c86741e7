#pragma once

// Gateways in front of one group of servers under virtual time, with callers of
// several organisations.
//
//   OrganisationWorld world(config);
//   world.Run(10s);
//   world.Figures();
//
// A server runs as many statements at once as it has slots. Opening a link
// takes one of them as well. A closed link counts against its connection limit
// for a moment longer. The world checks for each statement that it is sent over
// a link of its session's organisation.

#include "gateway/Gateway.h"
#include "tests/ConnectionAnswers.h"
#include "tests/Timeline.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace jaydoor::tests {

struct OrganisationWorldConfig
{
  std::uint64_t seed_ = 1;
  std::size_t gateways_ = 1;
  std::size_t holders_ = 33;          // VMs that share the connections
  std::size_t organisations_ = 2;     // 0: organisations are not in use
  std::size_t organisationsAtVm_ = 2; // with sessions at one gateway
  std::size_t sessionsPerVm_ = 8;     // of all organisations
  double statementsPerSecond_ = 4;    // of one gateway
  std::array<double, 3> shareByRank_ = { 0.13, 0.63, 0.24 };
  bool primaryOnly_ = false; // every statement needs the primary
  // Keys are withdrawn, moved and listed again, links are lost, and callers run
  // transactions as well.
  bool changing_ = false;
};

class OrganisationWorld : private Timeline
{
public:
  struct Totals
  {
    std::size_t done_ = 0;
    std::size_t refused_ = 0;
    std::size_t late_ = 0;             // answered after 250 ms
    std::size_t opened_ = 0;           // links
    std::size_t connectionLimits_ = 0; // links refused by a server
    std::size_t mostLinks_ = 0;        // of one gateway to one server
    std::size_t misused_ = 0; // statements on a link of another organisation
    std::size_t revoked_ = 0; // statements sent with a key that is not listed
    std::size_t unanswered_ = 0; // sessions closed without an answer, or twice
    std::size_t closed_ = 0;     // sessions
    std::size_t unauthorized_ = 0; // sessions and statements refused
    Duration latency_{};           // of all that were done
    std::map<OrganisationId, std::size_t> doneBy_;
    std::map<OrganisationId, std::size_t> refusedBy_;
    std::map<OrganisationId, Duration> latencyBy_; // sum
  };

  explicit OrganisationWorld(OrganisationWorldConfig aConfig);

  using Timeline::Now;
  using Timeline::Run;
  const Totals& Figures() const { return totals_; }
  Gateway& At(std::size_t aGateway) { return *gateways_[aGateway]; }
  // Sends a statement of the caller; false if its last one is not answered or
  // it has no session. Callers are numbered from 0.
  bool Send(std::size_t aCaller);
  // No more changes; all keys are listed again.
  void EndChanges();

private:
  struct Connection
  {
    std::size_t server_ = 0;
    OrganisationId organisation_;
    bool open_ = false;
    ConnectionAnswers answers_;
  };

  struct Job
  {
    Duration work_{};
    std::function<void()> end_;
  };

  struct Server
  {
    std::size_t running_ = 0;
    std::size_t connections_ = 0;
    std::deque<Job> queue_;
  };

  struct Caller
  {
    std::size_t gateway_ = 0;
    OrganisationId organisation_;
    std::size_t number_ = 0; // of the organisation whose key it has
    std::size_t rank_ = 1;
    SessionId session_ = 0; // 0: none
    bool open_ = false;
    TransactionState state_ = TransactionState::Idle;
    int left_ = 0; // statements until it commits
    bool waiting_ = false;
    Time sentAt_;
  };

  using ConnectionKey = std::pair<std::size_t, ServerLinkId>;

  void StepGateway(std::size_t aGateway, GatewayEvent aEvent);
  void Perform(std::size_t aGateway, GatewayAction& aAction);
  void TickGateway(std::size_t aGateway);
  void Arrive(std::size_t aGateway);
  void OpenSession(std::size_t aCaller);
  void HandleClosed(SessionId aSession);
  void HandleReply(const SendSessionReply& aReply);
  StatementKind ChooseKind(Caller& aCaller);
  void ChangeKeys();
  CatalogPtr MakeCatalog();
  void Adopt(std::size_t aGateway,
             const CatalogPtr& aCatalog,
             const std::vector<OrganisationId>& aOwners);
  void Publish();
  void LoseLinks();
  void Grant(std::size_t aGateway);
  void Enter(std::size_t aServer, Job aJob);
  void RunNext(std::size_t aServer);
  void Open(ConnectionKey aKey);
  void Command(ConnectionKey aKey, const ServerCommand& aCommand);

  OrganisationWorldConfig config_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<Server> servers_;
  std::map<ConnectionKey, Connection> connections_;
  std::vector<Caller> callers_;
  std::vector<std::vector<std::size_t>> callersAt_; // by gateway
  std::map<SessionId, std::size_t> callerOf_;
  SessionId nextSession_ = 1;
  FleetViewPtr view_;
  Catalog catalog_;
  // By the number of the organisation whose key it was first: the present
  // owner, empty if the key is not listed. Also as each gateway knows it.
  std::vector<OrganisationId> owners_;
  std::vector<std::vector<OrganisationId>> ownersAt_;
  std::vector<std::uint64_t> versionAt_;
  bool changing_ = false;
  std::map<std::size_t, std::size_t> linksOf_; // by gateway and server
  Totals totals_;
};

} // namespace jaydoor::tests

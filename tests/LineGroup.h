#pragma once

// One group of stand-in database servers that speak the platform's wire
// protocol, with the service that promotes one of them: what tests of the
// adapter need of the outside.
//
//   LineGroup group(context, config);
//   group.Start();          // announces the servers to the control VMs
//   group.Crash(0);         // its connections break
//   group.CommitsOf("x");   // values of an item in the primary's log
//
// A commit is in the replicas' logs at once and readable there after a lag. A
// promoted server leads the next term after a while; the former primary goes
// on until it is told to step down. Not built: limits of slots, the second
// after which a former primary stops by itself.

#include "daemon/Http.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jaydoor::tests {

struct LineAddress
{
  std::string host_;
  std::uint16_t port_ = 0;
};

struct LineGroupConfig
{
  std::string service_;                      // name of the group
  std::vector<LineAddress> serverAddresses_; // the first one leads at the start
  std::vector<std::string> zones_;           // of the servers
  std::vector<LineAddress> controlAddresses_; // control VMs
  LineAddress promotionAddress_;              // where the service listens
  std::size_t maxConnections_ = 40;           // at each server
  Duration statementDuration_ = 1ms;          // of a read, write or commit
  Duration replicationLag_ = 5ms;             // before a replica shows a commit
  Duration promotionDelay_ = 100ms;           // until a promotion takes effect
  Duration heartbeatInterval_ = 200ms;
};

class LineGroup
{
public:
  LineGroup(boost::asio::io_context& aContext, LineGroupConfig aConfig);
  ~LineGroup();
  LineGroup(const LineGroup&) = delete;
  LineGroup& operator=(const LineGroup&) = delete;

  Expected<bool> Start();

  // Call these on the group's thread.
  void Crash(std::size_t aServer);
  std::size_t Primary() const;
  std::vector<std::string> ListCommittedValues(const std::string& aItem) const;

private:
  struct LogEntry
  {
    std::uint64_t term_ = 0;
    std::string item_;
    std::string data_;
    Time visibleAt_;
  };

  struct Server
  {
    std::string id_;
    bool up_ = true;
    bool primary_ = false;
    std::uint64_t term_ = 1;
    std::uint64_t sequence_ = 0;
    std::vector<LogEntry> log_;
    std::set<std::shared_ptr<boost::asio::ip::tcp::socket>> sockets_;
  };

  struct Connection
  {
    std::size_t server_ = 0;
    bool inTransaction_ = false;
    bool transactionFailed_ = false;
    bool readOnly_ = false;         // the transaction
    std::uint64_t termAtBegin_ = 0; // of the server at its begin
    std::vector<std::pair<std::string, std::string>> pendingWrites_;
    std::map<std::string, std::string> settings_;
    std::map<std::string, bool> preparedWrites_; // true: it writes
  };

  struct Answer
  {
    std::vector<std::string> rows_;
    std::string error_;     // code; empty: none
    std::string signature_; // empty: "-"
  };

  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

  boost::asio::awaitable<void> AcceptConnections(std::size_t aServer);
  boost::asio::awaitable<void> ServeConnection(std::size_t aServer,
                                               Socket aSocket);
  boost::asio::awaitable<void> SendHeartbeats(std::size_t aServer);
  boost::asio::awaitable<HttpReply> HandlePromotion(HttpCall aCall);
  boost::asio::awaitable<void> Promote(std::string aId);
  boost::asio::awaitable<void> Sleep(Duration aTime);
  std::string HandleOpen(std::size_t aServer, std::string_view aFields);
  boost::asio::awaitable<std::string> HandleQuery(Connection& aConnection,
                                                  std::string aFields);
  Answer RunStatement(Connection& aConnection, std::string_view aText);
  Answer RunItemAccess(Connection& aConnection,
                       bool aWrites,
                       const std::string& aItem,
                       const std::string& aData);
  Answer EndTransaction(Connection& aConnection, bool aCommit);
  Answer MakeStatusAnswer(const Server& aServer) const;
  void AppendCommit(Server& aServer,
                    const std::string& aItem,
                    std::string aData);
  static std::string FormatVisiblePoint(const Server& aServer, Time aNow);
  std::string MakeHeartbeat(std::size_t aServer) const;

  boost::asio::io_context& context_;
  LineGroupConfig config_;
  HttpServer promotionServer_;
  std::vector<Server> servers_;
  std::vector<std::shared_ptr<boost::asio::ip::tcp::acceptor>> acceptors_;
  std::size_t statementsRun_ = 0; // statements, for signatures
};

} // namespace jaydoor::tests

#pragma once

// Simulates a group of database servers that speak the platform's wire
// protocol, and the service that promotes one of them, for tests of the
// platform adapter.
//
//   LineGroup group(context, config);
//   group.Start();   // opens the ports, sends heartbeats to the control VMs
//   group.Crash(0);  // stops server 0 and closes its connections
//   group.ListCommittedValues("x");  // values of item x in the primary's log
//
// A commit enters the replicas' logs at once and becomes readable there after a
// lag. A promoted server is the primary of the next term after a delay; the
// former primary stays one until it is told to step down. Not implemented: the
// limit of slots, and the second after which a former primary stops by itself.
//
// Servers may answer twice, or refuse statements; see AnswerFaults.

#include "daemon/Http.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jaydoor::tests {

struct LineAddress
{
  std::string host_;
  std::uint16_t port_ = 0;
};

// What servers do to answers, chosen at random by the seed.
struct AnswerFaults
{
  // Share of the answers that are sent a second time, byte for byte the same,
  // on the same connection, and possibly after those to later statements. Any
  // answer is meant: also errors, and the one to OPEN.
  double repeatedShare_ = 0;
  Duration maxRepeatDelay_ = 100ms; // before the second copy
  // Share of reads, writes and commits that are refused with BUSY and not run.
  // A transaction goes on.
  double busyShare_ = 0;
  std::uint64_t seed_ = 1;
};

// A statement as it reached a server.
struct ReceivedStatement
{
  std::string id_;
  std::string text_; // without the log point that precedes it
  // Of its run: the lines of the answer before READY; empty: it has none yet.
  std::vector<std::string> answer_;
};

struct LineGroupConfig
{
  std::string service_;                      // name of the group
  std::vector<LineAddress> serverAddresses_; // first one: primary at start
  std::vector<std::string> zones_; // of the servers, in the same order
  std::vector<LineAddress> controlAddresses_; // receive the heartbeats
  LineAddress promotionAddress_;     // the promotion service listens here
  std::size_t maxConnections_ = 40;  // at each server
  Duration statementDuration_ = 1ms; // of a read, write or commit
  Duration replicationLag_ = 5ms;    // before a replica shows a commit
  Duration promotionDelay_ = 100ms;  // until a promotion takes effect
  // An old primary follows the new one from this time after a promotion on.
  Duration replacedDelay_ = 1s;
  // A leaving server may be sent new work for this long.
  Duration drainBound_ = 7s;
  Duration heartbeatInterval_ = 200ms;
  AnswerFaults faults_ = {};
  bool recordsStatements_ = false; // see ReceivedStatements()
};

class LineGroup
{
public:
  LineGroup(boost::asio::io_context& aContext, LineGroupConfig aConfig);
  ~LineGroup();
  LineGroup(const LineGroup&) = delete;
  LineGroup& operator=(const LineGroup&) = delete;

  Expected<bool> Start();

  // The functions below must be called on the group's thread.

  // Stops the server and closes its connections.
  void Crash(std::size_t aServer);
  // Starts a stopped server anew, with its log; it follows the primary if there
  // is one.
  void Restart(std::size_t aServer);
  // The server says that it leaves, until it is started anew.
  void Leave(std::size_t aServer);
  bool IsUp(std::size_t aServer) const { return servers_[aServer].up_; }
  // Commits a write at the primary that no caller has sent.
  void WriteItem(const std::string& aItem, const std::string& aData);
  // Time since a control VM acknowledged that the server leaves; none if it
  // does not leave, or was not acknowledged yet.
  std::optional<Duration> LeavingFor(std::size_t aServer) const;
  // New work that reached a leaving server, and how long after it had been
  // acknowledged that it leaves: single statements and the first of
  // transactions.
  const std::vector<std::pair<Duration, std::string>>& LateWork() const
  {
    return lateWork_;
  }
  // Statements about an item "ORGANISATION.NAME" that arrived on a connection
  // which was not opened for that organisation.
  const std::vector<std::string>& MisusedConnections() const
  {
    return misusedConnections_;
  }
  // All statements that reached the servers, in the order of their arrival.
  const std::deque<ReceivedStatement>& ReceivedStatements() const
  {
    return received_;
  }
  std::size_t CountRepeatedAnswers() const { return repeatedAnswers_; }
  std::size_t CountBusyAnswers() const { return busyAnswers_; }
  // Returns the index of the primary with the highest term.
  std::size_t Primary() const;
  // Returns the values committed for the item, oldest first, from the primary's
  // log.
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
    std::uint64_t run_ = 1; // raised at each start
    bool leaving_ = false;
    std::optional<Time> leavingAckedAt_;
    std::vector<LogEntry> log_;
    std::set<std::shared_ptr<boost::asio::ip::tcp::socket>> sockets_;
  };

  struct Connection
  {
    std::size_t server_ = 0;
    std::string organisation_; // that it was opened for
    bool inTransaction_ = false;
    bool hasWorked_ = false; // in this transaction
    bool transactionFailed_ = false;
    bool readOnly_ = false;         // true: the transaction may not write
    std::uint64_t termAtBegin_ = 0; // term of the server at BEGIN
    std::vector<std::pair<std::string, std::string>> pendingWrites_;
    std::map<std::string, std::string> settings_;
    std::map<std::string, bool> preparedWrites_; // by name; true: it writes
  };

  struct Answer
  {
    std::vector<std::string> rows_;
    std::string error_;     // code on the wire; empty: none
    std::string signature_; // empty: sent as "-"
  };

  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

  // Answers that are to be sent on a connection, so that each is sent whole.
  struct Sender
  {
    Socket socket_;
    std::deque<std::string> waiting_;
    bool sending_ = false;
  };

  Expected<bool> Listen(std::size_t aServer);
  boost::asio::awaitable<void> AcceptConnections(std::size_t aServer);
  boost::asio::awaitable<void> ServeConnection(std::size_t aServer,
                                               Socket aSocket);
  void Send(const std::shared_ptr<Sender>& aSender, std::string aAnswer);
  boost::asio::awaitable<void> SendWaiting(std::shared_ptr<Sender> aSender);
  boost::asio::awaitable<void> SendLate(std::weak_ptr<Sender> aSender,
                                        std::string aAnswer,
                                        Duration aDelay);
  bool IsDrawn(double aShare);
  boost::asio::awaitable<void> SendHeartbeats(std::size_t aServer);
  boost::asio::awaitable<HttpResponse> HandlePromotion(HttpRequest aCall);
  boost::asio::awaitable<void> Promote(std::string aId);
  boost::asio::awaitable<void> Sleep(Duration aTime);
  std::string HandleOpen(Connection& aConnection, std::string_view aFields);
  boost::asio::awaitable<std::string> HandleQuery(Connection& aConnection,
                                                  std::string aFields);
  Answer RunStatement(Connection& aConnection, std::string_view aText);
  Answer RunItemAccess(Connection& aConnection,
                       bool aWrites,
                       const std::string& aItem,
                       const std::string& aData);
  Answer EndTransaction(Connection& aConnection, bool aCommit);
  Answer MakeStatusAnswer(const Server& aServer) const;
  // Returns the lines of the answer before READY.
  static std::vector<std::string> ListLines(const Answer& aAnswer,
                                            const Server& aServer);
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
  std::size_t statementsRun_ = 0; // counts statements, for signatures
  std::vector<std::pair<Duration, std::string>> lateWork_;
  std::vector<std::string> misusedConnections_;
  std::mt19937_64 random_;
  std::deque<ReceivedStatement> received_;
  std::size_t repeatedAnswers_ = 0;
  std::size_t busyAnswers_ = 0;
};

} // namespace jaydoor::tests

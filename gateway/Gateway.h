#pragma once

// All decisions about callers' sessions behind one entry point.
//
//   Gateway gateway(config);
//   gateway.Step(TakeStatement{ session, statement }, now, actions);
//
// Sections:
//   1. Events
//   2. Actions
//   3. What is kept: sessions, servers, connections, work
//   4. The gateway
//
// A session is a caller's connection: it has values, prepared statements and
// at most one transaction. Its statements run on pooled connections to the
// servers of its database's group. A connection is made to carry exactly the
// session's values and names before it is used, and belongs to one session
// from the begin to the end of a transaction.
//
// A transaction is begun at a server with its first statement, so that one
// that rests costs nothing.
//
// Writes, and reads that have to show everything, need a lease on the primary:
// see GatewayLeases.cpp. Other reads go to any server that is proven to be
// fresh enough: the server itself refuses to read below a log position.

#include "control/FleetView.h"
#include "gateway/Catalog.h"
#include "gateway/GroupLog.h"
#include "gateway/SessionTypes.h"
#include "traffic/Actions.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jaydoor {

// ---- 1. Events

struct SessionOpenRequested
{
  SessionId session_ = 0;
  std::string database_;
};

struct SessionStatementReceived
{
  SessionId session_ = 0;
  SessionStatement statement_;
};

struct SessionEnded
{
  SessionId session_ = 0;
};

struct ServerLinkOpened
{
  ServerLinkId link_ = 0;
};

// It could not be opened, or has ended.
struct ServerLinkLost
{
  ServerLinkId link_ = 0;
  std::optional<SessionError> error_; // the server's own refusal
};

struct ServerLinkAnswered
{
  ServerLinkId link_ = 0;
  ServerAnswer answer_;
};

struct FleetOrCatalogChanged
{
  FleetViewPtr view_;
  CatalogPtr catalog_;
};

struct LeaseGrantReceived
{
  wire::LeaseGrant grant_;
};

struct LeaseRevocationReceived
{
  wire::LeaseRevoke revoke_;
};

// This VM stops: sessions are closed as they come to rest.
struct GatewayDrainRequested
{};

struct GatewayTick
{};

using GatewayEvent = std::variant<SessionOpenRequested,
                                  SessionStatementReceived,
                                  SessionEnded,
                                  ServerLinkOpened,
                                  ServerLinkLost,
                                  ServerLinkAnswered,
                                  FleetOrCatalogChanged,
                                  LeaseGrantReceived,
                                  LeaseRevocationReceived,
                                  GatewayDrainRequested,
                                  GatewayTick>;

// ---- 2. Actions

struct AcceptSession
{
  SessionId session_ = 0;
};

// The error is told, and the session is closed.
struct RefuseSession
{
  SessionId session_ = 0;
  SessionError error_ = SessionError::NoDatabase;
};

struct CloseSession
{
  SessionId session_ = 0;
};

struct SendSessionReply
{
  SessionId session_ = 0;
  SessionReply reply_;
};

struct OpenServerLink
{
  ServerLinkId link_ = 0;
  std::string host_;
  std::uint16_t port_ = 0;
  DatabaseId group_;
  ServerId server_;
};

struct SendServerCommand
{
  ServerLinkId link_ = 0;
  ServerCommand command_;
};

struct CloseServerLink
{
  ServerLinkId link_ = 0;
};

// For the control thread, which passes it on to the leader.
struct SendLeaseRequest
{
  wire::LeaseRequest request_;
};

struct SendLeaseRelease
{
  wire::LeaseRelease release_;
};

using GatewayAction = std::variant<AcceptSession,
                                   RefuseSession,
                                   CloseSession,
                                   SendSessionReply,
                                   OpenServerLink,
                                   SendServerCommand,
                                   CloseServerLink,
                                   SendLeaseRequest,
                                   SendLeaseRelease,
                                   ReportSuspicion,
                                   WriteLogEvent>;
using GatewayActions = std::vector<GatewayAction>;

// ---- 3. What is kept

struct GatewayConfig
{
  ZoneId zone_;
  std::uint64_t incarnation_ = 1;        // differs at each start of the process
  Duration outOfRotationDelay_ = 2300ms; // until nobody sends new sessions
                                         // here, if the balancer does not ask
  Duration drainTransactionLimit_ = 3s; // an open transaction may go on so long
};

struct GatewayCounters
{
  std::uint64_t sessions_ = 0;
  std::uint64_t statements_ = 0;
  std::uint64_t done_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t retried_ = 0;
  std::uint64_t hedged_ = 0;
  std::uint64_t inDoubt_ = 0;
  std::uint64_t transactionsLost_ = 0;
  std::uint64_t linksOpened_ = 0;
  std::uint64_t serverBusy_ = 0;
  std::uint64_t serverBehind_ = 0;
  std::uint64_t primaryReads_ = 0;
  std::uint64_t replicaReads_ = 0;
};

// One answered statement, for the histograms.
struct GatewaySample
{
  int rank_ = 0;
  std::optional<SessionError> error_;
  Duration total_{};
  Duration queued_{};
};

// ---- 4. The gateway

class Gateway
{
public:
  explicit Gateway(GatewayConfig aConfig);

  void Step(GatewayEvent aEvent, Time aNow, GatewayActions& aOut);
  // When a TakeGatewayTick is due at the latest.
  Time NextWake(Time aNow) const;

  // True if sessions can be served.
  bool IsReady() const;
  // The answer to the balancer's question, which tells it so.
  bool AnswerReadinessProbe(Time aNow);
  // True if no session is left.
  bool IsIdle() const { return sessions_.empty() && pendingSessions_.empty(); }

  const GatewayCounters& Counters() const { return counters_; }
  std::vector<GatewaySample> TakeSamples();
  std::size_t CountLeases(Time aNow) const;
  std::size_t CountWaiting() const;
  std::size_t CountLinks() const { return links_.size(); }

private:
  using WorkId = std::uint64_t;

  enum class TxState : std::uint8_t
  {
    None,
    Begun,  // told to the caller, not yet at a server
    Open,   // at a server
    Failed, // an error was told: the caller has to end it
  };

  struct PreparedStatement
  {
    bool writes_ = false;
    std::string text_;
  };

  struct Session
  {
    std::string database_;
    std::map<std::string, std::string> values_;
    std::map<std::string, PreparedStatement> prepared_;
    TxState txState_ = TxState::None;
    bool txReadOnly_ = false;       // begun to read only
    CatalogDatabase route_;         // in force for the running transaction
    ServerLinkId txLink_ = 0;       // of the open transaction
    std::uint64_t txLeaseTerm_ = 0; // lease that it runs under; 0: none
    Time txIdleSince_;              // no statement is under way
    bool txAborted_ = false;        // ended by the server or this VM
    LogPoint lastCommit_;           // last own commit
    Time lastCommitAt_;             //
    WorkId work_ = 0;               // statement under way
    std::deque<SessionStatement> pipelined_; // sent ahead
  };

  // A session that came before this VM knew the databases.
  struct PendingSession
  {
    std::string database_;
    Time until_;
  };

  // A statement that is to run at a server.
  struct Work
  {
    SessionId session_ = 0; // 0: the caller is gone
    SessionStatement statement_;
    CatalogDatabase route_;
    bool beginsTx_ = false;     // begins a transaction at the server
    bool needsPrimary_ = false; // has to run at the primary, under a lease
    bool commitsData_ = false;  // a single write, or a commit
    bool repeatable_ = false;   // may be repeated
    Time arrivedAt_;
    Time waitUntil_;           // refused if no server has room for it by then
    Time waitForPrimaryUntil_; // the same while there is no primary to run it
    Time deadline_;            // the route's limit for one statement
    Time firstSentAt_;         // first sent to a server
    bool wasSent_ = false;
    std::set<ServerLinkId> links_;       // where it runs
    std::set<ServerId> excludedServers_; // servers that could not run it
    int attempts_ = 0;
    std::uint64_t leaseTerm_ = 0; // lease that it was sent under; 0: none
    bool queued_ = false;
    std::optional<Time> resendAt_; // on the connection of its transaction
    bool hedged_ = false;
  };

  enum class LinkState : std::uint8_t
  {
    Opening,
    Idle,
    Running,     // a statement outside a transaction
    Pinned,      // belongs to a transaction
    RollingBack, // rolls back, then is idle
  };

  struct Link
  {
    ServerId server_;
    LinkState state_ = LinkState::Opening;
    SessionId session_ = 0;
    WorkId work_ = 0;
    std::map<std::string, std::string> values_;
    std::set<std::string> prepared_;     // names at the server
    std::deque<CommandKind> unanswered_; // commands without an answer
    ServerCommand nextCommand_;          // the statement that waits for them
    bool hasNextCommand_ = false;
    Time openedAt_;
    Time sentAt_;                     // of the oldest command without an answer
    Time heardAt_;                    //
    std::uint64_t sentLeaseTerm_ = 0; // lease held when it was sent
    Time minPointAt_; // primary's time of the log point that was asked for
    bool holdsSlot_ = false; // its statement counts as running
  };

  struct Server
  {
    wire::Upstream info_;
    std::set<ServerLinkId> links_;
    std::vector<ServerLinkId> idleLinks_; // most recently used last
    std::size_t openingCount_ = 0;
    int runningCount_ = 0;        // statements under way
    Duration serviceTime_ = 20ms; // smoothed time of a statement
    Time heardAt_;
    int failures_ = 0;  // since it was heard
    Time blockedUntil_; // no new connections
    Time fullUntil_;    // it refused for lack of slots
  };

  struct Lease
  {
    std::uint64_t term_ = 0;
    ServerId server_;
    Time until_;
  };

  // Queue order: rank first, then the time that is left.
  using QueueKey = std::tuple<int, Time, WorkId>;

  struct Group
  {
    ServerId primary_;
    std::uint64_t term_ = 0;
    bool changing_ = false;
    std::vector<ServerId> servers_;
    GroupLog log_;
    Lease lease_;
    bool heldLease_ = false; // as last noted
    Time releasedAt_;        // grants asked for earlier are void
    std::uint64_t releasedTerm_ = 0;
    std::uint64_t revokingLeaderTerm_ =
      0; // term of the leader that asked for it
    std::optional<Time> leaseDrainUntil_; // a revocation waits for running work
    std::set<QueueKey> queue_;
    Time doubtedAt_;         // the leader said that some VM suspects it
    bool suspected_ = false; // as last reported
    Time reportedAt_;
  };

  // A place where a statement can run now.
  struct ServerChoice
  {
    ServerId server_;
    LogPoint minPoint_;
    Time minPointAt_;
    bool leased_ = false;
  };

  void Handle(SessionOpenRequested& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(SessionStatementReceived& aEvent,
              Time aNow,
              GatewayActions& aOut);
  void Handle(SessionEnded& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(ServerLinkOpened& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(ServerLinkLost& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(ServerLinkAnswered& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(FleetOrCatalogChanged& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(LeaseGrantReceived& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(LeaseRevocationReceived& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(GatewayDrainRequested& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(GatewayTick& aEvent, Time aNow, GatewayActions& aOut);

  // Sessions: GatewaySessions.cpp
  void OpenSession(SessionId aId, std::string aDatabase, GatewayActions& aOut);
  void TickPendingSessions(Time aNow, GatewayActions& aOut);
  void RunStatement(SessionId aId,
                    SessionStatement aStatement,
                    Time aNow,
                    GatewayActions& aOut);
  void AnswerLocally(SessionId aId,
                     const SessionStatement& aStatement,
                     GatewayActions& aOut);
  void RollBackTransaction(SessionId aId, Time aNow, GatewayActions& aOut);
  void StartWork(SessionId aId,
                 SessionStatement aStatement,
                 Time aNow,
                 GatewayActions& aOut);
  void Reply(SessionId aId, SessionReply aReply, GatewayActions& aOut);
  void ReplyError(SessionId aId,
                  SessionError aError,
                  std::string aText,
                  GatewayActions& aOut);
  void RunPipelined(SessionId aId, Time aNow, GatewayActions& aOut);
  void AbortTransaction(SessionId aId,
                        std::string_view aCause,
                        Time aNow,
                        GatewayActions& aOut);
  TransactionState GetTransactionState(const Session& aSession) const;

  // Queue and choice of servers: GatewayDispatch.cpp
  void Enqueue(WorkId aId);
  void Dequeue(WorkId aId);
  void Dispatch(const DatabaseId& aGroup, Time aNow, GatewayActions& aOut);
  bool TrySend(WorkId aId, Time aNow, GatewayActions& aOut);
  std::optional<ServerChoice> ChooseServer(const Work& aWork,
                                           const Group& aGroup,
                                           Time aNow);
  std::optional<GroupLog::PrimaryPoint> FindRequiredPoint(
    const Work& aWork,
    const Group& aGroup) const;
  bool HasRoom(const Server& aServer,
               const DatabaseId& aGroup,
               const Work& aWork,
               Time aNow) const;
  Duration EstimateCost(const Server& aServer, bool aPrimary) const;
  std::size_t SlotShare(const Server& aServer) const;
  std::size_t LinkShare(const Server& aServer) const;
  void OpenLink(Server& aServer, Time aNow, GatewayActions& aOut);
  void SendWork(WorkId aId,
                ServerLinkId aLink,
                const ServerChoice& aPlace,
                Time aNow,
                GatewayActions& aOut);
  bool SetUpLink(const Session& aSession,
                 const SessionStatement& aStatement,
                 ServerLinkId aLink,
                 Time aNow,
                 GatewayActions& aOut);
  void SendNextCommand(ServerLinkId aLink, Time aNow, GatewayActions& aOut);
  void SendCommand(ServerLinkId aLink,
                   ServerCommand aCommand,
                   Time aNow,
                   GatewayActions& aOut);
  ServerCommand BuildCommand(const Session& aSession,
                             const SessionStatement& aStatement) const;

  // Answers and connections: GatewayServers.cpp
  void FinishWork(WorkId aId,
                  ServerLinkId aLink,
                  ServerAnswer aAnswer,
                  Time aNow,
                  GatewayActions& aOut);
  void HandleSetupAnswer(ServerLinkId aLink,
                         CommandKind aKind,
                         const ServerAnswer& aAnswer,
                         Time aNow,
                         GatewayActions& aOut);
  void RetryOrFailWork(WorkId aId,
                       SessionError aError,
                       const std::string& aText,
                       Time aNow,
                       GatewayActions& aOut);
  void FreeSlot(Link& aLink);
  bool IsWanted(const Link& aLink, ServerLinkId aId) const;
  void DropWork(WorkId aId);
  void RecordPoint(const Link& aLink, LogPoint aPoint, Time aNow);
  void RecordContact(Server& aServer, Time aNow, GatewayActions& aOut);
  void RecordFailure(const ServerId& aServer,
                     Time aNow,
                     std::string_view aCause,
                     GatewayActions& aOut);
  void ReleaseLink(ServerLinkId aLink, Time aNow, GatewayActions& aOut);
  void CloseLink(ServerLinkId aLink, GatewayActions& aOut);
  void CloseIdleLinks(const ServerId& aServer,
                      Time aSince,
                      GatewayActions& aOut);
  void RemoveLink(ServerLinkId aLink, Time aNow, GatewayActions& aOut);

  // Leases: GatewayLeases.cpp
  bool HoldsLease(const Group& aGroup, std::uint64_t aTerm, Time aNow) const;
  bool IsLeaseUsed(const DatabaseId& aGroup, std::uint64_t aTerm) const;
  void TickLeases(Time aNow, GatewayActions& aOut);
  void FinishRelease(const DatabaseId& aGroup, Time aNow, GatewayActions& aOut);
  void AbortLeasedTransactions(const DatabaseId& aGroup,
                               Time aNow,
                               GatewayActions& aOut);

  // Time: GatewayTick.cpp
  void TickWork(Time aNow, GatewayActions& aOut);
  void TickSessions(Time aNow, GatewayActions& aOut);
  void TickSuspicions(Time aNow, GatewayActions& aOut);
  void TickDrain(Time aNow, GatewayActions& aOut);
  void TickLinks(Time aNow, GatewayActions& aOut);
  void FailWork(WorkId aId,
                SessionError aError,
                std::string aText,
                Time aNow,
                GatewayActions& aOut);

  bool IsCatalogProven() const;
  bool IsCutOff(Time aNow) const;
  bool IsOutOfRotation(Time aSince, Time aNow) const;
  void TickIsolation(Time aNow, GatewayActions& aOut);
  void CloseIdleSessions(Time aNow, GatewayActions& aOut);
  Server* FindServer(const ServerId& aServer);
  Group* FindGroup(const DatabaseId& aGroup);

  GatewayConfig config_;
  FleetViewPtr view_;
  CatalogPtr catalog_;
  std::size_t holders_ = 1; // VMs that share the servers
  std::map<SessionId, Session> sessions_;
  std::map<SessionId, PendingSession>
    pendingSessions_; // until the catalog is proven
  std::map<WorkId, Work> work_;
  std::map<ServerLinkId, Link> links_;
  std::map<ServerId, Server> servers_;
  std::map<DatabaseId, Group> groups_;
  std::set<DatabaseId> groupsToDispatch_; // groups to dispatch
  WorkId nextWork_ = 1;
  ServerLinkId nextLink_ = 1;
  Time leaseRequestedAt_;
  Time grantedAt_; // the leader last answered
  Time tickedAt_;
  std::optional<Time> drainingSince_;
  std::optional<Time> isolatedSince_; // nothing can be served from here
  Time lastNotCutOffAt_;              // it could, at this time
  int notReadyProbes_ = 0;            // answers of "not ready" in a row
  Time notReadyProbeAt_;              // the last one that was counted
  GatewayCounters counters_;
  std::vector<GatewaySample> samples_;
};

} // namespace jaydoor

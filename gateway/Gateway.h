#pragma once

// Makes all decisions about callers' sessions: which server runs a statement,
// over which connection, and what the caller is told.
//
//   Gateway gateway(config);
//   gateway.Step(SessionStatementReceived{ session, statement }, now, out);
//
// The gateway does no input or output. The shell, which does both, passes it
// events and performs the actions that it appends to `out`.
//
// Sections:
//   1. Events
//   2. Actions
//   3. Configuration, counters and samples
//   4. The gateway
//
// A session is a caller's connection. It has values, prepared statements and
// at most one transaction. Its statements run on pooled connections to the
// servers of its database's group; such a connection is called a link. Before a
// link runs a statement, it is given exactly the session's values and the
// prepared statement that is executed. From the start to the end of a
// transaction it belongs to one session.
//
// A transaction is begun on a server with its first statement, so that a
// transaction without statements takes no connection.
//
// Writes, and reads with Consistency::Primary, need a lease on the primary: see
// GatewayLeases.cpp. Other reads go to any server whose log is expected to
// hold recent enough data. The server itself refuses to read below the log
// point that is sent with the statement.

#include "control/FleetView.h"
#include "control/LeaseTable.h"
#include "gateway/AnswerMatcher.h"
#include "gateway/Catalog.h"
#include "gateway/Explanation.h"
#include "gateway/FairOrder.h"
#include "gateway/GroupLog.h"
#include "gateway/IdleLinkPolicy.h"
#include "gateway/LinkPolicy.h"
#include "gateway/LoadShedder.h"
#include "gateway/OrganisationLimiter.h"
#include "gateway/ServerSelector.h"
#include "gateway/SessionState.h"
#include "gateway/SessionTypes.h"
#include "traffic/Actions.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jaydoor {

// ---- 1. Events

// A caller has connected and asks for a session.
struct SessionOpenRequested
{
  SessionId session_ = 0; // chosen by the shell
  std::string database_;
  KeyHash key_{}; // of the key by which the caller identifies itself
};

// A caller has sent a statement.
struct SessionStatementReceived
{
  SessionId session_ = 0;
  SessionStatement statement_;
  bool memoryShort_ = false; // refuse it if it can be
};

// The caller has closed the session or its connection is lost.
struct SessionEnded
{
  SessionId session_ = 0;
};

// A link that was requested by OpenServerLink is open and can be used.
struct ServerLinkOpened
{
  ServerLinkId link_ = 0;
};

// A link could not be opened, or was open and has ended.
struct ServerLinkLost
{
  ServerLinkId link_ = 0;
  std::optional<SessionError> error_; // the server's reason, if it gave one
};

// A server has sent an answer on the link.
struct ServerLinkAnswered
{
  ServerLinkId link_ = 0;
  ServerAnswer answer_;
};

// The fleet view has changed, or the catalog, or both.
struct FleetOrCatalogChanged
{
  FleetViewPtr view_;  // never null
  CatalogPtr catalog_; // null: unchanged
};

// The leader has answered a lease request.
struct LeaseGrantReceived
{
  wire::LeaseGrant grant_;
};

// The leader wants leases back, to replace a primary.
struct LeaseRevocationReceived
{
  wire::LeaseRevoke revoke_;
};

// This VM is to stop. Sessions without a transaction are closed. A drain can't
// be undone.
struct GatewayDrainRequested
{};

// Time has passed. Has to be sent at NextWake() at the latest.
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

// Tells the caller that its session is open.
struct AcceptSession
{
  SessionId session_ = 0;
};

// Tells the caller the error and closes its connection.
struct RefuseSession
{
  SessionId session_ = 0;
  SessionError error_ = SessionError::NoDatabase;
};

// Closes the caller's connection.
struct CloseSession
{
  SessionId session_ = 0;
};

struct SendSessionReply
{
  SessionId session_ = 0;
  SessionReply reply_;
};

// Opens a connection to a server. The shell answers with ServerLinkOpened or
// ServerLinkLost.
struct OpenServerLink
{
  ServerLinkId link_ = 0;
  std::string host_;
  std::uint16_t port_ = 0;
  DatabaseId group_;
  ServerId server_;
  OrganisationId organisation_; // that the link belongs to; empty: none
};

struct SendServerCommand
{
  ServerLinkId link_ = 0;
  ServerCommand command_;
};

// Closes a connection to a server. Later events of the link are ignored.
struct CloseServerLink
{
  ServerLinkId link_ = 0;
};

// The shell passes lease requests and releases to the control thread, which
// sends them to the leader.
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

// ---- 3. Configuration, counters and samples

struct GatewayConfig
{
  ZoneId zone_;                   // of this VM
  std::uint64_t incarnation_ = 1; // differs at each start of the process
  // Spreads the VMs over the replicas; differs among VMs.
  std::uint64_t preferenceSeed_ = 0;
  // A VM that has not been ready for this long is assumed to receive no new
  // sessions, even if the load balancer has not probed its readiness.
  Duration outOfRotationDelay_ = 2300ms;
  // Once a drain has lasted this long, nothing is started any more, and open
  // transactions that run no statement are aborted.
  Duration drainTransactionLimit_ = 3s;
  // Once a drain has lasted this long, the statements that still run are
  // answered with what is known of them: the process stops soon after.
  Duration drainAnswerLimit_ = 5200ms;
  // A server that is leaving gets no new work once it has not been known to
  // stay for this long.
  Duration leavingServerLimit_ = 6s;
  // How far the operations of an organisation may exceed its limit, and over
  // which window that is measured. The limiter keeps to it over any window.
  LimitTolerance limitTolerance_{};
  Duration limitWindow_ = 5s;
};

struct GatewayCounters
{
  std::uint64_t sessions_ = 0; // accepted
  // Closed because their key was withdrawn.
  std::uint64_t sessionsRevoked_ = 0;
  // Openings that were refused, by reason.
  std::uint64_t unknownKeys_ = 0;
  std::uint64_t unknownDatabases_ = 0;
  std::uint64_t outdatedCatalog_ = 0; // one of these, by what may be outdated
  std::uint64_t missingCatalog_ = 0;  // no configuration was known
  // Statements that were refused because their key was withdrawn.
  std::uint64_t statementsRevoked_ = 0;
  std::uint64_t statements_ = 0; // received, including local ones
  std::uint64_t done_ = 0;       // answered by a server without an error
  std::uint64_t refused_ = 0;    // refused by a server, or given up by this VM
  std::uint64_t shed_ = 0;       // refused because servers were overloaded
  // Operations refused by the limit of their organisation, by cause.
  std::uint64_t limitReached_ = 0;     // no token was left
  std::uint64_t limitNoShare_ = 0;     // this VM had no share
  std::uint64_t limitCrowded_ = 0;     // too many operations waited
  std::uint64_t retried_ = 0;          // queued again after an error
  std::uint64_t hedged_ = 0;           // queued for a second server
  std::uint64_t inDoubt_ = 0;          // answered with InDoubt
  std::uint64_t transactionsLost_ = 0; // aborted by this VM or a server
  std::uint64_t linksOpened_ = 0;      // connection attempts
  // Idle links closed to open one for another organisation.
  std::uint64_t linksReplaced_ = 0;
  std::uint64_t serverBusy_ = 0;   // answers with Overloaded
  std::uint64_t serverBehind_ = 0; // answers with Behind
  // Answers that do not belong to the oldest command of their link, by verdict.
  std::uint64_t answersRepeated_ = 0;
  std::uint64_t answersAmbiguous_ = 0;
  std::uint64_t answersUnproven_ = 0;
  std::uint64_t answersUnexpected_ = 0;
  // Statements sent to a primary, writes included, and to replicas. Of a
  // transaction, only its first statement counts.
  std::uint64_t primaryReads_ = 0;
  std::uint64_t replicaReads_ = 0;
};

// How evenly this VM finds the servers of its groups loaded, and how old that
// knowledge is.
struct BalanceFigures
{
  Duration spread_{};       // most less least delay in a group, worst group
  Duration age_{};          // of the oldest delay of a server in use
  std::size_t avoided_ = 0; // servers that are avoided because of their delay
};

// One answered statement, for the latency histograms.
struct GatewaySample
{
  int rank_ = 0;
  std::optional<SessionError> error_;
  Duration total_{};  // from arrival to the answer
  Duration queued_{}; // from arrival to the first sending to a server
};

// ---- 4. The gateway

class Gateway
{
public:
  explicit Gateway(GatewayConfig aConfig);

  void Step(GatewayEvent aEvent, Time aNow, GatewayActions& aOut);
  // Returns the time at which the next GatewayTick is due at the latest.
  Time NextWake(Time aNow) const;

  // Returns true if this VM can serve sessions: it knows the databases, has
  // heard from the leader since its start, is not draining and is not isolated.
  bool IsReady() const;
  // Answers a readiness probe of the load balancer with IsReady(), and counts
  // the probes in a row that were answered with false.
  bool AnswerReadinessProbe(Time aNow);
  // Returns true if no session is open or waits to be opened.
  bool IsIdle() const { return sessions_.empty() && pendingSessions_.empty(); }

  const GatewayCounters& Counters() const { return counters_; }
  // Returns the statements that were answered since the last call.
  std::vector<GatewaySample> TakeSamples();
  // Returns the number of current primaries on which this VM holds a lease.
  std::size_t CountLeases(Time aNow) const;
  // Returns the number of statements that wait in a queue for a server.
  std::size_t CountWaiting() const;
  // Bytes of the session's values and prepared statements.
  std::size_t CountSessionBytes(SessionId aSession) const;
  // Returns the number of sessions, and of links to servers, by organisation.
  // Empty stands for sessions and links that belong to none.
  std::map<OrganisationId, std::size_t> CountSessionsByOrganisation() const;
  std::map<OrganisationId, std::size_t> CountLinksByOrganisation() const;
  // Returns the number of links to servers, including those being opened.
  std::size_t CountLinks() const { return links_.size(); }
  BalanceFigures MeasureBalance(Time aNow) const;
  // Returns where a statement would go if it arrived now, and why. Nothing is
  // sent, and nothing changes.
  Explanation Explain(const ExplanationRequest& aRequest, Time aNow) const;
  // The use of the organisations' limits on this VM.
  const OrganisationLimiter& Limiter() const { return limiter_; }

private:
  // Links to one server that may be in the process of being opened.
  static constexpr std::size_t kMaxOpeningLinks = 2;

  using WorkId = std::uint64_t;

  enum class TxState : std::uint8_t
  {
    None,
    Begun,  // acknowledged to the caller, not yet begun on a server
    Open,   // begun on a server
    Failed, // the caller was told an error and has to end the transaction
  };

  struct Session
  {
    std::string database_;
    // Organisation that its key belongs to; empty if organisations are not in
    // use or the database is public.
    OrganisationId organisation_;
    KeyHash key_{};      // by which its caller identified itself
    SessionState state_; // values and prepared statements
    TxState txState_ = TxState::None;
    bool txReadOnly_ = false;       // begun by BeginReadOnly
    CatalogDatabase route_;         // settings for the current transaction
    ServerLinkId txLink_ = 0;       // on which the transaction is open; 0: none
    std::uint64_t txLeaseTerm_ = 0; // term of the lease it runs under; 0: none
    Time txIdleSince_;              // last statement was answered
    bool txAborted_ = false; // aborted, and the caller has not been told yet
    LogPoint lastCommit_;    // highest log point of the session's commits
    Time lastCommitAt_;      // time of the last commit
    WorkId work_ = 0;        // statement being processed; 0: none
    std::deque<SessionStatement> pipelined_; // received while one is processed
    // It has a token of its organisation's limit for an operation that was not
    // sent to a server yet.
    bool isCharged_ = false;
    // Arrival of the statement that is run, if it waited for a token.
    std::optional<Time> waitedSince_;
    // Its key is no longer accepted: the session ends with the answer of the
    // statement that runs. Later statements are refused with this error.
    std::optional<SessionError> ending_;
  };

  // What the configuration says of a session that is open.
  struct SessionAccess
  {
    OrganisationId organisation_; // that it belongs to now
    std::optional<SessionError> refusal_;
    std::string_view reason_; // of the refusal, for logs
  };

  // A session that was requested before this VM knew the databases.
  struct PendingSession
  {
    std::string database_;
    KeyHash key_{};
    Time until_; // refused if the databases are not known by then
  };

  // The first statement of an operation that waits for a token.
  struct ParkedStatement
  {
    SessionStatement statement_;
    Time arrivedAt_;
  };

  // A statement that has to run on a server.
  struct Work
  {
    SessionId session_ = 0;       // 0: the session has ended
    OrganisationId organisation_; // whose links it uses; empty: none
    SessionStatement statement_;
    CatalogDatabase route_;
    bool beginsTx_ = false;     // its transaction has to be begun on the server
    bool firstInTx_ = false;    // first statement of its transaction
    bool needsPrimary_ = false; // has to run on the primary, under a lease
    bool commitsData_ = false;  // a write outside a transaction, or a commit
    bool repeatable_ = false;   // a read outside a transaction: can run again
    double shedTicket_ = 0;     // for LoadShedder
    Time arrivedAt_;
    Time waitUntil_;           // refused if no server has room for it by then
    Time waitForPrimaryUntil_; // refused by then while no primary can be used
    Time deadline_;        // arrival plus the statement limit of its database
    Time firstSentAt_;     // first sent to a server
    bool wasSent_ = false; // has been sent to a server
    std::set<ServerLinkId> links_;       // on which it runs
    std::set<ServerId> excludedServers_; // not to be used: behind, or slow
    int attempts_ = 0;                   // number of times it was sent
    std::uint64_t leaseTerm_ = 0;  // of the lease it was sent under; 0: none
    bool queued_ = false;          // waits in the queue of its group
    bool isCounted_ = false;       // in Group::waiting_
    std::optional<Time> resendAt_; // to be sent again on its transaction's link
    bool hedged_ = false;          // was queued for a second server
  };

  enum class LinkState : std::uint8_t
  {
    Opening,
    Idle,
    Running,     // runs a statement outside a transaction
    Pinned,      // belongs to a transaction
    RollingBack, // rolls back a transaction, then becomes idle
  };

  // A pooled connection to a server.
  struct Link
  {
    ServerId server_;
    OrganisationId organisation_; // that it was opened for; empty: none
    LinkState state_ = LinkState::Opening;
    SessionId session_ = 0;
    WorkId work_ = 0;
    std::map<std::string, ValueDigest> values_; // session values set on it
    std::set<std::string> prepared_;  // prepared statements, by server name
    AnswerMatcher answers_;           // to the commands sent on it
    std::optional<Time> probeAt_;     // a probe has to be sent
    ServerCommand nextCommand_;       // sent once all commands are answered
    bool hasNextCommand_ = false;     // nextCommand_ is set
    Time openedAt_;                   // opening was requested
    Time readyAt_;                    // it was open
    Time sentAt_;                     // of the first of the unanswered commands
    Time heardAt_;                    // last answer
    std::uint64_t sentLeaseTerm_ = 0; // of the lease held at sentAt_; 0: none
    Time minPointAt_; // the primary's log had the required point at this time
    bool holdsSlot_ = false; // its statement counts as running on the server
  };

  struct Server
  {
    wire::Upstream info_;                 // as the server announced it
    std::set<ServerLinkId> links_;        // all to this server
    std::vector<ServerLinkId> idleLinks_; // most recently used last
    std::size_t openingCount_ = 0;        // links that are being opened
    int runningCount_ = 0;                // statements that this VM runs on it
    Duration serviceTime_ = 20ms; // smoothed response time of a statement
    ServerDelay delay_;           // beyond the usual response time
    bool isAvoided_ = false;      // because of its delay, as last logged
    Time heardAt_;                // last answer or opened link
    int failures_ = 0;            // failed connections since heardAt_
    Time blockedUntil_;           // no new connections before this time
    LoadShedder shedder_;
    wire::ServerAnswers answers_; // since the last lease request
    bool hasSlowAnswers_ = false; // among these
    bool isOverloaded_ = false;   // the leader's last grant names it
    // No statements before this time: it refused one for lack of capacity, or
    // refused to begin a transaction because it was not the primary.
    Time fullUntil_;
    IdleLinkPolicy idleLinkPolicy_;
    // It last refused a connection over its limit, to this or another VM.
    Time connectionLimitAt_;
    bool isGone_ = false; // removed from the fleet; some links still exist
    // Last time at which it was proven not to be leaving; Time{}: not since
    // this VM was started.
    Time stayingAt_;
    bool wasRetired_ = false; // IsRetired() at the last tick
  };

  struct Lease
  {
    std::uint64_t term_ = 0; // of the primary
    ServerId server_;
    Time until_;
  };

  // Queue order: rank, then arrival time, then id. Among organisations,
  // FairOrder changes it within a rank.
  using QueueKey = std::tuple<int, Time, WorkId>;

  // A group of servers, the lease on its primary, and the queue of statements
  // that wait for one of its servers.
  struct Group
  {
    ServerId primary_;       // empty: none is known
    std::uint64_t term_ = 0; // of the primary
    bool changing_ = false;  // another primary is being promoted
    std::vector<ServerId> servers_;
    ServerId preferredReplica_; // of this VM; empty: there is no replica
    GroupLog log_;
    std::set<int> ranks_; // of the databases that the group serves
    Duration fastestTarget_ = Duration::max(); // least target of these
    Lease lease_;
    bool heldLease_ = false; // the lease was held at the last tick
    Time releasedAt_;        // grants requested up to this time are void
    std::uint64_t releasedTerm_ = 0; // highest term whose lease was revoked
    std::uint64_t revocationId_ = 0; // by which the leader revoked it
    // After a revocation: running statements may finish until this time, then
    // the lease is released.
    std::optional<Time> leaseDrainUntil_;
    std::set<QueueKey> queue_; // waiting statements
    // Their number by organisation, if organisations are in use.
    std::map<OrganisationId, std::size_t> waiting_;
    FairOrder order_; // in which they are sent, if organisations are in use
    Time doubtedAt_;  // the leader said that a VM suspects the primary
    // Position of the primary's log that is to be reported to the leader.
    std::optional<wire::ReportedPoint> pointToReport_;
    bool suspected_ = false; // as last reported to the leader
    Time reportedAt_;        // last report about suspected_
  };

  // Statements that no server of a group can run.
  enum class Outage : std::uint8_t
  {
    None,
    Primary, // those that need the primary
    Full,    // all
  };

  // All changes of the fleet that were committed before a lease request was
  // sent are in a view of this index or a later one.
  struct ViewProof
  {
    std::uint64_t index_ = 0;
    Time firstAt_; // first request for which the leader named this index
    Time lastAt_;  // last such request
  };

  // The leader's time in a lease grant.
  struct LeaderTime
  {
    Time receivedAt_;         // by this VM's clock
    std::int64_t leaderUs_{}; // by the leader's clock
  };

  // A server that can run a statement now, and what the statement requires.
  struct ServerChoice
  {
    ServerId server_;
    LogPoint minPoint_;   // the server's log has to have reached this point
    Time minPointAt_;     // the primary's log had reached it at this time
    bool leased_ = false; // it is the primary, and this VM holds its lease
  };

  // A server of a statement's group. If there is an obstacle, it can't run the
  // statement now.
  struct ServerVerdict
  {
    const ServerId* id_ = nullptr;
    const Server* server_ = nullptr;
    std::string_view obstacle_;
    ServerOption option_;
  };

  void Handle(SessionOpenRequested& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(SessionStatementReceived& aEvent,
              Time aNow,
              GatewayActions& aOut);
  void Handle(SessionEnded& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(ServerLinkOpened& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(ServerLinkLost& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(ServerLinkAnswered& aEvent, Time aNow, GatewayActions& aOut);
  void DropUnprovenLink(ServerLinkId aLink,
                        const ServerAnswer& aAnswer,
                        Time aNow,
                        GatewayActions& aOut);
  void RecordRefusedBegin(const Link& aLink, SessionError aError, Time aNow);
  void HandleAmbiguousError(ServerLinkId aLink,
                            const ServerAnswer& aError,
                            Time aNow,
                            GatewayActions& aOut);
  void RetryRefusedWork(WorkId aId,
                        const ServerId& aServer,
                        Time aMinPointAt,
                        const ServerAnswer& aAnswer,
                        Time aNow,
                        GatewayActions& aOut);
  static void PauseServer(Server& aServer, Time aNow);
  void DropLink(ServerLinkId aLink, Time aNow, GatewayActions& aOut);
  void SendProbe(ServerLinkId aLink, Time aNow, GatewayActions& aOut);
  void ReportUnmatched(ServerLinkId,
                       const ServerAnswer&,
                       AnswerVerdict,
                       GatewayActions&);
  void Handle(FleetOrCatalogChanged& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(LeaseGrantReceived& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(LeaseRevocationReceived& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(GatewayDrainRequested& aEvent, Time aNow, GatewayActions& aOut);
  void Handle(GatewayTick& aEvent, Time aNow, GatewayActions& aOut);

  // Sessions: GatewaySessions.cpp
  void OpenSession(SessionId aId,
                   std::string aDatabase,
                   const KeyHash& aKey,
                   Time aNow,
                   GatewayActions& aOut);
  void RefuseOpening(SessionId aId,
                     std::string_view aDatabase,
                     const KeyHash& aKey,
                     SessionError aError,
                     Time aNow,
                     GatewayActions& aOut);
  SessionError RefusalByCatalog(SessionError aError, Time aNow) const;
  void TickPendingSessions(Time aNow, GatewayActions& aOut);
  void RunStatement(SessionId aId,
                    SessionStatement aStatement,
                    Time aNow,
                    GatewayActions& aOut);
  void AnswerLocally(SessionId aId,
                     const SessionStatement& aStatement,
                     Time aNow,
                     GatewayActions& aOut);
  void RollBackTransaction(SessionId aId, Time aNow, GatewayActions& aOut);
  void StartWork(SessionId aId,
                 SessionStatement aStatement,
                 Time aNow,
                 GatewayActions& aOut);
  static Duration GetWaitLimit(const CatalogDatabase& aRoute);
  void Reply(SessionId aId, SessionReply aReply, GatewayActions& aOut);
  void ReplyError(SessionId aId,
                  SessionError aError,
                  std::string aText,
                  GatewayActions& aOut);
  bool RefuseForMemory(SessionId, const SessionStatement&, GatewayActions&);
  void RunPipelined(SessionId aId, Time aNow, GatewayActions& aOut);
  void AbortTransaction(SessionId aId,
                        std::string_view aCause,
                        Time aNow,
                        GatewayActions& aOut);
  TransactionState GetTransactionState(const Session& aSession) const;

  // Limits of organisations: GatewayLimits.cpp
  bool ChargeOperation(SessionId aId,
                       SessionStatement& aStatement,
                       Time aNow,
                       GatewayActions& aOut);
  void RefuseOperation(SessionId aId,
                       const SessionStatement& aStatement,
                       const OrganisationLimiter::Decision& aDecision,
                       Time aArrivedAt,
                       Time aNow,
                       GatewayActions& aOut);
  void SettleOperations(Time aNow, GatewayActions& aOut);
  void ReturnUnusedToken(Session& aSession);
  std::optional<ParkedStatement> MoveLimitCharge(
    SessionId aId,
    Session& aSession,
    const OrganisationId& aOrganisation);
  void EndOperations(SessionId aId, Session& aSession);
  bool IsParked(SessionId aId) const;
  void TickLimits(Time aNow, GatewayActions& aOut);

  // Queue, choice of servers: GatewayDispatch.cpp
  void Enqueue(WorkId aId);
  void Dequeue(WorkId aId);
  std::vector<WorkId> ListWaiting(const Group& aGroup) const;
  void Dispatch(const DatabaseId& aGroup, Time aNow, GatewayActions& aOut);
  bool TrySend(WorkId aId, Time aNow, GatewayActions& aOut);
  std::optional<ServerChoice> ChooseServer(const Work& aWork,
                                           const Group& aGroup,
                                           Time aNow) const;
  std::vector<ServerVerdict> JudgeServers(
    const Work& aWork,
    const Group& aGroup,
    const std::optional<GroupLog::PrimaryPoint>& aRequired,
    Time aNow) const;
  std::string_view FindObstacle(const ServerId& aId,
                                const Work& aWork,
                                const Group& aGroup,
                                const GroupLog::PrimaryPoint* aRequired,
                                Time aNow) const;
  bool IsPrimaryLeased(const Group& aGroup, Time aNow) const;
  static bool NeedsPrimary(bool aReadsOnly, const CatalogDatabase& aRoute)
  {
    return !aReadsOnly || aRoute.consistency_ == Consistency::Primary;
  }
  std::string_view FindRefusal(const Work& aWork,
                               const Group& aGroup,
                               Outage aOutage,
                               Time aNow) const;
  std::optional<GroupLog::PrimaryPoint> FindRequiredPoint(
    const Work& aWork,
    const Group& aGroup) const;
  bool HasRoom(const Server& aServer,
               const DatabaseId& aGroup,
               const Work& aWork,
               Time aNow) const;
  ServerId FindPreferredReplica(const Group& aGroup) const;
  bool Sheds(const Server& aServer,
             const Group& aGroup,
             const Work& aWork,
             Time aNow) const;
  bool IsShedByAll(const Work& aWork, const Group& aGroup, Time aNow) const;
  bool IsInOwnZone(const Server& aServer) const;
  std::size_t SlotShare(const Server& aServer) const;
  std::size_t LinkBudget(const Server& aServer) const;
  std::size_t LinkShare(const Server& aServer) const;
  bool MayOpenLink(const Server& aServer) const;

  // Keys and links of organisations: GatewayOrganisations.cpp
  SessionAccess FindAccess(const Session& aSession) const;
  void ApplyKeys(Time aNow, GatewayActions& aOut);
  void ChangeOrganisation(SessionId aId,
                          const OrganisationId& aOrganisation,
                          Time aNow,
                          GatewayActions& aOut);
  void BeginEnding(SessionId aId,
                   SessionError aError,
                   Time aNow,
                   GatewayActions& aOut);
  void EndSession(SessionId aId, Time aNow, GatewayActions& aOut);
  bool IsEnding(SessionId aId) const;
  bool HasForeignTransaction(const Session& aSession) const;
  bool AwaitsProof() const;
  bool UsesOrganisations() const;
  bool IsServed(const OrganisationId& aOrganisation) const;
  std::size_t CountOpening(const Group& aGroup,
                           const OrganisationId& aOrganisation,
                           Time aNow) const;
  ServerLinkId FindReplaceableLink(const Server& aServer,
                                   const Group& aGroup,
                                   const OrganisationId& aOrganisation,
                                   Time aNow) const;
  LinkVerdict FindLink(const Server& aServer,
                       const Work& aWork,
                       Time aNow) const;
  void OpenLinkFor(const Work& aWork,
                   Server& aServer,
                   LinkVerdict aVerdict,
                   Time aNow,
                   GatewayActions& aOut);
  OrganisationId FindTestOrganisation(const Server& aServer) const;

  // Links and sending: GatewaySending.cpp
  void OpenLink(Server& aServer,
                const OrganisationId& aOrganisation,
                Time aNow,
                GatewayActions& aOut);
  void SendWork(WorkId aId,
                ServerLinkId aLink,
                const ServerChoice& aChoice,
                Time aNow,
                GatewayActions& aOut);
  bool SetUpLink(const Session& aSession,
                 const SessionStatement& aStatement,
                 ServerLinkId aLink,
                 Time aNow,
                 GatewayActions& aOut);
  void SendNextCommand(ServerLinkId aLink, Time aNow, GatewayActions& aOut);
  bool MaySendNextCommand(ServerLinkId aLink, Time aNow) const;
  void TakeBackWork(ServerLinkId aLink, Time aNow, GatewayActions& aOut);
  void SendCommand(ServerLinkId aLink,
                   ServerCommand aCommand,
                   Time aNow,
                   GatewayActions& aOut);
  ServerCommand BuildCommand(const Session& aSession,
                             const SessionStatement& aStatement) const;

  // Servers that leave: GatewayLeaving.cpp
  void RecordViewProof(const wire::LeaseGrant& aGrant);
  void ApplyViewProofs();
  bool IsViewOutdated(Time aNow) const;
  bool IsViewRecent(Time aNow) const;
  bool MayTakeWork(const Server& aServer, Time aNow) const;
  bool IsRetired(const Server& aServer, Time aNow) const;
  Outage FindOutage(const Group& aGroup, Time aNow) const;
  void TickLeavingServers(Time aNow, GatewayActions& aOut);
  void RestartTransaction(WorkId aId, Time aNow, GatewayActions& aOut);

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
  void ReleaseLinkIn(TransactionState aState,
                     ServerLinkId aLink,
                     Time aNow,
                     GatewayActions& aOut);
  void ReleaseLink(ServerLinkId aLink, Time aNow, GatewayActions& aOut);
  void CloseLink(ServerLinkId aLink, GatewayActions& aOut);
  void CloseIdleLink(Server& aServer, ServerLinkId aLink, GatewayActions& aOut);
  void CloseIdleLinks(const ServerId& aServer,
                      Time aSince,
                      GatewayActions& aOut);
  void RemoveLink(ServerLinkId aLink, Time aNow, GatewayActions& aOut);

  // Leases: GatewayLeases.cpp
  bool HoldsLease(const Group& aGroup, std::uint64_t aTerm, Time aNow) const;
  bool IsLeaseUsed(const DatabaseId& aGroup, std::uint64_t aTerm) const;
  void TickLeases(Time aNow, GatewayActions& aOut);
  void RequestLeases(Time aNow, GatewayActions& aOut);
  void FinishRelease(const DatabaseId& aGroup, Time aNow, GatewayActions& aOut);
  void AbortLeasedTransactions(const DatabaseId& aGroup,
                               Time aNow,
                               GatewayActions& aOut);

  // Reports to the leader and its word on them: GatewayReports.cpp
  void RecordResponse(Server& aServer,
                      const Link& aLink,
                      std::optional<SessionError> aError,
                      Time aNow);
  void ReportAvoidedServers(Time aNow, GatewayActions& aOut);
  void RecordLeaderTime(const wire::LeaseGrant& aGrant, Time aNow);
  void RecordOverload(const wire::LeaseGrant& aGrant, Time aNow);
  void AddReports(wire::LeaseRequest& aRequest);
  void ReportPrimaryPoint(const DatabaseId& aGroup,
                          Time aSentAt,
                          LogPoint aPoint);
  void RecordSharedPoints(const wire::LeaseGrant& aGrant);

  // Drain: GatewayDrain.cpp
  static constexpr std::string_view kStoppingText = "this VM is draining";
  static constexpr std::string_view kSendElsewhereText =
    "this VM is draining: send the statement to another one";
  bool MayStartWork(Time aNow) const;
  void TickDrain(Time aNow, GatewayActions& aOut);
  void RefuseWaiting(const Group& aGroup, Time aNow, GatewayActions& aOut);
  void RefuseParked(Time aNow, GatewayActions& aOut);
  void AnswerRunningWork(Time aNow, GatewayActions& aOut);
  void CloseAnsweredSessions(Time aNow, GatewayActions& aOut);
  bool IsUnused(SessionId aId, const Session& aSession) const;
  void CloseIdleSessions(Time aNow, GatewayActions& aOut);
  void CloseSessionNow(SessionId aId, Time aNow, GatewayActions& aOut);

  // Timeouts, suspicions, isolation: GatewayTick.cpp
  static SessionError UnansweredError(const Work& aWork);
  void TickWork(Time aNow, GatewayActions& aOut);
  void TickSessions(Time aNow, GatewayActions& aOut);
  void TickSuspicions(Time aNow, GatewayActions& aOut);
  void TickLinks(Time aNow, GatewayActions& aOut);
  bool IsShortOfConnections(const Server& aServer) const;
  Duration IdleLinkTimeout(const Server& aServer, Time aNow) const;
  void FailWork(WorkId aId,
                SessionError aError,
                std::string aText,
                Time aNow,
                GatewayActions& aOut);

  // For operators: GatewayExplain.cpp
  std::string ExplainRefusal(const ExplanationRequest& aRequest,
                             const CatalogDatabase* aRoute) const;
  ServerExplanation ExplainServer(const ServerVerdict& aVerdict,
                                  const Work& aWork,
                                  const Group& aGroup,
                                  Time aNow) const;
  void ExplainChoice(const Work& aWork,
                     const Group& aGroup,
                     Explanation& aOut,
                     Time aNow) const;
  void ExplainLimit(const Work& aWork, Explanation& aOut, Time aNow) const;

  bool IsCatalogProven() const;
  bool IsCutOff(Time aNow) const;
  bool DependsOnOtherZones() const;
  bool AreOtherZonesSilent(Time aNow) const;
  bool IsAloneInZone(Time aNow) const;
  void TestOtherZones(Time aNow, GatewayActions& aOut);
  bool IsOutOfRotation(Time aSince, Time aNow) const;
  void TickIsolation(Time aNow, GatewayActions& aOut);
  void UpdateGroupTargets();
  Server* FindServer(const ServerId& aServer);
  const Server* FindServer(const ServerId& aServer) const;
  Group* FindGroup(const DatabaseId& aGroup);

  GatewayConfig config_;
  FleetViewPtr view_;
  CatalogPtr catalog_;
  std::size_t holders_ = 1; // VMs that use the servers, including this one
  std::map<SessionId, Session> sessions_;
  std::map<SessionId, PendingSession> pendingSessions_;
  OrganisationLimiter limiter_;
  std::map<SessionId, ParkedStatement> parked_;
  std::map<WorkId, Work> work_;
  std::map<ServerLinkId, Link> links_;
  std::map<ServerId, Server> servers_;
  std::map<DatabaseId, Group> groups_;
  std::map<std::string, UsualTime> usualTimes_; // by database
  std::set<DatabaseId> groupsToDispatch_;
  WorkId nextWork_ = 1;
  ServerLinkId nextLink_ = 1;
  Time leaseRequestedAt_; // last lease request
  // Last answer of the leader to a lease request; Time{}: none since the start.
  Time grantedAt_;
  // The last complete list of leases that the leader sent, and its id.
  google::protobuf::RepeatedPtrField<wire::PrimaryLease> grantedLeases_;
  std::uint64_t grantedListId_ = kNoLeaseList;
  std::uint64_t leaderTerm_ = 0;       // of the last grant
  std::deque<LeaderTime> leaderTimes_; // of this leader's grants, newest last
  std::deque<ViewProof> viewProofs_;   // that the view does not meet yet
  // All changes that were committed before this time are in the view; Time{}:
  // not known since the start.
  Time viewProvenAt_;
  Time tickedAt_;  // last tick
  Time steppedAt_; // last event
  Time resumedAt_; // first event after the machine was suspended
  std::optional<Time> drainingSince_;
  std::vector<SessionId> sessionsAnswered_; // in this step, during a drain
  std::optional<Time> isolatedSince_;       // cut off for longer than the limit
  Time lastNotCutOffAt_;   // last tick at which it was not cut off
  int notReadyProbes_ = 0; // successive readiness probes answered with false
  Time notReadyProbeAt_;   // last probe counted in notReadyProbes_
  GatewayCounters counters_;
  std::vector<GatewaySample> samples_;
};

} // namespace jaydoor

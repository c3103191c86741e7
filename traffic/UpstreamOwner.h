#pragma once

// The owner of one upstream server: manages its connections, its slots and the
// queue of statements for it.
//
// All statements for a server pass through its owner, whichever VM the caller
// is connected to, so that slots are never oversubscribed and statements are
// served exactly in rank order. Correctness does not depend on there being only
// one owner: an upstream refuses what exceeds its limits, and each owner uses
// only a share of the connections.
//
// Sections:
//   1. Replies and timing
//   2. The owner
//
// States of a statement: queued -> running -> (waiting for proof) -> replied. A
// write waits for the proof that a majority holds it, a read for the proof that
// its data is recent enough.

#include "traffic/GroupWatch.h"
#include "traffic/OwnedStatement.h"
#include "traffic/RankQueue.h"

#include <map>
#include <vector>

namespace jaydoor {

// ---- 1. Replies and timing

struct OwnerReply
{
  ReplyAddress to_;
  wire::ForwardReply reply_;
};

struct OwnerTiming
{
  Duration connectTimeout_ = 500ms;
  Duration answerTimeout_ = 400ms;        // then a connection counts as silent
  Duration uncheckedIdleLimit_ = 1s;      // then a check precedes the next use
  Duration transactionIdleTimeout_ = 10s; // then it is rolled back
  Duration freshnessProofTimeout_ = 25ms; // for reads at a replica
  double connectionShare_ = 0.4;          // of the server's connection limit
};

// ---- 2. The owner

class UpstreamOwner
{
public:
  UpstreamOwner(wire::Upstream aInfo, VmId aSelf, OwnerTiming aTiming);

  // Adopts the server's description, the rules, the term and the primary from
  // the view. `aOwned`: this VM is the owner; if it is not, the next Tick
  // refuses the queued statements and closes the idle connections.
  void SetView(const FleetView& aView, bool aOwned, TrafficActions& aOut);

  // Queues a statement, or replies at once that it was refused and has not run.
  void Accept(OwnedStatement aStatement, Time aNow, const GroupWatch& aWatch);
  // Drops a queued statement without a reply. Has no effect on one that is
  // running.
  void Cancel(const ReplyAddress& aAddress);

  // Handle events of the connections that this owner opened. Return false if
  // the connection is not one of them.
  bool HandleOpened(ConnectionId aId, Time aNow);
  bool HandleLost(ConnectionId aId, Time aNow);
  bool HandleAnswer(ConnectionId aId, UpstreamAnswer aAnswer, Time aNow);

  // Applies the time limits, replies to statements whose answer is proven,
  // sends queued statements, and opens or closes connections. Has to be called
  // after every other event.
  void Tick(Time aNow,
            const GroupWatch& aWatch,
            IdSource& aIds,
            TrafficActions& aOut);
  // The latest time at which the next Tick is due.
  Time NextWake(Time aNow) const;

  // Replies to statements since the last call.
  std::vector<OwnerReply> TakeReplies();

  // True if a statement waits for a proof from the watch.
  bool IsProofAwaited() const { return !awaitingProof_.empty(); }
  // True if no statement is held and no transaction is open.
  bool IsIdle() const;
  // Closes the connections that neither run a statement nor hold a transaction.
  void CloseUnusedConnections(TrafficActions& aOut);

  std::size_t CountQueued() const { return queue_.Size(); }
  std::size_t CountRunning() const { return running_; }
  std::size_t CountConnections() const { return connections_.size(); }
  const wire::Upstream& Info() const { return info_; }

private:
  enum class ConnectionUse : std::uint8_t
  {
    Opening,
    Idle,
    Checking,          // a status request checks that it still answers
    Running,           // runs a statement
    HeldByTransaction, // reserved by a transaction between its statements
  };

  // Whether the answer to a statement is proven: the durability of its data,
  // and for a read the age as well.
  enum class ProofState : std::uint8_t
  {
    Unproven,
    Proven,
    Behind, // the answer is older than what the session has seen
  };

  struct Connection
  {
    ConnectionUse use_ = ConnectionUse::Opening;
    Time openedAt_;                   // when its opening began
    Time useSince_;                   // when the use began
    Time lastAnswerAt_;               // last answer, or when it was opened
    std::uint64_t statementId_ = 0;   // while Running
    std::uint64_t transactionId_ = 0; // 0: none
  };

  struct Transaction
  {
    ConnectionId connectionId_ = 0;
    Time lastUsedAt_;   // last answer, or when it began
    bool busy_ = false; // one of its statements is queued or running
  };

  bool IsTransactionStep(const OwnedStatement& aStatement) const;
  std::optional<Reason> FindRoutingRefusal(
    const OwnedStatement& aStatement) const;
  std::optional<Reason> FindRefusal(const OwnedStatement& aStatement,
                                    const GroupWatch& aWatch,
                                    Time aNow) const;
  QueuedItem MakeQueuedItem(std::uint64_t aId,
                            const OwnedStatement& aStatement) const;
  bool AttachTransaction(OwnedStatement& aStatement);
  void Reply(const OwnedStatement& aStatement,
             Outcome aOutcome,
             Reason aReason,
             Time aNow);
  void ReplyById(std::uint64_t aId,
                 Outcome aOutcome,
                 Reason aReason,
                 Time aNow);
  void ReplyToDropped(Time aNow);
  void RefuseUnroutable(Time aNow);
  void CloseSilentConnections(Time aNow, TrafficActions& aOut);
  void CloseIdleOpenedUntil(Time aOpenedUntil, Time aNow, TrafficActions& aOut);
  ProofState GetProofState(const OwnedStatement& aStatement,
                           const GroupWatch& aWatch) const;
  Time ProofDeadline(const OwnedStatement& aStatement) const;
  void CheckProofs(Time aNow, const GroupWatch& aWatch);
  void ExpireTransactions(Time aNow, TrafficActions& aOut);
  void StartQueued(Time aNow, IdSource& aIds, TrafficActions& aOut);
  void StartTransactionSteps(Time aNow, TrafficActions& aOut);
  void MaintainConnections(Time aNow, IdSource& aIds, TrafficActions& aOut);
  void SendStatement(ConnectionId aId,
                     std::uint64_t aStatement,
                     Time aNow,
                     TrafficActions& aOut);
  void ReleaseConnection(Connection& aConnection, Time aNow);
  void HandleStatementAnswer(std::uint64_t aId,
                             UpstreamAnswer aAnswer,
                             Time aNow);
  void RequeueOrRefuse(std::uint64_t aId, Reason aReason, Time aNow);
  void HandleStatementLost(std::uint64_t aId, Time aNow);
  void UpdateTransaction(OwnedStatement& aStatement);
  void EndTransaction(std::uint64_t aTransaction);
  void Requeue(std::uint64_t aId, Time aNow);
  ConnectionId FindIdleConnection() const;
  std::size_t ConnectionLimit() const;
  std::size_t TransactionLimit() const;

  wire::Upstream info_;
  VmId self_;
  OwnerTiming timing_;
  Rules rules_;
  bool owned_ = false;   // this VM is the owner
  bool primary_ = false; // the server is the primary of its group
  // The view has changed since the last Tick, so the queue may hold statements
  // that can't run here any more.
  bool viewChanged_ = false;
  std::uint64_t term_ = 0; // of the primary

  RankQueue queue_;
  std::map<std::uint64_t, OwnedStatement> statements_; // not replied to yet
  std::vector<std::uint64_t> transactionSteps_;        // ready to be sent
  std::vector<std::uint64_t> awaitingProof_; // have run, not proven yet
  std::map<ConnectionId, Connection> connections_;
  std::map<std::uint64_t, Transaction> transactions_;
  std::vector<ConnectionId> closing_; // closed at the next Tick
  std::vector<OwnerReply> replies_;
  std::size_t running_ = 0; // statements that the upstream runs
  std::uint64_t nextId_ = 1;
  Time reopenAt_; // when the next connection may be opened
};

} // namespace jaydoor

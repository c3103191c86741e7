#pragma once

// Owns one upstream server: its connections, its slots and its one queue.
//
// All statements for a server pass through its owner, whichever VM the caller
// came in by, so that slots are never oversubscribed and rank order is exact.
// Nothing depends on there being one owner only: an upstream refuses what is
// over its limits, and each owner keeps to a share of the connections.
//
// Sections:
//   1. Replies and times
//   2. The owner
//
// Life of a statement: queued -> running -> (proof) -> replied. A write waits
// for the proof that a majority holds it, a read for the proof of its age.

#include "traffic/GroupWatch.h"
#include "traffic/OwnedStatement.h"
#include "traffic/RankQueue.h"

#include <map>
#include <vector>

namespace jaydoor {

// ---- 1. Replies and times

struct OwnerReply
{
  ReplyAddress to_;
  wire::ForwardReply reply_;
};

struct OwnerTiming
{
  Duration connectTimeout_ = 500ms;
  Duration answerTimeout_ = 400ms; // unanswered: the connection may be silent
  Duration uncheckedIdleLimit_ =
    1s; // idle longer: asked for a sign of life first
  Duration transactionIdleTimeout_ = 10s; // then it is rolled back
  Duration freshnessProofTimeout_ =
    25ms;                        // a replica's proof of age may take this long
  double connectionShare_ = 0.4; // of the server's connection limit
};

// ---- 2. The owner

class UpstreamOwner
{
public:
  UpstreamOwner(wire::Upstream aInfo, VmId aSelf, OwnerTiming aTiming);

  // Takes over the server's description, the rules and who is primary.
  void SetView(const FleetView& aView, bool aOwned, TrafficActions& aOut);

  // Queues a statement, or replies at once with what proves it not run.
  void Accept(OwnedStatement aStatement, Time aNow, const GroupWatch& aWatch);
  // Drops a queued statement; one that is running runs on.
  void Cancel(const ReplyAddress& aAddress);

  // Events of the connections opened here; true if the id is one of them.
  bool HandleOpened(ConnectionId aId, Time aNow);
  bool HandleLost(ConnectionId aId, Time aNow);
  bool HandleAnswer(ConnectionId aId, UpstreamAnswer aAnswer, Time aNow);

  // Expires, proves, sends what can be sent. Call after every other event.
  void Tick(Time aNow,
            const GroupWatch& aWatch,
            IdSource& aIds,
            TrafficActions& aOut);
  Time NextWake(Time aNow) const;

  std::vector<OwnerReply> TakeReplies();

  // True if a statement waits for a proof from the watch.
  bool IsProofAwaited() const { return !awaitingProof_.empty(); }
  // True if nothing is queued, running or held.
  bool IsIdle() const;
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
    Checking,          // asked for a sign of life
    Running,           // a statement
    HeldByTransaction, // by a transaction, between statements
  };

  // Whether what a statement did or saw is proven.
  enum class ProofState : std::uint8_t
  {
    Unproven,
    Proven,
    Behind, // the answer is behind what the session has seen
  };

  struct Connection
  {
    ConnectionUse use_ = ConnectionUse::Opening;
    Time openedAt_;
    Time useSince_;                 // when the use began
    Time lastAnswerAt_;             // last answer
    std::uint64_t statementId_ = 0; // while Running
    std::uint64_t transactionId_ = 0;
  };

  struct Transaction
  {
    ConnectionId connectionId_ = 0;
    Time lastUsedAt_;
    bool busy_ = false; // a statement of it is queued or running
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
  bool owned_ = false;
  bool primary_ = false;
  bool viewChanged_ = false; // the queue has to be looked through
  std::uint64_t term_ = 0;

  RankQueue queue_;
  std::map<std::uint64_t, OwnedStatement> statements_; // all accepted ones
  std::vector<std::uint64_t>
    transactionSteps_; // transaction steps ready to be sent
  std::vector<std::uint64_t> awaitingProof_; // ran, wait for a proof
  std::map<ConnectionId, Connection> connections_;
  std::map<std::uint64_t, Transaction> transactions_;
  std::vector<ConnectionId> closing_; // closed at the next Tick
  std::vector<OwnerReply> replies_;
  std::size_t running_ = 0;
  std::uint64_t nextId_ = 1;
  Time reopenAt_; // pause after a failed connection
};

} // namespace jaydoor

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
  Duration silentAfter_ = 400ms; // unanswered: the connection may be silent
  Duration provenFor_ = 1s;      // idle longer: asked for a sign of life first
  Duration transactionIdle_ = 10s; // then it is rolled back
  Duration freshWait_ = 25ms;    // a replica's proof of age may take this long
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
  bool Opened(ConnectionId aId, Time aNow);
  bool Lost(ConnectionId aId, Time aNow);
  bool Answered(ConnectionId aId, UpstreamAnswer aAnswer, Time aNow);

  // Expires, proves, sends what can be sent. Call after every other event.
  void Tick(Time aNow,
            const GroupWatch& aWatch,
            IdSource& aIds,
            TrafficActions& aOut);
  Time NextWake(Time aNow) const;

  std::vector<OwnerReply> TakeReplies();

  // True if a statement waits for a proof from the watch.
  bool WantsProof() const { return !proving_.empty(); }
  // True if nothing is queued, running or held.
  bool IsIdle() const;
  void CloseAll(TrafficActions& aOut);

  std::size_t Queued() const { return queue_.Size(); }
  std::size_t Running() const { return running_; }
  std::size_t Connections() const { return connections_.size(); }
  const wire::Upstream& Info() const { return info_; }

private:
  enum class Use : std::uint8_t
  {
    Opening,
    Idle,
    Checking, // asked for a sign of life
    Running,  // a statement
    Held,     // by a transaction, between statements
  };

  // Whether what a statement did or saw is proven.
  enum class Proof : std::uint8_t
  {
    Open,
    Given,
    Behind, // the answer is behind what the session has seen
  };

  struct Connection
  {
    Use use_ = Use::Opening;
    Time openedAt_;
    Time since_;                  // when the use began
    Time provenAt_;               // last answer
    std::uint64_t statement_ = 0; // while Running
    std::uint64_t transaction_ = 0;
  };

  struct Transaction
  {
    ConnectionId connection_ = 0;
    Time usedAt_;
    bool busy_ = false; // a statement of it is queued or running
  };

  bool IsTransactionStep(const OwnedStatement& aStatement) const;
  std::optional<Reason> FindRoutingRefusal(
    const OwnedStatement& aStatement) const;
  std::optional<Reason> FindRefusal(const OwnedStatement& aStatement,
                                    const GroupWatch& aWatch,
                                    Time aNow) const;
  QueuedItem MakeItem(std::uint64_t aId,
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
  void DropRefused(Time aNow);
  void BounceQueued(Time aNow);
  void CheckRunning(Time aNow, TrafficActions& aOut);
  void DropAgeMates(Time aOpenedUntil, Time aNow, TrafficActions& aOut);
  Proof FindProof(const OwnedStatement& aStatement,
                  const GroupWatch& aWatch) const;
  Time ProofLimit(const OwnedStatement& aStatement) const;
  void CheckProofs(Time aNow, const GroupWatch& aWatch);
  void CheckTransactions(Time aNow, TrafficActions& aOut);
  void StartQueued(Time aNow, IdSource& aIds, TrafficActions& aOut);
  void StartPinned(Time aNow, TrafficActions& aOut);
  void KeepConnections(Time aNow, IdSource& aIds, TrafficActions& aOut);
  void Send(ConnectionId aId,
            std::uint64_t aStatement,
            Time aNow,
            TrafficActions& aOut);
  void FinishRun(Connection& aConnection, Time aNow);
  void SettleAnswer(std::uint64_t aId, UpstreamAnswer aAnswer, Time aNow);
  void SettleRefusal(std::uint64_t aId, Reason aReason, Time aNow);
  void SettleLost(std::uint64_t aId, Time aNow);
  void SettleTransaction(OwnedStatement& aStatement);
  void EndTransaction(std::uint64_t aTransaction);
  void Requeue(std::uint64_t aId, Time aNow);
  ConnectionId FindIdle() const;
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
  std::vector<std::uint64_t> pinned_;  // transaction steps ready to be sent
  std::vector<std::uint64_t> proving_; // ran, wait for a proof
  std::map<ConnectionId, Connection> connections_;
  std::map<std::uint64_t, Transaction> transactions_;
  std::vector<ConnectionId> closing_; // closed at the next Tick
  std::vector<OwnerReply> replies_;
  std::size_t running_ = 0;
  std::uint64_t nextId_ = 1;
  Time openNotBefore_; // pause after a failed connection
};

} // namespace jaydoor

#pragma once

// A statement as the owner of its upstream holds it, and the properties that
// follow from its kind.

#include "traffic/Actions.h"

namespace jaydoor {

// Where the reply goes: a VM, and the id that this VM gave to the forward.
struct ReplyAddress
{
  VmId vm_;
  RequestId request_ = 0;
};

struct OwnedStatement
{
  ReplyAddress replyTo_;
  wire::Statement statement_;
  std::uint64_t term_ = 0;          // primary's term in the router's view
  LogPoint minPoint_;               // latest point that the session has seen
  Duration maxAge_{};               // reads: greatest allowed age of the data
  Time arrivedAt_;                  // when the owner accepted it
  Time sentAt_;                     // when it was last sent to the upstream
  Time answeredAt_;                 // when the upstream answered
  Time deadline_;                   // for the owner's reply
  std::string traceParent_;         // traceparent of the sender's span
  UpstreamAnswer answer_;           // once the upstream has answered
  std::uint64_t transactionId_ = 0; // 0: none
  int attempts_ = 0;                // sends; 0 again if the first was refused
};

inline TransactionStep
StepOf(const OwnedStatement& aStatement)
{
  return static_cast<TransactionStep>(aStatement.statement_.transaction_step());
}

// True for a read outside a transaction.
inline bool
IsRead(const OwnedStatement& aStatement)
{
  return aStatement.statement_.read() &&
         StepOf(aStatement) == TransactionStep::None;
}

// True if running the statement more than once has the same effect as running
// it once.
inline bool
IsSafeToRepeat(const OwnedStatement& aStatement)
{
  return StepOf(aStatement) == TransactionStep::None &&
         (aStatement.statement_.read() || aStatement.statement_.repeatable());
}

// True if the statement's effect has to be durable on a majority of the group
// before it is acknowledged.
inline bool
NeedsMajority(const OwnedStatement& aStatement)
{
  const TransactionStep step = StepOf(aStatement);
  return step == TransactionStep::Commit ||
         (step == TransactionStep::None && !aStatement.statement_.read());
}

} // namespace jaydoor

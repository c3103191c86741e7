#pragma once

// A statement as the owner of its upstream holds it, and what follows from
// its kind.

#include "traffic/Actions.h"

namespace jaydoor {

// Where the reply goes: a VM and its id for the request.
struct ReplyAddress
{
  VmId vm_;
  RequestId request_ = 0;
};

struct OwnedStatement
{
  ReplyAddress replyTo_;
  wire::Statement statement_;
  std::uint64_t term_ = 0;          // term of the view that routed it
  LogPoint minPoint_;               //
  Duration maxAge_{};               // reads
  Time arrivedAt_;                  //
  Time sentAt_;                     // to the upstream
  Time answeredAt_;                 // when the upstream answered
  Time deadline_;                   //
  std::string traceParent_;         // traceparent of the sender's span
  UpstreamAnswer answer_;           // once the upstream has answered
  std::uint64_t transactionId_ = 0; // 0: none
  int attempts_ = 0;                // times sent to the upstream
};

inline TransactionStep
StepOf(const OwnedStatement& aStatement)
{
  return static_cast<TransactionStep>(aStatement.statement_.transaction_step());
}

inline bool
IsRead(const OwnedStatement& aStatement)
{
  return aStatement.statement_.read() &&
         StepOf(aStatement) == TransactionStep::None;
}

// True if running it twice is the same as running it once.
inline bool
IsSafeToRepeat(const OwnedStatement& aStatement)
{
  return StepOf(aStatement) == TransactionStep::None &&
         (aStatement.statement_.read() || aStatement.statement_.repeatable());
}

// True if its effect has to be on a majority before it is acknowledged.
inline bool
NeedsMajority(const OwnedStatement& aStatement)
{
  const TransactionStep step = StepOf(aStatement);
  return step == TransactionStep::Commit ||
         (step == TransactionStep::None && !aStatement.statement_.read());
}

} // namespace jaydoor

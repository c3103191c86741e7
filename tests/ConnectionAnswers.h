#pragma once

// The answers of a server on one connection, without data: the signature, the
// state of the transaction, and whether the server said if a command succeeded.
//
//   ConnectionAnswers answers("1");
//   answers.Receive(command);
//   answers.AnswerOldest();       // "1.1" is the signature of its first run
//
// Commands of the gateway are answered without a signature. A transaction fails
// with any error but a lack of capacity; then only a commit or rollback is
// accepted, and both roll back.

#include "gateway/SessionTypes.h"

#include <deque>
#include <utility>

#include <fmt/format.h>

namespace jaydoor::tests {

class ConnectionAnswers
{
public:
  explicit ConnectionAnswers(std::string aName = "signed")
    : name_(std::move(aName))
  {
  }

  void Receive(const ServerCommand& aCommand)
  {
    unanswered_.push_back(aCommand);
  }
  bool IsIdle() const { return unanswered_.empty(); }
  TransactionState State() const { return state_; }

  // Answers the oldest command that was received, at least one.
  ServerAnswer AnswerOldest(std::optional<SessionError> aError = {})
  {
    const ServerCommand command = std::move(unanswered_.front());
    unanswered_.pop_front();
    return Answer(command, aError);
  }

  // Answers the command: it has run, unless an error is given or its
  // transaction has failed.
  ServerAnswer Answer(const ServerCommand& aCommand,
                      std::optional<SessionError> aError = {})
  {
    const bool isRollback = aCommand.kind_ == CommandKind::Rollback;
    const bool hasFailed = state_ == TransactionState::Failed;
    ServerAnswer answer;
    answer.hasResult_ = true;
    answer.error_ = aError;
    if (hasFailed && !isRollback) {
      answer.error_ = aCommand.endsTransaction_ ? SessionError::Aborted
                                                : SessionError::Malformed;
    } else if (!aError && RunsStatement(aCommand.kind_)) {
      answer.signature_ = fmt::format("{}.{}", name_, ++runs_);
    }
    const bool ends = aCommand.endsTransaction_ && (!aError || hasFailed);
    const bool begins = BeginsTransaction(aCommand.kind_);
    if (ends || isRollback) {
      state_ = TransactionState::Idle;
    } else if (begins && !answer.error_) {
      state_ = TransactionState::Open;
    } else if (state_ == TransactionState::Open && answer.error_ &&
               answer.error_ != SessionError::Overloaded) {
      state_ = TransactionState::Failed;
    }
    answer.state_ = state_;
    return answer;
  }

private:
  std::string name_;
  std::uint64_t runs_ = 0;
  TransactionState state_ = TransactionState::Idle;
  std::deque<ServerCommand> unanswered_;
};

} // namespace jaydoor::tests

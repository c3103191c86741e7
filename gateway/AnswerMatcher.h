#pragma once

// Decides whether an answer on a connection belongs to the oldest command that
// the connection has not had an answer to.
//
//   AnswerMatcher matcher;   // one for each connection
//   matcher.Expect({ .kind_ = CommandKind::Begin });
//   switch (matcher.Check(answer)) { ... }
//   matcher.Accept(answer);  // it is the answer to the oldest command
//
// Answers carry no id and arrive in the order of the commands, but a server may
// answer a command twice, the second time after any number of later commands.
// What tells the second answer from that to a later command:
//
// - Each run of a statement is signed with a signature of its own; commands of
//   the gateway are answered without one.
// - The state of the transaction after the command.
// - Nothing, for an error: any later error with the same code may be a
//   repetition. A connection that has had an error is therefore not used for
//   further sessions, and inside its transaction a second error with the same
//   code proves nothing.

#include "gateway/SessionTypes.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace jaydoor {

// A command that was sent, as far as its answer depends on it.
struct ExpectedAnswer
{
  CommandKind kind_ = CommandKind::Forward;
  bool endsTransaction_ = false; // a caller's commit
};

enum class AnswerVerdict : std::uint8_t
{
  Matches,
  // Belongs to an earlier command, so that the one to the oldest command is
  // still to come.
  Repeated,
  // May be the answer to the oldest command, or an earlier error once more.
  Ambiguous,
  // Belongs to no known command: the connection is out of step.
  Unexpected,
};

// Returns the verdict's name in log lines.
std::string_view
GetVerdictName(AnswerVerdict aVerdict);

class AnswerMatcher
{
public:
  void Expect(ExpectedAnswer aCommand) { expected_.push_back(aCommand); }
  // Returns how many commands have no answer.
  std::size_t CountUnanswered() const { return expected_.size(); }
  bool IsIdle() const { return expected_.empty(); }
  bool HasHadError() const { return !errors_.empty(); }

  AnswerVerdict Check(const ServerAnswer& aAnswer) const;
  // Records the answer to the oldest unanswered command and returns that
  // command's kind.
  CommandKind Accept(const ServerAnswer& aAnswer);

private:
  // Signatures that are remembered: the number of statements in which a
  // repetition is recognised. Two seconds of statements of 8 ms.
  static constexpr std::size_t kMaxSignatures = 256;

  bool IsKnown(std::string_view aSignature) const;
  AnswerVerdict CheckError(SessionError aError) const;
  TransactionState StateAfter(const ExpectedAnswer& aCommand) const;

  std::deque<ExpectedAnswer> expected_; // of unanswered commands, oldest first
  TransactionState state_ = TransactionState::Idle; // after the last answer
  std::vector<std::uint64_t> signatures_;           // digests
  std::size_t nextSignature_ = 0; // overwritten next, once there are enough
  std::vector<SessionError> errors_;
};

} // namespace jaydoor

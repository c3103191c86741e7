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
// - Otherwise only the position of the server's log: as long as the log does
//   not grow, the same answer once more may be either.
//
// An error that may be either is held, and a command without effect, the probe,
// is sent after the statement: if its answer comes next, the error was the
// statement's. This too is known only if the answer is a new one, or a later
// probe's is.

#include "gateway/SessionTypes.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
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
  // An error that may be the answer to the oldest command, a statement, or an
  // earlier one once more. It has to be held.
  Ambiguous,
  // Answers a probe, so that the error that is held belongs to the oldest
  // command.
  Confirmed,
  // Answers a probe or repeats an earlier answer: another probe may tell.
  Undecided,
  // May be the answer to the oldest command, or an earlier one once more, and
  // no probe can tell. The connection has to be closed.
  Unproven,
  // Belongs to no known command. The connection has to be closed.
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
  // Returns true if no more answers should be remembered: the connection has to
  // be replaced, so that a repetition is recognised however late it comes.
  bool IsFull() const { return knownAnswers_.size() >= kMaxKnownAnswers; }

  AnswerVerdict Check(const ServerAnswer& aAnswer) const;
  // Records the answer to the oldest unanswered command and returns that
  // command's kind.
  CommandKind Accept(const ServerAnswer& aAnswer);
  // Records an answer that is not taken for that to any command.
  void Ignore(const ServerAnswer& aAnswer);
  // Holds an ambiguous error until the next answer. A probe has to be sent.
  void Hold(ServerAnswer aError) { held_ = std::move(aError); }
  // Records the error that is held and the answer to the probe, which confirms
  // it. Returns the kind of the command that failed, and the error.
  std::pair<CommandKind, ServerAnswer> AcceptHeld(const ServerAnswer& aProbe);

private:
  // Signatures and errors that are remembered. 16 KB a connection.
  static constexpr std::size_t kMaxKnownAnswers = 2048;
  // Probes for one error after which the connection is given up: in their time,
  // four times 15 ms, a server that is busy with writes has committed some.
  static constexpr std::size_t kMaxProbes = 4;

  bool IsKnown(const ServerAnswer& aAnswer) const;
  bool IsNew(const ServerAnswer& aAnswer) const;
  bool IsProbeAnswer(const ServerAnswer& aAnswer) const;
  AnswerVerdict CheckError(const ServerAnswer& aAnswer) const;
  AnswerVerdict CheckProbe(const ServerAnswer& aAnswer) const;
  TransactionState StateAfter(const ExpectedAnswer& aCommand) const;
  void RecordUnsigned(const ServerAnswer& aAnswer);

  std::deque<ExpectedAnswer> expected_; // of unanswered commands, oldest first
  TransactionState state_ = TransactionState::Idle; // after the last answer
  std::vector<std::uint64_t> knownAnswers_; // digests of signatures and errors
  // Highest log point of the answers without a signature, by the state of the
  // transaction.
  std::array<std::optional<LogPoint>, 3> unsignedPoints_;
  // No answer to an accepted command can be still to come: true since a signed
  // answer, unless one without a signature may have been a repetition.
  bool isInStep_ = true;
  std::optional<ServerAnswer> held_;
  std::size_t undecidedAnswers_ = 0; // to probes for the error that is held
};

} // namespace jaydoor

#include "gateway/AnswerMatcher.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace jaydoor {
namespace {

// Returns a digest of what no other answer on the connection has: the
// signature, or the error with the state and the position of the log.
std::uint64_t
MakeDigest(const ServerAnswer& aAnswer)
{
  const std::string text = aAnswer.error_
                             ? fmt::format("{} {} {}.{} {}",
                                           static_cast<int>(*aAnswer.error_),
                                           static_cast<int>(aAnswer.state_),
                                           aAnswer.point_.term_,
                                           aAnswer.point_.position_,
                                           aAnswer.errorText_)
                             : aAnswer.signature_;
  return XXH3_64bits(text.data(), text.size());
}

std::size_t
GetIndex(TransactionState aState)
{
  return static_cast<std::size_t>(aState);
}

} // namespace

std::string_view
GetVerdictName(AnswerVerdict aVerdict)
{
  switch (aVerdict) {
    case AnswerVerdict::Matches:
      return "matches";
    case AnswerVerdict::Repeated:
      return "repeated";
    case AnswerVerdict::Ambiguous:
      return "ambiguous";
    case AnswerVerdict::Confirmed:
      return "confirmed";
    case AnswerVerdict::Undecided:
      return "undecided";
    case AnswerVerdict::Unproven:
      return "unproven";
    case AnswerVerdict::Unexpected:
      return "unexpected";
  }
  return "unexpected";
}

bool
AnswerMatcher::IsKnown(const ServerAnswer& aAnswer) const
{
  return std::find(knownAnswers_.begin(),
                   knownAnswers_.end(),
                   MakeDigest(aAnswer)) != knownAnswers_.end();
}

// Returns true if the answer, which is not signed, can't repeat an earlier one.
bool
AnswerMatcher::IsNew(const ServerAnswer& aAnswer) const
{
  const auto& highest = unsignedPoints_.at(GetIndex(aAnswer.state_));
  return !highest || *highest < aAnswer.point_;
}

void
AnswerMatcher::RecordUnsigned(const ServerAnswer& aAnswer)
{
  auto& highest = unsignedPoints_.at(GetIndex(aAnswer.state_));
  highest = std::max(highest.value_or(LogPoint{}), aAnswer.point_);
}

// Returns the state of the transaction after the command has succeeded.
TransactionState
AnswerMatcher::StateAfter(const ExpectedAnswer& aCommand) const
{
  if (BeginsTransaction(aCommand.kind_)) {
    return TransactionState::Open;
  }
  const bool ends =
    aCommand.kind_ == CommandKind::Rollback || aCommand.endsTransaction_;
  return ends ? TransactionState::Idle : state_;
}

AnswerVerdict
AnswerMatcher::CheckError(const ServerAnswer& aAnswer) const
{
  const bool isKnown = IsKnown(aAnswer);
  if (IsIdle()) {
    return isKnown ? AnswerVerdict::Repeated : AnswerVerdict::Unexpected;
  }
  const ExpectedAnswer& oldest = expected_.front();
  if (!isKnown) {
    // A statement in a transaction does not fail outside of one, unless the
    // error is that of a begin that was taken for successful.
    const bool wasInside = state_ != TransactionState::Idle;
    const bool isInside = aAnswer.state_ != TransactionState::Idle;
    const bool fits = isInside == wasInside || oldest.endsTransaction_;
    return fits ? AnswerVerdict::Matches : AnswerVerdict::Unexpected;
  }
  if (held_) {
    // Another one than that may be the statement's own.
    return MakeDigest(aAnswer) == MakeDigest(*held_) ? AnswerVerdict::Repeated
                                                     : AnswerVerdict::Unproven;
  }
  // A failed transaction accepts no probe. Of the gateway's commands, only
  // those that begin a transaction fail.
  if (RunsStatement(oldest.kind_)) {
    const bool canProbe =
      state_ != TransactionState::Failed && aAnswer.state_ == state_;
    return canProbe ? AnswerVerdict::Ambiguous : AnswerVerdict::Unproven;
  }
  return BeginsTransaction(oldest.kind_) ? AnswerVerdict::Unproven
                                         : AnswerVerdict::Repeated;
}

// Returns true if the answer can't be that to the oldest command, but can be
// that to a probe after it.
bool
AnswerMatcher::IsProbeAnswer(const ServerAnswer& aAnswer) const
{
  return held_ && expected_.size() > undecidedAnswers_ + 1 && !aAnswer.error_ &&
         aAnswer.signature_.empty() && aAnswer.state_ == state_;
}

AnswerVerdict
AnswerMatcher::CheckProbe(const ServerAnswer& aAnswer) const
{
  if (isInStep_ && IsNew(aAnswer)) {
    return AnswerVerdict::Confirmed;
  }
  return isInStep_ && undecidedAnswers_ + 1 < kMaxProbes
           ? AnswerVerdict::Undecided
           : AnswerVerdict::Unproven;
}

AnswerVerdict
AnswerMatcher::Check(const ServerAnswer& aAnswer) const
{
  if (!aAnswer.hasResult_) {
    return AnswerVerdict::Repeated; // of the answer to the opening
  }
  if (aAnswer.error_) {
    return CheckError(aAnswer);
  }
  const bool isSigned = !aAnswer.signature_.empty();
  if (isSigned && IsKnown(aAnswer)) {
    return AnswerVerdict::Repeated;
  }
  if (IsIdle()) {
    return isSigned ? AnswerVerdict::Unexpected : AnswerVerdict::Repeated;
  }
  if (IsProbeAnswer(aAnswer)) {
    return CheckProbe(aAnswer);
  }
  const ExpectedAnswer& oldest = expected_.front();
  const bool fits = isSigned == RunsStatement(oldest.kind_) &&
                    aAnswer.state_ == StateAfter(oldest);
  if (!fits) {
    return isSigned ? AnswerVerdict::Unexpected : AnswerVerdict::Repeated;
  }
  // If the begin has failed, a statement after it would run on its own.
  return BeginsTransaction(oldest.kind_) && !IsNew(aAnswer)
           ? AnswerVerdict::Unproven
           : AnswerVerdict::Matches;
}

CommandKind
AnswerMatcher::Accept(const ServerAnswer& aAnswer)
{
  const CommandKind kind = expected_.front().kind_;
  expected_.pop_front();
  held_.reset();
  undecidedAnswers_ = 0;
  state_ = aAnswer.state_;
  if (!aAnswer.error_ && aAnswer.signature_.empty()) {
    isInStep_ = isInStep_ && IsNew(aAnswer);
    RecordUnsigned(aAnswer);
    return kind;
  }
  isInStep_ = isInStep_ || !aAnswer.error_;
  knownAnswers_.push_back(MakeDigest(aAnswer));
  return kind;
}

void
AnswerMatcher::Ignore(const ServerAnswer& aAnswer)
{
  if (!aAnswer.hasResult_ || aAnswer.error_ || !aAnswer.signature_.empty()) {
    return;
  }
  undecidedAnswers_ += IsProbeAnswer(aAnswer) ? 1U : 0U;
  RecordUnsigned(aAnswer);
}

std::pair<CommandKind, ServerAnswer>
AnswerMatcher::AcceptHeld(const ServerAnswer& aProbe)
{
  ServerAnswer error = std::move(*held_);
  const std::size_t undecided = undecidedAnswers_;
  const CommandKind kind = Accept(error);
  Accept(aProbe);
  // The answers so far were those to earlier probes, or repetitions: then some
  // of these are still to come.
  for (std::size_t i = 0; i < undecided; i++) {
    expected_.pop_front();
    isInStep_ = false;
  }
  return { kind, std::move(error) };
}

} // namespace jaydoor

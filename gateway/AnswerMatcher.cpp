#include "gateway/AnswerMatcher.h"

#include <algorithm>

#include <xxhash.h>

namespace jaydoor {
namespace {

std::uint64_t
MakeDigest(std::string_view aSignature)
{
  return XXH3_64bits(aSignature.data(), aSignature.size());
}

// Returns true for commands that run a caller's statement.
bool
RunsStatement(CommandKind aKind)
{
  return aKind == CommandKind::Forward || aKind == CommandKind::Execute;
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
    case AnswerVerdict::Unexpected:
      return "unexpected";
  }
  return "unexpected";
}

bool
AnswerMatcher::IsKnown(std::string_view aSignature) const
{
  return std::find(signatures_.begin(),
                   signatures_.end(),
                   MakeDigest(aSignature)) != signatures_.end();
}

// Returns the state of the transaction after the command has succeeded.
TransactionState
AnswerMatcher::StateAfter(const ExpectedAnswer& aCommand) const
{
  switch (aCommand.kind_) {
    case CommandKind::Begin:
    case CommandKind::BeginReadOnly:
      return TransactionState::Open;
    case CommandKind::Rollback:
      return TransactionState::Idle;
    default:
      return aCommand.endsTransaction_ ? TransactionState::Idle : state_;
  }
}

AnswerVerdict
AnswerMatcher::CheckError(SessionError aError) const
{
  const bool isKnown =
    std::find(errors_.begin(), errors_.end(), aError) != errors_.end();
  if (expected_.empty()) {
    return isKnown ? AnswerVerdict::Repeated : AnswerVerdict::Unexpected;
  }
  return isKnown ? AnswerVerdict::Ambiguous : AnswerVerdict::Matches;
}

AnswerVerdict
AnswerMatcher::Check(const ServerAnswer& aAnswer) const
{
  if (!aAnswer.hasResult_) {
    return AnswerVerdict::Repeated; // of the answer to the opening
  }
  if (aAnswer.error_) {
    return CheckError(*aAnswer.error_);
  }
  const bool isSigned = !aAnswer.signature_.empty();
  if (isSigned && IsKnown(aAnswer.signature_)) {
    return AnswerVerdict::Repeated;
  }
  if (expected_.empty()) {
    return isSigned ? AnswerVerdict::Unexpected : AnswerVerdict::Repeated;
  }
  const ExpectedAnswer& oldest = expected_.front();
  const bool fits = isSigned == RunsStatement(oldest.kind_) &&
                    aAnswer.state_ == StateAfter(oldest);
  if (fits) {
    return AnswerVerdict::Matches;
  }
  return isSigned ? AnswerVerdict::Unexpected : AnswerVerdict::Repeated;
}

CommandKind
AnswerMatcher::Accept(const ServerAnswer& aAnswer)
{
  const CommandKind kind = expected_.front().kind_;
  expected_.pop_front();
  state_ = aAnswer.state_;
  if (aAnswer.error_) {
    errors_.push_back(*aAnswer.error_);
  } else if (!aAnswer.signature_.empty()) {
    const std::uint64_t digest = MakeDigest(aAnswer.signature_);
    if (signatures_.size() < kMaxSignatures) {
      signatures_.push_back(digest);
    } else {
      signatures_[nextSignature_] = digest;
      nextSignature_ = (nextSignature_ + 1) % kMaxSignatures;
    }
  }
  return kind;
}

} // namespace jaydoor

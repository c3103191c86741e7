// Callers of a SessionWorld: what they send, and what the answers have to mean.

#include "tests/SessionWorld.h"

#include <fmt/format.h>

namespace jaydoor::tests {
namespace {

// Promises that nothing is kept.
bool
IsPromise(SessionError aError)
{
  return aError == SessionError::Overloaded ||
         aError == SessionError::Aborted || aError == SessionError::Behind ||
         aError == SessionError::ReadOnly ||
         aError == SessionError::WrongServer ||
         aError == SessionError::ConnectionLimit;
}

// Returns true for statements that only a server answers.
bool
IsForwarded(StatementKind aKind)
{
  return aKind == StatementKind::Read || aKind == StatementKind::Write ||
         aKind == StatementKind::Execute || aKind == StatementKind::Commit;
}

} // namespace

void
SessionWorld::CheckSuccess(const std::string& aId, const SessionReply& aReply)
{
  const auto run = runs_.find(aReply.signature_);
  const std::string signedId = run == runs_.end() ? "none" : run->second.id_;
  Check(signedId == aId,
        fmt::format("{} is answered with the run {} of {}",
                    aId,
                    aReply.signature_,
                    signedId));
  Check(run == runs_.end() || run->second.rows_ == aReply.rows_,
        "the rows of another run than the signature: " + aId);
}

void
SessionWorld::Send(std::size_t aCaller, SessionStatement aStatement)
{
  Caller& caller = callers_[aCaller];
  aStatement.id_ = fmt::format("q{}", nextValue_++);
  caller.waiting_ = aStatement.id_;
  caller.kind_ = aStatement.kind_;
  if (!caller.inside_) {
    caller.sentAt_ = now_;
  }
  statements_[aStatement.id_] = {
    .caller_ = aCaller,
    .kind_ = aStatement.kind_,
    .item_ = caller.item_,
    .value_ = caller.value_,
    .transaction_ = caller.inside_
                      ? fmt::format("{}/{}", caller.name_, caller.transactions_)
                      : std::string(),
  };
  StepGateway(
    caller.gateway_,
    SessionStatementReceived{ caller.session_, std::move(aStatement) });
}

void
SessionWorld::Act(std::size_t aCaller)
{
  Caller& caller = callers_[aCaller];
  if (callersStopped_ && !caller.inside_) {
    return;
  }
  SessionStatement statement;
  const auto dice = random_() % 100;
  const bool ends = caller.inside_ && caller.left_-- <= 0;
  if (ends) {
    statement.kind_ =
      dice < 80 ? StatementKind::Commit : StatementKind::Rollback;
    statement.text_ = "end";
  } else if (dice < 4) {
    statement.kind_ = StatementKind::Set;
    statement.name_ = fmt::format("v{}", random_() % 2);
    statement.argument_ = fmt::format("{}", random_() % 3);
    caller.values_[statement.name_] = statement.argument_;
  } else if (dice < 8) {
    statement.kind_ = StatementKind::Prepare;
    statement.name_ = "p";
    statement.writes_ = random_() % 2 == 0 && !caller.reads_;
    statement.argument_ = fmt::format("shape{}", random_() % 3);
    caller.prepared_["p"] = { statement.writes_, statement.argument_ };
  } else if (dice < 18 && !caller.inside_) {
    statement.kind_ =
      dice < 14 ? StatementKind::Begin : StatementKind::BeginReadOnly;
    caller.sentAt_ = now_;
    caller.reads_ = dice >= 14;
    caller.txWrites_.clear();
    caller.left_ = 1 + static_cast<int>(random_() % 3);
  } else if (dice < 30 && caller.prepared_.contains("p") &&
             !(caller.prepared_["p"].first && caller.inside_ &&
               caller.reads_)) {
    statement.kind_ = StatementKind::Execute;
    statement.name_ = "p";
    caller.item_ = "i";
    caller.value_ = fmt::format("x{}", nextValue_++);
    statement.argument_ = "i " + caller.value_;
    if (caller.inside_ && caller.prepared_["p"].first) {
      caller.txWrites_[caller.value_] = caller.value_;
    }
  } else if (dice < 60 && !(caller.inside_ && caller.reads_)) {
    statement.kind_ = StatementKind::Write;
    caller.item_ = "i";
    caller.value_ = fmt::format("x{}", nextValue_++);
    statement.text_ = "write " + caller.value_;
    if (caller.inside_) {
      caller.txWrites_[caller.value_] = caller.value_;
    }
  } else {
    statement.kind_ = StatementKind::Read;
    statement.text_ = "read";
  }
  Send(aCaller, std::move(statement));
}

void
SessionWorld::Answered(std::size_t aCaller, const SessionReply& aReply)
{
  Caller& caller = callers_[aCaller];
  Check(!caller.waiting_.empty(), "an answer to nothing");
  const std::string id = std::exchange(caller.waiting_, {});
  const bool failed = aReply.error_.has_value();
  (failed ? refused_ : done_)++;
  if (!failed && IsForwarded(caller.kind_)) {
    CheckSuccess(id, aReply);
  }
  const auto settle = [&](const std::string& aValue, bool aAcknowledged) {
    Fate& fate = fates_[aValue];
    if (aAcknowledged) {
      Check(fate.commits_ == 1, "acknowledged without a commit: " + aValue);
      Check(!fate.late_, "acknowledged at a replaced primary: " + aValue);
      fate.acknowledged_ = true;
      fate.acknowledgedAt_ = now_;
      acknowledged_.push_back(aValue);
      caller.own_.insert(aValue);
    } else {
      Check(fate.commits_ == 0, "refused, though it had run: " + aValue);
      fate.refused_ = true;
    }
  };
  const bool single =
    !caller.inside_ &&
    (caller.kind_ == StatementKind::Write ||
     (caller.kind_ == StatementKind::Execute && caller.prepared_["p"].first));
  if (single && (!failed || IsPromise(*aReply.error_))) {
    settle(caller.value_, !failed);
  }
  const bool commits = caller.kind_ == StatementKind::Commit;
  const bool rollsBack = caller.kind_ == StatementKind::Rollback;
  if (caller.inside_ && (commits || rollsBack)) {
    const bool known = rollsBack || !failed || IsPromise(*aReply.error_);
    for (const auto& [value, same] : caller.txWrites_) {
      if (known) {
        settle(value, commits && !failed);
      }
    }
    caller.inside_ = false;
    caller.reads_ = false;
  } else if (caller.inside_ && failed) {
    caller.left_ = 0;
    const bool wrote = caller.kind_ == StatementKind::Write ||
                       caller.kind_ == StatementKind::Execute;
    if (wrote && caller.txWrites_.erase(caller.value_) > 0 &&
        IsPromise(*aReply.error_)) {
      settle(caller.value_, false);
    }
  }
  if (!failed && (caller.kind_ == StatementKind::Begin ||
                  caller.kind_ == StatementKind::BeginReadOnly)) {
    caller.inside_ = true;
    caller.transactions_++;
  }
  ScheduleAfter(Duration(1000 + random_() % 20'000),
                [this, aCaller] { Act(aCaller); });
}

} // namespace jaydoor::tests

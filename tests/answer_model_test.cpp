// Tests an AnswerMatcher with random commands, as a gateway sends them on one
// connection, and a server that gives some answers twice.

#include "gateway/AnswerMatcher.h"
#include "tests/ConnectionAnswers.h"

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

constexpr std::uint64_t kSeedCount = 20'000;

struct LinkModelConfig
{
  std::uint64_t seed_ = 1;
  bool errors_ = false;   // of statements
  bool logRests_ = false; // the log does not grow between all answers
};

// One connection: the gateway sends commands, the server answers them in order
// and repeats some answers later, each at most once.
class LinkModel
{
public:
  explicit LinkModel(LinkModelConfig aConfig)
    : config_(aConfig)
    , random_(aConfig.seed_)
  {
  }

  // Runs until the connection is closed, or the commands have been sent and all
  // answers have arrived.
  void Run()
  {
    while (!closed_) {
      const bool canSend = matcher_.IsIdle() && commands_.size() < kCommands;
      const bool canAnswer = answers_.size() < commands_.size();
      if (canSend && (Draw(4) || (!canAnswer && repeats_.empty()))) {
        SendNext();
      } else if (!repeats_.empty() && (Draw(5) || !canAnswer)) {
        const std::size_t at = random_() % repeats_.size();
        const Delivery repeat = repeats_[at];
        repeats_.erase(repeats_.begin() + static_cast<std::ptrdiff_t>(at));
        Deliver(repeat);
      } else if (canAnswer) {
        AnswerNext();
      } else if (!canSend) {
        return;
      }
    }
  }

  bool IsClosed() const { return closed_; }
  // Commands without an answer when nothing more can arrive.
  std::size_t CountUnanswered() const { return matcher_.CountUnanswered(); }
  std::size_t CountStatements() const { return statements_; }
  std::size_t CountRepeats() const { return repeated_; }
  // Errors that were held and belonged to their statement.
  std::size_t CountConfirmed() const { return confirmed_; }

  // Answers that were taken for that to another command.
  std::size_t CountMixUps() const { return mixUps_.size(); }
  // Of them, those that tell nothing wrong: a command of the gateway is taken
  // to have succeeded for an equal answer to another one, and it succeeds.
  std::size_t CountHarmlessMixUps() const
  {
    const auto isHarmless = [this](const MixUp& aMixUp) {
      const ServerAnswer& taken = answers_[aMixUp.answered_];
      const bool isSetup =
        !RunsStatement(aMixUp.given_) && !RunsStatement(aMixUp.answered_);
      if (!isSetup || taken.error_ || aMixUp.given_ >= answers_.size()) {
        return isSetup && !taken.error_; // not answered before the end
      }
      const ServerAnswer& own = answers_[aMixUp.given_];
      return !own.error_ && own.state_ == taken.state_;
    };
    return static_cast<std::size_t>(
      std::count_if(mixUps_.begin(), mixUps_.end(), isHarmless));
  }
  // Answers to statements that arrived while the server had not answered all
  // commands before them, or more, so that a mix-up would go on.
  std::size_t CountOutOfStep() const { return outOfStep_; }

private:
  static constexpr std::size_t kCommands = 60;

  struct Delivery
  {
    std::size_t command_ = 0;
    bool isRepeat_ = false;
  };

  struct MixUp
  {
    std::size_t given_ = 0;    // the command that the answer was taken for
    std::size_t answered_ = 0; // the command that it answers
  };

  bool RunsStatement(std::size_t aCommand) const
  {
    return jaydoor::RunsStatement(commands_[aCommand].kind_);
  }

  // Returns true once in `aCount` times.
  bool Draw(std::size_t aCount) { return random_() % aCount == 0; }

  void Send(CommandKind aKind, bool aEndsTransaction = false)
  {
    ServerCommand command(aKind);
    command.endsTransaction_ = aEndsTransaction;
    commands_.push_back(command);
    matcher_.Expect({ aKind, aEndsTransaction });
  }

  // Commands that are sent without waiting for their answers.
  void SendSetup(bool aMayReset)
  {
    if (aMayReset && Draw(3)) {
      Send(CommandKind::Reset);
    }
    while (Draw(3)) {
      Send(CommandKind::Set);
    }
    if (Draw(4)) {
      Send(CommandKind::Prepare);
    }
  }

  void SendStatement()
  {
    Send(Draw(3) ? CommandKind::Execute : CommandKind::Forward);
    statementNext_ = false;
  }

  void SendNext()
  {
    if (hasFailed_) {
      // The gateway answers further statements of the transaction itself.
      Send(CommandKind::Rollback);
      hasFailed_ = inside_ = statementNext_ = false;
    } else if (statementNext_) {
      SendStatement();
    } else if (inside_) {
      if (Draw(4)) {
        Send(CommandKind::Forward, true);
        inside_ = false;
      } else if (Draw(4)) {
        Send(CommandKind::Rollback);
        inside_ = false;
      } else {
        SendSetup(false);
        statementNext_ = true;
      }
    } else {
      SendSetup(true);
      inside_ = Draw(2);
      if (inside_) {
        Send(Draw(2) ? CommandKind::Begin : CommandKind::BeginReadOnly);
      }
      statementNext_ = true;
    }
  }

  std::optional<SessionError> DrawError(std::size_t aCommand)
  {
    const bool begins = BeginsTransaction(commands_[aCommand].kind_);
    const bool fails = begins                    ? Draw(10)
                       : RunsStatement(aCommand) ? Draw(30)
                                                 : false;
    if (!config_.errors_ || !fails) {
      return std::nullopt;
    }
    constexpr SessionError kErrors[] = { SessionError::Behind,
                                         SessionError::ReadOnly,
                                         SessionError::Failed,
                                         SessionError::Overloaded };
    return kErrors[random_() % std::size(kErrors)];
  }

  void AnswerNext()
  {
    const std::size_t command = answers_.size();
    answers_.emplace_back(
      server_.Answer(commands_[command], DrawError(command)));
    position_ += config_.logRests_ && !Draw(3) ? 0U : 1U;
    answers_.back().point_ = { 1, position_ };
    Deliver({ .command_ = command });
    if (Draw(3)) {
      repeats_.push_back({ .command_ = command, .isRepeat_ = true });
    }
  }

  void Deliver(Delivery aDelivery)
  {
    const ServerAnswer& answer = answers_[aDelivery.command_];
    repeated_ += aDelivery.isRepeat_ ? 1U : 0U;
    switch (matcher_.Check(answer)) {
      case AnswerVerdict::Matches:
        Accept(aDelivery);
        break;
      case AnswerVerdict::Repeated:
        matcher_.Ignore(answer);
        break;
      case AnswerVerdict::Ambiguous:
        matcher_.Hold(answer);
        held_ = aDelivery;
        Send(CommandKind::Reset);
        break;
      case AnswerVerdict::Undecided:
        matcher_.Ignore(answer);
        Send(CommandKind::Reset);
        break;
      case AnswerVerdict::Confirmed:
        AcceptHeld(answer);
        break;
      case AnswerVerdict::Unproven:
      case AnswerVerdict::Unexpected:
        closed_ = true;
        break;
    }
  }

  void RecordAccepted(Delivery aDelivery)
  {
    const std::size_t given = accepted_++;
    if (aDelivery.isRepeat_ || aDelivery.command_ != given) {
      mixUps_.push_back({ .given_ = given, .answered_ = aDelivery.command_ });
    }
  }

  void Accept(Delivery aDelivery)
  {
    const std::size_t given = accepted_;
    const ServerAnswer& answer = answers_[aDelivery.command_];
    matcher_.Accept(answer);
    RecordAccepted(aDelivery);
    hasFailed_ = answer.state_ == TransactionState::Failed;
    // The gateway closes a connection that it could not set up.
    const bool begins = BeginsTransaction(commands_[given].kind_);
    closed_ = closed_ || (answer.error_ && !RunsStatement(given) && !begins);
    if (answer.error_ && begins) {
      inside_ = statementNext_ = false;
    }
    if (RunsStatement(given)) {
      statements_++;
      outOfStep_ += answers_.size() != accepted_ ? 1U : 0U;
    }
  }

  void AcceptHeld(const ServerAnswer& aProbe)
  {
    confirmed_++;
    const std::size_t unanswered = matcher_.CountUnanswered();
    matcher_.AcceptHeld(aProbe);
    RecordAccepted(held_);
    accepted_ += unanswered - matcher_.CountUnanswered() - 1; // the probes
  }

  LinkModelConfig config_;
  std::mt19937_64 random_;
  AnswerMatcher matcher_;
  ConnectionAnswers server_;
  std::vector<ServerCommand> commands_;
  std::vector<ServerAnswer> answers_; // of the server, in that order
  std::size_t accepted_ = 0;          // commands, by the matcher
  std::vector<Delivery> repeats_;
  bool inside_ = false;
  bool statementNext_ = false;
  Delivery held_;              // of the error that the matcher holds
  std::uint64_t position_ = 0; // of the log
  bool hasFailed_ = false;     // the transaction
  bool closed_ = false;
  std::size_t statements_ = 0;
  std::size_t repeated_ = 0;
  std::size_t outOfStep_ = 0;
  std::size_t confirmed_ = 0;
  std::vector<MixUp> mixUps_;
};

} // namespace

TEST_CASE("A second answer on a connection is not taken for a statement's")
{
  LinkModelConfig config;

  SECTION("while no command fails")
  {
    config.errors_ = false;
  }
  SECTION("while no command fails, and the log rests at times")
  {
    config.logRests_ = true;
  }
  SECTION("while statements fail")
  {
    config.errors_ = true;
  }
  SECTION("while statements fail, and the log rests at times")
  {
    config.errors_ = true;
    config.logRests_ = true;
  }

  std::size_t statements = 0;
  std::size_t repeats = 0;
  std::size_t mixUps = 0;
  std::size_t confirmed = 0;
  std::size_t closed = 0;
  for (config.seed_ = 1; config.seed_ <= kSeedCount; config.seed_++) {
    LinkModel model(config);
    model.Run();
    statements += model.CountStatements();
    repeats += model.CountRepeats();
    mixUps += model.CountMixUps();
    confirmed += model.CountConfirmed();
    INFO("seed " << config.seed_);
    REQUIRE(model.CountMixUps() == model.CountHarmlessMixUps());
    REQUIRE(model.CountOutOfStep() == 0);
    REQUIRE((model.IsClosed() || model.CountUnanswered() == 0));
    closed += model.IsClosed() ? 1U : 0U;
  }
  // A begin whose answer may be an earlier one closes the connection.
  CHECK((config.errors_ || config.logRests_ || closed < kSeedCount / 20));
  CHECK(statements > (config.logRests_ ? 5 : 10) * kSeedCount);
  CHECK(repeats > (config.logRests_ ? 5 : 10) * kSeedCount);
  // Some can't be told apart, so the model does come to such places.
  CHECK(mixUps > 0);
  UNSCOPED_INFO("closed " << closed << " statements " << statements
                          << " repeats " << repeats << " confirmed "
                          << confirmed);
  CHECK((confirmed > 0) == (config.errors_ && config.logRests_));
}

TEST_CASE("The error of a begin is not taken for that of its first statement")
{
  AnswerMatcher matcher;
  ConnectionAnswers server;
  const auto run = [&](CommandKind aKind, bool aEndsTransaction = false) {
    ServerCommand command(aKind);
    command.endsTransaction_ = aEndsTransaction;
    matcher.Expect({ aKind, aEndsTransaction });
    const ServerAnswer answer = server.Answer(command);
    REQUIRE(matcher.Check(answer) == AnswerVerdict::Matches);
    matcher.Accept(answer);
    return answer;
  };

  SECTION("since no statement is sent after an answer to an earlier begin")
  {
    const CommandKind kind =
      GENERATE(CommandKind::Begin, CommandKind::BeginReadOnly);
    const ServerAnswer begun = run(kind);
    run(CommandKind::Forward);
    run(CommandKind::Forward, true);
    matcher.Expect({ kind });
    CHECK(matcher.Check(begun) == AnswerVerdict::Unproven);
  }

  SECTION("if it arrives all the same, by the state that comes with it")
  {
    run(CommandKind::Begin);
    matcher.Expect({ CommandKind::Forward });
    const ServerAnswer refused = ConnectionAnswers().Answer(
      ServerCommand(CommandKind::Begin), SessionError::Behind);
    REQUIRE(refused.state_ == TransactionState::Idle);
    CHECK(matcher.Check(refused) == AnswerVerdict::Unexpected);
  }
}

} // namespace jaydoor::tests

// Tests that answers of servers reach the statements that they belong to,
// although a server may answer a command twice.

#include "gateway/Gateway.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

constexpr ServerLinkId kFirstLink = 1;

ServerAnswer
MakeAnswer(std::string_view aSignature,
           TransactionState aState = TransactionState::Idle)
{
  ServerAnswer answer;
  answer.hasResult_ = true;
  answer.signature_ = aSignature;
  answer.state_ = aState;
  return answer;
}

ServerAnswer
MakeRead(std::string_view aSignature,
         std::string aRow,
         TransactionState aState = TransactionState::Idle)
{
  ServerAnswer answer = MakeAnswer(aSignature, aState);
  answer.rows_ = { std::move(aRow) };
  return answer;
}

ServerAnswer
MakeError(SessionError aError, TransactionState aState = TransactionState::Idle)
{
  ServerAnswer answer = MakeAnswer("", aState);
  answer.error_ = aError;
  return answer;
}

// A gateway in front of one server, the primary, with sessions 1 to 3.
struct Fixture
{
  Gateway gateway_;
  Time now_{ 1000s };
  GatewayActions actions_;
  ServerLinkId newestLink_ = 0;
  int statements_ = 0;

  Fixture()
    : gateway_(GatewayConfig{ .zone_ = "zone-1" })
  {
    ControlState state;
    wire::Change announced;
    auto& info = *announced.mutable_upstream()->mutable_upstream();
    info.set_server("server-1");
    info.set_database("db");
    info.set_zone("zone-1");
    info.set_slots(1);
    announced.set_index(1);
    state.Apply(announced);
    wire::Change primary;
    primary.mutable_primary()->set_database("db");
    primary.mutable_primary()->set_server("server-1");
    primary.mutable_primary()->set_term(1);
    primary.set_index(2);
    state.Apply(primary);
    auto catalog = std::make_shared<Catalog>();
    catalog->version_ = 1;
    catalog->connectionLimits_["db"] = 20;
    CatalogDatabase database;
    database.name_ = "all";
    database.group_ = "db";
    database.consistency_ = Consistency::Primary;
    database.statementLimit_ = 1s;
    database.latencyTarget_ = 400ms;
    catalog->databases_["all"] = database;
    Step(FleetOrCatalogChanged{ BuildFleetView(state, {}, true), catalog });
    wire::LeaseGrant grant;
    grant.set_holders(1);
    grant.set_sent_us(now_.time_since_epoch().count());
    grant.set_incarnation(1);
    auto& lease = *grant.add_leases();
    lease.set_database("db");
    lease.set_server("server-1");
    lease.set_term(1);
    lease.set_duration_us(Duration(60s).count());
    grant.set_list_id(1);
    Step(LeaseGrantReceived{ grant });
    for (const SessionId session : { 1, 2, 3 }) {
      Step(SessionOpenRequested{ session, "all" });
    }
  }

  void Step(GatewayEvent aEvent)
  {
    const std::size_t before = actions_.size();
    gateway_.Step(std::move(aEvent), now_, actions_);
    for (std::size_t i = before; i < actions_.size(); i++) {
      if (const auto* open = std::get_if<OpenServerLink>(&actions_[i])) {
        newestLink_ = open->link_;
      }
    }
  }

  void Wait(Duration aDuration)
  {
    for (const Time end = now_ + aDuration; now_ < end;) {
      now_ += 10ms;
      Step(GatewayTick{});
    }
  }

  void Send(SessionId aSession, StatementKind aKind)
  {
    SessionStatement statement;
    statement.kind_ = aKind;
    statement.id_ = "q" + std::to_string(++statements_);
    statement.text_ = "text";
    statement.name_ = "name";
    Step(SessionStatementReceived{ aSession, statement });
  }

  void Answer(ServerAnswer aAnswer, ServerLinkId aLink = kFirstLink)
  {
    now_ += 1ms;
    Step(ServerLinkAnswered{ aLink, std::move(aAnswer) });
  }

  // Opens the first link with a read of session 1 that is answered.
  ServerAnswer OpenWithRead()
  {
    Send(1, StatementKind::Read);
    REQUIRE(newestLink_ == kFirstLink);
    Step(ServerLinkOpened{ kFirstLink });
    ServerAnswer answer = MakeRead("sig-1", "row of session 1");
    Answer(answer);
    REQUIRE(Replies(1).size() == 1);
    return answer;
  }

  // Begins a transaction of the session on the first link with a read.
  void BeginTransaction(SessionId aSession)
  {
    Send(aSession, StatementKind::Begin);
    Send(aSession, StatementKind::Read);
    Answer(MakeAnswer("", TransactionState::Open));
    Answer(MakeRead("sig-tx", "row in transaction", TransactionState::Open));
    REQUIRE(Replies(aSession).back().signature_ == "sig-tx");
  }

  std::vector<SessionReply> Replies(SessionId aSession) const
  {
    std::vector<SessionReply> replies;
    for (const auto& action : actions_) {
      const auto* reply = std::get_if<SendSessionReply>(&action);
      if (reply != nullptr && reply->session_ == aSession) {
        replies.push_back(reply->reply_);
      }
    }
    return replies;
  }

  // Commands that were sent to the server on a link.
  std::vector<ServerCommand> Commands(ServerLinkId aLink) const
  {
    std::vector<ServerCommand> commands;
    for (const auto& action : actions_) {
      const auto* send = std::get_if<SendServerCommand>(&action);
      if (send != nullptr && send->link_ == aLink) {
        commands.push_back(send->command_);
      }
    }
    return commands;
  }

  bool IsClosed(ServerLinkId aLink) const
  {
    return std::any_of(
      actions_.begin(), actions_.end(), [&](const auto& aAction) {
        const auto* close = std::get_if<CloseServerLink>(&aAction);
        return close != nullptr && close->link_ == aLink;
      });
  }
};

} // namespace

TEST_CASE("A second answer is not taken for that to the next statement")
{
  Fixture fixture;
  const ServerAnswer first = fixture.OpenWithRead();

  SECTION("of a read of another session")
  {
    fixture.Send(2, StatementKind::Read);
    fixture.Answer(first);
    CHECK(fixture.Replies(2).empty());
    fixture.Answer(MakeRead("sig-2", "row of session 2"));
    REQUIRE(fixture.Replies(2).size() == 1);
    CHECK(fixture.Replies(2)[0].rows_ ==
          std::vector<std::string>{ "row of session 2" });
    CHECK_FALSE(fixture.IsClosed(kFirstLink));
  }

  SECTION("although many statements were answered in between")
  {
    const int others = GENERATE(200, 2000, 3000);
    for (int i = 0; i < others; i++) {
      if (fixture.newestLink_ != kFirstLink) {
        break;
      }
      fixture.Send(2, StatementKind::Read);
      if (fixture.newestLink_ == kFirstLink) {
        fixture.Answer(MakeRead("other-" + std::to_string(i), "row"));
      }
    }
    fixture.Send(3, StatementKind::Read);
    if (!fixture.IsClosed(kFirstLink)) {
      fixture.Answer(first);
    }
    CHECK(fixture.Replies(3).empty());
    CHECK(fixture.IsClosed(kFirstLink) == (others == 3000));
  }

  SECTION("when it comes while nothing runs on the link")
  {
    fixture.Answer(first);
    fixture.Send(2, StatementKind::Read);
    fixture.Answer(MakeRead("sig-2", "row of session 2"));
    REQUIRE(fixture.Replies(2).size() == 1);
    CHECK(fixture.Replies(2)[0].signature_ == "sig-2");
  }

  SECTION("of a commit")
  {
    fixture.BeginTransaction(2);
    fixture.Send(2, StatementKind::Commit);
    fixture.Answer(
      MakeRead("sig-tx", "row in transaction", TransactionState::Open));
    CHECK(fixture.Replies(2).size() == 2); // of the begin and the read
    fixture.Answer(MakeAnswer("sig-commit"));
    CHECK(fixture.Replies(2).back().signature_ == "sig-commit");
  }
}

TEST_CASE("A statement does not succeed without a signature")
{
  Fixture fixture;
  fixture.OpenWithRead();

  SECTION("by the second answer to the begin of its transaction")
  {
    fixture.Send(2, StatementKind::Begin);
    fixture.Send(2, StatementKind::Read);
    fixture.Answer(MakeAnswer("", TransactionState::Open));
    fixture.Answer(MakeAnswer("", TransactionState::Open));
    CHECK(fixture.Replies(2).size() == 1); // of the begin
    fixture.Answer(MakeRead("sig-2", "row", TransactionState::Open));
    CHECK(fixture.Replies(2).back().signature_ == "sig-2");
  }

  SECTION("by the second answer to the setting of a value")
  {
    fixture.Send(2, StatementKind::Set);
    fixture.Send(2, StatementKind::Read);
    fixture.Answer(MakeAnswer(""));
    fixture.Answer(MakeAnswer(""));
    CHECK(fixture.Replies(2).size() == 1); // of the set
    fixture.Answer(MakeRead("sig-2", "row"));
    CHECK(fixture.Replies(2).back().signature_ == "sig-2");
  }

  SECTION("by the second answer to the opening of the link")
  {
    fixture.Send(2, StatementKind::Write);
    fixture.Answer(ServerAnswer{});
    CHECK(fixture.Replies(2).empty());
  }
}

TEST_CASE("A transaction does not begin with an answer from outside of it")
{
  Fixture fixture;
  fixture.OpenWithRead();
  fixture.Send(2, StatementKind::Set);
  fixture.Send(2, StatementKind::Begin);
  fixture.Send(2, StatementKind::Read);
  fixture.Answer(MakeAnswer("")); // set
  fixture.Answer(MakeAnswer("")); // set, once more
  const auto isRead = [](const ServerCommand& aCommand) {
    return aCommand.kind_ == CommandKind::Forward;
  };
  const auto countReads = [&] {
    const auto commands = fixture.Commands(kFirstLink);
    return std::count_if(commands.begin(), commands.end(), isRead);
  };
  CHECK(countReads() == 1); // that of session 1
  fixture.Answer(MakeAnswer("", TransactionState::Open));
  CHECK(countReads() == 2);
}

TEST_CASE("A second error is not taken for that to the next statement")
{
  Fixture fixture;
  fixture.OpenWithRead();

  SECTION("of another session, whose write has run")
  {
    const auto busy = MakeError(SessionError::Overloaded);
    fixture.Send(2, StatementKind::Read);
    fixture.Answer(busy);
    fixture.Wait(20ms);
    fixture.Answer(MakeRead("sig-2", "row")); // it was sent again
    fixture.Send(3, StatementKind::Write);
    fixture.Answer(busy);
    fixture.Wait(20ms);
    CHECK(fixture.Replies(3).empty());
    CHECK(fixture.Commands(kFirstLink).back().kind_ == CommandKind::Reset);

    SECTION("as the signed answer shows that follows")
    {
      fixture.Answer(MakeAnswer("sig-3"));
      REQUIRE(fixture.Replies(3).size() == 1);
      CHECK(fixture.Replies(3)[0].signature_ == "sig-3");
      fixture.Answer(MakeAnswer("")); // to the probe
      fixture.Send(1, StatementKind::Read);
      fixture.Answer(MakeRead("sig-4", "row"));
      CHECK(fixture.Replies(1).back().signature_ == "sig-4");
    }
    SECTION("or not, as the answer to the probe shows")
    {
      fixture.Answer(MakeAnswer(""));
      CHECK(fixture.Replies(3).empty());
      fixture.Wait(20ms); // it is sent again
      fixture.Answer(MakeAnswer("sig-3"));
      REQUIRE(fixture.Replies(3).size() == 1);
      CHECK(fixture.Replies(3)[0].signature_ == "sig-3");
    }
    SECTION("or may have, if the probe's answer can be an earlier one")
    {
      fixture.Answer(MakeAnswer(""));
      fixture.Wait(20ms);
      fixture.Answer(busy);
      for (int i = 0; i < 4; i++) {
        CHECK(fixture.Replies(3).empty());
        fixture.Wait(20ms);
        fixture.Answer(MakeAnswer(""));
      }
      CHECK(fixture.IsClosed(kFirstLink));
      REQUIRE(fixture.Replies(3).size() == 1);
      CHECK(fixture.Replies(3)[0].error_ == SessionError::InDoubt);
    }
  }

  SECTION("of another session, after which the write's own error comes")
  {
    const auto busy = MakeError(SessionError::Overloaded);
    const auto timedOut = MakeError(SessionError::TimedOut);
    fixture.Send(2, StatementKind::Write);
    fixture.Answer(busy);
    fixture.Wait(20ms);
    fixture.Answer(timedOut); // to the second attempt
    fixture.Send(3, StatementKind::Write);
    const auto sent = fixture.Commands(kFirstLink).size();
    fixture.Answer(busy);
    fixture.Wait(20ms);
    fixture.Answer(timedOut); // it has run
    auto probed = MakeAnswer("");
    probed.point_ = { 1, 9 };
    fixture.Answer(probed);
    fixture.Wait(40ms);
    CHECK(fixture.Commands(kFirstLink).size() == sent + 1); // the probe
    REQUIRE(fixture.Replies(3).size() == 1);
    CHECK(fixture.Replies(3)[0].error_ == SessionError::InDoubt);
  }

  SECTION("which is the answer to the next one if the log has grown")
  {
    auto busy = MakeError(SessionError::Overloaded);
    for (std::uint64_t position = 1; position <= 3; position++) {
      busy.point_ = { 1, position };
      fixture.Send(2, StatementKind::Read);
      fixture.Answer(busy);
      fixture.Wait(20ms);
      fixture.Answer(MakeRead("sig-" + std::to_string(position + 1), "row"));
    }
    CHECK(fixture.Replies(2).size() == 3);
    CHECK_FALSE(fixture.IsClosed(kFirstLink));
  }

  SECTION("when it comes while nothing runs on the link")
  {
    const auto failed = MakeError(SessionError::Failed);
    fixture.Send(2, StatementKind::Write);
    fixture.Answer(failed);
    CHECK(fixture.Replies(2).size() == 1);
    fixture.Answer(failed);
    CHECK_FALSE(fixture.IsClosed(kFirstLink));
  }

  SECTION("of the same transaction, which would run twice")
  {
    fixture.BeginTransaction(2);
    fixture.Send(2, StatementKind::Write);
    const auto busy =
      MakeError(SessionError::Overloaded, TransactionState::Open);
    fixture.Answer(busy);
    fixture.Wait(20ms); // the write is sent again
    const auto countWrites = [&] {
      const auto commands = fixture.Commands(kFirstLink);
      return std::count_if(
        commands.begin(), commands.end(), [](const ServerCommand& aCommand) {
          return aCommand.kind_ == CommandKind::Forward;
        });
    };
    const auto sent = countWrites();
    fixture.Answer(busy);
    fixture.Wait(20ms);
    CHECK(countWrites() == sent);

    SECTION("and has run")
    {
      fixture.Answer(MakeAnswer("sig-write", TransactionState::Open));
      REQUIRE(fixture.Replies(2).size() == 3);
      CHECK(fixture.Replies(2).back().signature_ == "sig-write");
    }
    SECTION("and may have run")
    {
      // These may be second answers to the begin and the probes as well.
      for (int i = 0; i < 4; i++) {
        fixture.Answer(MakeAnswer("", TransactionState::Open));
        fixture.Wait(20ms);
      }
      CHECK(fixture.IsClosed(kFirstLink));
      REQUIRE(fixture.Replies(2).size() == 3);
      CHECK(fixture.Replies(2).back().error_ == SessionError::Aborted);
    }
    SECTION("and has not run")
    {
      auto probed = MakeAnswer("", TransactionState::Open);
      probed.point_ = { 1, 9 };
      fixture.Answer(probed);
      fixture.Wait(20ms);
      CHECK(countWrites() == sent + 1);
    }
  }

  SECTION("of the same transaction, whose commit may have run")
  {
    fixture.BeginTransaction(2);
    fixture.Send(2, StatementKind::Commit);
    const auto busy =
      MakeError(SessionError::Overloaded, TransactionState::Open);
    fixture.Answer(busy);
    fixture.Wait(20ms);
    fixture.Answer(busy);
    for (int i = 0; i < 4; i++) {
      fixture.Wait(20ms);
      fixture.Answer(MakeAnswer("", TransactionState::Open));
    }
    REQUIRE(fixture.Replies(2).size() == 3);
    CHECK(fixture.Replies(2).back().error_ == SessionError::InDoubt);
  }
}

TEST_CASE("A statement that was not sent holds no slot once its session ends")
{
  Fixture fixture;
  fixture.OpenWithRead();
  fixture.BeginTransaction(2);
  fixture.Send(2, StatementKind::Set);
  fixture.Send(2, StatementKind::Write); // waits for the answer to the set
  REQUIRE(fixture.Commands(kFirstLink).back().kind_ == CommandKind::Set);
  fixture.Step(SessionEnded{ 2 });
  fixture.Answer(MakeAnswer("", TransactionState::Open));
  REQUIRE(fixture.Commands(kFirstLink).back().kind_ == CommandKind::Rollback);
  fixture.Answer(MakeAnswer(""));
  CHECK_FALSE(fixture.IsClosed(kFirstLink));
  ExplanationRequest request;
  request.database_ = "all";
  const auto explanation = fixture.gateway_.Explain(request, fixture.now_);
  CHECK(explanation.servers_.at(0).running_ == 0);
}

TEST_CASE("A link is closed when an answer belongs to none of its commands")
{
  Fixture fixture;
  fixture.OpenWithRead();

  SECTION("while nothing runs on it")
  {
    fixture.Answer(MakeRead("sig-9", "row of nobody"));
    CHECK(fixture.IsClosed(kFirstLink));
  }

  SECTION("while a statement runs on it that leaves no transaction open")
  {
    fixture.Send(2, StatementKind::Read);
    fixture.Answer(MakeRead("sig-9", "row of nobody", TransactionState::Open));
    CHECK(fixture.IsClosed(kFirstLink));
    CHECK(fixture.Replies(2).empty()); // it is sent on another link
  }

  SECTION("while its transaction rests")
  {
    fixture.BeginTransaction(2);
    fixture.Answer(MakeRead("sig-9", "row of nobody", TransactionState::Open));
    CHECK(fixture.IsClosed(kFirstLink));
    fixture.Send(2, StatementKind::Commit);
    CHECK(fixture.Replies(2).back().error_ == SessionError::Aborted);
  }
}

} // namespace jaydoor::tests

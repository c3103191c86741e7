// Tests how a Gateway charges operations to the limits of organisations.

#include "gateway/Gateway.h"
#include "tests/ConnectionAnswers.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

// One gateway in front of one server. The test plays the leader.
struct ChargeFixture
{
  Gateway gateway_{ GatewayConfig{ .zone_ = "zone-1" } };
  Time now_{ 1000s };
  GatewayActions actions_;
  ServerLinkId link_ = 0; // newest link to the server
  std::map<ServerLinkId, ConnectionAnswers> answers_;
  std::uint64_t grant_ = 0;
  std::shared_ptr<Catalog> catalog_ = std::make_shared<Catalog>();
  ControlState state_;

  explicit ChargeFixture(std::optional<OperationLimit> aLimit,
                         bool aInUse = true)
  {
    wire::Change change;
    auto& info = *change.mutable_upstream()->mutable_upstream();
    info.set_server("server-1");
    info.set_database("db");
    info.set_zone("zone-1");
    info.set_slots(4);
    change.set_index(1);
    state_.Apply(change);
    wire::Change primary;
    primary.mutable_primary()->set_database("db");
    primary.mutable_primary()->set_server("server-1");
    primary.mutable_primary()->set_term(1);
    primary.set_index(2);
    state_.Apply(primary);
    catalog_->version_ = 1;
    catalog_->connectionLimits_["db"] = 20;
    CatalogDatabase database;
    database.name_ = "lessons";
    database.group_ = "db";
    database.statementLimit_ = 1s;
    database.latencyTarget_ = 400ms;
    catalog_->databases_["lessons"] = database;
    if (aInUse) {
      Organisations organisations;
      organisations.Add("school", { 1, aLimit });
      organisations.AddKey("school", HashKey("key"));
      catalog_->organisations_ = std::move(organisations);
    }
    Step(FleetOrCatalogChanged{ BuildFleetView(state_, {}, true), catalog_ });
    Grant(0);
  }

  // A lease on the primary and a share of the limit.
  void Grant(std::uint32_t aShare, std::uint32_t aTokens = 0)
  {
    wire::LeaseGrant grant;
    grant.set_holders(1);
    grant.set_applied(2);
    grant.set_leader_term(1);
    grant.set_sent_us(now_.time_since_epoch().count());
    grant.set_incarnation(1);
    auto& lease = *grant.add_leases();
    lease.set_database("db");
    lease.set_server("server-1");
    lease.set_term(1);
    lease.set_duration_us(Duration(60s).count());
    grant.set_list_id(7);
    if (aShare > 0 || aTokens > 0) {
      grant.set_shares_id(++grant_);
      grant.set_shares_duration_ms(7000);
      auto& share = *grant.add_shares();
      share.set_organisation("school");
      share.set_share_ppm(aShare);
      share.set_tokens(aTokens);
    }
    Step(LeaseGrantReceived{ grant });
  }

  void Step(GatewayEvent aEvent)
  {
    const std::size_t before = actions_.size();
    gateway_.Step(std::move(aEvent), now_, actions_);
    for (std::size_t i = before; i < actions_.size(); i++) {
      if (const auto* open = std::get_if<OpenServerLink>(&actions_[i])) {
        link_ = open->link_;
        answers_.insert_or_assign(
          link_, ConnectionAnswers(std::to_string(open->link_)));
      } else if (const auto* send =
                   std::get_if<SendServerCommand>(&actions_[i])) {
        answers_.at(send->link_).Receive(send->command_);
      }
    }
  }

  void Wait(Duration aDuration)
  {
    for (const Time end = now_ + aDuration; now_ < end;) {
      now_ += std::min<Duration>(10ms, end - now_);
      Step(GatewayTick{});
    }
  }

  void OpenSession(SessionId aSession)
  {
    Step(SessionOpenRequested{ aSession, "lessons", HashKey("key") });
  }

  void Send(SessionId aSession, StatementKind aKind, const std::string& aId)
  {
    SessionStatement statement;
    statement.kind_ = aKind;
    statement.id_ = aId;
    statement.text_ = "text";
    Step(SessionStatementReceived{ aSession, statement });
  }

  void Answer(LogPoint aPoint = { 1, 1 })
  {
    REQUIRE_FALSE(answers_.at(link_).IsIdle());
    ServerAnswer answer = answers_.at(link_).AnswerOldest();
    answer.point_ = aPoint;
    Step(ServerLinkAnswered{ link_, answer });
  }

  // Opens the link if it is new, and answers whatever was sent over it.
  void Serve()
  {
    Step(ServerLinkOpened{ link_ });
    Answer();
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

  std::size_t CountSent() const
  {
    return static_cast<std::size_t>(
      std::count_if(actions_.begin(), actions_.end(), [](const auto& aAction) {
        const auto* send = std::get_if<SendServerCommand>(&aAction);
        return send != nullptr && send->command_.kind_ == CommandKind::Forward;
      }));
  }

  // Requests with a report of shares since the last call.
  std::size_t TakeReports()
  {
    const auto count =
      std::count_if(actions_.begin(), actions_.end(), [](const auto& aAction) {
        const auto* request = std::get_if<SendLeaseRequest>(&aAction);
        return request != nullptr && request->request_.shares_complete();
      });
    actions_.clear();
    return static_cast<std::size_t>(count);
  }

  std::string LastLine(Event aEvent) const
  {
    for (auto at = actions_.rbegin(); at != actions_.rend(); ++at) {
      const auto* line = std::get_if<WriteLogEvent>(&*at);
      if (line != nullptr && line->event_ == aEvent) {
        return line->text_;
      }
    }
    return {};
  }

  std::uint64_t Admitted() const
  {
    return gateway_.Limiter().GetUsage("school").admitted_;
  }
};

} // namespace

TEST_CASE("A gateway charges operations to the limit of their organisation")
{
  SECTION("without organisations nothing is charged or reported")
  {
    ChargeFixture fixture(std::nullopt, false);
    fixture.OpenSession(1);
    fixture.Send(1, StatementKind::Read, "q1");
    fixture.Wait(2s);
    CHECK(fixture.TakeReports() == 0);
    CHECK(fixture.gateway_.Counters().limitNoShare_ == 0);
  }

  ChargeFixture fixture(OperationLimit{ 100, 90 });
  fixture.OpenSession(1);

  SECTION("a statement without a token waits for the answer of the leader")
  {
    fixture.Wait(100ms);
    fixture.TakeReports();
    fixture.Send(1, StatementKind::Read, "q1");
    CHECK(fixture.CountSent() == 0);
    CHECK(fixture.TakeReports() == 1); // at once, not with the next request
    fixture.now_ += 5ms;
    fixture.Grant(0, 1);
    fixture.Serve();
    CHECK(fixture.CountSent() == 1);
    CHECK(fixture.Admitted() == 1);

    SECTION("and later ones of the session wait behind it")
    {
      fixture.Send(1, StatementKind::Read, "q2");
      fixture.Send(1, StatementKind::Read, "q3");
      CHECK(fixture.CountSent() == 1); // q2 waits for a token
      fixture.Grant(0, 1);
      CHECK(fixture.CountSent() == 2);
      fixture.Answer();
      CHECK(fixture.CountSent() == 2); // and now q3
      fixture.Grant(0, 1);
      CHECK(fixture.CountSent() == 3);
      CHECK(fixture.Admitted() == 3);
    }
  }

  SECTION("without an answer it is refused, and nothing was sent")
  {
    fixture.Send(1, StatementKind::Write, "q1");
    fixture.Wait(310ms);
    const auto replies = fixture.Replies(1);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].error_ == SessionError::Overloaded);
    CHECK(replies[0].errorText_.find("try again in") != std::string::npos);
    CHECK(fixture.CountSent() == 0);
    CHECK(fixture.gateway_.Counters().limitNoShare_ == 1);
    // A refusal leads to its organisation and to the grant by the log.
    const auto line = fixture.LastLine(Event::StatementRefused);
    CHECK(line.find("id=q1") != std::string::npos);
    CHECK(line.find("organisation=school") != std::string::npos);
    CHECK_FALSE(fixture.LastLine(Event::ShareUsedUp).empty());
  }

  // Guards against a waiting statement that is forgotten when its session ends,
  // and against a token that is charged to the former organisation.
  SECTION("a configuration changes the key while a statement waits for a token")
  {
    fixture.Wait(100ms);
    fixture.Send(1, StatementKind::Read, "q1");
    CHECK(fixture.Replies(1).empty());
    auto catalog = std::make_shared<Catalog>(*fixture.catalog_);
    catalog->version_ = 2;
    const auto adopt = [&] {
      fixture.Step(FleetOrCatalogChanged{
        BuildFleetView(fixture.state_, {}, true), catalog });
    };
    const auto isClosed = [&] {
      return std::any_of(fixture.actions_.begin(),
                         fixture.actions_.end(),
                         [](const auto& aAction) {
                           return std::holds_alternative<CloseSession>(aAction);
                         });
    };

    SECTION("without it, the statement is refused and the session closed")
    {
      catalog->organisations_ = Organisations();
      adopt();
      const auto replies = fixture.Replies(1);
      REQUIRE(replies.size() == 1);
      CHECK(replies[0].error_ == SessionError::UnknownKey);
      CHECK(isClosed());
      CHECK(fixture.gateway_.IsIdle());
      fixture.Grant(0, 1);
      CHECK(fixture.CountSent() == 0);
    }

    SECTION("to a public database, the statement runs without a token")
    {
      catalog->databases_["lessons"].public_ = true;
      adopt();
      fixture.Serve();
      CHECK(fixture.CountSent() == 1);
      CHECK_FALSE(isClosed());
    }
  }

  // Guards against an explanation that overlooks the limit, or uses it up.
  SECTION("what is left of the limit is explained")
  {
    using Outcome = Explanation::Outcome;
    const auto explain = [&] {
      return fixture.gateway_.Explain(
        { "lessons", StatementKind::Read, "school" }, fixture.now_);
    };
    const auto without = explain();
    CHECK(without.outcome_ == Outcome::Waits);
    CHECK(without.server_.empty());
    CHECK(without.reason_.find("limit") != std::string::npos);
    REQUIRE(without.usage_.has_value());
    CHECK(without.usage_->share_ == 0);
    CHECK(without.usage_->tokens_ == 0);
    fixture.Grant(250000, 1);
    for (int i = 0; i < 3; i++) {
      const auto with = explain();
      CHECK(with.server_ == "server-1");
      CHECK(with.limit_.value().ratePerSecond_ == 100);
      CHECK(with.usage_.value().share_ == 0.25);
      CHECK(with.usage_.value().tokens_ >= 1);
    }
    CHECK(fixture.Admitted() == 0);
  }

  SECTION("a transaction is charged once, when it begins")
  {
    fixture.Grant(1'000'000);
    fixture.Wait(1s);
    fixture.Send(1, StatementKind::Begin, "b1");
    CHECK(fixture.Admitted() == 1);
    REQUIRE(fixture.Replies(1).size() == 1);
    CHECK_FALSE(fixture.Replies(1)[0].error_);
    fixture.Send(1, StatementKind::Read, "q1");
    fixture.Serve();
    fixture.Answer();
    fixture.Send(1, StatementKind::Write, "q2");
    fixture.Answer();
    fixture.Send(1, StatementKind::Commit, "c1");
    fixture.Answer();
    CHECK(fixture.Admitted() == 1);
    CHECK(fixture.Replies(1).size() == 4);
  }

  SECTION("a begin over the limit is answered with the refusal")
  {
    fixture.Send(1, StatementKind::Begin, "b1");
    fixture.Wait(310ms);
    REQUIRE(fixture.Replies(1).size() == 1);
    CHECK(fixture.Replies(1)[0].error_ == SessionError::Overloaded);
    CHECK(fixture.Replies(1)[0].state_ == TransactionState::Idle);
  }

  SECTION("values and prepared statements cost nothing")
  {
    fixture.Send(1, StatementKind::Set, "s1");
    fixture.Send(1, StatementKind::Prepare, "p1");
    CHECK(fixture.Replies(1).size() == 2);
    CHECK(fixture.Admitted() == 0);
  }

  SECTION("a token goes back if nothing was sent to a server")
  {
    fixture.Grant(1'000'000);
    fixture.Wait(1s);
    SECTION("since the transaction was rolled back before its first statement")
    {
      fixture.Send(1, StatementKind::Begin, "b1");
      fixture.Send(1, StatementKind::Rollback, "r1");
    }
    SECTION("since the session ended")
    {
      fixture.Send(1, StatementKind::Begin, "b1");
      fixture.Step(SessionEnded{ 1 });
    }
    SECTION("since no server had room in time")
    {
      fixture.Send(1, StatementKind::Read, "q1"); // its link is never opened
      CHECK(fixture.Admitted() == 1);
      fixture.Wait(1100ms);
      REQUIRE(fixture.Replies(1).size() == 1);
      CHECK(fixture.Replies(1)[0].error_);
    }
    CHECK(fixture.Admitted() == 0);
  }

  SECTION("a session that ends does not wait any more")
  {
    fixture.Send(1, StatementKind::Read, "q1");
    fixture.Step(SessionEnded{ 1 });
    fixture.Grant(0, 1);
    fixture.Wait(400ms);
    CHECK(fixture.Admitted() == 0);
    CHECK(fixture.Replies(1).empty());
  }

  SECTION("a VM that drains gives its shares back once it serves nobody")
  {
    fixture.Grant(500'000);
    fixture.Wait(1s);
    fixture.Step(GatewayDrainRequested{});
    fixture.Wait(2400ms);
    CHECK(fixture.gateway_.IsIdle());
    CHECK(fixture.gateway_.Limiter().GetUsage("school").share_ == 0);
  }
}

} // namespace jaydoor::tests

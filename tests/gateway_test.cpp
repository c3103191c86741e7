// Tests single decisions of a Gateway.

#include "gateway/Gateway.h"
#include "tests/ConnectionAnswers.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

// One gateway in front of a group of three servers. The test passes it every
// event and sets the time.
struct GatewayFixture
{
  static constexpr std::uint64_t kListId = 7;

  Gateway gateway_;
  Time now_{ 1000s };
  GatewayActions actions_;
  std::map<std::string, ServerLinkId> opened_; // newest link to each server
  std::map<ServerLinkId, ConnectionAnswers> answers_;

  explicit GatewayFixture(Duration aLeaseDuration = 60s,
                          const ZoneId& aZone = "zone-1")
    : gateway_(GatewayConfig{ .zone_ = aZone })
  {
    ControlLog log;
    for (int i = 1; i <= 3; i++) {
      log.Announce("server-" + std::to_string(i), "zone-" + std::to_string(i));
    }
    log.SetPrimary("server-1", 1);
    auto catalog = std::make_shared<Catalog>();
    catalog->version_ = 1;
    catalog->connectionLimits_["db"] = 20;
    for (const char* name : { "all", "aged" }) {
      CatalogDatabase database;
      database.name_ = name;
      database.group_ = "db";
      database.consistency_ = std::string(name) == "all"
                                ? Consistency::Primary
                                : Consistency::BoundedStaleness;
      database.maxStaleness_ = 1500ms;
      database.statementLimit_ = 1s;
      database.latencyTarget_ = 400ms;
      catalog->databases_[name] = database;
    }
    Step(
      FleetOrCatalogChanged{ BuildFleetView(log.state_, {}, true), catalog });
    Grant(aLeaseDuration);
  }

  static wire::LeaseGrant OneHolder()
  {
    wire::LeaseGrant grant;
    grant.set_holders(1);
    return grant;
  }

  // A control state, and the index of the last change applied to it.
  struct ControlLog
  {
    ControlState state_;
    std::uint64_t index_ = 0;

    void Announce(const ServerId& aServer, const ZoneId& aZone)
    {
      wire::Change change;
      auto& info = *change.mutable_upstream()->mutable_upstream();
      info.set_server(aServer);
      info.set_database("db");
      info.set_zone(aZone);
      info.set_slots(1);
      change.set_index(++index_);
      state_.Apply(change);
    }

    void SetPrimary(const ServerId& aServer, std::uint64_t aTerm)
    {
      wire::Change change;
      change.mutable_primary()->set_database("db");
      change.mutable_primary()->set_server(aServer);
      change.mutable_primary()->set_term(aTerm);
      change.set_index(++index_);
      state_.Apply(change);
    }
  };

  void Grant(Duration aLeaseDuration, wire::LeaseGrant aGrant = OneHolder())
  {
    aGrant.set_sent_us(now_.time_since_epoch().count());
    aGrant.set_incarnation(1);
    auto& lease = *aGrant.add_leases();
    lease.set_database("db");
    lease.set_server("server-1");
    lease.set_term(1);
    lease.set_duration_us(aLeaseDuration.count());
    aGrant.set_list_id(kListId);
    Step(LeaseGrantReceived{ aGrant });
  }

  void Step(GatewayEvent aEvent)
  {
    const std::size_t before = actions_.size();
    gateway_.Step(std::move(aEvent), now_, actions_);
    for (std::size_t i = before; i < actions_.size(); i++) {
      if (const auto* open = std::get_if<OpenServerLink>(&actions_[i])) {
        opened_[open->server_] = open->link_;
        answers_.insert_or_assign(
          open->link_, ConnectionAnswers(std::to_string(open->link_)));
      } else if (const auto* send =
                   std::get_if<SendServerCommand>(&actions_[i])) {
        answers_.at(send->link_).Receive(send->command_);
      }
    }
  }

  // Advances the time, with a tick each 10 ms.
  void Wait(Duration aDuration)
  {
    for (const Time end = now_ + aDuration; now_ < end;) {
      now_ += 10ms;
      Step(GatewayTick{});
    }
  }

  void Send(SessionId aSession, StatementKind aKind, const std::string& aId)
  {
    SessionStatement statement;
    statement.kind_ = aKind;
    statement.id_ = aId;
    statement.text_ = "text";
    Step(SessionStatementReceived{ aSession, statement });
  }

  // Tells the gateway that the newest link to the server is open.
  void Open(const std::string& aServer)
  {
    REQUIRE(opened_.contains(aServer));
    Step(ServerLinkOpened{ opened_[aServer] });
  }

  // Answers the oldest command on the link.
  void Answer(ServerLinkId aLink, LogPoint aPoint = {})
  {
    ConnectionAnswers& answers = answers_.at(aLink);
    REQUIRE_FALSE(answers.IsIdle());
    ServerAnswer answer = answers.AnswerOldest();
    answer.point_ = aPoint;
    Step(ServerLinkAnswered{ aLink, answer });
  }

  // Answers the oldest command on the newest link to the server.
  void Answer(const std::string& aServer, LogPoint aPoint = { 1, 1 })
  {
    Answer(opened_[aServer], aPoint);
  }

  template<typename Action>
  std::size_t Count() const
  {
    return static_cast<std::size_t>(
      std::count_if(actions_.begin(), actions_.end(), [](const auto& aAction) {
        return std::holds_alternative<Action>(aAction);
      }));
  }

  // Commands that were sent to servers and satisfy the condition.
  template<typename Condition>
  std::size_t CountCommands(Condition aCondition) const
  {
    return static_cast<std::size_t>(
      std::count_if(actions_.begin(), actions_.end(), [&](const auto& aAction) {
        const auto* send = std::get_if<SendServerCommand>(&aAction);
        return send != nullptr && aCondition(send->command_.kind_);
      }));
  }

  // Statements of callers that were sent to servers.
  std::size_t CountForwarded() const { return CountCommands(RunsStatement); }

  std::optional<SessionReply> LastReply() const
  {
    for (auto at = actions_.rbegin(); at != actions_.rend(); ++at) {
      if (const auto* reply = std::get_if<SendSessionReply>(&*at)) {
        return reply->reply_;
      }
    }
    return std::nullopt;
  }
};

} // namespace

TEST_CASE("Single decisions of a gateway")
{
  SECTION("a write is acknowledged under a lease and is in doubt without one")
  {
    GatewayFixture fixture(200ms);
    fixture.Step(SessionOpenRequested{ 1, "all" });
    fixture.Send(1, StatementKind::Write, "q1");
    fixture.Open("server-1");
    fixture.now_ += 300ms;
    fixture.Answer("server-1");
    REQUIRE(fixture.LastReply().has_value());
    CHECK(fixture.LastReply()->error_ == SessionError::InDoubt);
    fixture.Grant(60s);
    fixture.Send(1, StatementKind::Write, "q2");
    fixture.Answer("server-1");
    CHECK_FALSE(fixture.LastReply()->error_.has_value());
    CHECK(fixture.LastReply()->signature_ == "1.2");
  }

  SECTION("a write is not sent once the lease has run out")
  {
    // The server takes its time to answer the begin, or to set a value.
    GatewayFixture fixture(200ms);
    fixture.Step(SessionOpenRequested{ 1, "all" });

    SECTION("while its transaction was begun")
    {
      fixture.Send(1, StatementKind::Begin, "q1");
    }
    SECTION("while the link was given the session's values")
    {
      fixture.Send(1, StatementKind::Set, "q1");
    }

    fixture.Send(1, StatementKind::Write, "q2");
    fixture.Open("server-1");
    const ServerLinkId link = fixture.opened_["server-1"];
    const std::size_t before = fixture.Count<SendServerCommand>();
    fixture.now_ += 300ms;
    fixture.Answer(link);
    CHECK(fixture.CountForwarded() == 0);
    fixture.Grant(60s);
    fixture.Answer(link); // to the rollback, or the write
    fixture.Wait(50ms);
    CHECK(fixture.Count<SendServerCommand>() > before);
  }

  SECTION("when its link is lost, a write is in doubt and a read is retried")
  {
    GatewayFixture fixture;
    fixture.Step(SessionOpenRequested{ 1, "all" });
    fixture.Send(1, StatementKind::Write, "q1");
    fixture.Open("server-1");
    fixture.Step(ServerLinkLost{ fixture.opened_["server-1"], {} });
    REQUIRE(fixture.LastReply().has_value());
    CHECK(fixture.LastReply()->error_ == SessionError::InDoubt);
    fixture.Send(1, StatementKind::Read, "q2");
    fixture.Open("server-1");
    fixture.Step(ServerLinkLost{ fixture.opened_["server-1"], {} });
    CHECK(fixture.Count<SendSessionReply>() == 1);
    fixture.Open("server-1");
    fixture.Answer("server-1");
    CHECK_FALSE(fixture.LastReply()->error_.has_value());
  }

  SECTION("a statement is not hedged after its session has ended")
  {
    GatewayFixture fixture;
    fixture.Step(SessionOpenRequested{ 1, "aged" });
    fixture.Send(1, StatementKind::Read, "q1");
    fixture.Open("server-1");
    fixture.Step(SessionEnded{ 1 });
    fixture.Wait(3s);
    CHECK(fixture.gateway_.Counters().hedged_ == 0);
    CHECK(fixture.Count<SendSessionReply>() == 0);
  }

  SECTION("a primary is suspected when none of its links answers")
  {
    // q2 is sent before the primary's last answer and is never answered. No
    // later statement is sent whose silence could show that it hangs.
    GatewayFixture fixture;
    for (const SessionId id : { 1, 2, 3 }) {
      fixture.Step(SessionOpenRequested{ id, "all" });
    }
    fixture.Send(1, StatementKind::Read, "q1");
    fixture.Open("server-1");
    const ServerLinkId firstLink = fixture.opened_["server-1"];
    fixture.Send(2, StatementKind::Read, "q2");
    fixture.Open("server-1");
    fixture.Answer(firstLink);
    fixture.Wait(2s);
    CHECK(fixture.Count<ReportSuspicion>() > 0);
  }

  SECTION("an idle link can be closed for two reasons in the same tick")
  {
    // Its idle timeout passes in the same tick in which a newer link is closed
    // because it did not answer.
    for (Duration pause = 1200ms; pause < 1800ms; pause += 10ms) {
      GatewayFixture fixture;
      fixture.Wait(3s); // connections may be scarce after the start
      fixture.Step(SessionOpenRequested{ 1, "all" });
      fixture.Step(SessionOpenRequested{ 2, "all" });
      fixture.Send(1, StatementKind::Read, "q1");
      fixture.Open("server-1");
      const ServerLinkId firstLink = fixture.opened_["server-1"];
      fixture.Send(2, StatementKind::Read, "q2");
      fixture.Open("server-1");
      fixture.Answer(firstLink);
      fixture.now_ += 1ms;
      fixture.Answer("server-1");
      fixture.Wait(pause);
      fixture.Send(1, StatementKind::Read, "q3");
      CHECK_NOTHROW(fixture.Wait(3s));
    }
  }

  SECTION("a statement whose answer is lost does not keep its slot")
  {
    // At most two statements at once are sent to a server with one slot.
    GatewayFixture fixture;
    for (const SessionId id : { 1, 2, 3 }) {
      fixture.Step(SessionOpenRequested{ id, "all" });
    }
    fixture.Send(1, StatementKind::Write, "q1");
    fixture.Open("server-1");
    fixture.Send(2, StatementKind::Write, "q2");
    fixture.Open("server-1");
    fixture.Wait(200ms);
    fixture.Send(3, StatementKind::Write, "q3");
    const std::size_t sent = fixture.Count<SendServerCommand>();
    fixture.Wait(50ms);
    CHECK(fixture.Count<SendServerCommand>() == sent);
    fixture.Wait(100ms);
    fixture.Open("server-1");
    CHECK(fixture.Count<SendServerCommand>() == sent + 1);
    // The links are closed soon after their callers have been answered.
    fixture.Wait(1100ms);
    CHECK(fixture.Count<CloseServerLink>() >= 2);
  }

  SECTION("a server at its connection limit is not contacted at every tick")
  {
    GatewayFixture fixture;
    fixture.Step(SessionOpenRequested{ 1, "all" });
    fixture.Send(1, StatementKind::Write, "q1");
    fixture.Open("server-1");
    const std::size_t before = fixture.Count<OpenServerLink>();
    for (int i = 0; i < 80; i++) {
      const std::size_t opened = fixture.Count<OpenServerLink>();
      fixture.Wait(10ms);
      if (fixture.Count<OpenServerLink>() > opened) {
        fixture.Step(ServerLinkLost{ fixture.opened_["server-1"],
                                     SessionError::ConnectionLimit });
      }
    }
    CHECK(fixture.Count<OpenServerLink>() > before);
    CHECK(fixture.Count<OpenServerLink>() <= before + 10);
  }

  SECTION("the last idle link to a server is kept")
  {
    GatewayFixture fixture;
    fixture.Wait(3s);
    fixture.Step(SessionOpenRequested{ 1, "all" });
    fixture.Send(1, StatementKind::Read, "q1");
    fixture.Open("server-1");
    fixture.Answer("server-1");
    fixture.Wait(10s);
    CHECK(fixture.Count<CloseServerLink>() == 0);

    SECTION("but not while connections are scarce")
    {
      fixture.Step(SessionOpenRequested{ 2, "all" });
      fixture.Send(1, StatementKind::Write, "q2");
      fixture.Send(2, StatementKind::Write, "q3");
      const ServerLinkId first = 1;
      fixture.Step(ServerLinkLost{ fixture.opened_["server-1"],
                                   SessionError::ConnectionLimit });
      fixture.Answer(first);
      fixture.Answer(first);
      fixture.Wait(100ms);
      CHECK(fixture.Count<CloseServerLink>() == 1);
    }
  }

  SECTION("a log position from the leader proves that a replica is fresh")
  {
    const auto grantPoint = [](GatewayFixture& aFixture, Duration aAge) {
      wire::LeaseGrant grant;
      wire::SharedPoint& point = *grant.add_points();
      point.set_database("db");
      point.set_term(1);
      point.set_position(9);
      point.set_age_us(aAge.count());
      aFixture.Grant(60s, grant);
      aFixture.Step(SessionOpenRequested{ 1, "aged" });
      aFixture.Send(1, StatementKind::Read, "q1");
    };
    GatewayFixture fixture(60s, "zone-2");
    grantPoint(fixture, 300ms);
    CHECK(fixture.opened_.contains("server-2"));
    CHECK_FALSE(fixture.opened_.contains("server-1"));

    SECTION("but not if it is older than the staleness allowed")
    {
      GatewayFixture other(60s, "zone-2");
      grantPoint(other, 1500ms);
      CHECK(other.opened_.contains("server-1"));
      CHECK_FALSE(other.opened_.contains("server-2"));
    }
  }

  SECTION("a log position is reported with a time from before the question")
  {
    GatewayFixture fixture;
    const auto grantAt = [&](std::int64_t aLeaderUs) {
      wire::LeaseGrant grant;
      grant.set_leader_term(3);
      grant.set_leader_us(aLeaderUs);
      fixture.now_ += 1ms;
      fixture.Grant(60s, grant);
      fixture.now_ += 1ms;
    };
    constexpr std::int64_t kBefore = 5'000'000;
    grantAt(kBefore);
    fixture.Step(SessionOpenRequested{ 1, "all" });
    fixture.Send(1, StatementKind::Read, "q1");
    fixture.Open("server-1");
    grantAt(kBefore + 400'000); // the primary has been asked already
    fixture.Answer("server-1", { 1, 7 });
    fixture.actions_.clear();
    fixture.Wait(200ms);
    std::vector<wire::ReportedPoint> reported;
    for (const auto& action : fixture.actions_) {
      if (const auto* request = std::get_if<SendLeaseRequest>(&action)) {
        const auto& points = request->request_.points();
        reported.insert(reported.end(), points.begin(), points.end());
      }
    }
    REQUIRE(reported.size() == 1);
    CHECK(reported[0].position() == 7);
    CHECK(reported[0].asked_us() == kBefore);
  }

  SECTION("a session waits for the databases to be known, then is refused")
  {
    Gateway gateway(GatewayConfig{});
    GatewayActions actions;
    gateway.Step(SessionOpenRequested{ 1, "all" }, Time(1000s), actions);
    CHECK(actions.empty());
    gateway.Step(GatewayTick{}, Time(1001s), actions);
    const auto refused =
      std::find_if(actions.begin(), actions.end(), [](const auto& aAction) {
        return std::holds_alternative<RefuseSession>(aAction);
      });
    REQUIRE(refused != actions.end());
    CHECK(std::get<RefuseSession>(*refused).error_ == SessionError::Overloaded);
  }

  SECTION("a VM is not ready before the leader has answered it")
  {
    // It knows the databases from a VM of its zone, which may be cut off.
    GatewayFixture::ControlLog log;
    log.Announce("server-1", "zone-1");
    log.SetPrimary("server-1", 1);
    auto catalog = std::make_shared<Catalog>();
    catalog->version_ = 1;
    Gateway gateway(GatewayConfig{});
    GatewayActions actions;
    gateway.Step(
      FleetOrCatalogChanged{ BuildFleetView(log.state_, {}, true), catalog },
      Time(1000s),
      actions);
    CHECK_FALSE(gateway.IsReady());
    wire::LeaseGrant grant;
    grant.set_incarnation(1);
    gateway.Step(LeaseGrantReceived{ grant }, Time(1001s), actions);
    CHECK(gateway.IsReady());
  }

  SECTION("a caller that rests in a transaction holds up nobody")
  {
    GatewayFixture fixture;
    wire::LeaseGrant grant;
    constexpr std::uint32_t kManyVms = 17; // one link to a server for each
    grant.set_holders(kManyVms);
    fixture.Grant(60s, grant);
    for (const SessionId id : { 1, 2, 3, 4 }) {
      fixture.Step(SessionOpenRequested{ id, "all" });
    }
    for (const SessionId id : { 1, 2, 3 }) {
      fixture.Send(id, StatementKind::Begin, "b");
      fixture.Send(id, StatementKind::Write, "w");
      fixture.Open("server-1");
      const std::size_t replies = fixture.Count<SendSessionReply>();
      fixture.Answer(fixture.opened_["server-1"]);
      fixture.Answer(fixture.opened_["server-1"]);
      CHECK(fixture.Count<SendSessionReply>() == replies + 1);
    }
    // No more than two links beyond the share.
    const std::size_t opened = fixture.Count<OpenServerLink>();
    CHECK(opened == 3);
    fixture.Send(4, StatementKind::Write, "q4");
    fixture.Wait(50ms);
    CHECK(fixture.Count<OpenServerLink>() == opened);
  }

  SECTION("an isolated VM is not ready and closes idle sessions")
  {
    GatewayFixture fixture;
    fixture.Step(SessionOpenRequested{ 1, "all" });
    fixture.Send(1, StatementKind::Read, "q1");
    fixture.Open("server-1");
    fixture.Answer("server-1");
    fixture.Wait(100ms);
    CHECK(fixture.gateway_.IsReady());
    fixture.Send(1, StatementKind::Read, "q2");
    fixture.Wait(1500ms);
    CHECK_FALSE(fixture.gateway_.IsReady());
    CHECK(fixture.Count<CloseSession>() == 0);
    fixture.Wait(2500ms);
    CHECK(fixture.Count<CloseSession>() == 1);
    // A new link opens: the primary can be reached again.
    const std::size_t opened = fixture.Count<OpenServerLink>();
    while (fixture.Count<OpenServerLink>() == opened &&
           fixture.now_ < Time(1010s)) {
      fixture.Wait(10ms);
    }
    fixture.Open("server-1");
    fixture.Wait(20ms);
    CHECK(fixture.gateway_.IsReady());
  }

  SECTION("a VM that hears nothing from other zones tests servers there")
  {
    // It has no callers whose statements could fail.
    GatewayFixture fixture(60s, "zone-2");
    fixture.Wait(400ms);
    CHECK(fixture.Count<OpenServerLink>() == 0);
    fixture.Wait(100ms);
    CHECK(fixture.opened_.contains("server-1"));
    CHECK(fixture.opened_.contains("server-3"));
    CHECK_FALSE(fixture.opened_.contains("server-2"));

    SECTION("and is isolated if these can't be reached")
    {
      fixture.Wait(700ms);
      CHECK_FALSE(fixture.gateway_.IsReady());
    }
  }

  SECTION("a VM that can't reach the leader and most servers is isolated")
  {
    // The VM's lease expires in the first case and not in the second.
    GatewayFixture fixture(GENERATE(800ms, 60'000ms));
    fixture.Step(SessionOpenRequested{ 1, "all" });
    fixture.Send(1, StatementKind::Read, "q1");
    fixture.Open("server-1");
    fixture.Answer("server-1");
    for (SessionId id = 2; id <= 12; id++) {
      fixture.Step(SessionOpenRequested{ id, "aged" });
      fixture.Send(id, StatementKind::Read, "r" + std::to_string(id));
    }
    REQUIRE(fixture.opened_.contains("server-2"));
    REQUIRE(fixture.opened_.contains("server-3"));
    fixture.Wait(500ms);
    CHECK(fixture.gateway_.IsReady()); // the primary can still be used
    fixture.Wait(700ms);
    CHECK_FALSE(fixture.gateway_.IsReady());
  }

  SECTION("a VM that reaches the leader waits longer before it is isolated")
  {
    GatewayFixture fixture;
    fixture.Step(SessionOpenRequested{ 1, "all" });
    fixture.Send(1, StatementKind::Read, "q1");
    fixture.Open("server-1");
    fixture.Answer("server-1");
    fixture.Send(1, StatementKind::Read, "q2");
    for (int i = 0; i < 10; i++) {
      fixture.Wait(250ms);
      fixture.Grant(60s);
    }
    CHECK(fixture.gateway_.IsReady());
    for (int i = 0; i < 6; i++) {
      fixture.Wait(250ms);
      fixture.Grant(60s);
    }
    // The leader keeps the primary: only this VM can't reach it.
    CHECK_FALSE(fixture.gateway_.IsReady());
  }

  SECTION("a link is opened to a primary that another VM suspects")
  {
    GatewayFixture fixture;
    fixture.Wait(400ms);
    CHECK(fixture.Count<OpenServerLink>() == 0);
    wire::LeaseGrant grant;
    grant.set_sent_us(fixture.now_.time_since_epoch().count());
    grant.set_incarnation(1);
    grant.add_doubted("db");
    fixture.Step(LeaseGrantReceived{ grant });
    fixture.Wait(50ms);
    CHECK(fixture.opened_.contains("server-1"));
    CHECK(fixture.Count<ReportSuspicion>() == 0);
    fixture.Step(ServerLinkLost{ fixture.opened_["server-1"], {} });
    fixture.Wait(20ms);
    CHECK(fixture.Count<ReportSuspicion>() == 1);
  }

  SECTION("a grant that names the list of leases renews all of them")
  {
    GatewayFixture fixture(200ms);
    wire::LeaseGrant renewal;
    renewal.set_sent_us((fixture.now_ + 150ms).time_since_epoch().count());
    renewal.set_incarnation(1);
    renewal.set_holders(1);
    renewal.set_unchanged(true);
    renewal.set_list_id(GatewayFixture::kListId);
    fixture.now_ += 150ms;
    fixture.Step(LeaseGrantReceived{ renewal });
    fixture.now_ += 100ms;
    CHECK(fixture.gateway_.CountLeases(fixture.now_) == 1);
    fixture.now_ += 100ms;
    CHECK(fixture.gateway_.CountLeases(fixture.now_) == 0);
    renewal.set_list_id(GatewayFixture::kListId + 1);
    renewal.set_sent_us(fixture.now_.time_since_epoch().count());
    fixture.Step(LeaseGrantReceived{ renewal });
    CHECK(fixture.gateway_.CountLeases(fixture.now_) == 0);
  }

  SECTION("a lease that expires is logged once")
  {
    GatewayFixture fixture(200ms);
    fixture.Wait(400ms);
    const auto lost = std::count_if(
      fixture.actions_.begin(), fixture.actions_.end(), [](auto& aAction) {
        const auto* logEvent = std::get_if<WriteLogEvent>(&aAction);
        return logEvent != nullptr && logEvent->event_ == Event::LeaseLost;
      });
    CHECK(lost == 1);
  }

  SECTION(
    "a draining VM closes idle sessions after two probes answered not ready")
  {
    GatewayFixture fixture;
    fixture.Step(SessionOpenRequested{ 1, "all" });
    CHECK(fixture.gateway_.AnswerReadinessProbe(fixture.now_));
    fixture.Step(GatewayDrainRequested{});
    CHECK_FALSE(fixture.gateway_.AnswerReadinessProbe(fixture.now_));
    fixture.Wait(200ms);
    // This probe follows the last one too closely to count.
    CHECK_FALSE(fixture.gateway_.AnswerReadinessProbe(fixture.now_));
    fixture.Wait(600ms);
    CHECK(fixture.Count<CloseSession>() == 0);
    CHECK_FALSE(fixture.gateway_.AnswerReadinessProbe(fixture.now_));
    fixture.Wait(40ms);
    CHECK(fixture.Count<CloseSession>() == 0);
    fixture.Wait(20ms);
    CHECK(fixture.Count<CloseSession>() == 1);
  }

  SECTION("a statement that no server can run is refused in time for a retry")
  {
    GatewayFixture fixture;
    fixture.Step(SessionOpenRequested{ 1, "all" });
    fixture.Send(1, StatementKind::Write, "q1");
    fixture.Wait(420ms);
    REQUIRE(fixture.LastReply().has_value());
    CHECK(fixture.LastReply()->error_ == SessionError::Overloaded);
  }
}

// Guards against an explanation that differs from what is decided.
TEST_CASE("Where a statement would go is explained")
{
  using Outcome = Explanation::Outcome;
  const ExplanationRequest read{ "aged", StatementKind::Read, "" };
  const ExplanationRequest write{ "all", StatementKind::Write, "" };
  GatewayFixture fixture(500ms);
  const auto explain = [&](const ExplanationRequest& aRequest) {
    const std::size_t before = fixture.actions_.size();
    auto explanation = fixture.gateway_.Explain(aRequest, fixture.now_);
    CHECK(fixture.actions_.size() == before);
    return explanation;
  };

  SECTION("a database that is not configured")
  {
    const auto explanation = explain({ "none", StatementKind::Read, "" });
    CHECK(explanation.outcome_ == Outcome::Refused);
    CHECK_FALSE(explanation.route_.has_value());
    CHECK_FALSE(explanation.reason_.empty());
  }

  SECTION("a write, by the same decision as a write that arrives")
  {
    const auto first = explain(write);
    CHECK(first.outcome_ == Outcome::Waits);
    CHECK(first.needsPrimary_);
    CHECK(first.server_ == "server-1");
    REQUIRE(first.servers_.size() == 3);
    CHECK(first.servers_[0].isPrimary_);
    CHECK(first.servers_[0].obstacle_.empty());
    CHECK(first.servers_[0].cost_.has_value());
    CHECK_FALSE(first.servers_[1].obstacle_.empty());
    CHECK_FALSE(first.servers_[1].cost_.has_value());
    fixture.Step(SessionOpenRequested{ 1, "all" });
    fixture.Send(1, StatementKind::Write, "q1");
    CHECK(fixture.opened_.contains(first.server_));
    fixture.Open("server-1");
    fixture.Answer("server-1", { 1, 9 });
    const auto second = explain(write);
    CHECK(second.outcome_ == Outcome::Runs);
    CHECK(second.servers_[0].idleLinks_ == 1);
    CHECK(second.servers_[0].point_ == LogPoint{ 1, 9 });
    CHECK(second.servers_[1].point_ == std::nullopt);
  }

  SECTION("a write without a lease on the primary")
  {
    fixture.now_ += 600ms;
    const auto explanation = explain(write);
    CHECK(explanation.outcome_ == Outcome::Waits);
    CHECK(explanation.server_.empty());
    REQUIRE(explanation.servers_.size() == 3);
    CHECK(explanation.servers_[0].obstacle_ == "no lease on the primary");
  }

  SECTION("a read, on the server that a read then goes to")
  {
    fixture.Step(SessionOpenRequested{ 1, "all" });
    fixture.Send(1, StatementKind::Write, "q1");
    fixture.Open("server-1");
    fixture.Answer("server-1", { 1, 9 });
    const auto explanation = explain(read);
    REQUIRE(explanation.requiredPoint_.has_value());
    CHECK(explanation.requiredPoint_ == LogPoint{ 1, 9 });
    REQUIRE_FALSE(explanation.server_.empty());
    for (const auto& server : explanation.servers_) {
      CHECK(server.cost_.has_value() == server.obstacle_.empty());
    }
    fixture.Step(SessionOpenRequested{ 2, "aged" });
    const std::size_t forwarded = fixture.CountForwarded();
    fixture.Send(2, StatementKind::Read, "q2");
    if (explanation.outcome_ == Outcome::Runs) {
      CHECK(fixture.CountForwarded() == forwarded + 1);
    } else {
      CHECK(fixture.opened_.contains(explanation.server_));
    }
  }

  SECTION("a server that is as busy as this VM may make it")
  {
    fixture.Step(SessionOpenRequested{ 1, "all" });
    fixture.Step(SessionOpenRequested{ 2, "all" });
    fixture.Send(1, StatementKind::Write, "q1");
    fixture.Open("server-1");
    fixture.Send(2, StatementKind::Write, "q2");
    fixture.Open("server-1");
    const auto explanation = explain(write);
    CHECK(explanation.outcome_ == Outcome::Waits);
    CHECK(explanation.servers_[0].running_ == 2);
    CHECK(explanation.servers_[0].obstacle_ ==
          "this VM's share of its slots is in use");
  }
}

// Guards against a server that VMs leave without an operator seeing it.
TEST_CASE("A server that answers slowly is reported as avoided")
{
  GatewayFixture fixture;
  const auto countAvoided = [&](std::string_view aText) {
    return std::count_if(
      fixture.actions_.begin(), fixture.actions_.end(), [&](auto& aAction) {
        const auto* event = std::get_if<WriteLogEvent>(&aAction);
        return event != nullptr && event->event_ == Event::ServerAvoided &&
               event->text_.find(aText) != std::string::npos;
      });
  };
  fixture.Step(SessionOpenRequested{ 1, "all" });
  const auto read = [&](Duration aTime) {
    fixture.Send(1, StatementKind::Read, "q");
    if (fixture.CountForwarded() == 0) {
      fixture.Open("server-1");
    }
    fixture.now_ += aTime;
    fixture.Answer("server-1");
  };
  for (int i = 0; i < 10; i++) {
    read(5ms);
  }
  fixture.Wait(300ms);
  CHECK(countAvoided("server=server-1") == 0);
  for (int i = 0; i < 6; i++) {
    read(100ms);
  }
  fixture.Wait(300ms);
  CHECK(countAvoided("server=server-1 avoided=true") == 1);
  CHECK(fixture.gateway_.MeasureBalance(fixture.now_).avoided_ == 1);
  CHECK(fixture.gateway_.MeasureBalance(fixture.now_).spread_ > 20ms);
  fixture.Wait(10s);
  CHECK(countAvoided("server=server-1 avoided=true") == 1);
  CHECK(countAvoided("server=server-1 avoided=false") == 1);
  CHECK(fixture.gateway_.MeasureBalance(fixture.now_).avoided_ == 0);
}

} // namespace jaydoor::tests

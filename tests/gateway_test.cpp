// Sessions before fake servers: promises under faults, and single decisions.

#include "tests/SessionWorld.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

constexpr std::uint64_t kSeeds = 60;

std::string
Join(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const auto& line : aLines) {
    text += line + "\n";
    if (text.size() > 2000) {
      break;
    }
  }
  return text;
}

// One gateway before a group of three servers, driven by hand.
struct Desk
{
  Gateway gateway_{ GatewayConfig{ .zone_ = "zone-1" } };
  Time now_{ 1000s };
  GatewayActions actions_;
  std::map<std::string, ServerLinkId> opened_; // newest link of each server

  explicit Desk(Duration aLease = 60s)
  {
    Log log;
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
    Grant(aLease);
  }

  // A control state that changes are applied to in order.
  struct Log
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

  void Grant(Duration aLease)
  {
    wire::LeaseGrant grant;
    grant.set_sent_us(now_.time_since_epoch().count());
    grant.set_incarnation(1);
    grant.set_holders(1);
    auto& lease = *grant.add_leases();
    lease.set_database("db");
    lease.set_server("server-1");
    lease.set_term(1);
    lease.set_duration_us(aLease.count());
    Step(LeaseGrantReceived{ grant });
  }

  void Step(GatewayEvent aEvent)
  {
    const std::size_t before = actions_.size();
    gateway_.Step(std::move(aEvent), now_, actions_);
    for (std::size_t i = before; i < actions_.size(); i++) {
      if (const auto* open = std::get_if<OpenServerLink>(&actions_[i])) {
        opened_[open->server_] = open->link_;
      }
    }
  }

  // Lets time pass, with ticks.
  void Wait(Duration aTime)
  {
    for (const Time end = now_ + aTime; now_ < end;) {
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

  // Opens the link that the gateway asked for.
  void Open(const std::string& aServer)
  {
    REQUIRE(opened_.contains(aServer));
    Step(ServerLinkOpened{ opened_[aServer] });
  }

  void Answer(const std::string& aServer, LogPoint aPoint = { 1, 1 })
  {
    ServerAnswer answer;
    answer.signature_ = "signed";
    answer.point_ = aPoint;
    Step(ServerLinkAnswered{ opened_[aServer], answer });
  }

  template<typename Action>
  std::size_t Count() const
  {
    return static_cast<std::size_t>(
      std::count_if(actions_.begin(), actions_.end(), [](const auto& aAction) {
        return std::holds_alternative<Action>(aAction);
      }));
  }

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

TEST_CASE("A gateway's decisions one by one")
{
  SECTION("a write is acknowledged under a lease, and in doubt without")
  {
    Desk desk(200ms);
    desk.Step(SessionOpenRequested{ 1, "all" });
    desk.Send(1, StatementKind::Write, "q1");
    desk.Open("server-1");
    desk.now_ += 300ms;
    desk.Answer("server-1");
    REQUIRE(desk.LastReply().has_value());
    CHECK(desk.LastReply()->error_ == SessionError::InDoubt);
    desk.Grant(60s);
    desk.Send(1, StatementKind::Write, "q2");
    desk.Answer("server-1");
    CHECK_FALSE(desk.LastReply()->error_.has_value());
    CHECK(desk.LastReply()->signature_ == "signed");
  }

  SECTION("a write whose connection ends is in doubt, a read goes on elsewhere")
  {
    Desk desk;
    desk.Step(SessionOpenRequested{ 1, "all" });
    desk.Send(1, StatementKind::Write, "q1");
    desk.Open("server-1");
    desk.Step(ServerLinkLost{ desk.opened_["server-1"], {} });
    REQUIRE(desk.LastReply().has_value());
    CHECK(desk.LastReply()->error_ == SessionError::InDoubt);
    desk.Send(1, StatementKind::Read, "q2");
    desk.Open("server-1");
    desk.Step(ServerLinkLost{ desk.opened_["server-1"], {} });
    CHECK(desk.Count<SendSessionReply>() == 1);
    desk.Open("server-1");
    desk.Answer("server-1");
    CHECK_FALSE(desk.LastReply()->error_.has_value());
  }

  SECTION("a second try is not made for a caller that has left")
  {
    Desk desk;
    desk.Step(SessionOpenRequested{ 1, "aged" });
    desk.Send(1, StatementKind::Read, "q1");
    desk.Open("server-1");
    desk.Step(SessionEnded{ 1 });
    desk.Wait(3s);
    CHECK(desk.gateway_.Counters().hedged_ == 0);
    CHECK(desk.Count<SendSessionReply>() == 0);
  }

  SECTION("a primary is suspected when all its connections are stuck")
  {
    // Sent before its last answer: nothing that is sent later shows silence.
    Desk desk;
    for (const SessionId id : { 1, 2, 3 }) {
      desk.Step(SessionOpenRequested{ id, "all" });
    }
    desk.Send(1, StatementKind::Read, "q1");
    desk.Open("server-1");
    const ServerLinkId first = desk.opened_["server-1"];
    desk.Send(2, StatementKind::Read, "q2");
    desk.Open("server-1");
    desk.Step(ServerLinkAnswered{ first, ServerAnswer{} });
    desk.Wait(2s);
    CHECK(desk.Count<ReportSuspicion>() > 0);
  }

  SECTION("an idle connection may go for two reasons at once")
  {
    // It is too old in the very tick in which a new one stays unanswered.
    for (Duration pause = 1200ms; pause < 1800ms; pause += 10ms) {
      Desk desk;
      desk.Step(SessionOpenRequested{ 1, "all" });
      desk.Step(SessionOpenRequested{ 2, "all" });
      desk.Send(1, StatementKind::Read, "q1");
      desk.Open("server-1");
      const ServerLinkId first = desk.opened_["server-1"];
      desk.Send(2, StatementKind::Read, "q2");
      desk.Open("server-1");
      desk.Step(ServerLinkAnswered{ first, ServerAnswer{} });
      desk.now_ += 1ms;
      desk.Answer("server-1");
      desk.Wait(pause);
      desk.Send(1, StatementKind::Read, "q3");
      CHECK_NOTHROW(desk.Wait(3s));
    }
  }

  SECTION("a lost answer does not keep a slot")
  {
    Desk desk; // two statements at once at a server with one slot
    for (const SessionId id : { 1, 2, 3 }) {
      desk.Step(SessionOpenRequested{ id, "all" });
    }
    desk.Send(1, StatementKind::Write, "q1");
    desk.Open("server-1");
    desk.Send(2, StatementKind::Write, "q2");
    desk.Open("server-1");
    desk.Wait(200ms);
    desk.Send(3, StatementKind::Write, "q3");
    const std::size_t sent = desk.Count<SendServerCommand>();
    desk.Wait(50ms);
    CHECK(desk.Count<SendServerCommand>() == sent);
    desk.Wait(100ms);
    desk.Open("server-1");
    CHECK(desk.Count<SendServerCommand>() == sent + 1);
    // Its connection goes soon after its caller has been told.
    desk.Wait(1100ms);
    CHECK(desk.Count<CloseServerLink>() >= 2);
  }

  SECTION("a server that is full is not asked at every tick")
  {
    Desk desk;
    desk.Step(SessionOpenRequested{ 1, "all" });
    desk.Send(1, StatementKind::Write, "q1");
    desk.Open("server-1");
    const std::size_t before = desk.Count<OpenServerLink>();
    for (int i = 0; i < 80; i++) {
      const std::size_t opened = desk.Count<OpenServerLink>();
      desk.Wait(10ms);
      if (desk.Count<OpenServerLink>() > opened) {
        desk.Step(ServerLinkLost{ desk.opened_["server-1"],
                                  SessionError::ConnectionLimit });
      }
    }
    CHECK(desk.Count<OpenServerLink>() > before);
    CHECK(desk.Count<OpenServerLink>() <= before + 10);
  }

  SECTION("sessions wait until the databases are known")
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

  SECTION("an isolated VM is not ready, and closes sessions at rest")
  {
    Desk desk;
    desk.Step(SessionOpenRequested{ 1, "all" });
    desk.Send(1, StatementKind::Read, "q1");
    desk.Open("server-1");
    desk.Answer("server-1");
    desk.Wait(100ms);
    CHECK(desk.gateway_.IsReady());
    desk.Send(1, StatementKind::Read, "q2");
    desk.Wait(1500ms);
    CHECK_FALSE(desk.gateway_.IsReady());
    CHECK(desk.Count<CloseSession>() == 0);
    desk.Wait(2500ms);
    CHECK(desk.Count<CloseSession>() == 1);
    // A new connection answers: it serves again.
    const std::size_t opened = desk.Count<OpenServerLink>();
    while (desk.Count<OpenServerLink>() == opened && desk.now_ < Time(1010s)) {
      desk.Wait(10ms);
    }
    desk.Open("server-1");
    desk.Wait(20ms);
    CHECK(desk.gateway_.IsReady());
  }

  SECTION("a VM that lost the leader and most servers is isolated")
  {
    // Whether its leases are over or not.
    Desk desk(GENERATE(800ms, 60'000ms));
    desk.Step(SessionOpenRequested{ 1, "all" });
    desk.Send(1, StatementKind::Read, "q1");
    desk.Open("server-1");
    desk.Answer("server-1");
    for (SessionId id = 2; id <= 12; id++) {
      desk.Step(SessionOpenRequested{ id, "aged" });
      desk.Send(id, StatementKind::Read, "r" + std::to_string(id));
    }
    REQUIRE(desk.opened_.contains("server-2"));
    REQUIRE(desk.opened_.contains("server-3"));
    desk.Wait(500ms);
    CHECK(desk.gateway_.IsReady()); // the primary can be used
    desk.Wait(700ms);
    CHECK_FALSE(desk.gateway_.IsReady());
  }

  SECTION("a VM in touch with the leader waits for another primary")
  {
    Desk desk;
    desk.Step(SessionOpenRequested{ 1, "all" });
    desk.Send(1, StatementKind::Read, "q1");
    desk.Open("server-1");
    desk.Answer("server-1");
    desk.Send(1, StatementKind::Read, "q2");
    for (int i = 0; i < 10; i++) {
      desk.Wait(250ms);
      desk.Grant(60s);
    }
    CHECK(desk.gateway_.IsReady());
    for (int i = 0; i < 6; i++) {
      desk.Wait(250ms);
      desk.Grant(60s);
    }
    CHECK_FALSE(desk.gateway_.IsReady()); // only this VM can't reach it
  }

  SECTION("a primary that others suspect is tried")
  {
    Desk desk;
    desk.Wait(400ms);
    CHECK(desk.Count<OpenServerLink>() == 0);
    wire::LeaseGrant grant;
    grant.set_sent_us(desk.now_.time_since_epoch().count());
    grant.set_incarnation(1);
    grant.add_doubted("db");
    desk.Step(LeaseGrantReceived{ grant });
    desk.Wait(50ms);
    CHECK(desk.opened_.contains("server-1"));
    CHECK(desk.Count<ReportSuspicion>() == 0);
    desk.Step(ServerLinkLost{ desk.opened_["server-1"], {} });
    desk.Wait(20ms);
    CHECK(desk.Count<ReportSuspicion>() == 1);
  }

  SECTION("a lease that runs out is told once")
  {
    Desk desk(200ms);
    desk.Wait(400ms);
    const auto lost = std::count_if(
      desk.actions_.begin(), desk.actions_.end(), [](auto& aAction) {
        const auto* note = std::get_if<WriteLogEvent>(&aAction);
        return note != nullptr && note->event_ == Event::LeaseLost;
      });
    CHECK(lost == 1);
  }

  SECTION("sessions at rest are closed once the balancer was told twice")
  {
    Desk desk;
    desk.Step(SessionOpenRequested{ 1, "all" });
    CHECK(desk.gateway_.AnswerReadinessProbe(desk.now_));
    desk.Step(GatewayDrainRequested{});
    CHECK_FALSE(desk.gateway_.AnswerReadinessProbe(desk.now_));
    desk.Wait(200ms);
    CHECK_FALSE(
      desk.gateway_.AnswerReadinessProbe(desk.now_)); // asked again too soon
    desk.Wait(600ms);
    CHECK(desk.Count<CloseSession>() == 0);
    CHECK_FALSE(desk.gateway_.AnswerReadinessProbe(desk.now_));
    desk.Wait(40ms);
    CHECK(desk.Count<CloseSession>() == 0);
    desk.Wait(20ms);
    CHECK(desk.Count<CloseSession>() == 1);
  }

  SECTION("a statement without a server is refused while a retry still pays")
  {
    Desk desk;
    desk.Step(SessionOpenRequested{ 1, "all" });
    desk.Send(1, StatementKind::Write, "q1");
    desk.Wait(420ms);
    REQUIRE(desk.LastReply().has_value());
    CHECK(desk.LastReply()->error_ == SessionError::Overloaded);
  }
}

TEST_CASE("Sessions through gateways")
{
  SECTION("without faults nothing is refused")
  {
    SessionWorldConfig config;
    config.faults_ = false;
    SessionWorld world(config);
    world.Run(5s);
    INFO(Join(world.Failures()));
    CHECK(world.Failures().empty());
    CHECK(world.Done() > 1000);
    CHECK(world.Refused() == 0);
  }

  SECTION("promises hold under random faults")
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; seed++) {
      SessionWorldConfig config;
      config.seed_ = seed;
      SessionWorld world(config);
      world.Run(12s);
      INFO("seed " << seed << "\n" << Join(world.Failures()));
      CHECK(world.Failures().empty());
      CHECK(world.Done() > 1000);
    }
  }
}

} // namespace jaydoor::tests

// Tests how a Gateway serves organisations: who may open sessions, which links
// to servers their statements use, and what happens to a withdrawn key.

#include "daemon/GatewayMetrics.h"
#include "gateway/Gateway.h"
#include "platform/ConfigBody.h"
#include "platform/LineCodec.h"
#include "tests/ConnectionAnswers.h"
#include "tests/OrganisationWorld.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

using platform::LineCodec;
using platform::ReadConfigBody;
using KeysByOrganisation = std::map<OrganisationId, std::vector<std::string>>;

// One gateway of 33 in front of a group of three servers. 39 connections leave
// it one link to each server, 78 leave two. Databases: "lessons" is read at
// the primary, "aged" anywhere, "notices" is public.
struct OrganisationFixture
{
  static constexpr std::size_t kHolders = 33;
  static constexpr std::uint64_t kListId = 7;

  Gateway gateway_{ GatewayConfig{ .zone_ = "zone-1" } };
  Time now_{ 1000s };
  GatewayActions actions_;
  ControlState state_;
  std::uint64_t index_ = 0;
  Catalog catalog_;
  std::map<ServerLinkId, ConnectionAnswers> answers_;

  explicit OrganisationFixture(const std::optional<KeysByOrganisation>& aKeys)
  {
    for (int i = 1; i <= 3; i++) {
      wire::Change change;
      auto& info = *change.mutable_upstream()->mutable_upstream();
      info.set_server("server-" + std::to_string(i));
      info.set_database("db");
      info.set_zone("zone-" + std::to_string(i));
      info.set_slots(4);
      Apply(std::move(change));
    }
    wire::Change primary;
    primary.mutable_primary()->set_database("db");
    primary.mutable_primary()->set_server("server-1");
    primary.mutable_primary()->set_term(1);
    Apply(std::move(primary));
    catalog_.connectionLimits_["db"] = 39;
    for (const char* name : { "lessons", "aged", "notices" }) {
      CatalogDatabase database;
      database.name_ = name;
      database.group_ = "db";
      database.consistency_ = std::string(name) == "aged"
                                ? Consistency::BoundedStaleness
                                : Consistency::Primary;
      database.maxStaleness_ = 1500ms;
      database.statementLimit_ = 800ms;
      database.latencyTarget_ = 250ms;
      database.public_ = std::string(name) == "notices";
      catalog_.databases_[name] = database;
    }
    SetKeys(aKeys);
    Configure();
    Grant();
  }

  void Apply(wire::Change aChange)
  {
    aChange.set_index(++index_);
    state_.Apply(aChange);
  }

  void SetKeys(const std::optional<KeysByOrganisation>& aKeys)
  {
    catalog_.organisations_.reset();
    if (!aKeys) {
      return;
    }
    Organisations organisations;
    for (const auto& [id, keys] : *aKeys) {
      organisations.Add(id, {});
      for (const auto& key : keys) {
        organisations.AddKey(id, HashKey(key));
      }
    }
    catalog_.organisations_ = std::move(organisations);
  }

  // Puts the next version of the configuration in force.
  void Configure()
  {
    catalog_.version_++;
    Apply({});
    Step(FleetOrCatalogChanged{ BuildFleetView(state_, {}, true),
                                std::make_shared<Catalog>(catalog_) });
  }

  void Configure(const std::optional<KeysByOrganisation>& aKeys)
  {
    SetKeys(aKeys);
    Configure();
  }

  // The leader answers, and has applied `aAhead` more changes than the view.
  void Grant(std::uint64_t aAhead = 0)
  {
    wire::LeaseGrant grant;
    grant.set_holders(kHolders);
    grant.set_applied(index_ + aAhead);
    grant.set_sent_us(now_.time_since_epoch().count());
    grant.set_incarnation(1);
    auto& lease = *grant.add_leases();
    lease.set_database("db");
    lease.set_server("server-1");
    lease.set_term(1);
    lease.set_duration_us(Duration(60s).count());
    grant.set_list_id(kListId);
    Step(LeaseGrantReceived{ grant });
  }

  void Step(GatewayEvent aEvent)
  {
    const std::size_t before = actions_.size();
    gateway_.Step(std::move(aEvent), now_, actions_);
    for (std::size_t i = before; i < actions_.size(); i++) {
      if (const auto* send = std::get_if<SendServerCommand>(&actions_[i])) {
        answers_.try_emplace(send->link_, std::to_string(send->link_))
          .first->second.Receive(send->command_);
      }
    }
  }

  // Advances the time, with a tick each 10 ms.
  void Wait(Duration aDuration)
  {
    for (const Time end = now_ + aDuration; now_ < end;) {
      now_ += std::min<Duration>(10ms, end - now_);
      Step(GatewayTick{});
    }
  }

  void OpenSession(SessionId aSession,
                   const std::string& aDatabase,
                   const std::string& aKey)
  {
    Step(SessionOpenRequested{ aSession, aDatabase, HashKey(aKey) });
  }

  void Send(SessionId aSession, StatementKind aKind = StatementKind::Read)
  {
    SessionStatement statement;
    statement.kind_ = aKind;
    statement.id_ = "q" + std::to_string(aSession);
    Step(SessionStatementReceived{ aSession, statement });
  }

  // Tells the gateway that the link is open.
  void Open(ServerLinkId aLink) { Step(ServerLinkOpened{ aLink }); }

  // Answers the oldest command on the link, after which the transaction has to
  // be in the state.
  void Answer(ServerLinkId aLink,
              TransactionState aState = TransactionState::Idle)
  {
    REQUIRE(answers_.contains(aLink));
    REQUIRE_FALSE(answers_.at(aLink).IsIdle());
    ServerAnswer answer = answers_.at(aLink).AnswerOldest();
    answer.point_ = { 1, 1 };
    REQUIRE(answer.state_ == aState);
    Step(ServerLinkAnswered{ aLink, answer });
  }

  // Returns the links that were opened for the organisation, in their order.
  std::vector<ServerLinkId> LinksOf(const OrganisationId& aOrganisation) const
  {
    std::vector<ServerLinkId> links;
    for (const auto& action : actions_) {
      const auto* open = std::get_if<OpenServerLink>(&action);
      if (open != nullptr && open->organisation_ == aOrganisation) {
        links.push_back(open->link_);
      }
    }
    return links;
  }

  bool IsClosed(ServerLinkId aLink) const
  {
    return std::any_of(
      actions_.begin(), actions_.end(), [&](const auto& aAction) {
        const auto* close = std::get_if<CloseServerLink>(&aAction);
        return close != nullptr && close->link_ == aLink;
      });
  }

  bool IsSessionClosed(SessionId aSession) const
  {
    return std::any_of(
      actions_.begin(), actions_.end(), [&](const auto& aAction) {
        const auto* close = std::get_if<CloseSession>(&aAction);
        return close != nullptr && close->session_ == aSession;
      });
  }

  // Returns the replies that the session got.
  std::vector<SessionReply> RepliesTo(SessionId aSession) const
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

  std::size_t CountRollbacks(ServerLinkId aLink) const
  {
    const auto commands = CommandsOn(aLink);
    return static_cast<std::size_t>(
      std::count_if(commands.begin(), commands.end(), [](const auto& aCommand) {
        return aCommand.kind_ == CommandKind::Rollback;
      }));
  }

  // Begins a transaction of the session and runs a statement in it.
  ServerLinkId OpenTransaction(SessionId aSession,
                               const OrganisationId& aOrganisation)
  {
    Send(aSession, StatementKind::Begin);
    Send(aSession, StatementKind::Write);
    const auto links = LinksOf(aOrganisation);
    REQUIRE_FALSE(links.empty());
    Open(links.back());
    Answer(links.back(), TransactionState::Open); // the begin
    Answer(links.back(), TransactionState::Open);
    return links.back();
  }

  // Returns the commands that were sent over the link.
  std::vector<ServerCommand> CommandsOn(ServerLinkId aLink) const
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

  // Opens a link for the session's statement, and leaves it idle.
  ServerLinkId OpenIdleLink(SessionId aSession,
                            const OrganisationId& aOrganisation)
  {
    Send(aSession);
    const auto links = LinksOf(aOrganisation);
    REQUIRE_FALSE(links.empty());
    Open(links.back());
    Answer(links.back());
    return links.back();
  }

  // Returns the error with which the session was refused, if it was.
  std::optional<SessionError> Refusal(SessionId aSession) const
  {
    for (const auto& action : actions_) {
      const auto* refuse = std::get_if<RefuseSession>(&action);
      if (refuse != nullptr && refuse->session_ == aSession) {
        return refuse->error_;
      }
    }
    return std::nullopt;
  }

  bool IsAccepted(SessionId aSession) const
  {
    return std::any_of(
      actions_.begin(), actions_.end(), [&](const auto& aAction) {
        const auto* accept = std::get_if<AcceptSession>(&aAction);
        return accept != nullptr && accept->session_ == aSession;
      });
  }

  // Text of the last log line of the event; empty if there is none.
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
};

const KeysByOrganisation kTwoOrganisations = { { "north", { "k1", "k2" } },
                                               { "south", { "k3" } } };

} // namespace

TEST_CASE("Sessions are opened with the key of an organisation")
{
  SECTION("without organisations, no key is looked at")
  {
    OrganisationFixture fixture(std::nullopt);
    fixture.OpenSession(1, "lessons", "k9");
    CHECK(fixture.IsAccepted(1));
  }

  SECTION("a key has to be listed, except for a public database")
  {
    OrganisationFixture fixture(kTwoOrganisations);
    fixture.OpenSession(1, "lessons", "k2");
    fixture.OpenSession(2, "lessons", "k9");
    fixture.OpenSession(3, "lessons", "");
    fixture.OpenSession(4, "notices", "");
    fixture.OpenSession(5, "unknown", "k1");
    CHECK(fixture.IsAccepted(1));
    CHECK(fixture.Refusal(2) == SessionError::UnknownKey);
    CHECK(fixture.Refusal(3) == SessionError::UnknownKey);
    CHECK(fixture.IsAccepted(4));
    CHECK(fixture.Refusal(5) == SessionError::NoDatabase);
  }

  SECTION("an empty list of organisations admits no key")
  {
    OrganisationFixture fixture(KeysByOrganisation{});
    fixture.OpenSession(1, "lessons", "k1");
    CHECK(fixture.Refusal(1) == SessionError::UnknownKey);
  }

  SECTION("a refusal is logged with the key's fingerprint")
  {
    OrganisationFixture fixture(kTwoOrganisations);
    fixture.OpenSession(1, "lessons", "k9");
    const std::string line = fixture.LastLine(Event::SessionRefused);
    CHECK(line.find("reason=unknown_key") != std::string::npos);
    CHECK(line.find("key=" + MakeFingerprint(HashKey("k9"))) !=
          std::string::npos);
  }

  SECTION("a session that waits for the databases keeps its key")
  {
    Gateway gateway(GatewayConfig{});
    GatewayActions actions;
    gateway.Step(SessionOpenRequested{ 1, "lessons", HashKey("k1") },
                 Time(1000s),
                 actions);
    OrganisationFixture fixture(kTwoOrganisations);
    gateway.Step(
      FleetOrCatalogChanged{ BuildFleetView(fixture.state_, {}, true),
                             std::make_shared<Catalog>(fixture.catalog_) },
      Time(1000s),
      actions);
    wire::LeaseGrant grant;
    grant.set_applied(fixture.index_);
    grant.set_sent_us(Time(1000s).time_since_epoch().count());
    grant.set_incarnation(1);
    gateway.Step(LeaseGrantReceived{ grant }, Time(1000s), actions);
    gateway.Step(GatewayTick{}, Time(1000s), actions);
    CHECK(std::holds_alternative<AcceptSession>(actions.front()));
  }
}

TEST_CASE("A configuration that may be outdated refuses nobody for good")
{
  // A configuration was acknowledged, and 4.4 s later a VM that had lost touch
  // with the leader refused a database that it added.
  OrganisationFixture fixture(kTwoOrganisations);

  SECTION("no grant for more than 2 s")
  {
    fixture.Wait(1900ms);
    fixture.OpenSession(1, "lessons", "k9");
    fixture.OpenSession(2, "unknown", "k1");
    CHECK(fixture.Refusal(1) == SessionError::UnknownKey);
    CHECK(fixture.Refusal(2) == SessionError::NoDatabase);
    fixture.Wait(200ms);
    fixture.OpenSession(3, "lessons", "k9");
    fixture.OpenSession(4, "unknown", "k1");
    CHECK(fixture.Refusal(3) == SessionError::Overloaded);
    CHECK(fixture.Refusal(4) == SessionError::Overloaded);
    CHECK(fixture.LastLine(Event::SessionRefused).find("stale_catalog") !=
          std::string::npos);
    fixture.Grant();
    fixture.OpenSession(5, "lessons", "k9");
    CHECK(fixture.Refusal(5) == SessionError::UnknownKey);
  }

  SECTION("grants arrive, but the changes that they name do not")
  {
    for (int i = 0; i < 15; i++) {
      fixture.Wait(150ms);
      fixture.Grant(1);
    }
    fixture.OpenSession(1, "lessons", "k9");
    CHECK(fixture.Refusal(1) == SessionError::Overloaded);
  }

  SECTION("an older configuration does not replace a newer one")
  {
    auto older = std::make_shared<Catalog>(fixture.catalog_);
    fixture.Configure(KeysByOrganisation{ { "south", { "k3" } } });
    fixture.Step(
      FleetOrCatalogChanged{ BuildFleetView(fixture.state_, {}, true), older });
    fixture.Grant();
    fixture.OpenSession(1, "lessons", "k1");
    CHECK(fixture.Refusal(1) == SessionError::UnknownKey);
  }

  SECTION("a database that a newer configuration may have added again")
  {
    fixture.OpenSession(1, "aged", "k1");
    fixture.catalog_.databases_.erase("aged");
    fixture.Configure();
    fixture.Wait(2100ms);
    SessionStatement statement;
    statement.kind_ = StatementKind::Read;
    fixture.Step(SessionStatementReceived{ 1, statement });
    const auto* reply = std::get_if<SendSessionReply>(&fixture.actions_.back());
    REQUIRE(reply != nullptr);
    CHECK(reply->reply_.error_ == SessionError::Overloaded);
  }
}

TEST_CASE("Which link a statement of an organisation gets")
{
  SECTION("an idle one of its own before all others")
  {
    LinkSituation situation;
    situation.hasOwnIdle_ = true;
    situation.canOpen_ = true;
    situation.hasPlace_ = true;
    CHECK(DecideLink(situation) == LinkVerdict::Use);
  }

  SECTION("a new one while there is a place, otherwise that of another one")
  {
    LinkSituation situation;
    situation.canOpen_ = true;
    situation.hasPlace_ = true;
    situation.hasReplaceable_ = true;
    CHECK(DecideLink(situation) == LinkVerdict::Open);
    situation.hasPlace_ = false;
    CHECK(DecideLink(situation) == LinkVerdict::Replace);
    situation.hasReplaceable_ = false;
    CHECK(DecideLink(situation) == LinkVerdict::Wait);
  }

  SECTION("no idle link is closed for a statement that can't run now")
  {
    LinkSituation situation;
    situation.hasReplaceable_ = true;
    CHECK(DecideLink(situation) == LinkVerdict::Wait);
  }

  SECTION("not more than one is opened for one statement")
  {
    LinkSituation situation;
    situation.canOpen_ = true;
    situation.hasPlace_ = true;
    situation.ownOpening_ = 1;
    CHECK(DecideLink(situation) == LinkVerdict::Wait);
    situation.ownWaiting_ = 2;
    CHECK(DecideLink(situation) == LinkVerdict::Open);
  }

  SECTION("a link of its own that is about to be idle is waited for")
  {
    LinkSituation situation;
    situation.canOpen_ = true;
    situation.hasReplaceable_ = true;
    situation.hasOwnRunning_ = true;
    CHECK(DecideLink(situation) == LinkVerdict::Wait);
    situation.waited_ = kMaxOwnLinkWait;
    CHECK(DecideLink(situation) == LinkVerdict::Replace);
  }

  SECTION("a link is kept for its organisation's waiting statements for a time")
  {
    CHECK(IsReplaceable(false, 0ms));
    CHECK_FALSE(IsReplaceable(true, kMinLinkTurn - 1ms));
    CHECK(IsReplaceable(true, kMinLinkTurn));
  }

  SECTION("what remains of the links is divided at random")
  {
    CHECK(DivideLinks(59, 33, 0.0) == 2);
    CHECK(DivideLinks(59, 33, 0.9) == 1);
    CHECK(DivideLinks(20, 33, 0.9) == 1);
    CHECK(DivideLinks(66, 33, 0.0) == 2);
  }
}

TEST_CASE("Statements run over links of their session's organisation")
{
  OrganisationFixture fixture(KeysByOrganisation{
    { "north", { "k1" } }, { "south", { "k2" } }, { "west", { "k3" } } });
  for (const SessionId id : { 1, 2, 3 }) {
    fixture.OpenSession(id, "lessons", "k1");
  }
  for (const SessionId id : { 4, 5 }) {
    fixture.OpenSession(id, "lessons", "k2");
  }
  fixture.OpenSession(6, "lessons", "k3");
  fixture.OpenSession(7, "notices", "");

  SECTION("an idle link of another organisation is replaced at once")
  {
    const ServerLinkId north = fixture.OpenIdleLink(1, "north");
    const ServerLinkId south = fixture.OpenIdleLink(4, "south");
    CHECK(fixture.IsClosed(north));
    CHECK(fixture.CommandsOn(north).size() == 1);
    CHECK(fixture.CommandsOn(south).size() == 1);
    CHECK(fixture.gateway_.Counters().linksReplaced_ == 1);
    fixture.Send(5);
    CHECK(fixture.CommandsOn(south).size() == 2);
  }

  // Guards against an explanation by the links of all organisations.
  SECTION("where a statement would go is explained for its organisation")
  {
    using Outcome = Explanation::Outcome;
    const auto explain = [&](const std::string& aDatabase,
                             const OrganisationId& aOrganisation) {
      return fixture.gateway_.Explain(
        { aDatabase, StatementKind::Read, aOrganisation }, fixture.now_);
    };
    const auto before = explain("lessons", "south");
    REQUIRE(before.servers_.size() == 3);
    CHECK(before.servers_[0].link_ == LinkVerdict::Open);
    const ServerLinkId north = fixture.OpenIdleLink(1, "north");
    const auto own = explain("lessons", "north");
    CHECK(own.outcome_ == Outcome::Runs);
    CHECK(own.servers_[0].link_ == LinkVerdict::Use);
    CHECK_FALSE(own.usage_.has_value()); // it has no limit
    const auto other = explain("lessons", "south");
    CHECK(other.outcome_ == Outcome::Waits);
    CHECK(other.server_ == "server-1");
    CHECK(other.reason_.find("replaced") != std::string::npos);
    CHECK(other.servers_[0].link_ == LinkVerdict::Replace);
    CHECK(other.servers_[0].cost_.value() - own.servers_[0].cost_.value() ==
          27ms);
    CHECK(explain("notices", "north").servers_[0].link_ ==
          LinkVerdict::Replace);
    CHECK(explain("lessons", "east").outcome_ == Outcome::Refused);
    CHECK_FALSE(fixture.IsClosed(north));
    // While the link runs a statement, the other organisation waits for it.
    fixture.Send(1);
    const auto busy = explain("lessons", "south");
    CHECK(busy.server_.empty());
    CHECK(busy.servers_[0].link_ == LinkVerdict::Wait);
    CHECK_FALSE(busy.servers_[0].obstacle_.empty());
  }

  // Guards against an explanation that takes waiting statements of the
  // organisation for the one that is explained.
  SECTION("a statement behind others is explained as one more")
  {
    wire::Change change; // slots for two links that are being opened
    auto& info = *change.mutable_upstream()->mutable_upstream();
    info.set_server("server-1");
    info.set_database("db");
    info.set_zone("zone-1");
    info.set_slots(33);
    fixture.Apply(std::move(change));
    fixture.catalog_.connectionLimits_["db"] = 78;
    fixture.Configure();
    fixture.Send(1); // a link is opened for it
    const auto explanation = fixture.gateway_.Explain(
      { "lessons", StatementKind::Read, "north" }, fixture.now_);
    CHECK(explanation.servers_.at(0).link_ == LinkVerdict::Open);
    fixture.Send(2);
    CHECK(fixture.LinksOf("north").size() == 2);
  }

  SECTION("a public database has links of no organisation")
  {
    const ServerLinkId link = fixture.OpenIdleLink(7, "");
    CHECK(fixture.CommandsOn(link).size() == 1);
    fixture.Send(1);
    CHECK(fixture.IsClosed(link));
  }

  SECTION("one that runs a statement is waited for")
  {
    fixture.Send(1);
    const ServerLinkId north = fixture.LinksOf("north").at(0);
    fixture.Open(north);
    fixture.Send(4);
    fixture.Wait(30ms);
    CHECK(fixture.LinksOf("south").empty());
    fixture.Answer(north);
    CHECK(fixture.LinksOf("south").size() == 1);
  }

  SECTION("waiting statements of one organisation run one after another before "
          "its link is replaced, but not for ever")
  {
    // Without that, a link would be opened for each statement.
    fixture.Send(1);
    const ServerLinkId north = fixture.LinksOf("north").at(0);
    fixture.Open(north);
    fixture.Send(4);
    fixture.Wait(10ms);
    fixture.Send(2);
    fixture.Answer(north);
    CHECK(fixture.LinksOf("south").empty());
    CHECK(fixture.CommandsOn(north).size() == 2);
    fixture.Send(3);
    fixture.Wait(40ms);
    fixture.Answer(north);
    CHECK(fixture.LinksOf("south").size() == 1);
    CHECK(fixture.IsClosed(north));
    CHECK(fixture.CommandsOn(north).size() == 2);
  }

  SECTION("a link that was opened for a statement is not given to another "
          "organisation before it has run")
  {
    fixture.Send(1);
    const ServerLinkId north = fixture.LinksOf("north").at(0);
    fixture.Send(4);
    fixture.Wait(30ms); // the opening takes its time
    fixture.Open(north);
    CHECK_FALSE(fixture.IsClosed(north));
    CHECK(fixture.CommandsOn(north).size() == 1);
  }

  SECTION("only one link is opened for one statement")
  {
    fixture.Send(1);
    fixture.Wait(90ms);
    CHECK(fixture.LinksOf("north").size() == 1);
  }

  SECTION("an idle transaction does not hold up another organisation")
  {
    fixture.Send(1, StatementKind::Begin);
    fixture.Send(1, StatementKind::Write);
    const ServerLinkId north = fixture.LinksOf("north").at(0);
    fixture.Open(north);
    fixture.Answer(north, TransactionState::Open); // the begin
    fixture.Answer(north, TransactionState::Open);
    const ServerLinkId south = fixture.OpenIdleLink(4, "south");
    CHECK_FALSE(fixture.IsClosed(north));
    // The second link changes hands; the transaction goes on.
    fixture.OpenIdleLink(6, "west");
    CHECK(fixture.IsClosed(south));
    fixture.Send(1, StatementKind::Commit);
    CHECK(fixture.CommandsOn(north).size() == 3);
  }

  SECTION("the least recently used idle link is replaced")
  {
    fixture.catalog_.connectionLimits_["db"] = 78;
    fixture.Configure();
    const ServerLinkId north = fixture.OpenIdleLink(1, "north");
    const ServerLinkId south = fixture.OpenIdleLink(4, "south");
    CHECK_FALSE(fixture.IsClosed(north));
    fixture.Send(1);
    fixture.Answer(north);
    fixture.OpenIdleLink(6, "west");
    CHECK(fixture.IsClosed(south));
    CHECK_FALSE(fixture.IsClosed(north));
  }
}

TEST_CASE("A withdrawn key ends its sessions")
{
  OrganisationFixture fixture(
    KeysByOrganisation{ { "north", { "k1", "k2" } }, { "south", { "k3" } } });
  for (const SessionId id : { 1, 2 }) {
    fixture.OpenSession(id, "lessons", "k1");
  }
  fixture.OpenSession(3, "lessons", "k2");
  fixture.OpenSession(4, "notices", "k1");
  const auto withdraw = [&] {
    fixture.Configure(
      KeysByOrganisation{ { "north", { "k2" } }, { "south", { "k3" } } });
    fixture.Grant();
  };

  SECTION("idle sessions are closed, and no new one is opened")
  {
    withdraw();
    CHECK(fixture.IsSessionClosed(1));
    CHECK(fixture.IsSessionClosed(2));
    CHECK_FALSE(fixture.IsSessionClosed(3));
    CHECK_FALSE(fixture.IsSessionClosed(4)); // public
    fixture.OpenSession(5, "lessons", "k1");
    CHECK(fixture.Refusal(5) == SessionError::UnknownKey);
    const std::string line = fixture.LastLine(Event::KeyRevoked);
    CHECK(line.find("key=" + MakeFingerprint(HashKey("k1"))) !=
          std::string::npos);
    CHECK(line.find("sessions=2") != std::string::npos);
    CHECK(fixture.gateway_.Counters().sessionsRevoked_ == 2);
  }

  SECTION("a running statement is answered before its session is closed")
  {
    fixture.Send(1);
    const ServerLinkId link = fixture.LinksOf("north").at(0);
    fixture.Open(link);
    fixture.Send(1); // not sent yet: the session runs one at a time
    withdraw();
    CHECK_FALSE(fixture.IsSessionClosed(1));
    fixture.Answer(link);
    REQUIRE(fixture.RepliesTo(1).size() == 2);
    CHECK_FALSE(fixture.RepliesTo(1)[0].error_.has_value());
    CHECK(fixture.RepliesTo(1)[1].error_ == SessionError::UnknownKey);
    CHECK(fixture.IsSessionClosed(1));
    CHECK(fixture.CommandsOn(link).size() == 1);
  }

  SECTION("a running statement that the server refuses is not sent again")
  {
    fixture.Send(1);
    const ServerLinkId link = fixture.LinksOf("north").at(0);
    fixture.Open(link);
    withdraw();
    fixture.Step(ServerLinkAnswered{
      link, fixture.answers_.at(link).AnswerOldest(SessionError::Overloaded) });
    fixture.Wait(100ms);
    REQUIRE(fixture.RepliesTo(1).size() == 1);
    CHECK(fixture.RepliesTo(1)[0].error_ == SessionError::UnknownKey);
    CHECK(fixture.IsSessionClosed(1));
    CHECK(fixture.CommandsOn(link).size() == 1);
  }

  SECTION("a running statement whose server never answers")
  {
    fixture.Send(1);
    fixture.Open(fixture.LinksOf("north").at(0));
    withdraw();
    fixture.Wait(1s);
    CHECK(fixture.RepliesTo(1).size() == 1);
    CHECK(fixture.IsSessionClosed(1));
  }

  SECTION("a statement that waits is refused")
  {
    fixture.Send(1);
    const ServerLinkId link = fixture.LinksOf("north").at(0);

    SECTION("for its link to be opened") {}
    SECTION("for a running one of another session")
    {
      fixture.Send(3);
      fixture.Open(link);
      fixture.Send(2);
      withdraw();
      REQUIRE(fixture.RepliesTo(2).size() == 1);
      CHECK(fixture.RepliesTo(2)[0].error_ == SessionError::UnknownKey);
      CHECK(fixture.IsSessionClosed(2));
      fixture.Answer(link);
      CHECK_FALSE(fixture.RepliesTo(1)[0].error_.has_value());
      return;
    }
    withdraw();
    REQUIRE(fixture.RepliesTo(1).size() == 1);
    CHECK(fixture.RepliesTo(1)[0].error_ == SessionError::UnknownKey);
    CHECK(fixture.IsSessionClosed(1));
    fixture.Open(link);
    CHECK(fixture.CommandsOn(link).empty());
    fixture.Send(3); // of the same organisation, with another key
    CHECK(fixture.CommandsOn(link).size() == 1);
  }

  SECTION("a statement whose link is being set up is refused")
  {
    SessionStatement set;
    set.kind_ = StatementKind::Set;
    set.name_ = "a";
    fixture.Step(SessionStatementReceived{ 1, set });
    fixture.Send(1);
    const ServerLinkId link = fixture.LinksOf("north").at(0);
    fixture.Open(link);
    REQUIRE(fixture.CommandsOn(link).size() == 1); // the value
    withdraw();
    CHECK(fixture.RepliesTo(1).back().error_ == SessionError::UnknownKey);
    CHECK(fixture.IsSessionClosed(1));
    fixture.Answer(link);
    CHECK(fixture.CommandsOn(link).size() == 1);
    fixture.Send(3);
    CHECK(fixture.CommandsOn(link).back().kind_ == CommandKind::Reset);
    fixture.Answer(link);
    CHECK(fixture.CommandsOn(link).back().kind_ == CommandKind::Forward);
  }

  SECTION("a transaction that is being begun is rolled back")
  {
    fixture.Send(1, StatementKind::Begin);
    fixture.Send(1, StatementKind::Write);
    const ServerLinkId link = fixture.LinksOf("north").at(0);
    fixture.Open(link);
    withdraw();
    CHECK(fixture.RepliesTo(1).back().error_ == SessionError::UnknownKey);
    CHECK(fixture.IsSessionClosed(1));
    fixture.Answer(link, TransactionState::Open);
    CHECK(fixture.CountRollbacks(link) == 1);
    CHECK(fixture.CommandsOn(link).size() == 2);
  }

  SECTION("an idle transaction is rolled back at once")
  {
    const ServerLinkId link = fixture.OpenTransaction(1, "north");
    withdraw();
    CHECK(fixture.CountRollbacks(link) == 1);
    CHECK(fixture.IsSessionClosed(1));
    fixture.Answer(link);
    fixture.Send(3);
    CHECK(fixture.CommandsOn(link).back().kind_ == CommandKind::Forward);
  }

  SECTION("a transaction is rolled back after the answer of its statement")
  {
    const ServerLinkId link = fixture.OpenTransaction(1, "north");
    fixture.Send(1, StatementKind::Write);
    withdraw();
    CHECK(fixture.CountRollbacks(link) == 0);
    fixture.Answer(link, TransactionState::Open);
    CHECK_FALSE(fixture.RepliesTo(1).back().error_.has_value());
    CHECK(fixture.CountRollbacks(link) == 1);
    CHECK(fixture.IsSessionClosed(1));
  }

  SECTION("a commit that runs is acknowledged")
  {
    const ServerLinkId link = fixture.OpenTransaction(1, "north");
    fixture.Send(1, StatementKind::Commit);
    withdraw();
    fixture.Answer(link);
    CHECK_FALSE(fixture.RepliesTo(1).back().error_.has_value());
    CHECK(fixture.IsSessionClosed(1));
  }

  SECTION("an organisation that is removed loses its idle links")
  {
    const ServerLinkId link = fixture.OpenIdleLink(1, "north");
    fixture.Configure(KeysByOrganisation{ { "south", { "k3" } } });
    CHECK(fixture.IsClosed(link));
    CHECK(fixture.IsSessionClosed(3));
  }

  SECTION("a link that runs a statement or opens for a removed organisation is "
          "closed afterwards")
  {
    fixture.Send(1);
    const ServerLinkId link = fixture.LinksOf("north").at(0);
    const bool isOpening = GENERATE(true, false);
    if (!isOpening) {
      fixture.Open(link);
    }
    fixture.Configure(KeysByOrganisation{ { "south", { "k3" } } });
    CHECK_FALSE(fixture.IsClosed(link));
    if (isOpening) {
      fixture.Open(link);
    } else {
      fixture.Answer(link);
      CHECK_FALSE(fixture.RepliesTo(1).at(0).error_.has_value());
    }
    CHECK(fixture.IsClosed(link));
  }

  SECTION("a key of another organisation ends the sessions of the former one")
  {
    fixture.Send(1);
    fixture.Configure(
      KeysByOrganisation{ { "north", { "k2" } }, { "south", { "k3", "k1" } } });
    // The key is valid: its caller may try again at once.
    CHECK(fixture.RepliesTo(1).at(0).error_ == SessionError::Overloaded);
    CHECK(fixture.IsSessionClosed(1));
    CHECK(fixture.IsSessionClosed(2));
    CHECK(fixture.LastLine(Event::KeyRevoked).find("reason=moved") !=
          std::string::npos);
    fixture.OpenSession(5, "lessons", "k1");
    fixture.Open(fixture.LinksOf("north").at(0));
    fixture.Send(5);
    CHECK(fixture.LinksOf("south").size() == 1);
  }

  SECTION("a key stays withdrawn for a VM that was suspended meanwhile")
  {
    // Its configuration is the old one until it hears of the new one.
    const ServerLinkId link = fixture.OpenTransaction(2, "north");
    const std::size_t commands = fixture.CommandsOn(link).size();
    fixture.now_ += 10s;
    fixture.Send(1);
    fixture.Send(2, StatementKind::Commit);
    fixture.OpenSession(5, "lessons", "k1");
    CHECK_FALSE(fixture.gateway_.IsReady());
    fixture.Wait(50ms);
    CHECK(fixture.CommandsOn(link).size() <= commands + 1);
    CHECK(fixture.CountRollbacks(link) ==
          fixture.CommandsOn(link).size() - commands);
    CHECK_FALSE(fixture.IsAccepted(5));
    withdraw();
    fixture.Wait(50ms);
    CHECK(fixture.gateway_.IsReady());
    CHECK(fixture.Refusal(5) == SessionError::UnknownKey);
    CHECK(fixture.RepliesTo(1).back().error_ == SessionError::UnknownKey);
  }

  SECTION("an unchanged configuration goes on after a suspension")
  {
    fixture.now_ += 10s;
    fixture.Send(1);
    CHECK(fixture.LinksOf("north").empty());
    fixture.Grant();
    fixture.Wait(10ms);
    CHECK(fixture.LinksOf("north").size() == 1);
  }
}

TEST_CASE("A database becomes public, or ceases to be")
{
  OrganisationFixture fixture(kTwoOrganisations);
  fixture.OpenSession(1, "lessons", "k1");
  fixture.OpenSession(2, "notices", "k1");
  fixture.OpenSession(3, "notices", "");
  const auto setPublic = [&](const char* aDatabase, bool aPublic) {
    fixture.catalog_.databases_[aDatabase].public_ = aPublic;
    fixture.Configure();
  };

  SECTION("sessions without a key are closed, the others get its organisation")
  {
    const ServerLinkId link = fixture.OpenTransaction(2, "");
    setPublic("notices", false);
    CHECK(fixture.IsSessionClosed(3));
    CHECK_FALSE(fixture.IsSessionClosed(2));
    CHECK(fixture.CountRollbacks(link) == 1);
    fixture.Answer(link);
    fixture.Send(2, StatementKind::Commit);
    CHECK(fixture.RepliesTo(2).back().error_ == SessionError::Aborted);
    fixture.OpenIdleLink(2, "north");
  }

  SECTION("a statement that runs in a transaction is answered")
  {
    const ServerLinkId link = fixture.OpenTransaction(2, "");
    fixture.Send(2, StatementKind::Write);
    setPublic("notices", false);
    fixture.Answer(link, TransactionState::Open);
    CHECK_FALSE(fixture.RepliesTo(2).back().error_.has_value());
    CHECK(fixture.CountRollbacks(link) == 1);
    CHECK_FALSE(fixture.IsSessionClosed(2));
  }

  SECTION("a waiting statement runs on a link of the new organisation")
  {
    fixture.Send(2);
    const ServerLinkId link = fixture.LinksOf("").at(0);
    setPublic("notices", false);
    fixture.Open(link);
    CHECK(fixture.CommandsOn(link).empty());
    fixture.Wait(20ms);
    CHECK(fixture.LinksOf("north").size() == 1);
  }

  SECTION("a transaction goes on when its database becomes public")
  {
    const ServerLinkId link = fixture.OpenTransaction(1, "north");
    setPublic("lessons", true);
    fixture.Send(1, StatementKind::Commit);
    fixture.Answer(link);
    CHECK_FALSE(fixture.RepliesTo(1).back().error_.has_value());
    fixture.OpenIdleLink(1, "");
  }

  SECTION("organisations come into use, and are given up")
  {
    fixture.Configure(std::nullopt);
    fixture.OpenSession(4, "lessons", "k9");
    fixture.Send(1);
    CHECK(fixture.LinksOf("").size() == 1);
    fixture.Configure(kTwoOrganisations);
    CHECK(fixture.IsSessionClosed(4));
    CHECK_FALSE(fixture.IsSessionClosed(1));
    fixture.Open(fixture.LinksOf("").at(0));
    CHECK(fixture.CommandsOn(fixture.LinksOf("").at(0)).empty());
    fixture.Wait(20ms);
    CHECK(fixture.LinksOf("north").size() == 1);
  }
}

TEST_CASE("84 organisations in front of 33 VMs")
{
  OrganisationWorldConfig config;
  config.gateways_ = 33;
  config.organisations_ = 84;
  config.sessionsPerVm_ = 84;
  config.statementsPerSecond_ = 3.5;
  const auto run = [](const OrganisationWorldConfig& aConfig) {
    OrganisationWorld world(aConfig);
    world.Run(10s);
    return world.Figures();
  };

  SECTION("no more links than the connections allow, whatever the mixture")
  {
    for (const std::size_t atVm : { 1U, 2U, 4U, 84U }) {
      INFO(atVm << " organisations at a VM");
      config.organisationsAtVm_ = atVm;
      const auto figures = run(config);
      CHECK(figures.misused_ == 0);
      CHECK(figures.mostLinks_ <= 2);
      CHECK(figures.connectionLimits_ == 0);
      CHECK(figures.refused_ == 0);
    }
  }

  SECTION("a few organisations at a VM do not open a link for each statement")
  {
    config.organisationsAtVm_ = 4;
    const auto figures = run(config);
    CHECK(figures.opened_ * 3 < figures.done_);
  }

  SECTION("an overloaded primary is not kept busy by the opening of links")
  {
    // While openings did not count against the VM's slots, 1.8 links were
    // opened for each statement, and less than half as many were done as
    // without organisations.
    config.organisationsAtVm_ = 4;
    config.primaryOnly_ = true;
    config.statementsPerSecond_ = 7;
    const auto figures = run(config);
    config.organisations_ = 0;
    const auto without = run(config);
    CHECK(figures.misused_ == 0);
    CHECK(figures.done_ * 2 > without.done_);
    CHECK(figures.opened_ < figures.done_);
  }

  SECTION("a single organisation is served as if there were none")
  {
    config.organisationsAtVm_ = 1;
    const auto figures = run(config);
    config.organisations_ = 0;
    const auto without = run(config);
    CHECK(figures.done_ == without.done_);
  }
}

TEST_CASE("Waiting statements are sent in a fair order")
{
  using Entry = FairOrder::Entry;
  const auto arrange = [](const FairOrder& aOrder,
                          std::vector<Entry> aEntries) {
    aOrder.Arrange(aEntries);
    std::vector<std::uint64_t> ids;
    ids.reserve(aEntries.size());
    for (const auto& entry : aEntries) {
      ids.push_back(entry.id_);
    }
    return ids;
  };
  FairOrder order;

  SECTION("organisations take turns, each in the order of arrival")
  {
    CHECK(arrange(order,
                  { { 1, "a", 1 },
                    { 1, "a", 2 },
                    { 1, "a", 3 },
                    { 1, "b", 4 },
                    { 1, "c", 5 } }) ==
          std::vector<std::uint64_t>{ 1, 4, 5, 2, 3 });
  }

  SECTION("rank comes first")
  {
    CHECK(
      arrange(order,
              { { 0, "a", 1 }, { 0, "a", 2 }, { 1, "b", 3 }, { 1, "a", 4 } }) ==
      std::vector<std::uint64_t>{ 1, 2, 3, 4 });
  }

  SECTION("who was served last waits for the others")
  {
    order.RecordStart(1, "a");
    CHECK(arrange(order, { { 1, "a", 1 }, { 1, "b", 2 } }) ==
          std::vector<std::uint64_t>{ 2, 1 });
    order.RecordStart(1, "b");
    CHECK(arrange(order, { { 1, "a", 1 }, { 1, "b", 2 } }) ==
          std::vector<std::uint64_t>{ 1, 2 });
  }

  SECTION("an organisation alone is not charged for it later")
  {
    for (int i = 0; i < 100; i++) {
      order.RecordStart(1, "a");
    }
    CHECK(arrange(order, { { 1, "a", 1 }, { 1, "b", 2 }, { 1, "b", 3 } }) ==
          std::vector<std::uint64_t>{ 2, 1, 3 });
  }

  SECTION("an organisation that was away gains no credit")
  {
    order.RecordStart(1, "b");
    for (int i = 0; i < 100; i++) {
      order.RecordStart(1, "a");
    }
    // At most one statement more than the other, which was served last.
    CHECK(
      arrange(order,
              { { 1, "b", 1 }, { 1, "b", 2 }, { 1, "b", 3 }, { 1, "a", 4 } }) ==
      std::vector<std::uint64_t>{ 1, 2, 4, 3 });
  }
}

TEST_CASE("An organisation that sends too much does not slow down the others")
{
  OrganisationWorldConfig config;
  config.holders_ = 1;
  config.sessionsPerVm_ = 120;
  config.statementsPerSecond_ = 0;
  config.shareByRank_ = { 0, 1, 0 };
  config.primaryOnly_ = true;
  OrganisationWorld world(config);
  // The even sessions, of "o0", always have a statement under way: more than
  // the server does within the time that they wait. Those of "o1" send 20 per
  // second, a tenth of what the server can do.
  std::size_t sent = 0;
  for (int i = 0; i < 1000; i++) {
    for (std::size_t session = 0; session < 120; session += 2) {
      world.Send(session);
    }
    if (i % 5 == 0) {
      sent +=
        world.Send(1 + 2 * (static_cast<std::size_t>(i) / 5 % 60)) ? 1 : 0;
    }
    world.Run(10ms);
  }
  auto figures = world.Figures();
  CHECK(sent == 200);
  CHECK(figures.doneBy_["o1"] + 5 >= sent);
  CHECK(figures.latencyBy_["o1"] < figures.doneBy_["o1"] * 100ms);
  // Whatever the others leave is used.
  CHECK(figures.done_ > 2000);
}

TEST_CASE("Keys are withdrawn at random")
{
  // A statement is never sent for a key that its VM knows to be withdrawn, nor
  // over a link of another organisation, and each gets exactly one answer.
  for (std::uint64_t seed = 1; seed <= 10; seed++) {
    INFO("seed " << seed);
    OrganisationWorldConfig config;
    config.seed_ = seed;
    config.gateways_ = 5;
    config.organisations_ = 8;
    config.organisationsAtVm_ = 4;
    config.sessionsPerVm_ = 24;
    config.statementsPerSecond_ = 40;
    config.primaryOnly_ = seed % 2 == 0;
    config.changing_ = true;
    OrganisationWorld world(config);
    world.Run(10s);
    const auto during = world.Figures();
    CHECK(during.misused_ == 0);
    CHECK(during.revoked_ == 0);
    CHECK(during.unanswered_ == 0);
    CHECK(during.done_ > 0);
    CHECK(during.closed_ > 0);
    CHECK(during.unauthorized_ > 0);
    // Once all keys are listed again, all callers are served.
    world.EndChanges();
    world.Run(2s);
    const auto before = world.Figures();
    world.Run(2s);
    const auto after = world.Figures();
    CHECK(after.unauthorized_ == before.unauthorized_);
    CHECK(after.closed_ == before.closed_);
    CHECK(after.unanswered_ == 0);
    for (const auto& [organisation, count] : after.doneBy_) {
      INFO(organisation);
      CHECK(count > before.doneBy_.at(organisation));
    }
  }
}

TEST_CASE("Keys do not leave the VM")
{
  // No log line, metric or byte to a server may contain a key.
  const std::string key = "SECRET-OF-NORTH";
  const std::string wrongKey = "SECRET-OF-NOBODY";
  const auto read = [](const std::string& aTenants) {
    return ReadConfigBody(
      R"({"version":1,"routes":[{"name":"r","host":"lessons",)"
      R"("pathPrefix":"/","routeType":"read_your_writes","timeoutMs":800,)"
      R"("targetLatencyMs":250,"priority":1,"service":"db","maxAttempts":2,)"
      R"("maxStalenessMs":1500}],"services":[{"name":"db","maxConns":70}],)"
      R"("tenants":)" +
      aTenants + "}");
  };
  OrganisationFixture fixture(KeysByOrganisation{ { "north", { key } } });
  fixture.catalog_.connectionLimits_["db"] = 78;
  fixture.Configure();
  const auto open = [&](SessionId aSession, const std::string& aLine) {
    LineCodec::CallerParser parser;
    parser.Push(aLine + "\r\n");
    const auto message = parser.Next();
    REQUIRE(message.has_value());
    fixture.OpenSession(aSession, message->database_, message->key_);
  };
  open(1, "OPEN lessons " + key);
  open(2, "OPEN lessons " + wrongKey);
  open(3, "OPEN unknown " + key);
  open(4, "OPEN notices " + key);
  REQUIRE(fixture.IsAccepted(1));
  const ServerLinkId north = fixture.OpenIdleLink(1, "north");
  fixture.Send(4);
  fixture.Send(1, StatementKind::Begin);
  fixture.Send(1, StatementKind::Write);
  fixture.Answer(north, TransactionState::Open); // the begin
  fixture.Answer(north, TransactionState::Open);
  fixture.Configure(KeysByOrganisation{ { "north", { "other" } } });

  std::string written = GatewayMetrics().Write(fixture.gateway_, fixture.now_);
  CHECK(
    written.find("jaydoor_sessions_refused_total{reason=\"unknown_key\"} 1") !=
    std::string::npos);
  std::size_t lines = 0;
  for (const auto& action : fixture.actions_) {
    if (const auto* line = std::get_if<WriteLogEvent>(&action)) {
      written += line->text_;
      lines++;
    } else if (const auto* link = std::get_if<OpenServerLink>(&action)) {
      LineCodec::WriteOpen(
        written, link->group_, link->server_, link->organisation_);
    } else if (const auto* send = std::get_if<SendServerCommand>(&action)) {
      LineCodec::WriteCommand(written, send->command_);
    } else if (const auto* request = std::get_if<SendLeaseRequest>(&action)) {
      written += request->request_.SerializeAsString();
    }
  }
  CHECK(lines > 3);
  CHECK(written.find("OPEN db north server-1") != std::string::npos);
  CHECK(written.find(key) == std::string::npos);
  CHECK(written.find(wrongKey) == std::string::npos);
  CHECK(written.find(MakeFingerprint(HashKey(key))) != std::string::npos);
  REQUIRE(read("[]").has_value());
  const auto refused = read(R"([{"name":"a","apiKeys":[")" + key +
                            R"("]},{"name":"b","apiKeys":[")" + key + "\"]}]");
  REQUIRE_FALSE(refused.has_value());
  CHECK(refused.error().message_.find(key) == std::string::npos);
}

TEST_CASE("Metrics name the ten organisations with the most sessions")
{
  KeysByOrganisation keys;
  for (int i = 10; i < 22; i++) {
    keys["o" + std::to_string(i)] = { "k" + std::to_string(i) };
  }
  OrganisationFixture fixture(keys);
  SessionId session = 1;
  for (int i = 10; i < 22; i++) {
    for (int j = 0; j < i; j++) {
      fixture.OpenSession(session++, "lessons", "k" + std::to_string(i));
    }
  }
  const std::string text =
    GatewayMetrics().Write(fixture.gateway_, fixture.now_);
  CHECK(text.find("jaydoor_organisation_sessions{organisation=\"o21\"} 21") !=
        std::string::npos);
  CHECK(text.find("organisation=\"o11\"") == std::string::npos);
  CHECK(text.find("jaydoor_organisation_sessions_others 21") !=
        std::string::npos);
  OrganisationFixture none(std::nullopt);
  CHECK(GatewayMetrics().Write(none.gateway_, none.now_).find("organisation") ==
        std::string::npos);
}

} // namespace jaydoor::tests

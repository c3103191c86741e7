// Tests of the queue of an upstream, session tokens and the statement router.

#include "traffic/RankQueue.h"
#include "traffic/Session.h"
#include "traffic/StatementRouter.h"
#include "traffic/UpstreamOwner.h"

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

constexpr Time kStart{ 100s };

QueuedItem
MakeItem(std::uint64_t aId,
         Rank aRank,
         std::string aCustomer,
         Duration aTimeLeft)
{
  QueuedItem item;
  item.id_ = aId;
  item.rank_ = aRank;
  item.customer_ = std::move(aCustomer);
  item.deadline_ = kStart + aTimeLeft;
  return item;
}

std::vector<std::uint64_t>
PopAll(RankQueue& aQueue)
{
  std::vector<std::uint64_t> ids;
  while (auto item = aQueue.Pop(kStart)) {
    ids.push_back(item->id_);
  }
  return ids;
}

FleetViewPtr
MakeView()
{
  auto view = std::make_shared<FleetView>();
  view->stateProven_ = true;
  view->vms_ = { { "vm-a", "zone-a", false }, { "vm-b", "zone-b", false } };
  view->owners_ = OwnerMap(view->vms_);
  wire::Upstream info;
  info.set_server("db-1");
  info.set_database("db");
  info.set_zone("zone-a");
  view->servers_["db-1"].info_ = info;
  view->databases_["db"] = { "db-1", 1, 1, { "db-1" } };
  return view;
}

StatementRouter
MakeRouter(std::uint64_t aSeed)
{
  const std::vector<std::string> keys{ "key-of-the-tests" };
  StatementRouter router("vm-b", "zone-b", SessionSigner(keys), aSeed);
  router.SetView(MakeView(), kStart);
  return router;
}

CallerRequest
MakeRequest()
{
  CallerRequest request;
  request.database_ = "db";
  request.statement_ = "add k v";
  return request;
}

} // namespace

TEST_CASE("The queue of an upstream")
{
  RankQueue queue;
  queue.SetPolicy(1, { 0, 0, 0 });

  SECTION("serves the most urgent rank first, then by deadline")
  {
    queue.Push(MakeItem(1, Rank::Low, "x", 1s), kStart);
    queue.Push(MakeItem(2, Rank::Urgent, "x", 9s), kStart);
    queue.Push(MakeItem(3, Rank::Urgent, "x", 5s), kStart);
    queue.Push(MakeItem(4, Rank::Normal, "x", 1s), kStart);
    CHECK(PopAll(queue) == std::vector<std::uint64_t>{ 3, 2, 4, 1 });
  }

  SECTION("gives lower ranks their floors under a flood of urgent statements")
  {
    queue.SetPolicy(1, { 0, 0.2, 0.1 });
    for (std::uint64_t i = 0; i < 1000; i++) {
      queue.Push(MakeItem(i, Rank::Urgent, "x", 50s), kStart);
      queue.Push(MakeItem(10'000 + i, Rank::Normal, "x", 50s), kStart);
      queue.Push(MakeItem(20'000 + i, Rank::Low, "x", 50s), kStart);
    }
    std::array<int, 3> served{};
    for (int i = 0; i < 1000; i++) {
      served.at(queue.Pop(kStart)->id_ / 10'000)++;
    }
    // If two floors are due in the same turn, one of them is served later. That
    // may cost neither rank more than 5% of its share.
    CHECK(served[1] >= 190);
    CHECK(served[2] >= 95);
    CHECK(served[0] >= 690);
  }

  SECTION("shares the turns of a rank evenly among customers, however many "
          "statements each of them sends")
  {
    for (std::uint64_t i = 0; i < 90; i++) {
      queue.Push(MakeItem(i, Rank::Normal, "many", 50s), kStart);
    }
    for (std::uint64_t i = 0; i < 10; i++) {
      queue.Push(MakeItem(1000 + i, Rank::Normal, "few", 50s), kStart);
    }
    const auto order = PopAll(queue);
    const auto last = std::find(order.begin(), order.end(), 1009);
    CHECK(last - order.begin() < 21);
  }

  SECTION("refuses at once a statement that would miss its deadline")
  {
    for (std::uint64_t i = 0; i < 100; i++) {
      queue.Push(MakeItem(i, Rank::Normal, "x", 50s), kStart);
    }
    const auto late =
      queue.Push(MakeItem(200, Rank::Normal, "x", 50ms), kStart);
    CHECK(late == Reason::Overloaded);
    const auto urgent =
      queue.Push(MakeItem(201, Rank::Urgent, "x", 50ms), kStart);
    CHECK(!urgent);
  }

  SECTION("drops a statement of the least urgent rank to make room for an "
          "urgent one when the queue is full")
  {
    for (std::uint64_t i = 0; i < kMaxQueued; i++) {
      queue.Push(MakeItem(i, Rank::Low, "x", 500s), kStart);
    }
    CHECK(queue.Push(MakeItem(9000, Rank::Low, "x", 500s), kStart) ==
          Reason::Overloaded);
    CHECK(!queue.Push(MakeItem(9001, Rank::Urgent, "x", 500s), kStart));
    CHECK(queue.TakeRefused(kStart).size() == 1);
    CHECK(queue.Pop(kStart)->id_ == 9001);
  }

  SECTION("returns an expired statement as refused and never runs it")
  {
    queue.Push(MakeItem(1, Rank::Normal, "x", 100ms), kStart);
    const auto refused = queue.TakeRefused(kStart + 200ms);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason_ == Reason::PastDeadline);
    CHECK(!queue.Pop(kStart + 200ms));
  }
}

TEST_CASE("A session token")
{
  const std::vector<std::string> old{ "the-old-key-of-16" };
  const std::vector<std::string> both{ "the-new-key-of-16", old[0] };
  SessionState state;
  state.RaisePoint("db", { 3, 7 });
  state.RaisePoint("db", { 2, 900 });
  const std::string token = SessionSigner(old).Issue(state);

  SECTION("carries the highest point of each database, and stays valid when a "
          "new signing key is added")
  {
    const auto read = SessionSigner(both).Read(token);
    REQUIRE(read);
    CHECK(read->PointOf("db") == LogPoint{ 3, 7 });
    CHECK(read->PointOf("other") == LogPoint{});
  }

  SECTION("is refused when any byte is changed, cut or added")
  {
    for (std::size_t i = 0; i < token.size(); i++) {
      std::string forged = token;
      forged[i] = static_cast<char>(forged[i] ^ 1);
      CHECK(!SessionSigner(both).Read(forged));
      CHECK(!SessionSigner(both).Read(token.substr(0, i + 1) == token
                                        ? token + "0"
                                        : token.substr(0, i + 1)));
    }
  }
}

TEST_CASE("A statement router")
{
  StatementRouter router = MakeRouter(1);
  router.StartStatement(1, MakeRequest(), kStart);
  const auto forwards = router.TakeForwards();
  REQUIRE(forwards.size() == 1);
  CHECK(forwards[0].owner_ == "vm-a");

  SECTION("ignores a reply that was meant for an earlier run of its VM")
  {
    StatementRouter restarted = MakeRouter(2);
    restarted.StartStatement(1, MakeRequest(), kStart);
    wire::ForwardReply late;
    late.set_request(forwards[0].forward_.request());
    late.set_outcome(static_cast<unsigned>(Outcome::Done));
    restarted.HandleReply(late, kStart);
    CHECK(restarted.CountInFlight() == 1);
    CHECK(restarted.TakeActions().empty());
  }

  SECTION("answers once, with outcome unknown, if an owner does not reply to a "
          "write")
  {
    router.Tick(kStart + 3s);
    const auto actions = router.TakeActions();
    REQUIRE(actions.size() == 1);
    const auto& answer = std::get<AnswerCaller>(actions[0]).answer_;
    CHECK(answer.outcome_ == Outcome::Unknown);
    CHECK(router.TakeForwards().empty());
  }

  SECTION("routes a statement again if its owner proves that it has not run")
  {
    wire::ForwardReply refused;
    refused.set_request(forwards[0].forward_.request());
    refused.set_outcome(static_cast<unsigned>(Outcome::NotRun));
    refused.set_reason(static_cast<unsigned>(Reason::NotPrimary));
    router.HandleReply(refused, kStart);
    router.Tick(kStart + 50ms);
    CHECK(router.TakeForwards().size() == 1);
    CHECK(router.TakeActions().empty());
  }
}

} // namespace jaydoor::tests

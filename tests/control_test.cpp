// Unit tests of the control state and of the classes that decide by it: leases,
// replacements of primaries, elections, announcements, configurations.

#include "base/Compress.h"
#include "control/ControlState.h"
#include "control/Failover.h"
#include "control/LeaseTable.h"
#include "control/Raft.h"

#include <random>

#include <catch2/catch.hpp>

namespace jaydoor::tests {
namespace {

constexpr Time kStart{ 100s };
constexpr char kDatabase[] = "db";
const LeaseTiming kLeaseTiming;

// A control state, and changes that are applied to it in order.
struct StateLog
{
  ControlState state_;
  std::uint64_t index_ = 0;

  void Apply(wire::Change aChange)
  {
    aChange.set_index(++index_);
    state_.Apply(aChange);
  }

  void Announce(const ServerId& aServer,
                const ZoneId& aZone,
                std::uint64_t aBorn = 1,
                std::uint64_t aSequence = 1,
                bool aLeaving = false,
                std::uint32_t aPort = 0)
  {
    wire::Change change;
    auto& info = *change.mutable_upstream()->mutable_upstream();
    info.set_server(aServer);
    info.set_database(kDatabase);
    info.set_zone(aZone);
    info.set_host("10.0.0.1");
    info.set_port(
      aPort != 0 ? aPort : 1000 + static_cast<std::uint32_t>(aServer.back()));
    info.set_born_ms(aBorn);
    info.set_sequence(aSequence);
    info.set_leaving(aLeaving);
    Apply(std::move(change));
  }

  void SetPrimary(const ServerId& aServer, std::uint64_t aTerm)
  {
    wire::Change change;
    change.mutable_primary()->set_database(kDatabase);
    change.mutable_primary()->set_server(aServer);
    change.mutable_primary()->set_term(aTerm);
    Apply(std::move(change));
  }

  void AddHolder(const VmId& aVm, const ZoneId& aZone)
  {
    wire::Change change;
    change.mutable_holder()->set_vm(aVm);
    change.mutable_holder()->set_zone(aZone);
    Apply(std::move(change));
  }

  void SetDocument(std::uint64_t aVersion, std::string_view aBody)
  {
    wire::Change change;
    change.mutable_document()->set_version(aVersion);
    change.mutable_document()->set_body(Compress(aBody));
    Apply(std::move(change));
  }
};

// A group of three servers in three zones with s1 as the primary, and two VMs
// that may hold leases.
StateLog
MakeGroup()
{
  StateLog log;
  log.Announce("s1", "a");
  log.Announce("s2", "b");
  log.Announce("s3", "c");
  log.SetPrimary("s1", 1);
  log.AddHolder("vm-a", "a");
  log.AddHolder("vm-b", "b");
  return log;
}

wire::LeaseRequest
MakeRequest()
{
  wire::LeaseRequest request;
  request.set_sent_us(1);
  request.set_incarnation(1);
  return request;
}

wire::LeaseRelease
MakeRelease(std::uint64_t aTerm, std::uint64_t aLeaderTerm)
{
  wire::LeaseRelease release;
  release.set_incarnation(1);
  release.set_leader_term(aLeaderTerm);
  auto& lease = *release.add_leases();
  lease.set_database(kDatabase);
  lease.set_term(aTerm);
  return release;
}

wire::Suspicion
MakeSuspicion(bool aSuspected)
{
  wire::Suspicion suspicion;
  suspicion.set_database(kDatabase);
  suspicion.set_server("s1");
  suspicion.set_term(1);
  suspicion.set_suspected(aSuspected);
  return suspicion;
}

// The failover decisions of a leader, with servers that answer at once.
struct Leader
{
  StateLog log_ = MakeGroup();
  LeaseTable leases_{ kLeaseTiming };
  Failover failover_{ FailoverTiming{} };
  Time now_ = kStart;
  std::map<ServerId, std::optional<ServerStatus>> servers_; // none: dead
  std::vector<RequestPromotion> promotions_;
  std::vector<DatabaseId> revocations_;
  bool serviceWorks_ = true; // the outside service promotes when asked to

  Leader()
  {
    leases_.Reset(log_.state_, 1, now_ - 10s);
    servers_["s1"] = ServerStatus{ true, 1, { 1, 50 } };
    servers_["s2"] = ServerStatus{ false, 1, { 1, 50 } };
    servers_["s3"] = ServerStatus{ false, 1, { 1, 40 } };
  }

  void Grant(const VmId& aVm)
  {
    leases_.Grant(aVm, MakeRequest(), log_.state_, now_);
  }

  void Step()
  {
    failover_.Tick(log_.state_, leases_, 7, now_);
    for (const auto& call : failover_.TakeStatusRequests()) {
      auto& status = servers_[call.server_.server()];
      if (status && call.stepDownTerm_ > status->term_) {
        status->primary_ = false;
      }
      failover_.HandleServerStatus(call.callId_, status, now_);
    }
    for (const auto& promotion : failover_.TakePromotionRequests()) {
      promotions_.push_back(promotion);
      if (serviceWorks_) {
        failover_.HandlePromotionAnswer(
          promotion.callId_, PromotionAnswer::Accepted, now_);
        servers_[promotion.server_]->primary_ = true;
        servers_[promotion.server_]->term_ = 2;
      }
    }
    for (auto& change : failover_.TakeProposals()) {
      log_.Apply(std::move(change));
    }
    for (const auto& database : failover_.TakeRevocations()) {
      revocations_.push_back(database);
    }
    now_ += 20ms;
  }

  void Run(Duration aTime)
  {
    for (const Time end = now_ + aTime; now_ < end;) {
      Step();
    }
  }

  // Both VMs give back their leases on the primary and suspect it.
  void SuspectPrimary()
  {
    for (const VmId vm : { "vm-a", "vm-b" }) {
      Grant(vm);
      leases_.HandleRelease(vm, MakeRelease(1, 1));
      failover_.RecordSuspicion(vm, MakeSuspicion(true), now_);
    }
  }

  // For tests that answer the requests themselves.
  std::vector<RequestServerStatus> TickAndTakeStatusRequests()
  {
    failover_.Tick(log_.state_, leases_, 7, now_);
    return failover_.TakeStatusRequests();
  }

  // Answers those of the requests that went to the server.
  void Answer(const std::vector<RequestServerStatus>& aRequests,
              const ServerId& aServer,
              const ServerStatus& aStatus)
  {
    for (const auto& request : aRequests) {
      if (request.server_.server() == aServer) {
        failover_.HandleServerStatus(request.callId_, aStatus, now_);
      }
    }
  }

  const wire::Database& Database() const
  {
    return log_.state_.Databases().at(kDatabase);
  }
};

} // namespace

TEST_CASE("Leases on primaries")
{
  StateLog log = MakeGroup();
  LeaseTable table(kLeaseTiming);
  table.Reset(log.state_, 5, kStart - 10s);

  SECTION("a lease is granted only to a holder that the control state names")
  {
    CHECK_FALSE(table.Grant("vm-x", MakeRequest(), log.state_, kStart));
    const auto grant = table.Grant("vm-a", MakeRequest(), log.state_, kStart);
    REQUIRE(grant.has_value());
    REQUIRE(grant->leases_size() == 1);
    CHECK(grant->leases(0).server() == "s1");
  }

  SECTION("a lease is short within a zone and long across zones")
  {
    const auto near = table.Grant("vm-a", MakeRequest(), log.state_, kStart);
    const auto far = table.Grant("vm-b", MakeRequest(), log.state_, kStart);
    CHECK(Duration(near->leases(0).duration_us()) ==
          kLeaseTiming.inZoneDuration_);
    CHECK(Duration(far->leases(0).duration_us()) ==
          kLeaseTiming.crossZoneDuration_);
  }

  SECTION("a fenced primary has no holders once leases are released or expired")
  {
    table.Grant("vm-a", MakeRequest(), log.state_, kStart);
    table.Grant("vm-b", MakeRequest(), log.state_, kStart);
    table.Fence(kDatabase, 1);
    CHECK_FALSE(table.HasNoHolders(kDatabase, kStart + 1s));
    CHECK(table.Grant("vm-a", MakeRequest(), log.state_, kStart + 1s)
            ->leases_size() == 0);
    table.HandleRelease("vm-b", MakeRelease(1, 5));
    CHECK_FALSE(
      table.HasNoHolders(kDatabase, kStart + kLeaseTiming.inZoneDuration_));
    CHECK(table.HasNoHolders(kDatabase,
                             kStart + kLeaseTiming.inZoneDuration_ +
                               kLeaseTiming.clockMargin_));
  }

  SECTION("a release that an earlier leader asked for is ignored")
  {
    table.Grant("vm-b", MakeRequest(), log.state_, kStart);
    table.Fence(kDatabase, 1);
    table.HandleRelease("vm-b", MakeRelease(1, 4));
    CHECK_FALSE(table.HasNoHolders(kDatabase, kStart));
  }

  SECTION("a release that arrives late ends no lease granted after it")
  {
    table.Grant("vm-b", MakeRequest(), log.state_, kStart);
    table.Fence(kDatabase, 1);
    const auto release = MakeRelease(1, table.RevocationId(kDatabase));
    table.HandleRelease("vm-b", release);
    REQUIRE(table.HasNoHolders(kDatabase, kStart)); // vm-a has none yet

    // The primary stays: leases on it are granted again.
    table.LiftFence(kDatabase);
    table.Grant("vm-b", MakeRequest(), log.state_, kStart + 100ms);

    SECTION("before the primary is fenced again")
    {
      table.HandleRelease("vm-b", release);
      table.Fence(kDatabase, 1);
      CHECK_FALSE(table.HasNoHolders(kDatabase, kStart + 200ms));
    }

    SECTION("while the lease is revoked again")
    {
      table.Fence(kDatabase, 1);
      table.HandleRelease("vm-b", release);
      CHECK_FALSE(table.HasNoHolders(kDatabase, kStart + 200ms));
      table.HandleRelease("vm-b",
                          MakeRelease(1, table.RevocationId(kDatabase)));
      CHECK(table.HasNoHolders(kDatabase, kStart + 200ms));
    }
  }

  SECTION("a new leader assumes that every holder in the state has a lease")
  {
    table.Reset(log.state_, 6, kStart);
    table.Fence(kDatabase, 1);
    CHECK(table.ListHolders(kDatabase, kStart).size() == 2);
    CHECK_FALSE(
      table.HasNoHolders(kDatabase, kStart + kLeaseTiming.crossZoneDuration_));
    CHECK(table.HasNoHolders(kDatabase,
                             kStart + kLeaseTiming.crossZoneDuration_ +
                               kLeaseTiming.clockMargin_));
  }

  SECTION("a list of leases that the holder has is renewed without the list")
  {
    const auto first = table.Grant("vm-a", MakeRequest(), log.state_, kStart);
    CHECK_FALSE(first->unchanged());
    wire::LeaseRequest request = MakeRequest();
    request.set_held_list(first->list_id());
    const Time later = kStart + 500ms;
    const auto renewal = table.Grant("vm-a", request, log.state_, later);
    CHECK(renewal->unchanged());
    CHECK(renewal->leases_size() == 0);
    table.Fence(kDatabase, 1);
    CHECK_FALSE(table.HasNoHolders(kDatabase,
                                   kStart + kLeaseTiming.inZoneDuration_ +
                                     kLeaseTiming.clockMargin_));
    const auto fenced = table.Grant("vm-a", request, log.state_, later);
    CHECK_FALSE(fenced->unchanged());
    CHECK(fenced->leases_size() == 0);
  }

  SECTION("no leases are granted while the state has an intent to promote")
  {
    wire::Change intent;
    intent.mutable_intent()->set_database(kDatabase);
    intent.mutable_intent()->set_term(2);
    intent.mutable_intent()->set_server("s2");
    log.Apply(std::move(intent));
    CHECK(
      table.Grant("vm-a", MakeRequest(), log.state_, kStart)->leases_size() ==
      0);
    log.SetPrimary("s2", 2);
    CHECK(table.Grant("vm-a", MakeRequest(), log.state_, kStart)
            ->leases(0)
            .server() == "s2");
  }
}

TEST_CASE("Replacements of a primary by an outside service")
{
  Leader leader;
  leader.Grant("vm-a");
  leader.Grant("vm-b");

  SECTION(
    "a leaving primary steps down, and the server with the longest log is "
    "promoted")
  {
    leader.log_.Announce("s1", "a", 1, 2, true);
    leader.Run(100ms);
    CHECK_FALSE(leader.revocations_.empty());
    leader.leases_.HandleRelease("vm-a", MakeRelease(1, 1));
    leader.leases_.HandleRelease("vm-b", MakeRelease(1, 1));
    leader.Run(500ms);
    REQUIRE(leader.promotions_.size() == 1);
    CHECK(leader.promotions_[0].server_ == "s2");
    CHECK(leader.promotions_[0].fencingToken_ == 7);
    CHECK_FALSE(leader.servers_["s1"]->primary_);
    CHECK(leader.Database().primary() == "s2");
    CHECK(leader.Database().primary_term() == 2);
  }

  SECTION("a dead primary is not replaced before the last lease has ended")
  {
    leader.servers_["s1"] = std::nullopt;
    leader.failover_.RecordSuspicion("vm-a", MakeSuspicion(true), leader.now_);
    leader.failover_.RecordSuspicion("vm-b", MakeSuspicion(true), leader.now_);
    leader.Run(400ms);
    leader.leases_.HandleRelease("vm-b", MakeRelease(1, 1));
    for (int i = 0; i < 20; i++) {
      leader.failover_.RecordSuspicion(
        "vm-b", MakeSuspicion(true), leader.now_);
      leader.Step();
    }
    CHECK(leader.promotions_.empty());
    CHECK(leader.Database().intended_primary().empty());
    for (int i = 0; i < 100 && leader.promotions_.empty(); i++) {
      leader.failover_.RecordSuspicion(
        "vm-b", MakeSuspicion(true), leader.now_);
      leader.Step();
    }
    CHECK(leader.now_ - kStart >=
          kLeaseTiming.inZoneDuration_ + kLeaseTiming.clockMargin_);
    CHECK(leader.promotions_.size() == 1);
  }

  SECTION("a leaving server is not promoted while another one remains")
  {
    // The only server that remains answers late, and must be waited for.
    leader.log_.Announce("s2", "b", 1, 2, true);
    leader.servers_["s1"] = std::nullopt;
    leader.servers_["s3"] = std::nullopt;
    for (int i = 0; i < 400; i++) {
      leader.failover_.RecordSuspicion(
        "vm-a", MakeSuspicion(true), leader.now_);
      leader.failover_.RecordSuspicion(
        "vm-b", MakeSuspicion(true), leader.now_);
      leader.Step();
    }
    CHECK(leader.promotions_.empty());
    leader.servers_["s3"] = ServerStatus{ false, 1, { 1, 40 } };
    for (int i = 0; i < 100 && leader.promotions_.empty(); i++) {
      leader.failover_.RecordSuspicion(
        "vm-a", MakeSuspicion(true), leader.now_);
      leader.failover_.RecordSuspicion(
        "vm-b", MakeSuspicion(true), leader.now_);
      leader.Step();
    }
    REQUIRE(leader.promotions_.size() == 1);
    CHECK(leader.promotions_[0].server_ == "s3");
  }

  SECTION("suspicion by a minority of the VMs does not replace the primary")
  {
    leader.Grant("vm-a");
    leader.Grant("vm-b");
    leader.failover_.RecordSuspicion("vm-a", MakeSuspicion(true), leader.now_);
    CHECK(leader.failover_.ListDatabasesWithSuspicion(leader.log_.state_,
                                                      leader.now_) ==
          std::vector<DatabaseId>{ "db" });
    leader.Run(500ms);
    CHECK(leader.promotions_.empty());
    CHECK(leader.revocations_.empty());
    leader.failover_.RecordSuspicion("vm-a", MakeSuspicion(false), leader.now_);
    CHECK(leader.failover_
            .ListDatabasesWithSuspicion(leader.log_.state_, leader.now_)
            .empty());
  }

  SECTION("a primary that is no longer suspected is kept")
  {
    leader.servers_["s1"] = std::nullopt;
    leader.failover_.RecordSuspicion("vm-a", MakeSuspicion(true), leader.now_);
    leader.failover_.RecordSuspicion("vm-b", MakeSuspicion(true), leader.now_);
    leader.Run(100ms);
    CHECK_FALSE(leader.revocations_.empty());
    leader.failover_.RecordSuspicion("vm-a", MakeSuspicion(false), leader.now_);
    leader.failover_.RecordSuspicion("vm-b", MakeSuspicion(false), leader.now_);
    leader.Run(3s);
    CHECK(leader.promotions_.empty());
    CHECK(leader.Database().primary() == "s1");
    CHECK(leader.leases_
            .Grant("vm-a", MakeRequest(), leader.log_.state_, leader.now_)
            ->leases_size() == 1);
  }

  SECTION("a later leader continues from the intent of an earlier one")
  {
    wire::Change intent;
    intent.mutable_intent()->set_database(kDatabase);
    intent.mutable_intent()->set_term(2);
    intent.mutable_intent()->set_server("s3");
    leader.log_.Apply(std::move(intent));
    leader.Run(8s);
    REQUIRE_FALSE(leader.promotions_.empty());
    CHECK(leader.promotions_[0].server_ == "s3");
    CHECK(leader.Database().primary() == "s3");
  }

  SECTION("a status that arrives late does not replace a newer one")
  {
    leader.SuspectPrimary();
    leader.Step(); // starts the replacement
    const auto earlier = leader.TickAndTakeStatusRequests();
    REQUIRE_FALSE(earlier.empty());
    leader.now_ += 60ms;
    const auto later = leader.TickAndTakeStatusRequests();
    REQUIRE_FALSE(later.empty());
    leader.Answer(later, "s2", { false, 1, { 1, 50 } });
    leader.Answer(earlier, "s2", { false, 1, { 1, 20 } });
    leader.Answer(later, "s3", { false, 1, { 1, 40 } });
    leader.Run(1s);
    REQUIRE_FALSE(leader.promotions_.empty());
    CHECK(leader.promotions_[0].server_ == "s2");
  }

  SECTION("a log is not caught up with a status from before the leases ended")
  {
    leader.Grant("vm-a");
    leader.Grant("vm-b");
    leader.log_.Announce("s1", "a", 1, 2, true);
    leader.Step(); // starts the replacement
    const auto earlier = leader.TickAndTakeStatusRequests();
    REQUIRE_FALSE(earlier.empty());
    leader.now_ += 60ms;
    leader.Step(); // the next requests are answered at once
    leader.Step(); // the successor is chosen
    leader.Step();
    REQUIRE_FALSE(leader.revocations_.empty());
    // The last commit before the lease is given back reaches s1 only.
    leader.servers_["s1"]->received_ = { 1, 51 };
    leader.leases_.HandleRelease("vm-a", MakeRelease(1, 1));
    leader.leases_.HandleRelease("vm-b", MakeRelease(1, 1));
    leader.Answer(earlier, "s1", { true, 1, { 1, 50 } });
    leader.Answer(earlier, "s2", { false, 1, { 1, 50 } });
    leader.Run(100ms);
    CHECK(leader.Database().intended_primary().empty());
    leader.servers_["s2"]->received_ = { 1, 51 };
    leader.Run(100ms);
    CHECK(leader.Database().intended_primary() == "s2");
  }

  SECTION("a late answer to a promotion does not count for the next successor")
  {
    leader.servers_["s1"] = std::nullopt;
    leader.serviceWorks_ = false; // and does not answer
    leader.SuspectPrimary();
    const auto requestedLast = [&](const ServerId& aServer) {
      return !leader.promotions_.empty() &&
             leader.promotions_.back().server_ == aServer;
    };
    for (int i = 0; i < 500 && !requestedLast("s3"); i++) {
      leader.Step();
    }
    REQUIRE(requestedLast("s3"));
    REQUIRE(leader.promotions_.size() > 1);
    const auto former = leader.promotions_[leader.promotions_.size() - 2];
    REQUIRE(former.server_ == "s2");

    SECTION("that it was accepted: the next one is requested again")
    {
      leader.failover_.HandlePromotionAnswer(
        former.callId_, PromotionAnswer::Accepted, leader.now_);
      const std::size_t sent = leader.promotions_.size();
      leader.Run(1s);
      CHECK(leader.promotions_.size() > sent);
      CHECK(requestedLast("s3"));
    }

    SECTION("that it was refused: the next one is not given up")
    {
      leader.failover_.HandlePromotionAnswer(
        former.callId_, PromotionAnswer::Refused, leader.now_);
      leader.Run(1s);
      CHECK(requestedLast("s3"));
    }
  }

  SECTION("an answer about one successor does not count for the next one")
  {
    leader.servers_["s1"] = std::nullopt;
    leader.serviceWorks_ = false;
    const auto runUntil = [&](const auto& aIsDone) {
      for (int i = 0; i < 500 && !aIsDone(); i++) {
        leader.failover_.RecordSuspicion(
          "vm-b", MakeSuspicion(true), leader.now_);
        leader.Step();
      }
      REQUIRE(aIsDone());
    };
    runUntil([&] { return leader.promotions_.size() == 2; });
    const auto first = leader.promotions_;
    REQUIRE(first[0].server_ == "s2");
    REQUIRE(first[1].server_ == "s2"); // sent again
    leader.failover_.HandlePromotionAnswer(
      first[0].callId_, PromotionAnswer::Refused, leader.now_);
    runUntil([&] { return leader.promotions_.back().server_ == "s3"; });
    const auto late =
      GENERATE(PromotionAnswer::Refused, PromotionAnswer::Accepted);
    leader.failover_.HandlePromotionAnswer(first[1].callId_, late, leader.now_);
    leader.Run(700ms);
    REQUIRE(leader.promotions_.size() == 4);
    CHECK(leader.promotions_[2].server_ == "s3");
    CHECK(leader.promotions_[3].server_ == "s3"); // sent again
  }

  SECTION("a new database gets the primary that one of its servers claims")
  {
    Leader fresh;
    fresh.log_ = StateLog();
    fresh.log_.Announce("s1", "a");
    fresh.log_.Announce("s2", "b");
    wire::Change claim;
    *claim.mutable_upstream()->mutable_upstream() =
      *fresh.log_.state_.FindServer("s1");
    claim.mutable_upstream()->mutable_upstream()->set_claims_primary(true);
    claim.mutable_upstream()->mutable_upstream()->set_sequence(2);
    fresh.log_.Apply(std::move(claim));
    fresh.Run(1s);
    CHECK(fresh.Database().primary() == "s1");
    CHECK(fresh.Database().primary_term() == 1);
    CHECK(fresh.promotions_.empty());
  }
}

namespace {

// Three voters that exchange messages, at once or with random delays.
struct Voters
{
  std::map<VoterId, std::unique_ptr<Raft>> rafts_;
  std::map<VoterId, RaftDisk> disks_;
  Time now_ = kStart;
  std::mt19937_64 random_{ 1 };
  Duration maxDelay_{}; // bound of random delays; zero: delivered at once
  Time linksUpAt_;      // delayed messages that are sent before are lost
  std::multimap<Time, std::pair<VoterId, wire::ControlMessage>> inFlight_;

  Voters()
  {
    wire::VoterSet set;
    for (const char* id : { "a/1", "b/1", "c/1" }) {
      set.add_voters(id);
    }
    for (const auto& id : set.voters()) {
      *disks_[id].snapshot_.mutable_voters() = set;
      Start(id);
    }
  }

  void Start(const VoterId& aId)
  {
    rafts_[aId] =
      std::make_unique<Raft>(aId, RaftTiming{}, random_(), disks_[aId]);
  }

  void Deliver(RaftActions aActions)
  {
    for (auto& action : aActions) {
      auto* send = std::get_if<SendToVoter>(&action);
      if (send != nullptr && maxDelay_ > 0us) {
        const auto maxDelay = static_cast<std::uint64_t>(maxDelay_.count());
        const Duration delay(static_cast<Duration::rep>(random_() % maxDelay));
        if (now_ >= linksUpAt_) {
          inFlight_.emplace(now_ + delay,
                            std::pair(send->to_, std::move(send->message_)));
        }
      } else if (send != nullptr && rafts_.contains(send->to_)) {
        RaftActions replies;
        rafts_[send->to_]->HandleMessage(send->message_, now_, replies);
        Deliver(std::move(replies));
      }
    }
  }

  // Runs until there is a leader or `aLimit` is over; returns the time it took.
  Duration AwaitLeader(Duration aLimit)
  {
    const Time startedAt = now_;
    while (now_ - startedAt < aLimit && Leader() == nullptr) {
      Tick();
    }
    return now_ - startedAt;
  }

  void Tick()
  {
    now_ += 5ms;
    while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
      auto [to, message] = std::move(inFlight_.begin()->second);
      inFlight_.erase(inFlight_.begin());
      if (rafts_.contains(to)) {
        RaftActions actions;
        rafts_[to]->HandleMessage(message, now_, actions);
        Deliver(std::move(actions));
      }
    }
    for (auto& [id, raft] : rafts_) {
      RaftActions actions;
      raft->Tick(now_, actions);
      Deliver(std::move(actions));
    }
  }

  // The voter that holds the leader lease; null if there is none.
  Raft* Leader()
  {
    for (auto& [id, raft] : rafts_) {
      if (raft->IsLeader() && raft->HasLease(now_)) {
        return raft.get();
      }
    }
    return nullptr;
  }
};

} // namespace

TEST_CASE("Elections after a restart")
{
  Voters voters;
  voters.AwaitLeader(2s);
  REQUIRE(voters.Leader() != nullptr);

  SECTION("if all voters restart, they elect without the delay after a start")
  {
    for (const char* id : { "a/1", "b/1", "c/1" }) {
      voters.Start(id);
    }
    CHECK(voters.AwaitLeader(2s) < RaftTiming{}.voteDelayAfterStart_);
  }

  SECTION("restarts at any time lead to exactly one leader")
  {
    for (std::uint64_t seed = 1; seed <= 400; seed++) {
      INFO("seed " << seed);
      Voters seededVoters;
      seededVoters.random_.seed(seed);
      seededVoters.maxDelay_ = Duration(
        static_cast<Duration::rep>(1000 + seededVoters.random_() % 40'000));
      for (const char* id : { "a/1", "b/1", "c/1" }) {
        for (std::uint64_t ticks = seededVoters.random_() % 20; ticks > 0;
             ticks--) {
          seededVoters.Tick();
        }
        seededVoters.Start(id);
      }
      seededVoters.linksUpAt_ =
        seededVoters.now_ +
        Duration(static_cast<Duration::rep>(seededVoters.random_() % 300'000));
      CHECK(seededVoters.AwaitLeader(4s) < 4s);
      std::size_t leaders = 0;
      for (const auto& [id, raft] : seededVoters.rafts_) {
        leaders += raft->HasLease(seededVoters.now_) ? 1U : 0U;
      }
      CHECK(leaders == 1);
    }
  }

  SECTION("a voter that lacks the last entries does not delay the election")
  {
    int quickElections = 0;
    for (std::uint64_t seed = 1; seed <= 200; seed++) {
      Voters seededVoters;
      seededVoters.random_.seed(seed);
      seededVoters.maxDelay_ = 2ms;
      for (const char* id : { "a/1", "b/1", "c/1" }) {
        const std::uint64_t last = std::string(id) == "a/1" ? 8 : 10;
        for (std::uint64_t index = 1; index <= last; index++) {
          wire::Change& entry = seededVoters.disks_[id].entries_.emplace_back();
          entry.set_index(index);
          entry.set_term(1);
          entry.set_noop(true);
        }
        seededVoters.disks_[id].hardState_.set_term(1);
        seededVoters.Start(id);
      }
      quickElections +=
        seededVoters.AwaitLeader(2s) < RaftTiming{}.voteDelayAfterStart_ ? 1
                                                                         : 0;
      CHECK_FALSE(seededVoters.rafts_["a/1"]->IsLeader());
    }
    // Two candidates at the same time can delay an election.
    CHECK(quickElections >= 190);
  }

  SECTION("restarted voters don't replace a leader that is still running")
  {
    const VoterId leader = voters.Leader()->Self();
    const std::uint64_t term = voters.Leader()->Term();
    for (const char* id : { "a/1", "b/1", "c/1" }) {
      if (id != leader) {
        voters.Start(id);
      }
    }
    for (int i = 0; i < 100; i++) {
      voters.Tick();
    }
    REQUIRE(voters.Leader() != nullptr);
    CHECK(voters.Leader()->Self() == leader);
    CHECK(voters.Leader()->Term() == term);
  }

  SECTION("two restarted voters wait for a leader that they can't reach")
  {
    const VoterId leader = voters.Leader()->Self();
    voters.rafts_.erase(leader);
    for (const char* id : { "a/1", "b/1", "c/1" }) {
      if (id != leader) {
        voters.Start(id);
      }
    }
    CHECK(voters.AwaitLeader(2s) >= RaftTiming{}.voteDelayAfterStart_);
    CHECK(voters.Leader() != nullptr);
  }
}

// Guards against a quorum that is not used: a voter that had missed the last
// change refused its vote to the new voter.
TEST_CASE("A voter that has missed a change of the voters elects the new one")
{
  Voters voters;
  voters.rafts_.clear();
  wire::VoterSet after;
  for (const char* id : { "b/1", "c/1", "d/1" }) {
    after.add_voters(id);
  }
  wire::VoterSet during = after;
  *during.mutable_outgoing() = voters.disks_["a/1"].snapshot_.voters().voters();
  RaftDisk& newVoter = voters.disks_["d/1"];
  newVoter = voters.disks_["b/1"];
  for (const auto& set : { during, after }) {
    wire::Change& entry = newVoter.entries_.emplace_back();
    entry.set_index(newVoter.entries_.size());
    entry.set_term(1);
    *entry.mutable_voters() = set;
  }
  voters.Start("b/1");
  voters.Start("d/1");
  voters.AwaitLeader(4s);
  REQUIRE(voters.Leader() != nullptr);
  CHECK(voters.Leader()->Self() == "d/1");
  CHECK(voters.rafts_["b/1"]->Voters().SerializeAsString() ==
        after.SerializeAsString());
}

TEST_CASE("A change of the voters is completed by the next leader")
{
  Voters voters;
  voters.AwaitLeader(2s);
  Raft* leader = voters.Leader();
  REQUIRE(leader != nullptr);
  const VoterId former = leader->Self();
  voters.Start("d/1");
  wire::VoterSet next = leader->Voters();
  auto& replaced = *next.mutable_voters(former == "c/1" ? 1 : 2);
  replaced = "d/1";
  RaftActions actions;
  leader->ProposeVoters(next, voters.now_, actions);
  voters.rafts_.erase(former); // it gets no answers to its first entry
  voters.Deliver(std::move(actions));
  voters.AwaitLeader(4s);
  REQUIRE(voters.Leader() != nullptr);
  CHECK(voters.Leader()->Self() != former);
  for (int i = 0; i < 20; i++) {
    voters.Tick();
  }
  CHECK(voters.Leader()->CanChangeVoters());
  CHECK(voters.Leader()->Voters().outgoing().empty());
  CHECK(voters.Leader()->IsVoter("d/1"));
}

TEST_CASE("A compacted log keeps its voters")
{
  // No entry of the log names the voters that founded the control state.
  Voters voters;
  voters.AwaitLeader(2s);
  Raft* leader = voters.Leader();
  REQUIRE(leader != nullptr);
  for (int i = 0; i < 5; i++) {
    wire::Change noop;
    noop.set_noop(true);
    RaftActions actions;
    leader->Propose(noop, voters.now_, actions);
    voters.Deliver(std::move(actions));
  }
  wire::ControlSnapshot snapshot;
  snapshot.set_index(leader->CommitIndex());
  snapshot.set_term(leader->Term());
  RaftActions actions;
  leader->Compact(snapshot, actions);
  CHECK(leader->Voters().voters_size() == 3);
  const auto* saved = std::get_if<SaveSnapshot>(&actions.front());
  REQUIRE(saved != nullptr);
  CHECK(saved->snapshot_.voters().voters_size() == 3);
}

TEST_CASE("Announcements that are delayed or from another run of a server")
{
  StateLog log;
  log.Announce("s1", "a", 10, 5, true, 1000);

  SECTION("an older sequence number of the same run is ignored")
  {
    log.Announce("s1", "a", 10, 4, false, 1000);
    CHECK(log.state_.FindServer("s1")->leaving());
  }

  SECTION("a server that leaves does not stay after all in the same run")
  {
    log.Announce("s1", "a", 10, 9, false, 1000);
    CHECK(log.state_.FindServer("s1")->leaving());
  }

  SECTION("that it leaves counts even with an older sequence number")
  {
    log.Announce("s3", "a", 10, 50, false, 1001);
    log.Announce("s3", "a", 10, 2, true, 1001);
    CHECK(log.state_.FindServer("s3")->leaving());
  }

  SECTION("a new run starts its sequence numbers again")
  {
    log.Announce("s1", "a", 11, 1, false, 1000);
    CHECK_FALSE(log.state_.FindServer("s1")->leaving());
    log.Announce("s1", "a", 10, 9, true, 1000);
    CHECK_FALSE(log.state_.FindServer("s1")->leaving());
  }

  SECTION("a new server replaces an older one at the same address")
  {
    log.Announce("s2", "a", 12, 1, false, 1000);
    CHECK(log.state_.FindServer("s1") == nullptr);
    log.Announce("s1", "a", 10, 9, false, 1000);
    CHECK(log.state_.FindServer("s1") == nullptr);
    CHECK(log.state_.FindServer("s2") != nullptr);
  }
}

TEST_CASE("The operators' configuration in the control state")
{
  StateLog log;
  log.SetDocument(4, "four");

  SECTION("the highest version wins, and other versions are ignored")
  {
    log.SetDocument(3, "three");
    log.SetDocument(4, "another four");
    CHECK(*log.state_.DocumentBody() == "four");
    log.SetDocument(9, "nine");
    CHECK(log.state_.CurrentDocument().version() == 9);
    CHECK(*log.state_.DocumentBody() == "nine");
  }

  SECTION("a snapshot contains the configuration and the lease holders")
  {
    log.AddHolder("vm-a", "a");
    ControlState other;
    CHECK(other.InstallSnapshot(log.state_.MakeSnapshot()));
    CHECK(*other.DocumentBody() == "four");
    CHECK(other.LeaseHolders().at("vm-a") == "a");
  }

  SECTION("the changes for another VM contain only the newest configuration")
  {
    const std::string body(1000, 'x');
    for (const std::uint64_t version : { 7, 6, 9, 8 }) {
      log.SetDocument(version, body + std::to_string(version));
    }
    log.AddHolder("vm-a", "a");
    const wire::Delta delta = log.state_.DeltaAfter(0);
    CHECK(std::count_if(
            delta.changes().begin(),
            delta.changes().end(),
            [](const auto& aChange) { return aChange.has_document(); }) == 1);
    ControlState other;
    CHECK(other.ApplyDelta(delta));
    CHECK(other.MakeSnapshot().SerializeAsString() ==
          log.state_.MakeSnapshot().SerializeAsString());
  }

  SECTION("the changes kept for other VMs are bounded in bytes")
  {
    std::mt19937_64 random(1); // random bytes, which do not compress
    std::string body(20'000, '\0');
    for (char& byte : body) {
      byte = static_cast<char>(random());
    }
    for (std::uint64_t version = 10; version < 400; version++) {
      log.SetDocument(version, body + std::to_string(version));
    }
    CHECK(log.state_.DeltaAfter(0).has_snapshot());
    CHECK(log.state_.DeltaAfter(2).ByteSizeLong() < 2UL * 1024 * 1024);
  }
}

TEST_CASE("Compression and decompression of texts")
{
  const std::string text(200'000, 'x');
  const std::string bytes = Compress(text);
  CHECK(bytes.size() < text.size() / 10);
  CHECK(*Decompress(bytes, text.size()) == text);
  CHECK_FALSE(Decompress(bytes, text.size() / 2).has_value());
  CHECK_FALSE(Decompress(bytes.substr(0, bytes.size() / 2), text.size()));
  CHECK_FALSE(Decompress("no such thing", 100).has_value());
}

} // namespace jaydoor::tests

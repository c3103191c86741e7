// Decisions of the control state one by one: leases, changes of primary,
// announcements, configurations.

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
constexpr char kGroup[] = "db";
const LeaseTiming kLeases;

// A control state that changes are applied to in order.
struct Log
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
    info.set_database(kGroup);
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
    change.mutable_primary()->set_database(kGroup);
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

Log
MakeGroup()
{
  Log log;
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
  lease.set_database(kGroup);
  lease.set_term(aTerm);
  return release;
}

wire::Suspicion
MakeSuspicion(bool aSuspected)
{
  wire::Suspicion suspicion;
  suspicion.set_database(kGroup);
  suspicion.set_server("s1");
  suspicion.set_term(1);
  suspicion.set_suspected(aSuspected);
  return suspicion;
}

// A leader's part of the control state, with servers that answer at once.
struct Leader
{
  Log log_ = MakeGroup();
  LeaseTable leases_{ kLeases };
  Failover failover_{ FailoverTiming{} };
  Time now_ = kStart;
  std::map<ServerId, std::optional<ServerStatus>> servers_;
  std::vector<RequestPromotion> promotions_;
  std::vector<DatabaseId> revocations_;
  bool promotes_ = true; // the outside service works

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
      if (promotes_) {
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

  const wire::Database& Database() const
  {
    return log_.state_.Databases().at(kGroup);
  }
};

} // namespace

TEST_CASE("Leases on primaries")
{
  Log log = MakeGroup();
  LeaseTable table(kLeases);
  table.Reset(log.state_, 5, kStart - 10s);

  SECTION("only a holder of the control state is granted one")
  {
    CHECK_FALSE(table.Grant("vm-x", MakeRequest(), log.state_, kStart));
    const auto grant = table.Grant("vm-a", MakeRequest(), log.state_, kStart);
    REQUIRE(grant.has_value());
    REQUIRE(grant->leases_size() == 1);
    CHECK(grant->leases(0).server() == "s1");
  }

  SECTION("within a zone it is short, across zones long")
  {
    const auto near = table.Grant("vm-a", MakeRequest(), log.state_, kStart);
    const auto far = table.Grant("vm-b", MakeRequest(), log.state_, kStart);
    CHECK(Duration(near->leases(0).duration_us()) == kLeases.inZoneDuration_);
    CHECK(Duration(far->leases(0).duration_us()) == kLeases.crossZoneDuration_);
  }

  SECTION("a fence waits for each holder, until it releases or time is over")
  {
    table.Grant("vm-a", MakeRequest(), log.state_, kStart);
    table.Grant("vm-b", MakeRequest(), log.state_, kStart);
    table.Fence(kGroup, 1);
    CHECK_FALSE(table.HasNoHolders(kGroup, kStart + 1s));
    CHECK(table.Grant("vm-a", MakeRequest(), log.state_, kStart + 1s)
            ->leases_size() == 0);
    table.HandleRelease("vm-b", MakeRelease(1, 5));
    CHECK_FALSE(table.HasNoHolders(kGroup, kStart + kLeases.inZoneDuration_));
    CHECK(table.HasNoHolders(
      kGroup, kStart + kLeases.inZoneDuration_ + kLeases.clockMargin_));
  }

  SECTION("a release that another leader asked for counts for nothing")
  {
    table.Grant("vm-b", MakeRequest(), log.state_, kStart);
    table.Fence(kGroup, 1);
    table.HandleRelease("vm-b", MakeRelease(1, 4));
    CHECK_FALSE(table.HasNoHolders(kGroup, kStart));
  }

  SECTION("a new leader takes all holders of the state for holders")
  {
    table.Reset(log.state_, 6, kStart);
    table.Fence(kGroup, 1);
    CHECK(table.ListHolders(kGroup, kStart).size() == 2);
    CHECK_FALSE(
      table.HasNoHolders(kGroup, kStart + kLeases.crossZoneDuration_));
    CHECK(table.HasNoHolders(
      kGroup, kStart + kLeases.crossZoneDuration_ + kLeases.clockMargin_));
  }

  SECTION("an intent alone stops the grants")
  {
    wire::Change intent;
    intent.mutable_intent()->set_database(kGroup);
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

TEST_CASE("Changes of primary by an outside service")
{
  Leader leader;
  leader.Grant("vm-a");
  leader.Grant("vm-b");

  SECTION("one that leaves is replaced by the furthest, after it stepped down")
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

  SECTION("a dead one is not replaced before the last lease is over")
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
          kLeases.inZoneDuration_ + kLeases.clockMargin_);
    CHECK(leader.promotions_.size() == 1);
  }

  SECTION("one that leaves is not chosen while another one stays")
  {
    // The one that stays answers late: it is waited for.
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

  SECTION("a minority's suspicion changes nothing")
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

  SECTION("one that nobody suspects any more stays")
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

  SECTION("a later leader goes on from the intent")
  {
    wire::Change intent;
    intent.mutable_intent()->set_database(kGroup);
    intent.mutable_intent()->set_term(2);
    intent.mutable_intent()->set_server("s3");
    leader.log_.Apply(std::move(intent));
    leader.Run(8s);
    REQUIRE_FALSE(leader.promotions_.empty());
    CHECK(leader.promotions_[0].server_ == "s3");
    CHECK(leader.Database().primary() == "s3");
  }

  SECTION("the first primary is the one that says so")
  {
    Leader fresh;
    fresh.log_ = Log();
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

// Three voters that hand each other their messages at once.
struct Voters
{
  std::map<VoterId, std::unique_ptr<Raft>> rafts_;
  std::map<VoterId, RaftDisk> disks_;
  Time now_ = kStart;
  std::mt19937_64 random_{ 1 };
  Duration delay_{}; // most that a message takes; zero: handed over at once
  Time linksFrom_;   // what is sent before is lost
  std::multimap<Time, std::pair<VoterId, wire::ControlMessage>> onTheWay_;

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
      if (send != nullptr && delay_ > 0us) {
        const auto most = static_cast<std::uint64_t>(delay_.count());
        const Duration takes(static_cast<Duration::rep>(random_() % most));
        if (now_ >= linksFrom_) {
          onTheWay_.emplace(now_ + takes,
                            std::pair(send->to_, std::move(send->message_)));
        }
      } else if (send != nullptr && rafts_.contains(send->to_)) {
        RaftActions more;
        rafts_[send->to_]->HandleMessage(send->message_, now_, more);
        Deliver(std::move(more));
      }
    }
  }

  // Runs until there is a leader or the time is over; the time it took.
  Duration AwaitLeader(Duration aMost)
  {
    const Time begin = now_;
    while (now_ - begin < aMost && Leader() == nullptr) {
      Tick();
    }
    return now_ - begin;
  }

  void Tick()
  {
    now_ += 5ms;
    while (!onTheWay_.empty() && onTheWay_.begin()->first <= now_) {
      auto [to, message] = std::move(onTheWay_.begin()->second);
      onTheWay_.erase(onTheWay_.begin());
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

  SECTION("voters that were all restarted elect before a lease's length")
  {
    for (const char* id : { "a/1", "b/1", "c/1" }) {
      voters.Start(id);
    }
    CHECK(voters.AwaitLeader(2s) < RaftTiming{}.voteDelayAfterStart_);
  }

  SECTION("restarts at any moments end in one leader")
  {
    for (std::uint64_t seed = 1; seed <= 400; seed++) {
      INFO("seed " << seed);
      Voters world;
      world.random_.seed(seed);
      world.delay_ =
        Duration(static_cast<Duration::rep>(1000 + world.random_() % 40'000));
      for (const char* id : { "a/1", "b/1", "c/1" }) {
        for (std::uint64_t ticks = world.random_() % 20; ticks > 0; ticks--) {
          world.Tick();
        }
        world.Start(id);
      }
      world.linksFrom_ =
        world.now_ +
        Duration(static_cast<Duration::rep>(world.random_() % 300'000));
      CHECK(world.AwaitLeader(4s) < 4s);
      std::size_t leaders = 0;
      for (const auto& [id, raft] : world.rafts_) {
        leaders += raft->HasLease(world.now_) ? 1U : 0U;
      }
      CHECK(leaders == 1);
    }
  }

  SECTION("one that lacks the last entries does not hold up the others")
  {
    int quick = 0;
    for (std::uint64_t seed = 1; seed <= 200; seed++) {
      Voters world;
      world.random_.seed(seed);
      world.delay_ = 2ms;
      for (const char* id : { "a/1", "b/1", "c/1" }) {
        const std::uint64_t last = std::string(id) == "a/1" ? 8 : 10;
        for (std::uint64_t index = 1; index <= last; index++) {
          wire::Change& entry = world.disks_[id].entries_.emplace_back();
          entry.set_index(index);
          entry.set_term(1);
          entry.set_noop(true);
        }
        world.disks_[id].hardState_.set_term(1);
        world.Start(id);
      }
      quick +=
        world.AwaitLeader(2s) < RaftTiming{}.voteDelayAfterStart_ ? 1 : 0;
      CHECK_FALSE(world.rafts_["a/1"]->IsLeader());
    }
    CHECK(quick >= 190); // two may stand at the same time
  }

  SECTION("one that was restarted does not outvote a leader that is there")
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

  SECTION("two that were restarted wait for a leader that they can't ask")
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

TEST_CASE("A shortened log keeps its voters")
{
  // The voters that founded the fleet stand in no entry of the log.
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

TEST_CASE("Announcements that are late or from another run")
{
  Log log;
  log.Announce("s1", "a", 10, 5, true, 1000);

  SECTION("an older sequence of the same run changes nothing")
  {
    log.Announce("s1", "a", 10, 4, false, 1000);
    CHECK(log.state_.FindServer("s1")->leaving());
  }

  SECTION("a new run begins its sequence anew")
  {
    log.Announce("s1", "a", 11, 1, false, 1000);
    CHECK_FALSE(log.state_.FindServer("s1")->leaving());
    log.Announce("s1", "a", 10, 9, true, 1000);
    CHECK_FALSE(log.state_.FindServer("s1")->leaving());
  }

  SECTION("a server takes the place of an older one at its address")
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
  Log log;
  log.SetDocument(4, "four");

  SECTION("the highest version wins, and others change nothing")
  {
    log.SetDocument(3, "three");
    log.SetDocument(4, "another four");
    CHECK(*log.state_.DocumentBody() == "four");
    log.SetDocument(9, "nine");
    CHECK(log.state_.CurrentDocument().version() == 9);
    CHECK(*log.state_.DocumentBody() == "nine");
  }

  SECTION("a snapshot carries it, with the holders of leases")
  {
    log.AddHolder("vm-a", "a");
    ControlState other;
    CHECK(other.InstallSnapshot(log.state_.MakeSnapshot()));
    CHECK(*other.DocumentBody() == "four");
    CHECK(other.LeaseHolders().at("vm-a") == "a");
  }

  SECTION("what is kept for others is bounded in bytes")
  {
    std::mt19937_64 random(1); // what does not compress
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

TEST_CASE("Compressed texts")
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

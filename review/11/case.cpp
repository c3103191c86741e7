// Case 11: while the platform answers promotions slowly, a second server is
// promoted although the first one's promotion is still to take effect. The
// first one is then made the primary, and loses the lead a moment later.
//
//   case-11 JAYDOORD RECORD
//
// The primary leaves (planned work). The platform takes 2.5 s for each
// promotion; with TROUBLE=0 it answers at once. Exits with 1 if a write was
// committed at an old primary after a promotion had taken effect, and was
// acknowledged to its client (rule ONE).

#include "review/Rig.h"

using namespace jaydoor::rig;

namespace {

constexpr int kEntries = 4;
constexpr int kWriters = 12;
constexpr Ms kLeaveAt = 2000; // after the start of traffic
constexpr Ms kTraffic = 25'000;
constexpr Ms kPlatformDelay = 2500;
constexpr Ms kWriteInterval = 60;
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

void
RunWriter(int aNumber, const Places& aPlaces, Outcomes& aOutcomes, Ms aUntil)
{
  Client client(aPlaces.Entry(aNumber % kEntries + 1), "primary", aOutcomes);
  for (int turn = 0; Now() < aUntil; turn++) {
    const std::string data = fmt::format("w{}-{}", aNumber, turn);
    if (client.Open()) {
      client.Query(fmt::format("WRITE item{} {}", aNumber, data), data);
    }
    SleepMs(kWriteInterval);
  }
}

// Counts acknowledged writes that a server committed after one of a later term
// had become the primary.
int
Judge(Group& aGroup, Outcomes& aOutcomes, Record& aRecord)
{
  const auto promotions = aGroup.Promotions();
  std::map<std::string, Outcome> acknowledged;
  for (const auto& outcome : aOutcomes.Copy()) {
    if (outcome.result_ == "COMPLETE") {
      acknowledged[outcome.id_] = outcome;
    }
  }
  int broken = 0;
  for (const auto& commit : aGroup.Commits()) {
    const auto found = acknowledged.find(commit.statement_);
    if (found == acknowledged.end()) {
      continue;
    }
    for (const auto& promotion : promotions) {
      if (promotion.term_ > commit.term_ && promotion.at_ < commit.at_) {
        aRecord.Add("BROKEN ONE: id={} sent at {}, committed at {} at {} in "
                    "term {}, acknowledged at {}; {} has led term {} since {}",
                    commit.statement_,
                    found->second.sentAt_,
                    commit.at_,
                    commit.server_,
                    commit.term_,
                    found->second.answeredAt_,
                    promotion.server_,
                    promotion.term_,
                    promotion.at_);
        broken++;
        break;
      }
    }
  }
  const auto kept = aGroup.ListKept();
  int lost = 0;
  for (const auto& [id, outcome] : acknowledged) {
    lost += kept.contains(outcome.data_) ? 0 : 1;
  }
  aRecord.Add("acknowledged={} committed_at_an_old_primary={} "
              "acknowledged_and_not_kept={}",
              acknowledged.size(),
              broken,
              lost);
  fmt::print("acknowledged={} committed_at_an_old_primary={} "
             "acknowledged_and_not_kept={}\n",
             acknowledged.size(),
             broken,
             lost);
  return broken;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return kCannotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool isCalm = trouble != nullptr && std::string(trouble) == "0";
  const char* delay = std::getenv("PLATFORM_MS");
  Record record(aArguments[2]);
  const Places places;
  GroupConfig config;
  for (int number = 0; number < 4; number++) {
    config.servers_.push_back(places.Server(number));
  }
  for (int number = 1; number <= 3; number++) {
    config.controls_.push_back(places.Control(number));
  }
  config.platform_ = places.Platform();
  Group group(config, record);
  Fleet fleet(places, aArguments[1], record);
  if (!group.Start(3)) {
    return kCannotRun;
  }
  fleet.StartAll(kEntries);
  if (!fleet.Configure(MakeConfig(1), 20'000) ||
      !fleet.AwaitReady(kEntries, 20'000)) {
    return kCannotRun;
  }
  SleepMs(5000);
  Outcomes outcomes(record);
  std::vector<std::thread> writers;
  const Ms start = Now();
  for (int number = 0; number < kWriters; number++) {
    writers.emplace_back(
      [&, number] { RunWriter(number, places, outcomes, start + kTraffic); });
  }
  // As in a release: the new server starts before the old one leaves.
  group.StartServer(3);
  SleepMs(kLeaveAt);
  if (!isCalm) {
    group.SetPlatformDelay(delay == nullptr ? kPlatformDelay
                                            : std::atol(delay));
    record.Add("the platform is slow from now on");
  }
  group.Leave(0);
  for (auto& writer : writers) {
    writer.join();
  }
  const auto promotions = group.Promotions();
  const int broken = Judge(group, outcomes, record);
  if (promotions.empty()) {
    return kCannotRun;
  }
  return broken > 0 ? kBroken : kHeld;
}

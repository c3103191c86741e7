// Case 12: with `syncReplicas` 1, a replica that lacks acknowledged commits is
// promoted, as the one that has them answers STATUS with BUSY for a moment.
//
//   case-12 JAYDOORD RECORD
//
// One replica receives nothing for 6 s, and the primary crashes meanwhile. The
// other replica has received every acknowledged commit, and is busy with reads.
// With TROUBLE=0 neither happens; the primary leaves, as planned work. Exits
// with 1 if an acknowledged commit isn't in the log of the server that is
// promoted (rule LOST).

#include "review/Rig.h"

using namespace jaydoor::rig;

namespace {

constexpr int kEntries = 4;
constexpr int kWriters = 6;
constexpr int kReaders = 26;
constexpr Ms kTraffic = 16'000;
constexpr Ms kDeafAt = 4000;  // after the start of traffic
constexpr Ms kCrashAt = 6500; // the same
constexpr Ms kDeafFor = 6000;
constexpr Ms kWriteInterval = 60;
constexpr Ms kReadInterval = 250;
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

void
RunReader(int aNumber, const Places& aPlaces, Outcomes& aOutcomes, Ms aUntil)
{
  Client client(
    aPlaces.Entry(aNumber % kEntries + 1), Word("bounded"), aOutcomes);
  while (Now() < aUntil) {
    if (client.Open()) {
      client.Query(fmt::format("READ item{}", aNumber % kWriters));
    }
    SleepMs(kReadInterval);
  }
}

int
Judge(Group& aGroup, Outcomes& aOutcomes, Record& aRecord)
{
  std::map<std::string, Outcome> acknowledged; // writes, by their data
  for (const auto& outcome : aOutcomes.Copy()) {
    if (outcome.result_ == "COMPLETE" && !outcome.data_.empty()) {
      acknowledged[outcome.data_] = outcome;
    }
  }
  int broken = 0;
  for (const auto& promotion : aGroup.Promotions()) {
    for (const auto& [data, outcome] : acknowledged) {
      if (outcome.answeredAt_ < promotion.at_ &&
          !promotion.log_.contains(data)) {
        aRecord.Add("BROKEN LOST: id={} {} acknowledged at {} isn't in the log "
                    "of {}, promoted at {}",
                    outcome.id_,
                    data,
                    outcome.answeredAt_,
                    promotion.server_,
                    promotion.at_);
        broken++;
      }
    }
  }
  aRecord.Add("acknowledged={} promotions={} lost={}",
              acknowledged.size(),
              aGroup.Promotions().size(),
              broken);
  fmt::print("acknowledged={} promotions={} lost={}\n",
             acknowledged.size(),
             aGroup.Promotions().size(),
             broken);
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
  Record record(aArguments[2]);
  const Places places;
  GroupConfig config;
  for (int number = 0; number < 3; number++) {
    config.servers_.push_back(places.Server(number));
  }
  for (int number = 1; number <= 3; number++) {
    config.controls_.push_back(places.Control(number));
  }
  config.platform_ = places.Platform();
  config.syncReplicas_ = 1;
  config.slots_ = 3;
  config.readMs_ = 40;
  Group group(config, record);
  Fleet fleet(places, aArguments[1], record);
  if (!group.Start(3)) {
    Finish(fleet, kCannotRun);
  }
  fleet.StartAll(kEntries);
  if (!fleet.Configure(MakeConfig(1, 1), 20'000) ||
      !fleet.AwaitReady(kEntries, 20'000)) {
    Finish(fleet, kCannotRun);
  }
  SleepMs(5000);
  Outcomes outcomes(record);
  std::vector<std::thread> clients;
  clients.reserve(kWriters + kReaders);
  const Ms start = Now();
  for (int number = 0; number < kWriters; number++) {
    clients.emplace_back(
      [&, number] { RunWriter(number, places, outcomes, start + kTraffic); });
  }
  for (int number = 0; number < kReaders; number++) {
    clients.emplace_back(
      [&, number] { RunReader(number, places, outcomes, start + kTraffic); });
  }
  SleepMs(start + kDeafAt - Now());
  if (!isCalm) {
    group.SetTransfer(2, kDeafFor);
    record.Add("server i-2 receives nothing for {} ms", kDeafFor);
  }
  SleepMs(start + kCrashAt - Now());
  if (isCalm) {
    group.Leave(0);
  } else {
    group.Crash(0);
  }
  for (auto& client : clients) {
    client.join();
  }
  const int broken = Judge(group, outcomes, record);
  if (group.Promotions().empty()) {
    Finish(fleet, kCannotRun);
  }
  Finish(fleet, broken > 0 ? kBroken : kHeld);
}

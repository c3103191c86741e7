// Case 12: a leader that was frozen while it connected to the platform sends
// its promotion when it wakes, with a lower fencing token than its successor.
//
//   case-12 JAYDOORD RECORD
//
// The primary leaves (planned work) while the platform is cut off for some
// seconds, and the leader freezes. With TROUBLE=0 neither happens. Exits with 1
// if the platform received a lower fencing token after a higher one (rule ONE).

#include "review/Rig.h"

using namespace jaydoor::rig;

namespace {

constexpr int kEntries = 4;
constexpr int kWriters = 8;
constexpr Ms kTraffic = 22'000;
constexpr Ms kLeaveAt = 2000; // after the start of traffic
constexpr Ms kFreezeAfter = 1200;
constexpr Ms kCutFor = 2500;
constexpr Ms kFreezeFor = 5000;
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

int
Judge(Group& aGroup, Record& aRecord)
{
  auto calls = aGroup.PromotionCalls();
  std::sort(
    calls.begin(), calls.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.arrivedAt_ < aRight.arrivedAt_;
    });
  int broken = 0;
  std::uint64_t highest = 0;
  for (const auto& call : calls) {
    if (call.token_ < highest) {
      aRecord.Add("BROKEN ONE: at {} the platform received token {} of {} for "
                  "{}, after token {}",
                  call.arrivedAt_,
                  call.token_,
                  call.holder_,
                  call.server_,
                  highest);
      broken++;
    }
    highest = std::max(highest, call.token_);
  }
  aRecord.Add("promotion_calls={} with_a_lower_token={}", calls.size(), broken);
  fmt::print(
    "promotion_calls={} with_a_lower_token={}\n", calls.size(), broken);
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
  const std::string leader = fleet.FindLeader();
  record.Add("leader: {}", leader);
  if (leader.empty()) {
    return kCannotRun;
  }
  const Ms leave = Now();
  if (!isCalm) {
    group.CutPlatform();
  }
  group.Leave(0);
  if (!isCalm) {
    SleepMs(leave + kFreezeAfter - Now());
    fleet.Signal(leader, SIGSTOP);
    SleepMs(leave + kCutFor - Now());
    group.JoinPlatform();
    SleepMs(leave + kFreezeAfter + kFreezeFor - Now());
    fleet.Signal(leader, SIGCONT);
  }
  for (auto& writer : writers) {
    writer.join();
  }
  const int broken = Judge(group, record);
  if (group.PromotionCalls().empty()) {
    return kCannotRun;
  }
  return broken > 0 ? kBroken : kHeld;
}

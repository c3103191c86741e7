// Case 11: a machine of the core is removed, and half a second later another
// one loses its disk. The successor of the first one has run for 10 s. The core
// never has a quorum again.
//
//   case-11 JAYDOORD RECORD
//
// With TROUBLE=0 nothing is removed or lost. Exits with 1 if, from recoveryS
// after the last machine is back, no configuration can be read any more (rule
// CONFIG).

#include "review/Rig.h"

using namespace jaydoor::rig;

namespace {

constexpr int kEntries = 3;
constexpr Ms kSuccessorTime = 10'000; // that the successor has run
constexpr Ms kGap = 500;              // from the removal to the lost disk
constexpr Ms kDownFor = 1000;         // of the machine that loses its disk
constexpr Ms kRecovery = 12'000;      // recoveryS
constexpr Ms kLookFor = 15'000;       // how long reads are tried then
constexpr int kVersion = 3;
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

bool
Replace(const Places& aPlaces, int aControl, int aVersion, Record& aRecord)
{
  const Address to = aPlaces.Control(aControl);
  int status = 0;
  for (int tries = 0; tries < 10 && status != 200; tries++) {
    status =
      CallHttp(to, "POST", Word("replace_path"), MakeConfig(aVersion), 1000)
        .status_;
    aRecord.Add(
      "operator: version {} to core-{} -> {}", aVersion, aControl, status);
  }
  return status == 200;
}

// Reads the configuration at each machine of the core that runs; returns the
// number of answers with the version that was acknowledged last.
int
CountReads(const Places& aPlaces, bool aIsCalm, Record& aRecord)
{
  int found = 0;
  for (int control = aIsCalm ? 1 : 2; control <= 4; control++) {
    const auto answer =
      CallHttp(aPlaces.Control(control), "GET", Word("fetch_path"), "", 2000);
    const bool isNewest =
      answer.status_ == 200 &&
      answer.body_.starts_with(fmt::format("{{\"version\":{},", kVersion));
    found += isNewest ? 1 : 0;
    aRecord.Add("operator: read at core-{} -> {}{}",
                control,
                answer.status_,
                isNewest ? ", the newest version" : "");
  }
  return found;
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
  const char* gap = std::getenv("GAP_MS"); // for trials
  Record record(aArguments[2]);
  const Places places;
  GroupConfig config;
  for (int number = 0; number < 3; number++) {
    config.servers_.push_back(places.Server(number));
  }
  for (int number = 2; number <= 4; number++) {
    config.controls_.push_back(places.Control(number));
  }
  config.platform_ = places.Platform();
  Group group(config, record);
  Fleet fleet(places, aArguments[1], record);
  if (!group.Start(3)) {
    Finish(fleet, kCannotRun);
  }
  fleet.StartAll(kEntries);
  if (!fleet.Configure(MakeConfig(1), 20'000) ||
      !fleet.AwaitReady(kEntries, 20'000)) {
    Finish(fleet, kCannotRun);
  }
  fleet.Start("core-4", false);
  SleepMs(kSuccessorTime);
  // The successor acknowledges a change, and so does a machine that stays.
  if (!Replace(places, 4, 2, record) || !Replace(places, 3, kVersion, record)) {
    Finish(fleet, kCannotRun);
  }
  SleepMs(1000);
  if (!isCalm) {
    record.Add("leader: {}", fleet.FindLeader());
    fleet.Signal("core-1", SIGKILL); // removed for good
    SleepMs(gap == nullptr ? kGap : std::atol(gap));
    fleet.Signal("core-2", SIGKILL);
    fleet.Get("core-2").WaitForEnd(std::chrono::seconds(5));
    fleet.DeleteDisk("core-2");
    SleepMs(kDownFor);
    fleet.Start("core-2", false);
  }
  const Ms back = Now();
  SleepMs(kRecovery);
  int reads = 0;
  int writes = 0;
  Outcomes outcomes(record);
  Client client(places.Entry(3), "primary", outcomes);
  while (Now() < back + kRecovery + kLookFor) {
    reads += CountReads(places, isCalm, record);
    writes +=
      client.Open() &&
          client.Query("WRITE item value", "value").result_ == "COMPLETE"
        ? 1
        : 0;
    SleepMs(500);
  }
  record.Add("reads={} writes={}", reads, writes);
  fmt::print("reads={} writes={}\n", reads, writes);
  if (reads == 0) {
    record.Add("BROKEN CONFIG: version {} was acknowledged and can't be read",
               kVersion);
  }
  Finish(fleet, reads == 0 ? kBroken : kHeld);
}

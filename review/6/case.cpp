// A follower of the core that was restarted installs a snapshot, the leader is
// killed meanwhile, and a machine that missed some changes returns. Does the
// core still hold every configuration that was acknowledged?

#include "../Bed.h"

#include <sys/stat.h>

namespace {

constexpr int kUnusedRoutes =
  700;                           // two times what big_config adds on the sheet
constexpr int kChangeGapMs = 60; // as in the storms of the sheet
constexpr int kMaxChanges = 900;
constexpr int kCompactionMs = 1200;
constexpr int kRollGapMs = 1450;
constexpr int kMaxRestarts = 8;
constexpr int kTransferMs = 700;
constexpr int kRestartMs = 2500;
constexpr int kMissedChanges = 5;
constexpr int kDarkMs = 400; // without power
constexpr int kRecoveryMs = 12'000;

bool
Exists(const std::string& aPath)
{
  struct stat status
  {};
  return stat(aPath.c_str(), &status) == 0;
}

} // namespace

int
main()
{
  using namespace bed;
  Bed bed({ .fronts_ = 1, .workMs_ = 8, .promoteMs_ = 1000 });
  bed.Start();
  Sleep(1000);
  int version = 10;
  int acked = 0;
  const auto change = [&](int aCore) {
    const int status = bed.ReplaceConfig(++version, aCore, kUnusedRoutes);
    if (status == 200) {
      acked = std::max(acked, version);
    }
    return status;
  };
  const auto stop = [&](int aCore) {
    const std::string name = Bed::CoreName(aCore);
    GetRecord().Write("%s gets SIGTERM", name.c_str());
    bed.GetProcess(name).Signal(SIGTERM);
    bed.Await("a core machine did not stop",
              [&] { return bed.GetProcess(name).HasEnded(); });
  };
  // The core machines are stopped and started in turn.
  for (int core = 1; core <= 3; core++) {
    stop(core);
    bed.StartProcess(Bed::CoreName(core), false);
    Sleep(kRollGapMs);
  }
  // The operator changes the configuration until all have compacted their logs,
  // which each does at a time of its own.
  const auto snapshotOf = [&](int aCore) {
    return bed.FindLastNumber(Bed::CoreName(aCore), "snapshot_taken index=");
  };
  const auto differ = [&] {
    return snapshotOf(1) > 0 && snapshotOf(2) > 0 && snapshotOf(3) > 0 &&
           (snapshotOf(1) != snapshotOf(2) || snapshotOf(2) != snapshotOf(3));
  };
  bool found = false;
  for (int i = 0; i < kMaxChanges && !found; i++) {
    change(1 + i % 3);
    Sleep(kChangeGapMs);
    if (differ()) {
      Sleep(kCompactionMs);
      found = differ();
    }
  }
  if (!found) {
    GiveUp("the logs were not compacted at different entries");
  }
  // Planned restarts, until the one leads whose log was compacted furthest.
  int target = 1;
  for (int core = 2; core <= 3; core++) {
    target = snapshotOf(core) > snapshotOf(target) ? core : target;
  }
  int leader = bed.FindLeader();
  for (int i = 0; i < kMaxRestarts && leader != target; i++) {
    std::vector<int> stopped;
    while (stopped.size() < 2 && leader != 0 && leader != target) {
      stop(leader);
      stopped.push_back(leader);
      Sleep(kTransferMs);
      leader = bed.FindLeader();
    }
    for (const int core : stopped) {
      bed.StartProcess(Bed::CoreName(core), false);
    }
    Sleep(kRestartMs);
    leader = bed.FindLeader();
  }
  int follower = 0;
  for (int core = 1; core <= 3; core++) {
    if (leader == target && snapshotOf(core) < snapshotOf(leader)) {
      follower = core;
    }
  }
  if (follower == 0) {
    GiveUp("no leader's log was compacted further than another one's");
  }
  const int other = 6 - leader - follower;
  const std::string leaderName = Bed::CoreName(leader);
  const std::string followerName = Bed::CoreName(follower);
  const std::string otherName = Bed::CoreName(other);
  GetRecord().Write(
    "version %d; %s leads, snapshot of %llu; %s has that of %llu, "
    "%s that of %llu",
    version,
    leaderName.c_str(),
    static_cast<unsigned long long>(snapshotOf(leader)),
    followerName.c_str(),
    static_cast<unsigned long long>(snapshotOf(follower)),
    otherName.c_str(),
    static_cast<unsigned long long>(snapshotOf(other)));
  if (HasTrouble()) {
    GetRecord().Write("%s loses power", otherName.c_str());
    bed.GetProcess(otherName).Signal(SIGSTOP);
    Sleep(100);
  }
  for (int i = 0; i < kMissedChanges; i++) {
    const int status = change(leader);
    GetRecord().Write(
      "version %d sent to %s -> %d", version, leaderName.c_str(), status);
  }
  const int ackedBefore = acked;
  if (HasTrouble()) {
    // A machine without power answers nothing; then it starts again.
    GetRecord().Write("%s loses power", followerName.c_str());
    bed.GetProcess(followerName).Signal(SIGSTOP);
    std::thread operatorThread([&] {
      const int status = change(leader);
      GetRecord().Write(
        "version %d sent to %s -> %d", version, leaderName.c_str(), status);
    });
    Sleep(kDarkMs);
    bed.StartProcess(followerName, false); // kills the former one
    GetRecord().Write("%s starts again", followerName.c_str());
    const std::string newFile = bed.DataPath(followerName) + "/log.new";
    const auto end = std::chrono::steady_clock::now() + Millis(4000);
    bool installs = false;
    while (!installs && std::chrono::steady_clock::now() < end) {
      installs = Exists(newFile);
    }
    bed.GetProcess(leaderName).Signal(SIGKILL);
    GetRecord().Write("%s is killed; %s %s",
                      leaderName.c_str(),
                      followerName.c_str(),
                      installs ? "installs a snapshot" : "installed none");
    bed.StartProcess(otherName, false); // kills the former one
    GetRecord().Write("%s starts again", otherName.c_str());
    operatorThread.join();
    Sleep(1000);
    bed.StartProcess(leaderName, false);
    GetRecord().Write("%s starts again", leaderName.c_str());
  }
  Sleep(kRecoveryMs);
  int highest = 0;
  for (int round = 0; round < 3; round++) {
    for (int core = 1; core <= 3; core++) {
      const int read = bed.FetchVersion(core);
      GetRecord().Write(
        "%s reads back version %d", Bed::CoreName(core).c_str(), read);
      highest = std::max(highest, read);
    }
    Sleep(300);
  }
  GetRecord().Write("acknowledged=%d (%d before the follower's loss) read=%d",
                    acked,
                    ackedBefore,
                    highest);
  if (highest == 0) {
    GiveUp("no machine answered a read of the configuration");
  }
  Finish(bed, highest < acked);
}

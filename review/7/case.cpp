// Two core machines are removed for good, 1.5 s apart, after their successors
// have run for 10 s. Does the core still answer?

#include "../Bed.h"

namespace {

constexpr int kSuccessorsRunMs = 10'000; // catchUpS is 4
constexpr int kGapMs = 1500;
constexpr int kRecoveryMs = 12'000;
constexpr int kLookMs = 8000;

} // namespace

int
main()
{
  using namespace bed;
  Bed bed({ .fronts_ = 3, .workMs_ = 8, .promoteMs_ = 1000 });
  bed.Start();
  Sleep(1000);
  for (const int core : { 4, 5 }) {
    bed.StartProcess(Bed::CoreName(core), false);
    GetRecord().Write("%s starts, with an empty disk",
                      Bed::CoreName(core).c_str());
  }
  Sleep(kSuccessorsRunMs);
  int version = 10;
  for (int core = 1; core <= 5; core++) {
    const int status = bed.ReplaceConfig(++version, core);
    GetRecord().Write("version %d sent to %s -> %d",
                      version,
                      Bed::CoreName(core).c_str(),
                      status);
    if (status != 200) {
      GiveUp("a change was not acknowledged before the removals");
    }
  }
  const std::vector<int> removed{ 1, 2 };
  if (HasTrouble()) {
    for (const int core : removed) {
      bed.GetProcess(Bed::CoreName(core)).Signal(SIGKILL);
      GetRecord().Write("%s is removed for good", Bed::CoreName(core).c_str());
      Sleep(kGapMs);
    }
  }
  Sleep(kRecoveryMs);
  int read = 0;
  const double until = GetRecord().Seconds() + kLookMs / 1000.0;
  while (GetRecord().Seconds() < until) {
    for (const int core : { 3, 4, 5 }) {
      const int answer = bed.FetchVersion(core);
      GetRecord().Write(
        "%s reads back version %d", Bed::CoreName(core).c_str(), answer);
      read = std::max(read, answer);
    }
    Sleep(700);
  }
  const int next = bed.ReplaceConfig(version + 1, 3);
  GetRecord().Write(
    "version %d sent to %s -> %d", version + 1, Bed::CoreName(3).c_str(), next);
  for (int front = 1; front <= 3; front++) {
    Client client(bed.FrontHost(front), kFrontPort);
    const bool open = client.Open("primary");
    const auto answer = client.Query("WRITE last 1", 3000);
    GetRecord().Write("a write at %s: %s",
                      Bed::FrontName(front).c_str(),
                      !open || answer.lines_.size() < 2
                        ? "no answer"
                        : answer.lines_[answer.lines_.size() - 2].c_str());
  }
  GetRecord().Write("acknowledged=%d read=%d", version, read);
  Finish(bed, read < version);
}

// Replaces two of the three control VMs, one after the other, as planned work:
// both successors have run for longer than kCatchUp before the first VM is told
// to stop. Then reads the configuration back.

#include "review/Case.h"

#include <csignal>

namespace jaydoor::review {
namespace {

constexpr int kEntryVms = 3;
// From the start of the successors to the first stop.
constexpr Duration kSuccessorsRunning = 10s;
// From the exit of the first VM to the stop of the second.
constexpr Duration kBetweenStops = 3s;
constexpr Duration kReadBack = 20s;
constexpr int kFirstSuccessor = 4; // control-4 replaces control-1
constexpr int kControlVms = 5;

// Stops a control VM for good. Returns false if it does not exit.
bool
Remove(tests::LineDeployment& aDeployment,
       const std::string& aName,
       Record& aRecord)
{
  aRecord.Write("SIGTERM to {}, which will not come back", aName);
  aDeployment.GetProcess(aName).Signal(SIGTERM);
  const int status = aDeployment.GetProcess(aName).WaitForEnd(kGracePeriod);
  aRecord.Write("{} has exited with status {}", aName, status);
  return status == 0;
}

// Reads the configuration from the VM. Returns true if it is the newest.
bool
ReadBack(const tests::LineDeployment& aDeployment,
         int aControl,
         const std::string& aNewest,
         Record& aRecord)
{
  const auto answer = aDeployment.FetchConfig(aControl);
  const bool newest = answer.status_ == 200 && answer.body_ == aNewest;
  aRecord.Write(
    "read from control-{}: {} newest={}", aControl, answer.status_, newest);
  return newest;
}

int
Run(Record& aRecord)
{
  tests::LineDeployment deployment(MakeDeploymentConfig(kEntryVms));
  const auto first = tests::LineDeployment::MakeConfig(1);
  if (!WaitUntilServing(deployment, kEntryVms, first, aRecord)) {
    return kCouldNotRun;
  }
  for (int number = kFirstSuccessor; number <= kControlVms; number++) {
    deployment.Start(fmt::format("control-{}", number), false);
    aRecord.Write("control-{} started as the successor of control-{}",
                  number,
                  number - kFirstSuccessor + 1);
  }
  static_assert(kSuccessorsRunning > kCatchUp);
  std::this_thread::sleep_for(kSuccessorsRunning);
  const auto newest = tests::LineDeployment::MakeConfig(2);
  const bool stored =
    WaitUntil(10s, [&] { return deployment.ReplaceConfig(3, newest) == 200; });
  aRecord.Write("configuration 2 acknowledged: {}", stored);
  if (!stored) {
    return kCouldNotRun;
  }
  if (HasTrouble()) {
    if (!Remove(deployment, "control-1", aRecord)) {
      return kCouldNotRun;
    }
    std::this_thread::sleep_for(kBetweenStops);
    if (!Remove(deployment, "control-2", aRecord)) {
      return kCouldNotRun;
    }
  }
  std::this_thread::sleep_for(kRecovery);
  bool readBack = false;
  const auto end = std::chrono::steady_clock::now() + kReadBack;
  while (std::chrono::steady_clock::now() < end) {
    for (int control = 3; control <= kControlVms; control++) {
      readBack |= ReadBack(deployment, control, newest, aRecord);
    }
    for (int entry = 1; entry <= kEntryVms; entry++) {
      aRecord.Write("write through entry-{} acknowledged: {}",
                    entry,
                    deployment.WriteItem(entry, "later", "y"));
    }
    std::this_thread::sleep_for(1s);
  }
  return readBack ? kRuleHeld : kRuleBroken;
}

} // namespace
} // namespace jaydoor::review

int
main(int, char** aArguments)
{
  jaydoor::review::Record record(aArguments[1]);
  return jaydoor::review::Finish(jaydoor::review::Run(record), record);
}

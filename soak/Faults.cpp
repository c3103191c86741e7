#include "soak/Faults.h"

#include "soak/Keys.h"

#include "daemon/Clock.h"

#include <algorithm>
#include <csignal>
#include <thread>

#include <fmt/format.h>

namespace jaydoor::soak {
namespace {

constexpr std::size_t kControls = 3;
// The last one of the first control VMs stays: the settings of all VMs and
// servers name no others.
constexpr int kMaxControl = 5;
constexpr std::size_t kServers = 3;
constexpr int kMissedProbes = 2;
constexpr Duration kGrace = 6s; // from SIGTERM to SIGKILL
constexpr Duration kDrainBound = 7s;
constexpr Duration kEndTimeout = 5s;
// A VM counts as lost for this long after its start.
constexpr Duration kCatchUpTime = 4s;
constexpr Duration kStep = 100ms;

// The number of "control-4" is 4.
int
GetNumber(const std::string& aVm)
{
  return std::stoi(aVm.substr(aVm.find('-') + 1));
}

} // namespace

// ---- The load balancer

void
Rotation::Probe(const tests::LineDeployment& aDeployment)
{
  for (std::size_t i = 0; i < entries_.size(); i++) {
    const bool ready = aDeployment.IsReady(static_cast<int>(i) + 1);
    entries_[i].missed_ = ready ? 0 : entries_[i].missed_ + 1;
  }
}

int
Rotation::Choose(std::mt19937_64& aRandom) const
{
  std::vector<int> ready;
  for (std::size_t i = 0; i < entries_.size(); i++) {
    if (entries_[i].missed_ < kMissedProbes) {
      ready.push_back(static_cast<int>(i) + 1);
    }
  }
  return ready.empty() ? static_cast<int>(aRandom() % entries_.size()) + 1
                       : ready[aRandom() % ready.size()];
}

// ---- Disturbances

Faults::Faults(tests::LineDeployment& aDeployment,
               History& aHistory,
               std::uint64_t aSeed,
               int aEntryVms)
  : deployment_(aDeployment)
  , history_(aHistory)
  , random_(aSeed)
  , entryVms_(aEntryVms)
{
}

void
Faults::Plan(Time aAt, std::function<void()> aAction)
{
  planned_.push_back({ aAt, std::move(aAction) });
}

void
Faults::Step(Time aNow)
{
  for (std::size_t i = 0; i < planned_.size();) {
    if (aNow >= planned_[i].at_) {
      const auto action = std::move(planned_[i].action_);
      planned_.erase(planned_.begin() + static_cast<std::ptrdiff_t>(i));
      action();
    } else {
      i++;
    }
  }
  if (!nextAt_ || aNow >= *nextAt_) {
    Disturb(aNow);
    // Often several at once, then a pause.
    const bool isSeries = random_() % 3 != 0;
    nextAt_ = aNow + std::chrono::milliseconds(isSeries ? random_() % 300
                                                        : random_() % 4000);
  }
}

void
Faults::EndAll()
{
  while (!planned_.empty()) {
    const auto action = std::move(planned_.front().action_);
    planned_.pop_front();
    action();
  }
}

bool
Faults::IsUndisturbed(const std::string& aVm) const
{
  return !disturbed_.contains(aVm);
}

std::size_t
Faults::CountUndisturbedControls() const
{
  std::size_t count = 0;
  for (const auto& vm : controls_) {
    count += IsUndisturbed(vm) ? 1U : 0U;
  }
  return count;
}

std::string
Faults::ChooseEntry()
{
  return fmt::format("entry-{}",
                     random_() % static_cast<unsigned>(entryVms_) + 1);
}

std::string
Faults::ChooseControl()
{
  return controls_[random_() % controls_.size()];
}

void
Faults::StartVm(const std::string& aVm)
{
  deployment_.Start(aVm, false);
  disturbed_.erase(aVm);
}

void
Faults::Disturb(Time aNow)
{
  switch (random_() % 12) {
    case 0:
    case 1:
      Kill(ChooseEntry(), aNow, false);
      break;
    case 2:
    case 3:
      Stop(ChooseEntry(), aNow);
      break;
    case 4:
      Freeze(random_() % 2 == 0 ? ChooseEntry() : ChooseControl(), aNow);
      break;
    case 5:
      Kill(ChooseControl(), aNow, random_() % 3 == 0);
      break;
    case 6:
      if (random_() % 4 == 0) {
        KillAllControls(aNow);
      }
      break;
    case 7:
      CrashServer(aNow);
      break;
    case 8:
      LeaveServer(aNow);
      break;
    case 9: {
      const std::string vm = ChooseEntry();
      if (IsUndisturbed(vm)) {
        counts_["hup"]++;
        deployment_.GetProcess(vm).Signal(SIGHUP);
      }
      break;
    }
    case 10:
      ReplaceControl(aNow);
      break;
    default:
      ReplaceConfig();
      SendOddHeartbeat();
      break;
  }
}

// No more than one control VM at a time is disturbed on its own.
void
Faults::Kill(const std::string& aVm, Time aNow, bool aLosesDisk)
{
  const bool isControl = aVm.starts_with("control");
  if (!IsUndisturbed(aVm) ||
      (isControl && CountUndisturbedControls() < kControls)) {
    return;
  }
  counts_[aLosesDisk ? "lost disk" : "kill"]++;
  disturbed_.insert(aVm);
  deployment_.GetProcess(aVm).Signal(SIGKILL);
  deployment_.GetProcess(aVm).WaitForEnd(kEndTimeout);
  if (aLosesDisk) {
    deployment_.DeleteDisk(aVm);
  }
  const Duration down = std::chrono::milliseconds(50 + random_() % 2500);
  if (!aLosesDisk) {
    Plan(aNow + down, [this, aVm] { StartVm(aVm); });
    return;
  }
  // A lost disk counts as lost for a while after its VM is back.
  Plan(aNow + down, [this, aVm] { deployment_.Start(aVm, false); });
  Plan(aNow + down + kCatchUpTime, [this, aVm] { disturbed_.erase(aVm); });
}

// SIGTERM; the process is given its grace period, and is started again later.
void
Faults::Stop(const std::string& aVm, Time aNow)
{
  if (!IsUndisturbed(aVm)) {
    return;
  }
  counts_["stop"]++;
  disturbed_.insert(aVm);
  deployment_.GetProcess(aVm).Signal(SIGTERM);
  const Time end = aNow + kGrace;
  Plan(end, [this, aVm, end] {
    standin::Process& process = deployment_.GetProcess(aVm);
    // EndAll does not wait for the end of the grace period.
    if (process.WaitForEnd(0s) == -1 && ReadClock() >= end) {
      history_.RecordFailure(aVm + " did not stop within its grace period");
    }
    process.Signal(SIGKILL);
    process.WaitForEnd(kEndTimeout);
    StartVm(aVm);
  });
}

void
Faults::Freeze(const std::string& aVm, Time aNow)
{
  const bool isControl = aVm.starts_with("control");
  if (!IsUndisturbed(aVm) ||
      (isControl && CountUndisturbedControls() < kControls)) {
    return;
  }
  counts_["freeze"]++;
  disturbed_.insert(aVm);
  deployment_.GetProcess(aVm).Signal(SIGSTOP);
  Plan(aNow + std::chrono::milliseconds(100 + random_() % 4000), [this, aVm] {
    deployment_.GetProcess(aVm).Signal(SIGCONT);
    disturbed_.erase(aVm);
  });
}

void
Faults::KillAllControls(Time aNow)
{
  if (CountUndisturbedControls() < kControls) {
    return;
  }
  counts_["kill of all control VMs"]++;
  for (const auto& vm : controls_) {
    disturbed_.insert(vm);
    deployment_.GetProcess(vm).Signal(SIGKILL);
  }
  for (const auto& vm : controls_) {
    deployment_.GetProcess(vm).WaitForEnd(kEndTimeout);
    Plan(aNow + std::chrono::milliseconds(random_() % 1000),
         [this, vm] { StartVm(vm); });
  }
}

// A control VM is gone for good, and another one with an empty disk takes its
// place: before it is told to stop, or after it was killed.
void
Faults::ReplaceControl(Time aNow)
{
  const std::size_t place = random_() % (kControls - 1);
  const bool isPlanned = random_() % 2 == 0;
  if (lastControl_ == kMaxControl || CountUndisturbedControls() < kControls) {
    return;
  }
  counts_[isPlanned ? "planned replacement" : "replacement"]++;
  const std::string former = controls_[place];
  const std::string successor = fmt::format("control-{}", ++lastControl_);
  controls_[place] = successor;
  disturbed_.insert(successor);
  const Time startAt = isPlanned ? aNow : aNow + 1s;
  Plan(startAt, [this, successor] { deployment_.Start(successor, false); });
  Plan(startAt + kCatchUpTime,
       [this, successor] { disturbed_.erase(successor); });
  if (!isPlanned) {
    deployment_.GetProcess(former).Signal(SIGKILL);
    deployment_.GetProcess(former).WaitForEnd(kEndTimeout);
    return;
  }
  const Time stopAt =
    aNow + kCatchUpTime + std::chrono::milliseconds(random_() % 2000);
  Plan(stopAt,
       [this, former] { deployment_.GetProcess(former).Signal(SIGTERM); });
  Plan(stopAt + kGrace, [this, former, end = stopAt + kGrace] {
    standin::Process& process = deployment_.GetProcess(former);
    if (process.WaitForEnd(0s) == -1 && ReadClock() >= end) {
      history_.RecordFailure(former + " did not stop within its grace period");
    }
    process.Signal(SIGKILL);
    process.WaitForEnd(kEndTimeout);
  });
}

void
Faults::ReplaceConfig()
{
  counts_["config"]++;
  const unsigned status = deployment_.ReplaceConfig(
    GetNumber(ChooseControl()), MakeConfig(++configVersion_));
  if (status == 200) {
    storedVersion_ = configVersion_;
  }
}

void
Faults::CheckConfig(Duration aLimit)
{
  const Time end = ReadClock() + aLimit;
  for (const auto& vm : controls_) {
    bool isNewest = false;
    while (!isNewest && ReadClock() < end) {
      const HttpCallResult answer = deployment_.FetchConfig(GetNumber(vm));
      for (int version = storedVersion_; version <= configVersion_; version++) {
        isNewest = isNewest || (answer.status_ == 200 &&
                                answer.body_ == MakeConfig(version));
      }
      std::this_thread::sleep_for(isNewest ? Duration{} : kStep);
    }
    if (!isNewest) {
      history_.RecordFailure(
        fmt::format("{} did not return configuration {} or a later one",
                    vm,
                    storedVersion_.load()));
    }
  }
}

void
Faults::CrashServer(Time aNow)
{
  const std::size_t server = random_() % kServers;
  if (!disturbedServers_.empty()) {
    return;
  }
  counts_["server crash"]++;
  disturbedServers_.insert(server);
  deployment_.RunOnGroupThread([&](auto& aGroup) {
    aGroup.Crash(server);
    return true;
  });
  Plan(aNow + std::chrono::milliseconds(200 + random_() % 4000),
       [this, server] {
         disturbedServers_.erase(server);
         deployment_.RunOnGroupThread([&](auto& aGroup) {
           aGroup.Restart(server);
           return true;
         });
       });
}

// A server says that it leaves, ends some time after the drain bound, and is
// started anew. All servers may leave at the same time.
void
Faults::LeaveServer(Time aNow)
{
  const std::size_t server = random_() % kServers;
  if (!disturbedServers_.insert(server).second) {
    return;
  }
  counts_["server leaves"]++;
  deployment_.RunOnGroupThread([&](auto& aGroup) {
    aGroup.Leave(server);
    return true;
  });
  Plan(aNow + kDrainBound + std::chrono::milliseconds(1000 + random_() % 4000),
       [this, server] {
         disturbedServers_.erase(server);
         deployment_.RunOnGroupThread([&](auto& aGroup) {
           aGroup.Crash(server);
           aGroup.Restart(server);
           return true;
         });
       });
}

void
Faults::SendOddHeartbeat()
{
  const int control = GetNumber(ChooseControl());
  const std::string body = tests::LineDeployment::MakeHeartbeat(
    random_() % 2 == 0 ? "127.0.0.9:70000" : "127.0.0.9:9001",
    random_() % 2 == 0 ? "18446744073709551615" : "1e400");
  const unsigned status = deployment_.SendHeartbeat(
    control, random_() % 2 == 0 ? "odd" : "odd\xff", body);
  if (status == 200) {
    history_.RecordFailure("an odd announcement was acknowledged");
  }
}

void
Faults::CheckProcesses()
{
  const auto check = [this](const std::string& aVm) {
    if (IsUndisturbed(aVm) &&
        deployment_.GetProcess(aVm).WaitForEnd(0s) != -1) {
      history_.RecordFailure(aVm + " has ended by itself");
      StartVm(aVm);
    }
  };
  for (const auto& vm : controls_) {
    check(vm);
  }
  for (int i = 1; i <= entryVms_; i++) {
    check(fmt::format("entry-{}", i));
  }
}

} // namespace jaydoor::soak

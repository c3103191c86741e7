#pragma once

// Disturbs a deployment: signals to its processes, lost disks, control VMs that
// are replaced, servers that crash or leave, changes of the configuration, odd
// announcements. What happens
// and when depends only on the seed; disturbances overlap and come in series.

#include "soak/History.h"
#include "tests/LineDeployment.h"

#include <atomic>
#include <deque>
#include <functional>
#include <optional>
#include <random>

namespace jaydoor::soak {

// Stand-in for the load balancer: which entry VMs get new sessions.
class Rotation
{
public:
  explicit Rotation(int aEntryVms)
    : entries_(static_cast<std::size_t>(aEntryVms))
  {
  }

  void Probe(const tests::LineDeployment& aDeployment);
  // Returns one of the VMs in rotation, or of all if there are none.
  int Choose(std::mt19937_64& aRandom) const;

private:
  struct Entry
  {
    std::atomic<int> missed_ = 0; // successive probes without a 200
  };

  std::vector<Entry> entries_;
};

class Faults
{
public:
  Faults(tests::LineDeployment& aDeployment,
         History& aHistory,
         std::uint64_t aSeed,
         int aEntryVms);

  // Starts new disturbances and ends those that are due.
  void Step(Time aNow);
  // Ends all disturbances, so that all processes and servers run.
  void EndAll();
  // Reports processes that have ended by themselves.
  void CheckProcesses();
  // Checks that each control VM returns a configuration that is no older than
  // the newest one that was acknowledged.
  void CheckConfig(Duration aLimit);
  const std::map<std::string, int>& Counts() const { return counts_; }
  // Version of the newest configuration that was acknowledged. May be called by
  // any thread.
  const std::atomic<int>& StoredVersion() const { return storedVersion_; }

private:
  struct Planned
  {
    Time at_;
    std::function<void()> action_;
  };

  void Plan(Time aAt, std::function<void()> aAction);
  void Disturb(Time aNow);
  void Kill(const std::string& aVm, Time aNow, bool aLosesDisk);
  void Stop(const std::string& aVm, Time aNow);
  void Freeze(const std::string& aVm, Time aNow);
  void KillAllControls(Time aNow);
  void ReplaceControl(Time aNow);
  void ReplaceConfig();
  void CrashServer(Time aNow);
  void LeaveServer(Time aNow);
  void SendOddHeartbeat();
  void StartVm(const std::string& aVm);
  std::string ChooseEntry();
  std::string ChooseControl();
  bool IsUndisturbed(const std::string& aVm) const;
  std::size_t CountUndisturbedControls() const;

  tests::LineDeployment& deployment_;
  History& history_;
  std::mt19937_64 random_;
  int entryVms_ = 0;
  // Those that are in use; replaced ones are left out.
  std::vector<std::string> controls_{ "control-1", "control-2", "control-3" };
  int lastControl_ = 3; // highest number given so far
  std::deque<Planned> planned_;
  std::set<std::string> disturbed_; // VMs that are down, stopping or frozen
  std::set<std::size_t> disturbedServers_;
  std::optional<Time> nextAt_;
  int configVersion_ = 1;
  std::atomic<int> storedVersion_ = 1; // newest one that was acknowledged
  std::map<std::string, int> counts_;  // disturbances, by kind
};

} // namespace jaydoor::soak

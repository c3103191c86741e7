#pragma once

// Drives a TrafficNode on the traffic thread. It serves callers over HTTP,
// owners on other VMs over links, upstreams over HTTP, and the timer.

#include "daemon/ControlShell.h"
#include "daemon/Http.h"
#include "daemon/Settings.h"
#include "traffic/TrafficNode.h"

#include <functional>
#include <memory>

namespace jaydoor {

class TrafficShell
{
public:
  // `aSuspect` is called on the traffic thread.
  TrafficShell(const Settings& aSettings,
               std::function<void(wire::Suspicion)> aSuspect);
  ~TrafficShell();
  TrafficShell(const TrafficShell&) = delete;
  TrafficShell& operator=(const TrafficShell&) = delete;

  // Opens the ports. Returns an error if one of them can't be opened.
  Expected<bool> Start();
  // Runs until Stop() is called; call it on the traffic thread.
  void Run();

  // The functions below may be called on any thread.
  void SetView(FleetViewPtr aView, std::vector<wire::Vm> aVms);
  void SetDraining(bool aOn);
  // Calls back on the traffic thread once nothing is in flight.
  void NotifyWhenIdle(std::function<void()> aCallback);
  void Stop();
  // Calls back on the traffic thread with the metrics text.
  void CollectMetrics(std::function<void(std::string)> aCallback);
  // Calls back on the traffic thread with the figures of the owned upstreams.
  void CollectUpstreamStats(
    std::function<void(std::vector<UpstreamStats>)> aCallback);

  // The functions of this thread for the control thread.
  TrafficInterface MakeInterface();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace jaydoor

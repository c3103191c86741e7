#pragma once

// Drives a TrafficNode on the traffic thread: callers over HTTP, owners over
// links, upstreams over HTTP, and the clock.

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

  // Opens the ports.
  Expected<bool> Start();
  // Runs until Stop; call on the traffic thread.
  void Run();

  // From any thread:
  void SetView(FleetViewPtr aView, std::vector<wire::Vm> aVms);
  void SetDraining(bool aOn);
  // Calls back on the traffic thread once nothing is in flight.
  void NotifyWhenIdle(std::function<void()> aCallback);
  void Stop();
  // Calls back on the traffic thread with the metrics text.
  void CollectMetrics(std::function<void(std::string)> aCallback);
  // Calls back on the traffic thread with what is known of the upstreams.
  void CollectUpstreamStats(
    std::function<void(std::vector<UpstreamStats>)> aCallback);

  // This thread as the control thread needs it.
  TrafficInterface MakeInterface();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace jaydoor

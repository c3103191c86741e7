#pragma once

// Drives a ControlNode on the control thread: links, the voter's disk, calls
// to upstreams for promotions, and the HTTP port of operators and upstreams.

#include "daemon/Settings.h"
#include "daemon/TrafficShell.h"

#include <memory>

namespace jaydoor {

class ControlShell
{
public:
  ControlShell(const Settings& aSettings, TrafficShell& aTraffic);
  ~ControlShell();
  ControlShell(const ControlShell&) = delete;
  ControlShell& operator=(const ControlShell&) = delete;

  // Opens disk and ports.
  Expected<bool> Start();
  // Runs until Stop; call on the control thread.
  void Run();

  // From any thread:
  void Suspect(wire::Suspicion aSuspicion);
  // Stops taking new work; the callback comes once nothing is in flight.
  void DrainAndStop();
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace jaydoor

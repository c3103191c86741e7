#pragma once

// Drives a ControlNode on the control thread: links, the voter's disk, calls
// to upstreams for promotions, and the HTTP port of operators and upstreams.

#include "control/ControlNode.h"
#include "daemon/Settings.h"

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace jaydoor {

// What a traffic thread knows of one upstream.
struct UpstreamStats
{
  ServerId server_;
  LogPoint point_;
  bool unreachable_ = false;
  std::size_t queuedStatements_ = 0;
  std::size_t connectionCount_ = 0;
};

// The traffic thread, as the control thread needs it. Each function may be
// called on any thread; callbacks come on the traffic thread.
struct TrafficInterface
{
  std::function<void(FleetViewPtr, std::vector<wire::Vm>)> setView_;
  std::function<void(bool)> setDraining_;
  std::function<void(std::function<void()>)> notifyWhenIdle_;
  std::function<void(std::function<void(std::string)>)> collectMetrics_;
  std::function<void(std::function<void(std::vector<UpstreamStats>)>)>
    collectUpstreamStats_;
  std::function<void(wire::LeaseGrant)> deliverLeaseGrant_;
  std::function<void(wire::LeaseRevoke)> deliverLeaseRevocation_;
};

// Calls for changes of primary that an outside service performs. They run on
// the control thread, and each ends in one call of its callback.
struct OutsideInterface
{
  std::function<void(const RequestServerStatus&,
                     std::function<void(std::optional<ServerStatus>)>)>
    requestServerStatus_;
  std::function<void(const RequestPromotion&,
                     std::function<void(PromotionAnswer)>)>
    requestPromotion_;
};

class ControlShell
{
public:
  ControlShell(const Settings& aSettings,
               TrafficInterface aTraffic,
               OutsideInterface aOutside = {});
  ~ControlShell();
  ControlShell(const ControlShell&) = delete;
  ControlShell& operator=(const ControlShell&) = delete;

  // Opens disk and ports.
  Expected<bool> Start();
  // Runs until Stop; call on the control thread.
  void Run();
  boost::asio::io_context& Context();

  // On the control thread:
  void AnnounceUpstream(wire::Upstream aUpstream);
  // Takes the body as the operator sent it. True once the configuration, or a
  // later one, is stored for good; false if that is not known in time.
  boost::asio::awaitable<bool> StoreDocument(wire::Document aDocument);
  // The newest configuration, or none if this VM can't prove that it has it.
  boost::asio::awaitable<std::shared_ptr<const std::string>> ReadDocument();
  // Servers known now, for checks of what announces itself.
  const ControlState& State() const;
  // Other VMs to join through; those that are known stay.
  void AddSeeds(std::vector<wire::Vm> aSeeds);

  // From any thread:
  void ReportSuspicion(wire::Suspicion aSuspicion);
  void RequestLeases(wire::LeaseRequest aRequest);
  void ReleaseLeases(wire::LeaseRelease aRelease);
  // Stops taking new work; the callback comes once nothing is in flight.
  void DrainAndStop();
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace jaydoor

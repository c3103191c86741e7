#pragma once

// Drives a ControlNode on the control thread. It serves the links to other VMs,
// the voter's disk, the calls to upstreams for promotions, and the HTTP port of
// operators and upstreams.

#include "control/ControlNode.h"
#include "daemon/Settings.h"
#include "gateway/Explanation.h"

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace jaydoor {

// What the traffic thread knows about one upstream.
struct UpstreamStats
{
  ServerId server_;
  LogPoint point_;
  bool unreachable_ = false;
  std::size_t queuedStatements_ = 0;
  std::size_t connectionCount_ = 0;
};

// The functions of the traffic thread that the control thread calls. Each may
// be called on any thread; callbacks run on the traffic thread.
struct TrafficInterface
{
  std::function<void(FleetViewPtr, std::vector<wire::Vm>)> setView_;
  std::function<void(bool)> setDraining_;
  std::function<void(std::function<void()>)> notifyWhenIdle_;
  std::function<void(std::function<void(std::string)>)> collectMetrics_;
  std::function<void(std::function<void(std::vector<UpstreamStats>)>)>
    collectUpstreamStats_;
  // The callback gets nothing if this VM does not serve sessions.
  std::function<void(ExplanationRequest,
                     std::function<void(std::optional<Explanation>)>)>
    explain_;
  std::function<void(wire::LeaseGrant)> deliverLeaseGrant_;
  std::function<void(wire::LeaseRevoke)> deliverLeaseRevocation_;
};

// Requests for changes of primary that an external service performs. They run
// on the control thread, and each calls its callback exactly once.
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

  // Opens the voter's disk and the ports. Returns an error if one of them can't
  // be opened.
  Expected<bool> Start();
  // Runs until Stop() is called; call it on the control thread.
  void Run();
  boost::asio::io_context& Context();

  // The functions down to AddSeeds() must be called on the control thread.

  // Registers an upstream with the fleet, or updates its entry.
  void AnnounceUpstream(wire::Upstream aUpstream);
  // The same for a server that is leaving. Returns true once the control log
  // says so, and false if that takes too long: the server has to try another
  // VM.
  boost::asio::awaitable<bool> RecordLeaving(wire::Upstream aUpstream);
  // The server exits. Returns as RecordLeaving does.
  boost::asio::awaitable<bool> RecordDeregistration(ServerId aServer);
  // Stores the operators' configuration; the body is as the operator sent it.
  // True once this configuration or a later one is stored durably, false if
  // this is not known within the time limit for operator requests.
  boost::asio::awaitable<bool> StoreDocument(wire::Document aDocument);
  // The newest configuration, or null if this VM can't prove that it has it.
  boost::asio::awaitable<std::shared_ptr<const std::string>> ReadDocument();
  // The control state, which lists the known servers; used to check
  // announcements.
  const ControlState& State() const;
  // Adds VMs through which this VM joins the fleet; known ones are kept.
  void AddSeeds(std::vector<wire::Vm> aSeeds);

  // The functions below may be called on any thread.
  void ReportSuspicion(wire::Suspicion aSuspicion);
  void RequestLeases(wire::LeaseRequest aRequest);
  void ReleaseLeases(wire::LeaseRelease aRelease);
  // Takes no new work, and stops once nothing is in flight or the drain limit
  // has passed.
  void DrainAndStop();
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace jaydoor

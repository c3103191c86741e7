// The part of ControlNode that publishes its state: views for the traffic
// threads, and events in the program's log.

#include "control/ControlNode.h"

#include <algorithm>

#include <fmt/format.h>

namespace jaydoor {
namespace {

// Time between two views. With 100 VMs and 24 servers it is 6 ms.
constexpr Duration kViewIntervalPerItem = 50us;
constexpr Duration kMaxViewInterval = 250ms;

} // namespace

// Logs what has changed since the last view was published.
void
ControlNode::LogStateChanges(ControlActions& aOut)
{
  if (state_.RulesVersion() != loggedRulesVersion_) {
    loggedRulesVersion_ = state_.RulesVersion();
    aOut.push_back(LogControlEvent{
      Event::RulesInForce, fmt::format("version={}", loggedRulesVersion_) });
  }
  if (state_.CurrentDocument().version() != loggedDocumentVersion_) {
    loggedDocumentVersion_ = state_.CurrentDocument().version();
    const auto& body = state_.DocumentBody();
    aOut.push_back(
      LogControlEvent{ body ? Event::DocumentInForce : Event::DocumentRefused,
                       fmt::format("version={} bytes={} index={}",
                                   loggedDocumentVersion_,
                                   body ? body->size() : 0,
                                   state_.Index()) });
  }
  for (const auto& [name, database] : state_.Databases()) {
    std::uint64_t& loggedTerm = loggedPrimaryTerms_[name];
    if (database.primary_term() > loggedTerm) {
      loggedTerm = database.primary_term();
      aOut.push_back(
        LogControlEvent{ Event::PrimaryChanged,
                         fmt::format("database={} server={} term={}",
                                     name,
                                     database.primary(),
                                     loggedTerm) });
    }
  }
  if (state_.ServersRevision() != loggedServersRevision_) {
    loggedServersRevision_ = state_.ServersRevision();
    LogServerChanges(aOut);
  }
}

// Logs servers that were added, removed, or started to leave.
void
ControlNode::LogServerChanges(ControlActions& aOut)
{
  std::map<ServerId, bool> servers; // true: leaving
  for (const auto& [name, database] : state_.Databases()) {
    for (const auto& server : database.servers()) {
      servers[server.server()] = server.leaving();
    }
  }
  const auto logServer = [&aOut](Event aEvent, const ServerId& aServer) {
    aOut.push_back(
      LogControlEvent{ aEvent, fmt::format("server={}", aServer) });
  };
  for (const auto& [server, leaving] : servers) {
    const auto before = loggedServers_.find(server);
    if (before == loggedServers_.end()) {
      logServer(Event::UpstreamCame, server);
    }
    const bool wasLeaving = before != loggedServers_.end() && before->second;
    if (leaving && !wasLeaving) {
      logServer(Event::UpstreamLeaving, server);
    }
  }
  for (const auto& [server, leaving] : loggedServers_) {
    if (!servers.contains(server)) {
      logServer(Event::UpstreamGone, server);
    }
  }
  loggedServers_ = std::move(servers);
}

std::vector<VmView>
ControlNode::ListVms() const
{
  std::vector<VmView> vms;
  membership_.VisitLiveVms([&](const wire::Vm& aVm) {
    vms.push_back({ aVm.id(), aVm.zone(), aVm.leaving() });
  });
  std::sort(vms.begin(), vms.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.id_ < aRight.id_;
  });
  return vms;
}

// Publishes a view if something has changed since the last one. Building a view
// visits all VMs and servers, and while a fleet starts, each of these is a
// change. So the time between two views grows with their number; a change that
// comes alone is published at once.
void
ControlNode::TickView(Time aNow, ControlActions& aOut)
{
  if (!viewOutdated_ || aNow < nextViewAt_) {
    return;
  }
  viewOutdated_ = false;
  std::vector<VmView> vms = ListVms();
  const std::size_t items = vms.size() + state_.CountServers();
  nextViewAt_ =
    aNow + std::min(kViewIntervalPerItem * static_cast<Duration::rep>(items),
                    kMaxViewInterval);
  owners_ = OwnerMap(vms);
  LogStateChanges(aOut);
  counters_.views_++;
  aOut.push_back(PublishView{ BuildView(std::move(vms)) });
}

// Builds the view from the control state. A server that announced to this VM
// that it is leaving counts as leaving at once, before the control log says so.
FleetViewPtr
ControlNode::BuildView(std::vector<VmView> aVms) const
{
  auto view = BuildFleetView(state_, std::move(aVms), stateProven_);
  for (const auto& [id, announcement] : announcements_) {
    const auto found = view->servers_.find(id);
    const bool isNewest = found != view->servers_.end() &&
                          GetAnnouncementOrder(announcement.info_) >=
                            GetAnnouncementOrder(found->second.info_);
    if (announcement.info_.leaving() && isNewest) {
      found->second.info_.set_leaving(true);
    }
  }
  return view;
}

} // namespace jaydoor

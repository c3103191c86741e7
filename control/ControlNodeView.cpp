// The part of ControlNode that publishes its state: views for the traffic
// threads, and events in the program's log.

#include "control/ControlNode.h"

#include <fmt/format.h>

namespace jaydoor {

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
  for (const auto& vm : membership_.ListLiveVms()) {
    vms.push_back({ vm.id(), vm.zone(), vm.leaving() });
  }
  return vms;
}

// Builds the view from the control state. A server that announced to this VM
// that it is leaving counts as leaving at once, before the control log says so.
FleetViewPtr
ControlNode::BuildView() const
{
  auto view = BuildFleetView(state_, ListVms(), stateProven_);
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

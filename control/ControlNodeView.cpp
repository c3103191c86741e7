// What a node tells the log and the traffic threads of its state.

#include "control/ControlNode.h"

#include <fmt/format.h>

namespace jaydoor {

// Tells the log what is new since the last view.
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
    std::uint64_t& noted = loggedPrimaryTerms_[name];
    if (database.primary_term() > noted) {
      noted = database.primary_term();
      aOut.push_back(LogControlEvent{
        Event::PrimaryChanged,
        fmt::format(
          "database={} server={} term={}", name, database.primary(), noted) });
    }
  }
  if (state_.ServersRevision() != loggedServersRevision_) {
    loggedServersRevision_ = state_.ServersRevision();
    LogServerChanges(aOut);
  }
}

void
ControlNode::LogServerChanges(ControlActions& aOut)
{
  std::map<ServerId, bool> servers; // true: leaving
  for (const auto& [name, database] : state_.Databases()) {
    for (const auto& server : database.servers()) {
      servers[server.server()] = server.leaving();
    }
  }
  const auto note = [&aOut](Event aEvent, const ServerId& aServer) {
    aOut.push_back(
      LogControlEvent{ aEvent, fmt::format("server={}", aServer) });
  };
  for (const auto& [server, leaving] : servers) {
    const auto known = loggedServers_.find(server);
    if (known == loggedServers_.end()) {
      note(Event::UpstreamCame, server);
    }
    const bool left = known != loggedServers_.end() && known->second;
    if (leaving && !left) {
      note(Event::UpstreamLeaving, server);
    }
  }
  for (const auto& [server, leaving] : loggedServers_) {
    if (!servers.contains(server)) {
      note(Event::UpstreamGone, server);
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

// What a server announced to this VM counts here before the log tells it.
FleetViewPtr
ControlNode::BuildView() const
{
  auto view = BuildFleetView(state_, ListVms(), stateProven_);
  for (const auto& [id, heard] : announcements_) {
    const auto found = view->servers_.find(id);
    if (heard.info_.leaving() && found != view->servers_.end()) {
      found->second.info_.set_leaving(true);
    }
  }
  return view;
}

} // namespace jaydoor

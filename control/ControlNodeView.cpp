// The part of ControlNode that publishes its state: views for the traffic
// threads, and events in the program's log.

#include "control/ControlNode.h"

#include <fmt/format.h>

namespace jaydoor {

// Logs what has changed since the last view was published.
void
ControlNode::NoteChanges(ControlActions& aOut)
{
  if (state_.RulesVersion() != notedRules_) {
    notedRules_ = state_.RulesVersion();
    aOut.push_back(ControlNote{ Event::RulesInForce,
                                fmt::format("version={}", notedRules_) });
  }
  if (state_.CurrentDocument().version() != notedDocument_) {
    notedDocument_ = state_.CurrentDocument().version();
    const auto& body = state_.DocumentBody();
    aOut.push_back(
      ControlNote{ body ? Event::DocumentInForce : Event::DocumentRefused,
                   fmt::format("version={} bytes={} index={}",
                               notedDocument_,
                               body ? body->size() : 0,
                               state_.Index()) });
  }
  for (const auto& [name, database] : state_.Databases()) {
    std::uint64_t& loggedTerm = notedTerms_[name];
    if (database.primary_term() > loggedTerm) {
      loggedTerm = database.primary_term();
      aOut.push_back(ControlNote{ Event::PrimaryChanged,
                                  fmt::format("database={} server={} term={}",
                                              name,
                                              database.primary(),
                                              loggedTerm) });
    }
  }
  if (state_.ServersRevision() != notedRevision_) {
    notedRevision_ = state_.ServersRevision();
    NoteServers(aOut);
  }
}

// Logs servers that were added, removed, or started to leave.
void
ControlNode::NoteServers(ControlActions& aOut)
{
  std::map<ServerId, bool> servers; // true: leaving
  for (const auto& [name, database] : state_.Databases()) {
    for (const auto& server : database.servers()) {
      servers[server.server()] = server.leaving();
    }
  }
  const auto logServer = [&aOut](Event aEvent, const ServerId& aServer) {
    aOut.push_back(ControlNote{ aEvent, fmt::format("server={}", aServer) });
  };
  for (const auto& [server, leaving] : servers) {
    const auto before = notedServers_.find(server);
    if (before == notedServers_.end()) {
      logServer(Event::UpstreamCame, server);
    }
    const bool wasLeaving = before != notedServers_.end() && before->second;
    if (leaving && !wasLeaving) {
      logServer(Event::UpstreamLeaving, server);
    }
  }
  for (const auto& [server, leaving] : notedServers_) {
    if (!servers.contains(server)) {
      logServer(Event::UpstreamGone, server);
    }
  }
  notedServers_ = std::move(servers);
}

std::vector<VmView>
ControlNode::ListVms() const
{
  std::vector<VmView> vms;
  for (const auto& vm : membership_.LiveVms()) {
    vms.push_back({ vm.id(), vm.zone(), vm.leaving() });
  }
  return vms;
}

// Builds the view from the control state. A server that announced to this VM
// that it is leaving counts as leaving at once, before the control log says so.
FleetViewPtr
ControlNode::BuildView() const
{
  auto view = BuildFleetView(state_, ListVms(), proven_);
  for (const auto& [id, heard] : heard_) {
    const auto found = view->servers_.find(id);
    if (heard.info_.leaving() && found != view->servers_.end()) {
      found->second.info_.set_leaving(true);
    }
  }
  return view;
}

} // namespace jaydoor

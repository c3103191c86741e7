// What a node tells the log and the traffic threads of its state.

#include "control/ControlNode.h"

#include <fmt/format.h>

namespace jaydoor {

// Tells the log what is new since the last view.
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
    std::uint64_t& noted = notedTerms_[name];
    if (database.primary_term() > noted) {
      noted = database.primary_term();
      aOut.push_back(ControlNote{
        Event::PrimaryChanged,
        fmt::format(
          "database={} server={} term={}", name, database.primary(), noted) });
    }
  }
  if (state_.ServersRevision() != notedRevision_) {
    notedRevision_ = state_.ServersRevision();
    NoteServers(aOut);
  }
}

void
ControlNode::NoteServers(ControlActions& aOut)
{
  std::map<ServerId, bool> servers; // true: leaving
  for (const auto& [name, database] : state_.Databases()) {
    for (const auto& server : database.servers()) {
      servers[server.server()] = server.leaving();
    }
  }
  const auto note = [&aOut](Event aEvent, const ServerId& aServer) {
    aOut.push_back(ControlNote{ aEvent, fmt::format("server={}", aServer) });
  };
  for (const auto& [server, leaving] : servers) {
    const auto known = notedServers_.find(server);
    if (known == notedServers_.end()) {
      note(Event::UpstreamCame, server);
    }
    const bool left = known != notedServers_.end() && known->second;
    if (leaving && !left) {
      note(Event::UpstreamLeaving, server);
    }
  }
  for (const auto& [server, leaving] : notedServers_) {
    if (!servers.contains(server)) {
      note(Event::UpstreamGone, server);
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

// What a server announced to this VM counts here before the log tells it.
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

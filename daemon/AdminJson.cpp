#include "daemon/AdminJson.h"

#include "wire/Json.h"

#include <boost/json.hpp>

namespace jaydoor {
namespace {

namespace json = boost::json;

json::array
WriteVms(const ControlNode& aNode)
{
  json::array vms;
  for (const auto& vm : aNode.Members().ListLiveVms()) {
    vms.push_back(json::object{ { "vm", vm.id() },
                                { "zone", vm.zone() },
                                { "host", vm.host() },
                                { "leaving", vm.leaving() },
                                { "votes", !vm.voter().empty() } });
  }
  return vms;
}

json::object
WriteServer(const wire::Upstream& aServer,
            const VmId& aOwner,
            std::span<const UpstreamStats> aFigures)
{
  json::object object{ { "server", aServer.server() },
                       { "zone", aServer.zone() },
                       { "host", aServer.host() },
                       { "port", aServer.port() },
                       { "slots", aServer.slots() },
                       { "leaving", aServer.leaving() },
                       { "owner", aOwner } };
  for (const auto& figures : aFigures) {
    if (figures.server_ == aServer.server()) {
      object["term"] = figures.point_.term_;
      object["position"] = figures.point_.position_;
      object["reachable"] = !figures.unreachable_;
      object["queued"] = figures.queuedStatements_;
      object["connections"] = figures.connectionCount_;
    }
  }
  return object;
}

json::object
WriteVersion(const wire::RuleVersion& aVersion)
{
  return { { "version", aVersion.version() },
           { "author", aVersion.author() },
           { "text", aVersion.text() } };
}

} // namespace

std::string
WriteStatus(const ControlNode& aNode, std::span<const UpstreamStats> aFigures)
{
  const ControlState& state = aNode.State();
  const OwnerMap owners(aNode.ListVms());
  json::array databases;
  for (const auto& [name, database] : state.Databases()) {
    json::array servers;
    for (const auto& server : database.servers()) {
      servers.push_back(
        WriteServer(server, owners.FindOwner(server), aFigures));
    }
    databases.push_back(json::object{ { "database", name },
                                      { "primary", database.primary() },
                                      { "term", database.primary_term() },
                                      { "servers", std::move(servers) } });
  }
  json::object object;
  object["leader"] = aNode.LeaderVm();
  object["index"] = state.Index();
  object["rules_version"] = state.RulesVersion();
  object["rules_proven"] = aNode.IsStateProven();
  object["vms"] = WriteVms(aNode);
  object["databases"] = std::move(databases);
  return json::serialize(object);
}

std::string
WriteRules(const ControlState& aState)
{
  json::object object;
  object["version"] = aState.RulesVersion();
  object["text"] = aState.RulesText();
  return json::serialize(object);
}

std::string
WriteRulesHistory(const ControlState& aState)
{
  json::array versions;
  for (const auto& version : aState.RulesHistory()) {
    versions.push_back(WriteVersion(version));
  }
  return json::serialize(json::object{ { "versions", std::move(versions) } });
}

std::string
WriteRuleOutcome(const std::optional<wire::RuleOutcome>& aOutcome)
{
  if (!aOutcome) {
    return R"({"outcome":"unknown","remedy":)"
           R"("send the same request again; its first outcome counts"})";
  }
  json::object object;
  object["outcome"] = aOutcome->accepted() ? "accepted" : "conflict";
  object["version"] = aOutcome->version();
  if (!aOutcome->accepted()) {
    object["remedy"] = "look at the version in force, base the change on it";
  }
  return json::serialize(object);
}

std::string
WriteRefusal(std::string_view aMessage)
{
  return json::serialize(
    json::object{ { "outcome", "refused" }, { "remedy", aMessage } });
}

Expected<wire::RuleChange>
ParseRuleChange(std::string_view aBody)
{
  boost::system::error_code error;
  const json::value value = json::parse(aBody, error);
  const json::object* object = error ? nullptr : value.if_object();
  const auto text = [object](std::string_view aName) -> std::string {
    const json::value* field =
      object == nullptr ? nullptr : object->if_contains(aName);
    const json::string* string =
      field == nullptr ? nullptr : field->if_string();
    return string == nullptr ? "" : std::string(*string);
  };
  const json::value* base =
    object == nullptr ? nullptr : object->if_contains("base_version");
  const auto version =
    base == nullptr ? 0 : base->to_number<std::uint64_t>(error);
  const std::string request = text("request");
  if (base == nullptr || error || !IsValidName(request)) {
    return MakeError(ErrorKind::BadInput,
                     "expected a JSON object with text, base_version (a whole "
                     "number), request (a name of 1 to 64 letters and digits) "
                     "and author; use jaydoorctl rules apply");
  }
  wire::RuleChange change;
  change.set_text(text("text"));
  change.set_base_version(version);
  change.set_request(request);
  change.set_author(text("author").substr(0, kMaxNameBytes));
  const auto rules = ParseRules(change.text());
  if (!rules) {
    return tl::unexpected(rules.error());
  }
  return change;
}

} // namespace jaydoor

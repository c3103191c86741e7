#include "daemon/AdminJson.h"

#include "wire/Json.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <boost/json.hpp>

namespace jaydoor {
namespace {

namespace json = boost::json;

struct KindName
{
  StatementKind kind_;
  std::string_view name_;
};

// The kinds of statements that can be explained.
constexpr std::array kKindNames = {
  KindName{ StatementKind::Read, "read" },
  KindName{ StatementKind::Write, "write" },
  KindName{ StatementKind::Begin, "begin" },
  KindName{ StatementKind::BeginReadOnly, "begin-read-only" },
};

// The string of that name in the object, empty if there is none.
std::string
GetString(const json::object* aObject, std::string_view aName)
{
  const json::value* field =
    aObject == nullptr ? nullptr : aObject->if_contains(aName);
  const json::string* string = field == nullptr ? nullptr : field->if_string();
  return string == nullptr ? "" : std::string(*string);
}

double
CountFractionalMs(Duration aDuration)
{
  return std::round(static_cast<double>(aDuration.count()) / 100) / 10;
}

json::value
WritePoint(const std::optional<LogPoint>& aPoint)
{
  return aPoint ? json::value{ { "term", aPoint->term_ },
                               { "position", aPoint->position_ } }
                : json::value(nullptr);
}

json::value
WriteMs(const std::optional<Duration>& aDuration)
{
  return aDuration ? json::value(CountFractionalMs(*aDuration))
                   : json::value(nullptr);
}

std::string_view
GetLinkName(LinkVerdict aVerdict)
{
  return aVerdict == LinkVerdict::Use       ? "use"
         : aVerdict == LinkVerdict::Open    ? "open"
         : aVerdict == LinkVerdict::Replace ? "replace"
                                            : "wait";
}

json::object
WriteExplainedServer(const ServerExplanation& aServer)
{
  return { { "server", aServer.server_ },
           { "zone", aServer.zone_ },
           { "role", aServer.isPrimary_ ? "primary" : "replica" },
           { "term", aServer.term_ },
           { "point", WritePoint(aServer.point_) },
           { "age_ms", WriteMs(aServer.age_) },
           { "delay_ms", CountFractionalMs(aServer.delay_) },
           { "running", aServer.running_ },
           { "slots", aServer.slots_ },
           { "slot_share", aServer.slotShare_ },
           { "links", aServer.links_ },
           { "idle_links", aServer.idleLinks_ },
           { "link", GetLinkName(aServer.link_) },
           { "leaving", aServer.isLeaving_ },
           { "shedding", aServer.isShedding_ },
           { "cost_ms", WriteMs(aServer.cost_) },
           { "obstacle", aServer.obstacle_ } };
}

json::object
WriteRoute(const CatalogDatabase& aRoute)
{
  const std::string_view consistency =
    aRoute.consistency_ == Consistency::Primary          ? "primary"
    : aRoute.consistency_ == Consistency::ReadYourWrites ? "read-your-writes"
                                                         : "bounded-staleness";
  return { { "group", aRoute.group_ },
           { "rank", aRoute.rank_ },
           { "consistency", consistency },
           { "max_staleness_ms", CountMs(aRoute.maxStaleness_) },
           { "target_ms", CountMs(aRoute.latencyTarget_) },
           { "limit_ms", CountMs(aRoute.statementLimit_) },
           { "public", aRoute.public_ } };
}

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
  const auto text = [object](std::string_view aName) {
    return GetString(object, aName);
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

std::string
WriteExplanation(const Explanation& aExplanation)
{
  using Outcome = Explanation::Outcome;
  const auto kind = std::find_if(
    kKindNames.begin(), kKindNames.end(), [&](const KindName& aName) {
      return aName.kind_ == aExplanation.request_.kind_;
    });
  json::array servers;
  for (const auto& server : aExplanation.servers_) {
    servers.push_back(WriteExplainedServer(server));
  }
  json::object object{
    { "database", aExplanation.request_.database_ },
    { "kind", kind == kKindNames.end() ? "" : kind->name_ },
    { "organisation", aExplanation.request_.organisation_ },
    { "outcome",
      aExplanation.outcome_ == Outcome::Runs    ? "runs"
      : aExplanation.outcome_ == Outcome::Waits ? "waits"
                                                : "refused" },
    { "reason", aExplanation.reason_ },
    { "server", aExplanation.server_ },
    { "configuration_version", aExplanation.configurationVersion_ },
    { "needs_primary", aExplanation.needsPrimary_ },
    { "required_point", WritePoint(aExplanation.requiredPoint_) },
    { "servers", std::move(servers) }
  };
  object["route"] = aExplanation.route_
                      ? json::value(WriteRoute(*aExplanation.route_))
                      : json::value(nullptr);
  object["limit"] =
    aExplanation.limit_
      ? json::value{ { "rate_per_second", aExplanation.limit_->ratePerSecond_ },
                     { "burst", aExplanation.limit_->burst_ } }
      : json::value(nullptr);
  object["usage"] =
    aExplanation.usage_
      ? json::value{ { "share", aExplanation.usage_->share_ },
                     { "operations_left", aExplanation.usage_->tokens_ },
                     { "demand_per_second", aExplanation.usage_->demand_ } }
      : json::value(nullptr);
  return json::serialize(object);
}

Expected<ExplanationRequest>
ParseExplanationRequest(std::string_view aBody)
{
  boost::system::error_code error;
  const json::value value = json::parse(aBody, error);
  const json::object* object = error ? nullptr : value.if_object();
  ExplanationRequest request;
  request.database_ = GetString(object, "database");
  request.organisation_ = GetString(object, "organisation");
  const std::string name = GetString(object, "kind");
  const auto kind =
    std::find_if(kKindNames.begin(),
                 kKindNames.end(),
                 [&](const KindName& aName) { return aName.name_ == name; });
  if (request.database_.empty() || kind == kKindNames.end()) {
    return MakeError(
      ErrorKind::BadInput,
      "expected a JSON object with database, kind (read, write, begin or "
      "begin-read-only) and, where there are any, organisation; use "
      "jaydoorctl explain");
  }
  request.kind_ = kind->kind_;
  return request;
}

} // namespace jaydoor

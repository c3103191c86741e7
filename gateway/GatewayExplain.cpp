// Explains where a statement would go, through the functions that decide it:
// FindRefusal(), JudgeServers(), ChooseServer() and, for the limit of an
// organisation, OrganisationLimiter::Admit().

#include "gateway/Gateway.h"

namespace jaydoor {
namespace {

// The ticket of the statement that is explained: half of the statements are
// shed before it.
constexpr double kTicket = 0.5;

} // namespace

// Returns why a statement is refused before the servers are looked at, empty if
// it is not.
std::string
Gateway::ExplainRefusal(const ExplanationRequest& aRequest,
                        const CatalogDatabase* aRoute) const
{
  if (aRoute == nullptr) {
    return "the configuration names no such database";
  }
  const bool needsOrganisation =
    catalog_->organisations_.has_value() && !aRoute->public_;
  if (needsOrganisation &&
      catalog_->organisations_->Find(aRequest.organisation_) == nullptr) {
    return "the database needs an organisation, and the configuration names no "
           "such one";
  }
  return groups_.contains(aRoute->group_)
           ? ""
           : "no server of the database's group is known";
}

ServerExplanation
Gateway::ExplainServer(const ServerVerdict& aVerdict,
                       const Work& aWork,
                       const Group& aGroup,
                       Time aNow) const
{
  const Server& server = *aVerdict.server_;
  const ServerId& id = *aVerdict.id_;
  ServerExplanation explained;
  explained.server_ = id;
  explained.zone_ = server.info_.zone();
  explained.isPrimary_ = aVerdict.option_.isPrimary_;
  explained.isLeaving_ = server.info_.leaving();
  explained.isShedding_ = server.shedder_.IsShedding(aNow);
  explained.term_ = aGroup.term_;
  explained.point_ = explained.isPrimary_ ? aGroup.log_.FindNewestPoint()
                                          : aGroup.log_.FindReplicaPoint(id);
  if (server.delay_.RecordedAt() != Time{}) {
    explained.age_ = aNow - server.delay_.RecordedAt();
  }
  explained.delay_ = aVerdict.option_.delay_;
  explained.running_ = server.runningCount_;
  explained.slots_ = server.info_.slots();
  explained.slotShare_ = SlotShare(server);
  explained.links_ = server.links_.size();
  explained.idleLinks_ = server.idleLinks_.size();
  explained.link_ = FindLink(server, aWork, aNow);
  explained.obstacle_ = aVerdict.obstacle_;
  if (explained.obstacle_.empty()) {
    explained.cost_ = EstimateCost(aVerdict.option_);
  }
  return explained;
}

// Adds the servers, and what would become of the statement among them.
void
Gateway::ExplainChoice(const Work& aWork,
                       const Group& aGroup,
                       Explanation& aOut,
                       Time aNow) const
{
  const auto required =
    aWork.needsPrimary_ ? std::nullopt : FindRequiredPoint(aWork, aGroup);
  if (required) {
    aOut.requiredPoint_ = required->point_;
  }
  for (const auto& verdict : JudgeServers(aWork, aGroup, required, aNow)) {
    aOut.servers_.push_back(ExplainServer(verdict, aWork, aGroup, aNow));
  }
  const std::string_view refusal =
    FindRefusal(aWork, aGroup, FindOutage(aGroup, aNow), aNow);
  if (!refusal.empty()) {
    aOut.reason_ = refusal;
    return;
  }
  const auto choice = ChooseServer(aWork, aGroup, aNow);
  aOut.outcome_ = Explanation::Outcome::Waits;
  if (!choice) {
    aOut.reason_ = "no server can run it now";
    return;
  }
  aOut.server_ = choice->server_;
  const LinkVerdict link = FindLink(servers_.at(choice->server_), aWork, aNow);
  if (link != LinkVerdict::Use) {
    aOut.reason_ = link == LinkVerdict::Replace
                     ? "a connection of another organisation is replaced first"
                     : "a connection to the server is opened first";
    return;
  }
  aOut.outcome_ = Explanation::Outcome::Runs;
  aOut.reason_ = required || aWork.needsPrimary_
                   ? "the server that was chosen by cost"
                   : "only the primary is known to hold recent enough data";
}

Explanation
Gateway::Explain(const ExplanationRequest& aRequest, Time aNow) const
{
  Explanation explanation;
  explanation.request_ = aRequest;
  if (!IsCatalogProven()) {
    explanation.outcome_ = Explanation::Outcome::Waits;
    explanation.reason_ = "no configuration is proven to be in force";
    return explanation;
  }
  explanation.configurationVersion_ = catalog_->version_;
  const CatalogDatabase* route = catalog_->Find(aRequest.database_);
  if (route != nullptr) {
    explanation.route_ = *route;
  }
  explanation.reason_ = ExplainRefusal(aRequest, route);
  if (route == nullptr || !explanation.reason_.empty()) {
    return explanation;
  }
  const bool readsOnly = aRequest.kind_ == StatementKind::Read ||
                         aRequest.kind_ == StatementKind::BeginReadOnly;
  Work work;
  if (UsesOrganisations() && !route->public_) {
    work.organisation_ = aRequest.organisation_;
  }
  work.route_ = *route;
  work.needsPrimary_ = NeedsPrimary(readsOnly, *route);
  work.arrivedAt_ = aNow;
  work.shedTicket_ = kTicket;
  explanation.needsPrimary_ = work.needsPrimary_;
  ExplainChoice(work, groups_.at(route->group_), explanation, aNow);
  if (!work.organisation_.empty()) {
    ExplainLimit(work, explanation, aNow);
  }
  return explanation;
}

} // namespace jaydoor

#include "control/ControlState.h"

#include "base/Compress.h"

#include <algorithm>

namespace jaydoor {
namespace {

constexpr std::size_t kMaxDeltaChanges = 256; // in one delta

} // namespace

// ---- Changes

bool
ControlState::Apply(const wire::Change& aChange)
{
  if (aChange.index() != index_ + 1) {
    return false;
  }
  index_ = aChange.index();
  term_ = aChange.term();
  switch (aChange.body_case()) {
    case wire::Change::kRules:
      ApplyRules(aChange.rules());
      break;
    case wire::Change::kUpstream:
      ApplyUpstream(aChange.upstream());
      break;
    case wire::Change::kIntent:
      ApplyIntent(aChange.intent());
      break;
    case wire::Change::kPrimary:
      ApplyPrimary(aChange.primary());
      break;
    case wire::Change::kVoters:
      voters_ = aChange.voters();
      break;
    case wire::Change::kDocument:
      ApplyDocument(aChange.document());
      break;
    case wire::Change::kHolder:
      ApplyHolder(aChange.holder());
      break;
    case wire::Change::kNoop:
    case wire::Change::BODY_NOT_SET:
      break;
  }
  recent_.push_back(aChange);
  recentBytes_ += aChange.ByteSizeLong();
  while (recent_.size() > kKeptChanges ||
         (recentBytes_ > kKeptChangeBytes && recent_.size() > 1)) {
    recentBytes_ -= recent_.front().ByteSizeLong();
    recent_.pop_front();
  }
  return true;
}

// Compare and set: of two changes based on the same version, only the first
// one is accepted. A request that is applied again keeps its first outcome.
void
ControlState::ApplyRules(const wire::RuleChange& aChange)
{
  if (outcomeOf_.contains(aChange.request())) {
    return;
  }
  wire::RuleOutcome outcome;
  outcome.set_request(aChange.request());
  outcome.set_accepted(aChange.base_version() == RulesVersion());
  if (outcome.accepted()) {
    wire::RuleVersion version;
    version.set_version(RulesVersion() + 1);
    version.set_text(aChange.text());
    version.set_author(aChange.author());
    rules_.push_back(std::move(version));
    if (rules_.size() > kKeptVersions) {
      rules_.pop_front();
    }
    ParseCurrent();
  }
  outcome.set_version(RulesVersion());
  KeepOutcome(std::move(outcome));
}

void
ControlState::KeepOutcome(wire::RuleOutcome aOutcome)
{
  outcomeOf_[aOutcome.request()] = aOutcome;
  outcomes_.push_back(std::move(aOutcome));
  if (outcomes_.size() > kKeptOutcomes) {
    outcomeOf_.erase(outcomes_.front().request());
    outcomes_.pop_front();
  }
}

// The text was checked before it was proposed. If this version of the program
// can't parse it all the same, the previous rules stay in force.
void
ControlState::ParseCurrent()
{
  auto rules = ParseRules(RulesText());
  if (rules) {
    parsed_ = std::move(*rules);
  }
}

// Only a higher version than the present one replaces the configuration.
void
ControlState::ApplyDocument(const wire::Document& aDocument)
{
  if (aDocument.version() > document_.version()) {
    document_ = aDocument;
    ReadDocumentBody();
  }
}

// Sets the body to null if it can't be decompressed.
void
ControlState::ReadDocumentBody()
{
  auto body = Decompress(document_.body(), kMaxDocumentBytes);
  documentBody_ =
    body ? std::make_shared<const std::string>(std::move(*body)) : nullptr;
}

void
ControlState::ApplyHolder(const wire::LeaseHolder& aHolder)
{
  if (aHolder.gone()) {
    holders_.erase(aHolder.vm());
  } else {
    holders_[aHolder.vm()] = aHolder.zone();
  }
}

void
ControlState::RemoveServer(const ServerId& aServer)
{
  const auto known = servers_.find(aServer);
  if (known == servers_.end()) {
    return;
  }
  auto& servers = *databases_[known->second].mutable_servers();
  const auto at =
    std::find_if(servers.begin(), servers.end(), [&](const auto& aOld) {
      return aOld.server() == aServer;
    });
  if (at != servers.end()) {
    servers.erase(at);
  }
  servers_.erase(known);
}

bool
ControlState::IsNews(const wire::Upstream& aInfo) const
{
  const wire::Upstream* known = FindServer(aInfo.server());
  if (known != nullptr) {
    const auto getOrder = [](const wire::Upstream& aServer) {
      return std::pair(aServer.born_ms(), aServer.sequence());
    };
    return aInfo.born_ms() == 0 || getOrder(aInfo) > getOrder(*known);
  }
  for (const auto& [name, database] : databases_) {
    for (const auto& other : database.servers()) {
      const bool same =
        other.host() == aInfo.host() && other.port() == aInfo.port();
      if (same && other.born_ms() > aInfo.born_ms()) {
        return false;
      }
    }
  }
  return true;
}

// Ignores a change that is older than what is recorded of the server. A server
// that starts at the address of another one replaces that one.
void
ControlState::ApplyUpstream(const wire::UpstreamChange& aChange)
{
  const wire::Upstream& info = aChange.upstream();
  const wire::Upstream* known = FindServer(info.server());
  if (aChange.gone()) {
    const bool newer = known != nullptr && known->born_ms() > info.born_ms();
    if (!newer) {
      serversRevision_++;
      RemoveServer(info.server());
    }
    return;
  }
  if (!IsNews(info)) {
    return;
  }
  serversRevision_++;
  RemoveServer(info.server());
  if (info.born_ms() > 0) {
    std::vector<ServerId> replaced;
    for (const auto& [name, database] : databases_) {
      for (const auto& other : database.servers()) {
        if (other.host() == info.host() && other.port() == info.port()) {
          replaced.push_back(other.server());
        }
      }
    }
    for (const auto& server : replaced) {
      RemoveServer(server);
    }
  }
  wire::Database& database = databases_[info.database()];
  database.set_name(info.database());
  *database.add_servers() = info;
  servers_[info.server()] = info.database();
}

void
ControlState::ApplyIntent(const wire::PromotionIntent& aIntent)
{
  const auto found = databases_.find(aIntent.database());
  if (found != databases_.end()) {
    found->second.set_reserved_term(
      std::max(found->second.reserved_term(), aIntent.term()));
    found->second.set_intended_primary(aIntent.server());
  }
}

void
ControlState::ApplyPrimary(const wire::PrimaryChange& aChange)
{
  const auto found = databases_.find(aChange.database());
  const bool newer =
    found != databases_.end() && aChange.term() > found->second.primary_term();
  if (newer) {
    found->second.set_primary(aChange.server());
    found->second.set_primary_term(aChange.term());
    found->second.set_reserved_term(
      std::max(found->second.reserved_term(), aChange.term()));
    found->second.clear_intended_primary();
  }
}

// ---- Snapshots and deltas

bool
ControlState::Install(const wire::ControlSnapshot& aSnapshot)
{
  if (aSnapshot.index() < index_) {
    return false;
  }
  index_ = aSnapshot.index();
  term_ = aSnapshot.term();
  rules_.assign(aSnapshot.rules().begin(), aSnapshot.rules().end());
  databases_.clear();
  servers_.clear();
  serversRevision_++;
  for (const auto& database : aSnapshot.databases()) {
    databases_[database.name()] = database;
    for (const auto& server : database.servers()) {
      servers_[server.server()] = database.name();
    }
  }
  outcomes_.clear();
  outcomeOf_.clear();
  for (const auto& outcome : aSnapshot.outcomes()) {
    KeepOutcome(outcome);
  }
  voters_ = aSnapshot.voters();
  holders_.clear();
  for (const auto& holder : aSnapshot.holders()) {
    ApplyHolder(holder);
  }
  document_ = aSnapshot.document();
  ReadDocumentBody();
  recent_.clear();
  recentBytes_ = 0;
  ParseCurrent();
  return true;
}

wire::ControlSnapshot
ControlState::TakeSnapshot() const
{
  wire::ControlSnapshot snapshot;
  snapshot.set_index(index_);
  snapshot.set_term(term_);
  for (const auto& version : rules_) {
    *snapshot.add_rules() = version;
  }
  for (const auto& [name, database] : databases_) {
    *snapshot.add_databases() = database;
  }
  for (const auto& outcome : outcomes_) {
    *snapshot.add_outcomes() = outcome;
  }
  *snapshot.mutable_voters() = voters_;
  *snapshot.mutable_document() = document_;
  for (const auto& [vm, zone] : holders_) {
    wire::LeaseHolder& holder = *snapshot.add_holders();
    holder.set_vm(vm);
    holder.set_zone(zone);
  }
  return snapshot;
}

wire::Delta
ControlState::DeltaAfter(std::uint64_t aIndex) const
{
  wire::Delta delta;
  const std::uint64_t first = index_ - recent_.size() + 1;
  if (aIndex + 1 < first) {
    *delta.mutable_snapshot() = TakeSnapshot();
    return delta;
  }
  for (const auto& change : recent_) {
    const bool hasRoom =
      static_cast<std::size_t>(delta.changes_size()) < kMaxDeltaChanges;
    if (change.index() > aIndex && hasRoom) {
      *delta.add_changes() = change;
    }
  }
  return delta;
}

bool
ControlState::ApplyDelta(const wire::Delta& aDelta)
{
  const std::uint64_t before = index_;
  if (aDelta.has_snapshot() && aDelta.snapshot().index() > index_) {
    Install(aDelta.snapshot());
  }
  for (const auto& change : aDelta.changes()) {
    Apply(change);
  }
  return index_ > before;
}

// ---- Queries

std::uint64_t
ControlState::RulesVersion() const
{
  return rules_.empty() ? 0 : rules_.back().version();
}

const std::string&
ControlState::RulesText() const
{
  static const std::string kEmptyText;
  return rules_.empty() ? kEmptyText : rules_.back().text();
}

std::optional<wire::RuleOutcome>
ControlState::OutcomeOf(const std::string& aRequest) const
{
  const auto found = outcomeOf_.find(aRequest);
  if (found == outcomeOf_.end()) {
    return std::nullopt;
  }
  return found->second;
}

const wire::Upstream*
ControlState::FindServer(const ServerId& aServer) const
{
  const auto known = servers_.find(aServer);
  if (known == servers_.end()) {
    return nullptr;
  }
  for (const auto& server : databases_.at(known->second).servers()) {
    if (server.server() == aServer) {
      return &server;
    }
  }
  return nullptr;
}

std::uint64_t
ControlState::GroupSize(const wire::Database& aDatabase)
{
  std::uint64_t size = 0;
  for (const auto& server : aDatabase.servers()) {
    size = std::max<std::uint64_t>(size, server.group_size());
  }
  return size;
}

std::shared_ptr<FleetView>
BuildFleetView(const ControlState& aState,
               std::vector<VmView> aVms,
               bool aProven)
{
  auto view = std::make_shared<FleetView>();
  view->index_ = aState.Index();
  view->rulesVersion_ = aState.RulesVersion();
  view->proven_ = aProven;
  view->rules_ = aState.CurrentRules();
  view->documentVersion_ = aState.CurrentDocument().version();
  view->document_ = aState.DocumentBody();
  view->vms_ = std::move(aVms);
  view->owners_ = OwnerMap(view->vms_);
  for (const auto& [name, database] : aState.Databases()) {
    DatabaseView& group = view->databases_[name];
    group.primary_ = database.primary();
    group.term_ = database.primary_term();
    if (!database.intended_primary().empty()) {
      view->changing_.insert(name);
    }
    group.groupSize_ = ControlState::GroupSize(database);
    for (const auto& server : database.servers()) {
      group.servers_.push_back(server.server());
      view->servers_[server.server()].info_ = server;
    }
  }
  return view;
}

} // namespace jaydoor

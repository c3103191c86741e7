#include "control/ControlState.h"

#include "base/Compress.h"

#include <algorithm>

namespace jaydoor {
namespace {

constexpr std::size_t kMaxDeltaChanges = 256; // in one delta

// Leaves only the document of the highest version among the changes. The others
// have no effect once all changes are applied, and a document is most of a
// change's size.
void
DropReplacedDocuments(
  google::protobuf::RepeatedPtrField<wire::Change>& aChanges)
{
  std::uint64_t newest = 0;
  for (const auto& change : aChanges) {
    newest = std::max(newest, change.document().version());
  }
  for (auto& change : aChanges) {
    if (change.has_document() && change.document().version() < newest) {
      change.set_noop(true);
    }
  }
}

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
  recentChanges_.push_back(aChange);
  recentChangeBytes_ += aChange.ByteSizeLong();
  while (recentChanges_.size() > kKeptChanges ||
         (recentChangeBytes_ > kKeptChangeBytes && recentChanges_.size() > 1)) {
    recentChangeBytes_ -= recentChanges_.front().ByteSizeLong();
    recentChanges_.pop_front();
  }
  return true;
}

// Compare and set: of two changes based on the same version, only the first
// one is accepted. A request that is applied again keeps its first outcome.
void
ControlState::ApplyRules(const wire::RuleChange& aChange)
{
  if (outcomeByRequest_.contains(aChange.request())) {
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
    ruleVersions_.push_back(std::move(version));
    if (ruleVersions_.size() > kKeptRuleVersions) {
      ruleVersions_.pop_front();
    }
    ParseCurrentRules();
  }
  outcome.set_version(RulesVersion());
  RecordOutcome(std::move(outcome));
}

void
ControlState::RecordOutcome(wire::RuleOutcome aOutcome)
{
  outcomeByRequest_[aOutcome.request()] = aOutcome;
  outcomes_.push_back(std::move(aOutcome));
  if (outcomes_.size() > kKeptRuleOutcomes) {
    outcomeByRequest_.erase(outcomes_.front().request());
    outcomes_.pop_front();
  }
}

// The text was checked before it was proposed. If this version of the program
// can't parse it all the same, the previous rules stay in force.
void
ControlState::ParseCurrentRules()
{
  auto rules = ParseRules(RulesText());
  if (rules) {
    currentRules_ = std::move(*rules);
  }
}

// Only a higher version than the present one replaces the configuration.
void
ControlState::ApplyDocument(const wire::Document& aDocument)
{
  if (aDocument.version() > document_.version()) {
    document_ = aDocument;
    DecompressDocument();
  }
}

// Sets the body to null if it can't be decompressed.
void
ControlState::DecompressDocument()
{
  auto body = Decompress(document_.body(), kMaxDocumentBytes);
  documentBody_ =
    body ? std::make_shared<const std::string>(std::move(*body)) : nullptr;
}

void
ControlState::ApplyHolder(const wire::LeaseHolder& aHolder)
{
  if (aHolder.gone()) {
    leaseHolders_.erase(aHolder.vm());
  } else {
    leaseHolders_[aHolder.vm()] = aHolder.zone();
  }
}

void
ControlState::RemoveServer(const ServerId& aServer)
{
  const auto known = databaseByServer_.find(aServer);
  if (known == databaseByServer_.end()) {
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
  databaseByServer_.erase(known);
}

AnnouncementOrder
GetAnnouncementOrder(const wire::Upstream& aServer)
{
  const bool leaves = aServer.born_ms() > 0 && aServer.leaving();
  return { aServer.born_ms(), leaves, aServer.sequence() };
}

bool
ControlState::IsNewerAnnouncement(const wire::Upstream& aInfo) const
{
  const wire::Upstream* known = FindServer(aInfo.server());
  if (known != nullptr) {
    return aInfo.born_ms() == 0 ||
           GetAnnouncementOrder(aInfo) > GetAnnouncementOrder(*known);
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
  if (!IsNewerAnnouncement(info)) {
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
  databaseByServer_[info.server()] = info.database();
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
ControlState::InstallSnapshot(const wire::ControlSnapshot& aSnapshot)
{
  if (aSnapshot.index() < index_) {
    return false;
  }
  index_ = aSnapshot.index();
  term_ = aSnapshot.term();
  ruleVersions_.assign(aSnapshot.rules().begin(), aSnapshot.rules().end());
  databases_.clear();
  databaseByServer_.clear();
  serversRevision_++;
  for (const auto& database : aSnapshot.databases()) {
    databases_[database.name()] = database;
    for (const auto& server : database.servers()) {
      databaseByServer_[server.server()] = database.name();
    }
  }
  outcomes_.clear();
  outcomeByRequest_.clear();
  for (const auto& outcome : aSnapshot.outcomes()) {
    RecordOutcome(outcome);
  }
  voters_ = aSnapshot.voters();
  leaseHolders_.clear();
  for (const auto& holder : aSnapshot.holders()) {
    ApplyHolder(holder);
  }
  document_ = aSnapshot.document();
  DecompressDocument();
  recentChanges_.clear();
  recentChangeBytes_ = 0;
  ParseCurrentRules();
  return true;
}

wire::ControlSnapshot
ControlState::MakeSnapshot() const
{
  wire::ControlSnapshot snapshot;
  snapshot.set_index(index_);
  snapshot.set_term(term_);
  for (const auto& version : ruleVersions_) {
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
  for (const auto& [vm, zone] : leaseHolders_) {
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
  if (NeedsSnapshot(aIndex)) {
    *delta.mutable_snapshot() = MakeSnapshot();
    return delta;
  }
  for (const auto& change : recentChanges_) {
    const bool hasRoom =
      static_cast<std::size_t>(delta.changes_size()) < kMaxDeltaChanges;
    if (change.index() > aIndex && hasRoom) {
      *delta.add_changes() = change;
    }
  }
  DropReplacedDocuments(*delta.mutable_changes());
  return delta;
}

bool
ControlState::ApplyDelta(const wire::Delta& aDelta)
{
  const std::uint64_t before = index_;
  if (aDelta.has_snapshot() && aDelta.snapshot().index() > index_) {
    InstallSnapshot(aDelta.snapshot());
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
  return ruleVersions_.empty() ? 0 : ruleVersions_.back().version();
}

const std::string&
ControlState::RulesText() const
{
  static const std::string kEmptyText;
  return ruleVersions_.empty() ? kEmptyText : ruleVersions_.back().text();
}

std::optional<wire::RuleOutcome>
ControlState::FindRuleOutcome(const std::string& aRequest) const
{
  const auto found = outcomeByRequest_.find(aRequest);
  if (found == outcomeByRequest_.end()) {
    return std::nullopt;
  }
  return found->second;
}

const wire::Upstream*
ControlState::FindServer(const ServerId& aServer) const
{
  const auto known = databaseByServer_.find(aServer);
  if (known == databaseByServer_.end()) {
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
  view->stateProven_ = aProven;
  view->rules_ = aState.CurrentRules();
  view->documentVersion_ = aState.CurrentDocument().version();
  view->documentBody_ = aState.DocumentBody();
  view->vms_ = std::move(aVms);
  view->owners_ = OwnerMap(view->vms_);
  for (const auto& [name, database] : aState.Databases()) {
    DatabaseView& group = view->databases_[name];
    group.primary_ = database.primary();
    group.term_ = database.primary_term();
    if (!database.intended_primary().empty()) {
      view->changingDatabases_.insert(name);
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

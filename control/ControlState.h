#pragma once

// The replicated control state: rules, the operators' configuration, upstreams,
// primaries, lease holders and voters. Changes are applied in the order of the
// control log; all VMs that have applied the same changes are in the same
// state.
//
//   state.Apply(change);
//   auto delta = state.DeltaAfter(index);   // for a VM that is behind

#include "control/FleetView.h"
#include "wire/jaydoor.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace jaydoor {

// Largest uncompressed configuration of the operators.
inline constexpr std::size_t kMaxDocumentBytes = 16UL * 1024 * 1024;

// The oldest rule versions and outcomes of rule changes are dropped beyond
// these numbers.
inline constexpr std::size_t kKeptRuleVersions = 20;
inline constexpr std::size_t kKeptRuleOutcomes = 10'000;

// Recent changes kept for VMs that are behind; the oldest are dropped beyond
// either limit.
inline constexpr std::size_t kKeptChanges = 1024;
inline constexpr std::size_t kKeptChangeBytes = 1024UL * 1024;

// Order of the announcements of a server: by its start, then by whether it is
// leaving, then by sequence number. That it leaves is its last word until it is
// started again, even if an earlier announcement arrives late.
using AnnouncementOrder = std::tuple<std::uint64_t, bool, std::uint64_t>;
AnnouncementOrder
GetAnnouncementOrder(const wire::Upstream& aServer);

class ControlState
{
public:
  // Applies the change that follows Index(). Returns false and changes nothing
  // if its index is any other.
  bool Apply(const wire::Change& aChange);
  // Replaces the whole state by the snapshot's. Returns false and changes
  // nothing if the snapshot is older than the state.
  bool InstallSnapshot(const wire::ControlSnapshot& aSnapshot);
  wire::ControlSnapshot MakeSnapshot() const;
  // The changes after `aIndex`, at most as many as fit one message, or a
  // snapshot if some of them are no longer kept.
  wire::Delta DeltaAfter(std::uint64_t aIndex) const;
  // True if DeltaAfter() of this index is a snapshot.
  bool NeedsSnapshot(std::uint64_t aIndex) const
  {
    return aIndex + recentChanges_.size() < index_;
  }
  // Applies a delta. Returns true if the index has advanced.
  bool ApplyDelta(const wire::Delta& aDelta);

  // Index of the last change applied.
  std::uint64_t Index() const { return index_; }
  // Rises whenever a server is added, removed or updated.
  std::uint64_t ServersRevision() const { return serversRevision_; }
  // Version 0 with an empty text: no rules have been set yet.
  std::uint64_t RulesVersion() const;
  const std::string& RulesText() const;
  // The versions kept, newest last.
  const std::deque<wire::RuleVersion>& RulesHistory() const
  {
    return ruleVersions_;
  }
  const Rules& CurrentRules() const { return currentRules_; }
  // Outcome of an operator's request to change the rules; none if the request
  // was not applied, or its outcome is no longer kept.
  std::optional<wire::RuleOutcome> FindRuleOutcome(
    const std::string& aRequest) const;
  const std::map<DatabaseId, wire::Database>& Databases() const
  {
    return databases_;
  }
  // The operators' configuration in force, compressed. Version 0: none has been
  // stored yet.
  const wire::Document& CurrentDocument() const { return document_; }
  // Its uncompressed body, the same object until the configuration is replaced;
  // null if it can't be decompressed.
  const std::shared_ptr<const std::string>& DocumentBody() const
  {
    return documentBody_;
  }
  // VMs that may be granted leases on primaries, with their zones.
  const std::map<VmId, ZoneId>& LeaseHolders() const { return leaseHolders_; }
  std::size_t CountServers() const { return databaseByServer_.size(); }
  // The voters as of the last change applied.
  const wire::VoterSet& Voters() const { return voters_; }
  // True if the announcement is newer than what is recorded of the server.
  // False if it was delayed, or if a server that was started later uses the
  // same address.
  bool IsNewerAnnouncement(const wire::Upstream& aInfo) const;
  // Null if the server is not known. Valid until the state changes.
  const wire::Upstream* FindServer(const ServerId& aServer) const;
  // Number of servers of which a majority is needed: the largest group size
  // that a server of the database has announced.
  static std::uint64_t GroupSize(const wire::Database& aDatabase);

private:
  void ApplyRules(const wire::RuleChange& aChange);
  void ApplyUpstream(const wire::UpstreamChange& aChange);
  void RemoveServer(const ServerId& aServer);
  void DecompressDocument();
  void ApplyDocument(const wire::Document& aDocument);
  void ApplyHolder(const wire::LeaseHolder& aHolder);
  void ApplyIntent(const wire::PromotionIntent& aIntent);
  void ApplyPrimary(const wire::PrimaryChange& aChange);
  void RecordOutcome(wire::RuleOutcome aOutcome);
  void ParseCurrentRules();

  std::uint64_t index_ = 0;                    // of the last change applied
  std::uint64_t term_ = 0;                     // of the last change applied
  std::deque<wire::RuleVersion> ruleVersions_; // newest last
  Rules currentRules_; // newest version that could be parsed
  std::map<DatabaseId, wire::Database> databases_;
  std::map<ServerId, DatabaseId> databaseByServer_;
  std::uint64_t serversRevision_ = 0;
  std::deque<wire::RuleOutcome> outcomes_; // oldest first
  std::map<std::string, wire::RuleOutcome> outcomeByRequest_;
  wire::VoterSet voters_;
  std::map<VmId, ZoneId> leaseHolders_;
  wire::Document document_;
  std::shared_ptr<const std::string> documentBody_;
  std::deque<wire::Change> recentChanges_; // the last one has index_
  std::size_t recentChangeBytes_ = 0;
};

// Makes the view of the fleet that the traffic threads work with.
// `aProven`: the rules are proven to be in force.
std::shared_ptr<FleetView>
BuildFleetView(const ControlState& aState,
               std::vector<VmView> aVms,
               bool aProven);

} // namespace jaydoor

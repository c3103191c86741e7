#pragma once

// What the fleet agrees on: rules, upstreams, primaries, voters. Changes come
// in the order of the control log; every VM that applied the same changes is
// in the same state.
//
//   state.Apply(change);
//   auto delta = state.DeltaAfter(index);   // for a VM that is behind

#include "control/FleetView.h"
#include "wire/jaydoor.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jaydoor {

inline constexpr std::size_t kMaxDocumentBytes = 16UL * 1024 * 1024; // whole
inline constexpr std::size_t kKeptRuleVersions = 20; // of the rules
inline constexpr std::size_t kKeptRuleOutcomes =
  10'000;                                         // of operators' requests
inline constexpr std::size_t kKeptChanges = 1024; // for VMs that are behind
inline constexpr std::size_t kKeptChangeBytes = 1024UL * 1024; //

class ControlState
{
public:
  // Applies the next change. False if its index is not the next one.
  bool Apply(const wire::Change& aChange);
  // Jumps forward. False if the snapshot is older than the state.
  bool InstallSnapshot(const wire::ControlSnapshot& aSnapshot);
  wire::ControlSnapshot MakeSnapshot() const;
  // What a VM at `aIndex` lacks: changes, or a snapshot if it is far behind.
  wire::Delta DeltaAfter(std::uint64_t aIndex) const;
  // Applies a delta; true if the state moved.
  bool ApplyDelta(const wire::Delta& aDelta);

  std::uint64_t Index() const { return index_; }
  // Changes whenever a server comes, goes or describes itself anew.
  std::uint64_t ServersRevision() const { return serversRevision_; }
  std::uint64_t RulesVersion() const;
  const std::string& RulesText() const;
  const std::deque<wire::RuleVersion>& RulesHistory() const
  {
    return ruleVersions_;
  }
  const Rules& CurrentRules() const { return currentRules_; }
  std::optional<wire::RuleOutcome> FindRuleOutcome(
    const std::string& aRequest) const;
  const std::map<DatabaseId, wire::Database>& Databases() const
  {
    return databases_;
  }
  // The operators' configuration in force; version 0: none yet.
  const wire::Document& CurrentDocument() const { return document_; }
  // The same body for as long as the version stays.
  const std::shared_ptr<const std::string>& DocumentBody() const
  {
    return documentBody_;
  }
  // VMs that may hold leases on primaries, with their zones.
  const std::map<VmId, ZoneId>& LeaseHolders() const { return leaseHolders_; }
  // True if this is news of the server, and not a delayed announcement or one
  // of a server whose address another one has taken over.
  bool IsNewerAnnouncement(const wire::Upstream& aInfo) const;
  const wire::Upstream* FindServer(const ServerId& aServer) const;
  // Servers that a majority is counted of: the largest group size announced.
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

  std::uint64_t index_ = 0;
  std::uint64_t term_ = 0;                     // of the last change
  std::deque<wire::RuleVersion> ruleVersions_; // newest last
  Rules currentRules_;                         // of the newest version
  std::map<DatabaseId, wire::Database> databases_;
  std::map<ServerId, DatabaseId> databaseByServer_;
  std::uint64_t serversRevision_ = 0;
  std::deque<wire::RuleOutcome> outcomes_;                    // oldest first
  std::map<std::string, wire::RuleOutcome> outcomeByRequest_; // by request
  wire::VoterSet voters_;
  std::map<VmId, ZoneId> leaseHolders_;
  wire::Document document_;
  std::shared_ptr<const std::string> documentBody_;
  std::deque<wire::Change> recentChanges_; // ends at index_
  std::size_t recentChangeBytes_ = 0;
};

// The picture of the state that traffic decides by.
std::shared_ptr<FleetView>
BuildFleetView(const ControlState& aState,
               std::vector<VmView> aVms,
               bool aProven);

} // namespace jaydoor

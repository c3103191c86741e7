#pragma once

// Why a statement would go to a server, for operators: see Gateway::Explain.

#include "base/Types.h"
#include "gateway/Catalog.h"
#include "gateway/LinkPolicy.h"
#include "gateway/OrganisationLimiter.h"
#include "gateway/SessionTypes.h"

#include <optional>
#include <string>
#include <vector>

namespace jaydoor {

struct ExplanationRequest
{
  std::string database_;
  // Read, Write, Begin or BeginReadOnly; of a transaction, where its first
  // statement would run.
  StatementKind kind_ = StatementKind::Read;
  OrganisationId organisation_; // empty: none
};

// What a VM knows of one server and thinks of it for the statement.
struct ServerExplanation
{
  ServerId server_;
  ZoneId zone_;
  bool isPrimary_ = false;
  bool isLeaving_ = false;
  bool isShedding_ = false;       // it is spared some statements
  std::uint64_t term_ = 0;        // of the primary
  std::optional<LogPoint> point_; // last known position of its log
  std::optional<Duration> age_;   // of what is known of its load
  Duration delay_{};              // expected beyond the usual response time
  int running_ = 0;               // statements of this VM
  unsigned slots_ = 0;            // of the server, for all VMs
  std::size_t slotShare_ = 0;     // statements that this VM may run on it
  std::size_t links_ = 0;         // of this VM
  std::size_t idleLinks_ = 0;     // of these
  // Over which link the statement can run on it.
  LinkVerdict link_ = LinkVerdict::Wait;
  std::optional<Duration> cost_; // none: it can't run the statement
  std::string obstacle_;         // why it can't run it; empty: it can
};

struct Explanation
{
  enum class Outcome : std::uint8_t
  {
    Runs,
    Waits,   // for a link, or for room on a server
    Refused, // nothing is sent
  };

  ExplanationRequest request_;
  Outcome outcome_ = Outcome::Refused;
  std::string reason_;                   // of the outcome
  std::optional<CatalogDatabase> route_; // none: not in the configuration
  std::uint64_t configurationVersion_ = 0;
  bool needsPrimary_ = false;
  std::optional<LogPoint> requiredPoint_; // that the server must have reached
  std::optional<OperationLimit> limit_;   // of the organisation, on all VMs
  std::optional<OrganisationLimiter::Usage> usage_; // of it, on this VM
  ServerId server_; // that was chosen; empty: none
  std::vector<ServerExplanation> servers_;
};

} // namespace jaydoor

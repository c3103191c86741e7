#pragma once

// Writes and parses the JSON bodies of the operators' HTTP API.
//
//   GET  /v1/status         VMs, upstreams, primaries and the rules version
//   GET  /v1/rules          the rules in force and their version
//   GET  /v1/rules/history  the versions that are still stored
//   POST /v1/rules          {"text","base_version","request","author"}
//   POST /v1/explain        {"database","kind","organisation"}

#include "base/Error.h"
#include "control/ControlNode.h"
#include "daemon/TrafficShell.h"
#include "gateway/Explanation.h"

#include <span>
#include <string>

namespace jaydoor {

std::string
WriteStatus(const ControlNode& aNode, std::span<const UpstreamStats> aFigures);
std::string
WriteRules(const ControlState& aState);
std::string
WriteRulesHistory(const ControlState& aState);
std::string
WriteRuleOutcome(const std::optional<wire::RuleOutcome>& aOutcome);
std::string
WriteRefusal(std::string_view aMessage);
Expected<wire::RuleChange>
ParseRuleChange(std::string_view aBody);
std::string
WriteExplanation(const Explanation& aExplanation);
// The kind is one of read, write, begin and begin-read-only.
Expected<ExplanationRequest>
ParseExplanationRequest(std::string_view aBody);

} // namespace jaydoor

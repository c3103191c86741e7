#include "daemon/GatewayMetrics.h"

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

#include <fmt/format.h>

namespace jaydoor {
namespace {

// Organisations with the highest figures, which get lines of their own.
constexpr std::size_t kMaxNamed = 10;

// Escapes a value for use in a label.
std::string
EscapeLabel(std::string_view aValue)
{
  std::string escaped;
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c == '\n' ? ' ' : c;
  }
  return escaped;
}

// Appends the figures of the organisations with the highest ones, and the sum
// of the others as `aName`_others. Those of no organisation are left out.
template<typename Number>
void
AppendByOrganisation(std::string& aText,
                     const std::string& aName,
                     const std::map<OrganisationId, Number>& aCounts)
{
  std::vector<std::pair<Number, OrganisationId>> counts;
  for (const auto& [id, count] : aCounts) {
    if (!id.empty()) {
      counts.emplace_back(count, id);
    }
  }
  std::sort(counts.begin(), counts.end(), std::greater<>());
  Number others = 0;
  for (std::size_t i = 0; i < counts.size(); i++) {
    const auto& [count, id] = counts[i];
    if (i < kMaxNamed) {
      AppendMetric(aText,
                   aName,
                   fmt::format(R"(organisation="{}")", EscapeLabel(id)),
                   static_cast<double>(count));
    } else {
      others += count;
    }
  }
  if (!counts.empty()) {
    AppendMetric(aText, aName + "_others", "", static_cast<double>(others));
  }
}

// Appends what organisations make of their limits.
void
AppendLimitUsage(std::string& aText, const OrganisationLimiter& aLimiter)
{
  std::map<OrganisationId, double> admitted;
  std::map<OrganisationId, double> refused;
  std::map<OrganisationId, double> shares;
  for (const auto& [id, usage] : aLimiter.ListUsage()) {
    admitted[id] = static_cast<double>(usage.admitted_);
    refused[id] = static_cast<double>(usage.refused_);
    shares[id] = usage.share_;
  }
  AppendByOrganisation(aText, "jaydoor_organisation_admitted_total", admitted);
  AppendByOrganisation(aText, "jaydoor_organisation_refused_total", refused);
  AppendByOrganisation(aText, "jaydoor_organisation_limit_share", shares);
}

} // namespace

void
GatewayMetrics::RecordSample(const GatewaySample& aSample)
{
  const auto rank = static_cast<std::size_t>(
    std::clamp(aSample.rank_, 0, static_cast<int>(kRanks) - 1));
  totalTimes_.at(rank).Record(aSample.total_);
  queueTimes_.at(rank).Record(aSample.queued_);
  outcomes_.at(rank).at(aSample.error_ ? 1 : 0)++;
}

std::string
GatewayMetrics::Write(const Gateway& aGateway, Time aNow) const
{
  std::string text;
  for (std::size_t rank = 0; rank < kRanks; rank++) {
    const auto labels = fmt::format(R"(rank="{}")", rank);
    totalTimes_.at(rank).Append(text, "jaydoor_statement_seconds", labels);
    queueTimes_.at(rank).Append(
      text, "jaydoor_statement_queue_seconds", labels);
    for (const std::size_t failed : { 0U, 1U }) {
      AppendMetric(text,
                   "jaydoor_statements_total",
                   fmt::format(R"({},outcome="{}")",
                               labels,
                               failed == 0 ? "done" : "not_done"),
                   static_cast<double>(outcomes_.at(rank).at(failed)));
    }
  }
  const auto add = [&text](std::string_view aName, std::uint64_t aValue) {
    AppendMetric(text, aName, "", static_cast<double>(aValue));
  };
  const GatewayCounters& counters = aGateway.Counters();
  add("jaydoor_sessions_total", counters.sessions_);
  const auto addRefused = [&text](std::string_view aReason,
                                  std::uint64_t aValue) {
    AppendMetric(text,
                 "jaydoor_sessions_refused_total",
                 fmt::format(R"(reason="{}")", aReason),
                 static_cast<double>(aValue));
  };
  addRefused("unknown_key", counters.unknownKeys_);
  addRefused("no_such_database", counters.unknownDatabases_);
  addRefused("stale_catalog", counters.outdatedCatalog_);
  addRefused("no_catalog", counters.missingCatalog_);
  add("jaydoor_sessions_revoked_total", counters.sessionsRevoked_);
  add("jaydoor_statements_revoked_total", counters.statementsRevoked_);
  add("jaydoor_statements_shed_total", counters.shed_);
  for (const auto& [cause, count] :
       { std::pair{ "reached", counters.limitReached_ },
         std::pair{ "no_share", counters.limitNoShare_ },
         std::pair{ "crowded", counters.limitCrowded_ } }) {
    AppendMetric(text,
                 "jaydoor_limit_refused_total",
                 fmt::format(R"(cause="{}")", cause),
                 static_cast<double>(count));
  }
  AppendLimitUsage(text, aGateway.Limiter());
  for (const auto& [verdict, count] :
       { std::pair{ AnswerVerdict::Repeated, counters.answersRepeated_ },
         std::pair{ AnswerVerdict::Ambiguous, counters.answersAmbiguous_ },
         std::pair{ AnswerVerdict::Unproven, counters.answersUnproven_ },
         std::pair{ AnswerVerdict::Unexpected,
                    counters.answersUnexpected_ } }) {
    AppendMetric(text,
                 "jaydoor_answers_unmatched_total",
                 fmt::format(R"(verdict="{}")", GetVerdictName(verdict)),
                 static_cast<double>(count));
  }
  add("jaydoor_statements_retried_total", counters.retried_);
  add("jaydoor_statements_hedged_total", counters.hedged_);
  add("jaydoor_statements_in_doubt_total", counters.inDoubt_);
  add("jaydoor_statements_refused_total", counters.refused_);
  add("jaydoor_transactions_lost_total", counters.transactionsLost_);
  add("jaydoor_server_connections_opened_total", counters.linksOpened_);
  add("jaydoor_server_connections_replaced_total", counters.linksReplaced_);
  add("jaydoor_server_connections_open", aGateway.CountLinks());
  add("jaydoor_server_busy_total", counters.serverBusy_);
  add("jaydoor_server_behind_total", counters.serverBehind_);
  add("jaydoor_sent_to_primary_total", counters.primaryReads_);
  add("jaydoor_sent_to_replica_total", counters.replicaReads_);
  add("jaydoor_statements_waiting", aGateway.CountWaiting());
  const BalanceFigures balance = aGateway.MeasureBalance(aNow);
  const auto addSeconds = [&text](std::string_view aName, Duration aTime) {
    AppendMetric(text, aName, "", static_cast<double>(aTime.count()) / 1e6);
  };
  addSeconds("jaydoor_server_delay_spread_seconds", balance.spread_);
  addSeconds("jaydoor_server_delay_age_seconds", balance.age_);
  add("jaydoor_servers_avoided", balance.avoided_);
  add("jaydoor_leases_held", aGateway.CountLeases(aNow));
  add("jaydoor_ready", aGateway.IsReady() ? 1 : 0);
  add("jaydoor_log_lines_dropped_total", CountDroppedLines());
  AppendByOrganisation(text,
                       "jaydoor_organisation_sessions",
                       aGateway.CountSessionsByOrganisation());
  AppendByOrganisation(text,
                       "jaydoor_organisation_server_connections",
                       aGateway.CountLinksByOrganisation());
  return text;
}

std::string
WriteBudgetMetrics(const MemoryBudget& aBudget)
{
  std::string text;
  AppendMetric(text,
               "jaydoor_memory_budget_bytes",
               "",
               static_cast<double>(aBudget.Limit()));
  for (std::size_t i = 0; i < kMemoryPlaceNames.size(); i++) {
    AppendMetric(
      text,
      "jaydoor_memory_used_bytes",
      fmt::format(R"(place="{}")", kMemoryPlaceNames.at(i)),
      static_cast<double>(aBudget.Used(static_cast<MemoryPlace>(i))));
  }
  for (std::size_t i = 0; i < kClientVerdictNames.size(); i++) {
    AppendMetric(
      text,
      "jaydoor_client_verdicts_total",
      fmt::format(R"(reason="{}")", kClientVerdictNames.at(i)),
      static_cast<double>(aBudget.Counted(static_cast<ClientVerdict>(i))));
  }
  return text;
}

} // namespace jaydoor

#include "daemon/Metrics.h"

#include <fmt/format.h>

namespace jaydoor {
void
Metrics::RecordStatement(Rank aRank, Outcome aOutcome, Duration aTime)
{
  statements_[static_cast<std::size_t>(aRank)]
             [static_cast<std::size_t>(aOutcome)]
               .Record(aTime);
}

std::string
Metrics::WriteTraffic(const TrafficNode& aNode) const
{
  std::string text;
  for (std::size_t rank = 0; rank < kRankCount; rank++) {
    for (std::size_t outcome = 0; outcome < kOutcomes; outcome++) {
      const TimeSeries& series = statements_[rank][outcome];
      if (!series.IsEmpty()) {
        series.Append(text,
                      "jaydoor_statement_seconds",
                      fmt::format(R"(rank="{}",outcome="{}")",
                                  ToText(static_cast<Rank>(rank)),
                                  ToText(static_cast<Outcome>(outcome))));
      }
    }
  }
  const TrafficCounters& counters = aNode.Counters();
  const auto add = [&text](std::string_view aName, std::uint64_t aValue) {
    AppendMetric(text, aName, "", static_cast<double>(aValue));
  };
  add("jaydoor_statements_total", counters.statements_);
  add("jaydoor_replica_answers_total", counters.replicaAnswers_);
  add("jaydoor_primary_answers_total", counters.primaryAnswers_);
  add("jaydoor_forwards_out_total", counters.forwardsOut_);
  add("jaydoor_forwards_in_total", counters.forwardsIn_);
  add("jaydoor_upstream_calls_total", counters.upstreamCalls_);
  add("jaydoor_status_calls_total", counters.statusCalls_);
  add("jaydoor_statements_in_flight", aNode.CountInFlight());
  for (const auto& [id, owner] : aNode.Owners()) {
    const std::string labels = fmt::format(R"(server="{}")", id);
    const auto gauge = [&](std::string_view aName, std::size_t aValue) {
      AppendMetric(text, aName, labels, static_cast<double>(aValue));
    };
    gauge("jaydoor_upstream_queued", owner.CountQueued());
    gauge("jaydoor_upstream_running", owner.CountRunning());
    gauge("jaydoor_upstream_connections", owner.CountConnections());
  }
  return text;
}

} // namespace jaydoor

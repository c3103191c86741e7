#include "daemon/GatewayMetrics.h"

#include "daemon/Metrics.h"

#include <algorithm>

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr unsigned kBins = 24;
constexpr double kLeastSeconds = 0.0002;
constexpr double kMostSeconds = 5;

} // namespace

GatewayMetrics::GatewayMetrics()
{
  for (auto* all : { &total_, &queued_ }) {
    for (auto& series : *all) {
      series.times_ = boost::histogram::make_histogram(
        Axis(kBins, kLeastSeconds, kMostSeconds));
    }
  }
}

void
GatewayMetrics::Add(Series& aSeries, Duration aTime)
{
  const double seconds = std::chrono::duration<double>(aTime).count();
  aSeries.times_(seconds);
  aSeries.sumSeconds_ += seconds;
  aSeries.count_++;
}

void
GatewayMetrics::Note(const GatewaySample& aSample)
{
  const auto rank = static_cast<std::size_t>(
    std::clamp(aSample.rank_, 0, static_cast<int>(kRanks) - 1));
  Add(total_.at(rank), aSample.total_);
  Add(queued_.at(rank), aSample.queued_);
  outcomes_.at(rank).at(aSample.error_ ? 1 : 0)++;
}

void
GatewayMetrics::Append(std::string& aText,
                       std::string_view aName,
                       std::string_view aLabels,
                       const Series& aSeries)
{
  double below = 0;
  for (auto&& bin : boost::histogram::indexed(aSeries.times_)) {
    below += *bin;
    AppendMetric(aText,
                 fmt::format("{}_bucket", aName),
                 fmt::format(R"({},le="{:.6g}")", aLabels, bin.bin().upper()),
                 below);
  }
  const auto count = static_cast<double>(aSeries.count_);
  AppendMetric(aText,
               fmt::format("{}_bucket", aName),
               fmt::format(R"({},le="+Inf")", aLabels),
               count);
  AppendMetric(
    aText, fmt::format("{}_sum", aName), aLabels, aSeries.sumSeconds_);
  AppendMetric(aText, fmt::format("{}_count", aName), aLabels, count);
}

std::string
GatewayMetrics::Write(const Gateway& aGateway, Time aNow) const
{
  std::string text;
  for (std::size_t rank = 0; rank < kRanks; rank++) {
    const auto labels = fmt::format(R"(rank="{}")", rank);
    Append(text, "jaydoor_statement_seconds", labels, total_.at(rank));
    Append(text, "jaydoor_statement_queue_seconds", labels, queued_.at(rank));
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
  add("jaydoor_statements_retried_total", counters.retried_);
  add("jaydoor_statements_hedged_total", counters.hedged_);
  add("jaydoor_statements_in_doubt_total", counters.inDoubt_);
  add("jaydoor_statements_refused_total", counters.refused_);
  add("jaydoor_transactions_lost_total", counters.transactionsLost_);
  add("jaydoor_server_connections_opened_total", counters.linksOpened_);
  add("jaydoor_server_connections_open", aGateway.CountLinks());
  add("jaydoor_server_busy_total", counters.serverBusy_);
  add("jaydoor_server_behind_total", counters.serverBehind_);
  add("jaydoor_sent_to_primary_total", counters.primaryReads_);
  add("jaydoor_sent_to_replica_total", counters.replicaReads_);
  add("jaydoor_statements_waiting", aGateway.CountWaiting());
  add("jaydoor_leases_held", aGateway.CountLeases(aNow));
  add("jaydoor_ready", aGateway.IsReady() ? 1 : 0);
  add("jaydoor_log_lines_dropped_total", CountDroppedLines());
  return text;
}

} // namespace jaydoor

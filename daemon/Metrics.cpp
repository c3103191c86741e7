#include "daemon/Metrics.h"

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr unsigned kBuckets = 20;
constexpr double kLeastSeconds = 0.0001;
constexpr double kMostSeconds = 60;

} // namespace

Metrics::Metrics()
{
  for (auto& row : statements_) {
    for (auto& series : row) {
      series.times_ = boost::histogram::make_histogram(
        Axis(kBuckets, kLeastSeconds, kMostSeconds));
    }
  }
}

void
Metrics::NoteStatement(Rank aRank, Outcome aOutcome, Duration aTime)
{
  Series& series = statements_[static_cast<std::size_t>(aRank)]
                              [static_cast<std::size_t>(aOutcome)];
  const double seconds = static_cast<double>(aTime.count()) / 1e6;
  series.times_(seconds);
  series.sumSeconds_ += seconds;
  series.count_++;
}

void
AppendMetric(std::string& aText,
             std::string_view aName,
             std::string_view aLabels,
             double aValue)
{
  const std::string braces =
    aLabels.empty() ? std::string() : fmt::format("{{{}}}", aLabels);
  fmt::format_to(std::back_inserter(aText), "{}{} {}\n", aName, braces, aValue);
}

std::string
Metrics::WriteTraffic(const TrafficNode& aNode) const
{
  std::string text;
  for (std::size_t rank = 0; rank < kRankCount; rank++) {
    for (std::size_t outcome = 0; outcome < kOutcomes; outcome++) {
      const Series& series = statements_[rank][outcome];
      if (series.count_ == 0) {
        continue;
      }
      const std::string labels =
        fmt::format(R"(rank="{}",outcome="{}")",
                    ToText(static_cast<Rank>(rank)),
                    ToText(static_cast<Outcome>(outcome)));
      double below = series.times_.at(-1);
      for (int i = 0; i < series.times_.axis().size(); i++) {
        below += series.times_.at(i);
        AppendMetric(text,
                     "jaydoor_statement_seconds_bucket",
                     fmt::format(R"({},le="{:.4g}")",
                                 labels,
                                 series.times_.axis().bin(i).upper()),
                     below);
      }
      const auto count = static_cast<double>(series.count_);
      AppendMetric(text,
                   "jaydoor_statement_seconds_bucket",
                   labels + R"(,le="+Inf")",
                   count);
      AppendMetric(
        text, "jaydoor_statement_seconds_sum", labels, series.sumSeconds_);
      AppendMetric(text, "jaydoor_statement_seconds_count", labels, count);
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
  add("jaydoor_statements_in_flight", aNode.InFlight());
  for (const auto& [id, owner] : aNode.Owners()) {
    const std::string labels = fmt::format(R"(server="{}")", id);
    const auto gauge = [&](std::string_view aName, std::size_t aValue) {
      AppendMetric(text, aName, labels, static_cast<double>(aValue));
    };
    gauge("jaydoor_upstream_queued", owner.Queued());
    gauge("jaydoor_upstream_running", owner.Running());
    gauge("jaydoor_upstream_connections", owner.Connections());
  }
  return text;
}

} // namespace jaydoor

#include "daemon/TimeSeries.h"

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr unsigned kBuckets = 28; // each bound is about 1.6 times the previous
constexpr double kMinSeconds = 0.0001;
constexpr double kMaxSeconds = 60;

} // namespace

TimeSeries::TimeSeries()
  : times_(boost::histogram::make_histogram(
      Axis(kBuckets, kMinSeconds, kMaxSeconds)))
{
}

void
TimeSeries::Record(Duration aTime)
{
  const double seconds = std::chrono::duration<double>(aTime).count();
  times_(seconds);
  sumSeconds_ += seconds;
  count_++;
}

void
TimeSeries::Append(std::string& aText,
                   std::string_view aName,
                   std::string_view aLabels) const
{
  const auto bucket = [&](const std::string& aBound, double aCumulativeCount) {
    AppendMetric(aText,
                 fmt::format("{}_bucket", aName),
                 fmt::format(R"({},le="{}")", aLabels, aBound),
                 aCumulativeCount);
  };
  double cumulativeCount = times_.at(-1);
  for (int i = 0; i < times_.axis().size(); i++) {
    cumulativeCount += times_.at(i);
    bucket(fmt::format("{:.4g}", times_.axis().bin(i).upper()),
           cumulativeCount);
  }
  const auto count = static_cast<double>(count_);
  bucket("+Inf", count);
  AppendMetric(aText, fmt::format("{}_sum", aName), aLabels, sumSeconds_);
  AppendMetric(aText, fmt::format("{}_count", aName), aLabels, count);
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

} // namespace jaydoor

#include "daemon/TimeSeries.h"

#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr unsigned kBuckets = 28; // each about 1.6 times the one before
constexpr double kLeastSeconds = 0.0001;
constexpr double kMostSeconds = 60;

} // namespace

TimeSeries::TimeSeries()
  : times_(boost::histogram::make_histogram(
      Axis(kBuckets, kLeastSeconds, kMostSeconds)))
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
  const auto bucket = [&](const std::string& aBound, double aBelow) {
    AppendMetric(aText,
                 fmt::format("{}_bucket", aName),
                 fmt::format(R"({},le="{}")", aLabels, aBound),
                 aBelow);
  };
  double below = times_.at(-1);
  for (int i = 0; i < times_.axis().size(); i++) {
    below += times_.at(i);
    bucket(fmt::format("{:.4g}", times_.axis().bin(i).upper()), below);
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

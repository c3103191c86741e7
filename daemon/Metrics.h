#pragma once

// Figures of one jaydoord in the text format that monitoring systems scrape.
//
// Histograms are Boost.Histogram's; counters and gauges are read from the
// decision code when a scrape comes.

#include "base/Types.h"
#include "traffic/TrafficNode.h"

#include <array>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

namespace jaydoor {

class Metrics
{
public:
  Metrics();

  // One answered statement: rank as asked, outcome, time at this VM.
  void NoteStatement(Rank aRank, Outcome aOutcome, Duration aTime);

  // All histograms, and the counters of the traffic decisions.
  std::string WriteTraffic(const TrafficNode& aNode) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis{}));

  struct Series
  {
    Histogram times_;
    double sumSeconds_ = 0;
    std::uint64_t count_ = 0;
  };

  static constexpr std::size_t kOutcomes = 4;
  std::array<std::array<Series, kOutcomes>, kRankCount> statements_;
};

// "name{labels} value\n", with the labels as they are given.
void
AppendMetric(std::string& aText,
             std::string_view aName,
             std::string_view aLabels,
             double aValue);

} // namespace jaydoor

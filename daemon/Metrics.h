#pragma once

// Metrics of one jaydoord in the Prometheus text format.
//
// Counters and gauges are read from the decision code at each scrape.

#include "base/Types.h"
#include "daemon/TimeSeries.h"
#include "traffic/TrafficNode.h"

#include <array>
#include <string>

namespace jaydoor {

class Metrics
{
public:
  // Records an answered statement: requested rank, outcome, time spent in this
  // VM.
  void RecordStatement(Rank aRank, Outcome aOutcome, Duration aTime);

  // Writes all histograms, and the counters and gauges of the traffic node.
  std::string WriteTraffic(const TrafficNode& aNode) const;

private:
  static constexpr std::size_t kOutcomes = 4;
  std::array<std::array<TimeSeries, kOutcomes>, kRankCount> statements_;
};

} // namespace jaydoor

#pragma once

// Figures of one jaydoord in the text format that monitoring systems scrape.
//
// Counters and gauges are read from the decision code when a scrape comes.

#include "base/Types.h"
#include "daemon/TimeSeries.h"
#include "traffic/TrafficNode.h"

#include <array>
#include <string>

namespace jaydoor {

class Metrics
{
public:
  // One answered statement: rank as asked, outcome, time at this VM.
  void RecordStatement(Rank aRank, Outcome aOutcome, Duration aTime);

  // All histograms, and the counters of the traffic decisions.
  std::string WriteTraffic(const TrafficNode& aNode) const;

private:
  static constexpr std::size_t kOutcomes = 4;
  std::array<std::array<TimeSeries, kOutcomes>, kRankCount> statements_;
};

} // namespace jaydoor

#pragma once

// Figures of a gateway, in the text format that monitoring systems scrape.

#include "daemon/TimeSeries.h"
#include "gateway/Gateway.h"

#include <array>
#include <string>

namespace jaydoor {

class GatewayMetrics
{
public:
  void RecordSample(const GatewaySample& aSample);
  std::string Write(const Gateway& aGateway, Time aNow) const;

private:
  static constexpr std::size_t kRanks = 3;
  std::array<TimeSeries, kRanks> totalTimes_; // until the answer
  std::array<TimeSeries, kRanks> queueTimes_; // until a server was offered it
  std::array<std::array<std::uint64_t, 2>, kRanks> outcomes_{}; // done, not
};

} // namespace jaydoor

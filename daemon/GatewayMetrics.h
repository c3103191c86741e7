#pragma once

// Metrics of a gateway in the Prometheus text format.

#include "daemon/TimeSeries.h"
#include "gateway/Gateway.h"

#include "daemon/MemoryBudget.h"

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
  std::array<TimeSeries, kRanks> totalTimes_; // time until the answer
  std::array<TimeSeries, kRanks> queueTimes_; // time until sent to a server
  // Number of statements by rank; index 0: done, 1: not done.
  std::array<std::array<std::uint64_t, 2>, kRanks> outcomes_{};
};

// Writes the use of the memory budget by place and the verdicts on clients by
// reason.
std::string
WriteBudgetMetrics(const MemoryBudget& aBudget);

} // namespace jaydoor

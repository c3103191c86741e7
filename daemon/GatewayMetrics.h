#pragma once

// Figures of a gateway, in the text format that monitoring systems scrape.

#include "gateway/Gateway.h"

#include <array>
#include <string>

#include <boost/histogram.hpp>

namespace jaydoor {

class GatewayMetrics
{
public:
  GatewayMetrics();

  void Note(const GatewaySample& aSample);
  std::string Write(const Gateway& aGateway, Time aNow) const;

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

  static void Add(Series& aSeries, Duration aTime);
  static void Append(std::string& aText,
                     std::string_view aName,
                     std::string_view aLabels,
                     const Series& aSeries);

  static constexpr std::size_t kRanks = 3;
  std::array<Series, kRanks> total_;  // until the answer
  std::array<Series, kRanks> queued_; // until a server was offered it
  std::array<std::array<std::uint64_t, 2>, kRanks> outcomes_{}; // done, not
};

} // namespace jaydoor

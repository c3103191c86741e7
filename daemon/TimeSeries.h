#pragma once

// A histogram of times with its sum and count, as monitoring systems scrape
// them.

#include "base/Time.h"

#include <string>
#include <string_view>

#include <boost/histogram.hpp>

namespace jaydoor {

class TimeSeries
{
public:
  TimeSeries();

  void Record(Duration aTime);
  bool IsEmpty() const { return count_ == 0; }
  // Buckets, sum and count; `aLabels` must not be empty.
  void Append(std::string& aText,
              std::string_view aName,
              std::string_view aLabels) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

  decltype(boost::histogram::make_histogram(Axis{})) times_;
  double sumSeconds_ = 0;
  std::uint64_t count_ = 0;
};

// "name{labels} value\n", with the labels as they are given.
void
AppendMetric(std::string& aText,
             std::string_view aName,
             std::string_view aLabels,
             double aValue);

} // namespace jaydoor

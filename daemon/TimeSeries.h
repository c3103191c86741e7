#pragma once

// A histogram of durations with its sum and count, in the Prometheus text
// format.

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
  // Appends the buckets, sum and count; `aLabels` must not be empty.
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

// Appends the line "name{labels} value\n"; the labels are not escaped.
void
AppendMetric(std::string& aText,
             std::string_view aName,
             std::string_view aLabels,
             double aValue);

} // namespace jaydoor

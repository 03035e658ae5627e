/**
 * @file histogram_type.h Histogram of latencies.
 */

#ifndef BRONZE_CORE_METRICS_HISTOGRAM_TYPE_H_
#define BRONZE_CORE_METRICS_HISTOGRAM_TYPE_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace bronze {

using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

/** Logarithmic buckets from 10 us to 100 s; the unit is seconds. */
struct LatencyHistogram {
  static constexpr int kBuckets = 140;  ///< Each bound is 12 % above the last.
  static constexpr double kLowest = 1e-5;
  static constexpr double kHighest = 100.0;

  boost::histogram::histogram<std::tuple<LatencyAxis>> m_counts =
      boost::histogram::make_histogram(
          LatencyAxis(kBuckets, kLowest, kHighest));
  double m_sum = 0.0;  ///< Sum of all values, in seconds.
  uint64_t m_count = 0;
};

}  // namespace bronze

#endif  // BRONZE_CORE_METRICS_HISTOGRAM_TYPE_H_

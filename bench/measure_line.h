/**
 * @file measure_line.h Prints one line per measured quantity.
 */

#ifndef BRONZE_BENCH_MEASURE_LINE_H_
#define BRONZE_BENCH_MEASURE_LINE_H_

#include <fmt/format.h>

#include <cstdio>
#include <string>
#include <vector>

namespace bronze {

struct Measure {
  std::string m_name;
  std::string m_baseline;  ///< Empty if there is none.
  std::string m_now;
  std::string m_target;  ///< Empty if there is none.
};

/** Prints one line each: name, baseline, current value, target. */
inline void PrintMeasures(const std::vector<Measure>& aMeasures) {
  const auto orNone = [](const std::string& aText) {
    return aText.empty() ? std::string("-") : aText;
  };
  for (const Measure& measure : aMeasures) {
    fmt::print("{:<52} baseline {:>12} now {:>12} target {}\n", measure.m_name,
               orNone(measure.m_baseline), measure.m_now,
               orNone(measure.m_target));
  }
}

}  // namespace bronze

#endif  // BRONZE_BENCH_MEASURE_LINE_H_

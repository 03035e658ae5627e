/**
 * @file request_forecast_bench.cpp Errors of demand forecasts on seeded traces.
 *
 * A trace is the number of requests in progress, sampled every 50 ms as for a
 * slot report. Each forecast is for the next sample.
 */

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

#include "core/request/forecast_func.h"
#include "measure_line.h"

namespace bronze {

namespace {

constexpr double kStep = 0.050;  // Seconds.
constexpr int kSteps = 20'000;

/** Mean number of requests in progress by time in seconds. */
using Shape = std::function<double(double)>;

struct Trace {
  std::string m_name;
  Shape m_shape;
  double m_runTime;  ///< Mean run time in seconds.
};

double Swing(double aTime) {
  const double phase = std::fmod(aTime, 20.0);
  const double up = std::clamp((phase - 5.0) / 2.0, 0.0, 1.0);
  const double down = std::clamp((phase - 12.0) / 2.0, 0.0, 1.0);
  return 20.0 + 180.0 * (up - down);
}

double Wave(double aTime) { return 100.0 + 80.0 * std::sin(aTime / 3.0); }

double Steps(double aTime) {
  return std::fmod(aTime, 10.0) < 5.0 ? 20.0 : 200.0;
}

/**
 * @return the number of requests in progress at each step, with aShape as mean.
 *         Run times are exponential with a mean of aRunTime seconds.
 */
std::vector<double> Samples(const Shape& aShape, double aRunTime) {
  std::mt19937 random(7);
  std::vector<double> samples;
  const double stay = std::exp(-kStep / aRunTime);
  int running = 0;
  for (int i = 0; i < kSteps; ++i) {
    const double arrivals = aShape(i * kStep) * (1.0 - stay);
    running = std::binomial_distribution<int>(running, stay)(random) +
              std::poisson_distribution<int>(arrivals)(random);
    samples.push_back(running);
  }
  return samples;
}

struct Errors {
  double m_rms = 0.0;
  double m_missing = 0.0;  ///< Demand above the forecast, in percent of demand.
};

Errors ErrorsOf(const std::vector<double>& aSamples, ForecastPolicy aPolicy) {
  ForecastState state;
  double squares = 0.0;
  double missing = 0.0;
  double total = 0.0;
  for (const double sample : aSamples) {
    if (state.m_samples > 0) {
      const double error = sample - Forecast(state, aPolicy);
      squares += error * error;
      missing += std::max(0.0, error);
      total += sample;
    }
    AddSample(state, sample);
  }
  return {std::sqrt(squares / static_cast<double>(aSamples.size() - 1)),
          100.0 * missing / total};
}

std::vector<Measure>& Measures() {
  static std::vector<Measure> sMeasures;
  return sMeasures;
}

void Compare(const Trace& aTrace) {
  const auto samples = Samples(aTrace.m_shape, aTrace.m_runTime);
  const Errors last = ErrorsOf(samples, ForecastPolicy::LastValue);
  const auto add = [&](const std::string& aPolicy, ForecastPolicy aValue) {
    const Errors errors = ErrorsOf(samples, aValue);
    Measures().push_back({"rms error, " + aTrace.m_name + ", " + aPolicy,
                          fmt::format("{:.1f}", last.m_rms),
                          fmt::format("{:.1f}", errors.m_rms), ""});
    Measures().push_back({"missing, %, " + aTrace.m_name + ", " + aPolicy,
                          fmt::format("{:.1f}", last.m_missing),
                          fmt::format("{:.1f}", errors.m_missing), ""});
  };
  add("weighted mean", ForecastPolicy::WeightedMean);
  add("linear", ForecastPolicy::Linear);
}

void BmForecast(benchmark::State& aState) {
  for (auto unused : aState) {
    Compare({"10x swing, 20 ms runs", Swing, 0.02});
    Compare({"wave, 20 ms runs", Wave, 0.02});
    Compare({"steps, 20 ms runs", Steps, 0.02});
    Compare({"10x swing, 2 s runs", Swing, 2.0});
    Compare({"wave, 2 s runs", Wave, 2.0});
    Compare({"steps, 2 s runs", Steps, 2.0});
  }
}

BENCHMARK(BmForecast)->Iterations(1)->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace bronze

int main(int aCount, char** aValues) {
  benchmark::Initialize(&aCount, aValues);
  benchmark::RunSpecifiedBenchmarks();
  bronze::PrintMeasures(bronze::Measures());
  return 0;
}

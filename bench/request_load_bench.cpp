/**
 * @file request_load_bench.cpp Answered requests and latency under load,
 *                              simulated on a virtual clock.
 */

#include <benchmark/benchmark.h>

#include <algorithm>

#include "measure_line.h"
#include "request_cluster.h"

namespace bronze {

namespace {

constexpr size_t kNodes = 9;
constexpr int kRunners = 20;
constexpr int64_t kSlotsEach = 8;
const KindId kCheck{"check"};
const KindId kPlan{"plan"};

RequestSettings Settings() {
  RequestSettings settings;
  settings.m_kinds[kCheck].m_expectedRunTime = milliseconds(20);
  settings.m_kinds[kPlan].m_class = KindClass::Long;
  settings.m_kinds[kPlan].m_expectedRunTime = seconds(2);
  return settings;
}

RequestSettings FifoSettings() {
  RequestSettings settings = Settings();
  settings.m_queuePolicy = QueuePolicy::Fifo;
  return settings;
}

double InSeconds(Duration aTime) {
  return std::chrono::duration<double>(aTime).count();
}

/** One kind of request, sent at a rate that may change with time. */
struct Stream {
  KindId m_kind;
  Duration m_window;
  std::function<double(double)> m_rate;  ///< Per second, by time in seconds.
  std::function<size_t(std::minstd_rand&)> m_node;
};

/** A simulated cluster with load, and the requests sent to it by kind. */
struct LoadRun {
  LoadRun(const RequestSettings& aSettings, uint32_t aSeed)
      : m_cluster(kNodes, kRunners, kSlotsEach, aSettings, aSeed),
        m_random(aSeed) {
    m_cluster.RunUntil(m_cluster.m_now + seconds(3));
    m_start = m_cluster.m_now;
  }

  void Add(const Stream& aStream, Duration aTime) {
    double at = 0.0;
    while (at < InSeconds(aTime)) {
      const double rate = aStream.m_rate(at);
      at += std::exponential_distribution<>(std::max(rate, 1e-3))(m_random);
      const TimePoint when =
          m_start + Duration(static_cast<Duration::rep>(at * 1e6));
      m_cluster.At(when, [this, aStream, node = aStream.m_node(m_random)] {
        const auto id = m_cluster.Send(node, aStream.m_kind, aStream.m_window);
        m_sent[aStream.m_kind].emplace_back(id, m_cluster.m_now);
      });
    }
  }

  /** @return the latencies of answered requests in ms, sorted. */
  std::vector<double> Latencies(const KindId& aKind) {
    std::vector<double> latencies;
    for (const auto& [id, sent] : m_sent[aKind]) {
      const auto end = m_cluster.m_ends.find(id);
      if (end == m_cluster.m_ends.end() || !end->second.m_answered) continue;
      latencies.push_back(InSeconds(end->second.m_at - sent) * 1e3);
    }
    std::sort(latencies.begin(), latencies.end());
    return latencies;
  }

  RequestCluster m_cluster;
  std::minstd_rand m_random;
  TimePoint m_start;
  std::map<KindId, std::vector<std::pair<RequestId, TimePoint>>> m_sent;
};

size_t AnyNode(std::minstd_rand& aRandom) {
  return std::uniform_int_distribution<size_t>(0, kNodes - 1)(aRandom);
}

/** Three of the nine entry VMs receive 80 % of the requests. */
size_t UnevenNode(std::minstd_rand& aRandom) {
  const bool busy = std::uniform_int_distribution<int>(0, 9)(aRandom) < 8;
  return std::uniform_int_distribution<size_t>(busy ? 0 : 3,
                                               busy ? 2 : 8)(aRandom);
}

double Percentile(const std::vector<double>& aSorted, double aShare) {
  if (aSorted.empty()) return 0.0;
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<size_t>(aShare * last)];
}

struct FloodResult {
  double m_p99 = 0.0;           ///< Of short requests, ms.
  double m_answered = 0.0;      ///< Percent of the short requests.
  double m_longAnswered = 0.0;  ///< Percent of the long requests.
};

/** Load of short requests that needs 20 slots, and of long requests that needs
 * 4 times all slots. */
FloodResult Flood(const RequestSettings& aSettings) {
  LoadRun run(aSettings, 1);
  run.m_cluster.m_runTime = [](const KindId& aKind, const RunnerId&) {
    return aKind == kPlan ? Duration(seconds(2)) : Duration(milliseconds(20));
  };
  const Duration time = seconds(20);
  run.Add({kCheck, seconds(1), [](double) { return 1000.0; }, AnyNode}, time);
  run.Add({kPlan, seconds(20), [](double) { return 320.0; }, AnyNode}, time);
  run.m_cluster.RunUntil(run.m_start + time + seconds(25));
  const auto shorts = run.Latencies(kCheck);
  const auto share = [&](const KindId& aKind, size_t aAnswered) {
    return 100.0 * static_cast<double>(aAnswered) /
           static_cast<double>(run.m_sent[aKind].size());
  };
  return {Percentile(shorts, 0.99), share(kCheck, shorts.size()),
          share(kPlan, run.Latencies(kPlan).size())};
}

/** @return answered requests at 3 times the capacity, in percent of it. */
double Overload(const RequestSettings& aSettings) {
  LoadRun run(aSettings, 2);
  run.m_cluster.m_runTime = [](const KindId&, const RunnerId&) {
    return Duration(milliseconds(40));
  };
  constexpr double kCapacity = kRunners * kSlotsEach / 0.040;
  const Duration time = seconds(10);
  run.Add({kCheck, milliseconds(500), [](double) { return 3.0 * kCapacity; },
           AnyNode},
          time);
  run.m_cluster.RunUntil(run.m_start + time + seconds(2));
  return 100.0 * static_cast<double>(run.Latencies(kCheck).size()) /
         (kCapacity * InSeconds(time));
}

struct PeakResult {
  double m_slots = 0.0;     ///< Mean in use at the peak, percent of all.
  double m_answered = 0.0;  ///< Percent of all requests sent.
  double m_messages = 0.0;  ///< Between entry VMs, per second and VM.
};

/** Demand that rises 10-fold within 2 s to 90 % of all slots, most of it at
 * three entry VMs. */
PeakResult UnevenPeak(const RequestSettings& aSettings) {
  LoadRun run(aSettings, 3);
  run.m_cluster.m_runTime = [](const KindId&, const RunnerId&) {
    return Duration(milliseconds(40));
  };
  constexpr double kCapacity = kRunners * kSlotsEach / 0.040;
  const auto rate = [](double aAt) {
    const double rise = std::clamp((aAt - 3.0) / 2.0, 0.0, 1.0);
    return kCapacity * 0.9 * (0.1 + 0.9 * rise);
  };
  const Duration time = seconds(10);
  run.Add({kCheck, milliseconds(200), rate, UnevenNode}, time);
  double used = 0.0;
  int samples = 0;
  for (Duration at = seconds(5); at < time; at += milliseconds(10)) {
    run.m_cluster.At(run.m_start + at, [&] {
      for (const auto& [id, runner] : run.m_cluster.m_runners) {
        used += static_cast<double>(runner.m_running);
      }
      ++samples;
    });
  }
  const uint64_t before = run.m_cluster.m_messages;
  run.m_cluster.RunUntil(run.m_start + time + seconds(2));
  PeakResult result;
  result.m_slots =
      100.0 * used / (samples * static_cast<double>(kRunners * kSlotsEach));
  result.m_answered = 100.0 *
                      static_cast<double>(run.Latencies(kCheck).size()) /
                      static_cast<double>(run.m_sent[kCheck].size());
  result.m_messages = static_cast<double>(run.m_cluster.m_messages - before) /
                      (InSeconds(time) * kNodes);
  return result;
}

std::vector<Measure>& Measures() {
  static std::vector<Measure> sMeasures;
  return sMeasures;
}

void Add(const std::string& aName, double aBaseline, double aNow,
         const std::string& aTarget) {
  Measures().push_back({aName, fmt::format("{:.1f}", aBaseline),
                        fmt::format("{:.1f}", aNow), aTarget});
}

void BmFlood(benchmark::State& aState) {
  FloodResult now;
  for (auto unused : aState) now = Flood(Settings());
  const FloodResult fifo = Flood(FifoSettings());
  Add("p99 of short requests in a flood, ms (FIFO)", fifo.m_p99, now.m_p99,
      "< 1000, the window");
  Add("short requests answered in a flood, % (FIFO)", fifo.m_answered,
      now.m_answered, "100");
  Add("long requests answered in the flood, % (FIFO)", fifo.m_longAnswered,
      now.m_longAnswered, "");
}

void BmOverload(benchmark::State& aState) {
  double now = 0.0;
  for (auto unused : aState) now = Overload(Settings());
  Add("goodput at 3x overload, % of capacity (FIFO)", Overload(FifoSettings()),
      now, "");
}

void BmUnevenPeak(benchmark::State& aState) {
  RequestSettings fixedSettings = Settings();
  fixedSettings.m_slotPolicy = SlotPolicy::Fixed;
  PeakResult now;
  for (auto unused : aState) now = UnevenPeak(Settings());
  const PeakResult fixed = UnevenPeak(fixedSettings);
  Add("slots in use at an uneven peak, % (fixed split)", fixed.m_slots,
      now.m_slots, "90, the demand");
  Add("requests answered in this load, % (fixed split)", fixed.m_answered,
      now.m_answered, "100");
  Add("messages per second and VM in this load (fixed)", fixed.m_messages,
      now.m_messages, "");
}

BENCHMARK(BmFlood)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(BmOverload)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(BmUnevenPeak)->Iterations(1)->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace bronze

int main(int aCount, char** aValues) {
  benchmark::Initialize(&aCount, aValues);
  benchmark::RunSpecifiedBenchmarks();
  bronze::PrintMeasures(bronze::Measures());
  return 0;
}

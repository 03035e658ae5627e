/**
 * @file main.cpp Load generator with bounded load, for entry VMs on this
 * machine.
 */

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <random>

#include "core/error/error_func.h"
#include "load/batch_run.h"
#include "load/load_options.h"
#include "load/load_run.h"
#include "net/log_func.h"

namespace {

constexpr char kUsage[] =
    R"(bronze-load: load generator with bounded load, for this machine only.

Usage:
  bronze-load --targets ADDRESSES [options]
  bronze-load --help

Options:
  --targets ADDRESSES  Entry VMs as IP:PORT,IP:PORT; loopback only.
  --rate N             Requests per second, at most 20000 [default: 100].
  --duration S         Seconds, at most 600 [default: 10].
  --seed N             Seed of arrivals, kinds and bodies [default: 1].
  --mix SHARES         Kinds of requests and their shares
                       [default: check=70,plan=10,commit=15,watch=5].
  --swing SWING        FACTOR@START+LENGTH: multiply the rate by FACTOR for
                       LENGTH seconds, from second START of the run on.
  --batch JOBS         Number of jobs to submit [default: 0].
  --tasks N            Tasks of each job [default: 4].
  --batch-kind KIND    Kind of the tasks [default: batch].
  --window-ms MS       Time to answer each request; at least 30 s for watches
                       [default: 5000].
  --connections N      Limit of requests in flight at once [default: 2000].
  --json FILE          Also write the result to FILE as JSON.
  --help               Show this text.

Exit codes: 0 success; 1 an answer was lost, received twice or received by
another request, or a job did not end; 2 invalid options.
)";

constexpr size_t kTrafficThreads = 3;
constexpr int kExitUnclean = 1;

using bronze::LoadOptions;
using bronze::Result;
using Args = std::map<std::string, docopt::value>;

/** Throws std::exception if a numeric option is not a whole number. */
LoadOptions ReadNumbers(const Args& aArgs) {
  const auto number = [&aArgs](const char* aName) -> int64_t {
    return aArgs.at(aName).asLong();
  };
  LoadOptions options;
  options.m_rate = static_cast<double>(number("--rate"));
  options.m_duration = bronze::seconds(number("--duration"));
  options.m_seed = static_cast<uint64_t>(number("--seed"));
  options.m_jobs = number("--batch");
  options.m_tasksPerJob = number("--tasks");
  options.m_window = bronze::milliseconds(number("--window-ms"));
  options.m_connections = number("--connections");
  options.m_batchKind = bronze::KindId(aArgs.at("--batch-kind").asString());
  if (aArgs.at("--json")) options.m_json = aArgs.at("--json").asString();
  return options;
}

Result<LoadOptions> ReadOptions(const Args& aArgs) {
  LoadOptions options;
  try {
    options = ReadNumbers(aArgs);
  } catch (const std::exception&) {
    return bronze::MakeError(
        bronze::ErrorKind::Usage,
        "--rate, --duration, --seed, --batch, --tasks, --window-ms and "
        "--connections must be whole numbers");
  }
  const auto targets = bronze::ParseTargets(aArgs.at("--targets").asString());
  if (!targets) return targets.error();
  const auto mix = bronze::ParseMix(aArgs.at("--mix").asString());
  if (!mix) return mix.error();
  const auto swing = bronze::ParseSwing(
      aArgs.at("--swing") ? aArgs.at("--swing").asString() : "");
  if (!swing) return swing.error();
  options.m_targets = targets.value();
  options.m_mix = mix.value();
  options.m_swing = swing.value();
  // Two runs with the same seed must not look like retries of the same
  // requests.
  std::random_device device;
  options.m_nonce = fmt::format("{:08x}{:08x}", device(), device());
  return bronze::CheckOptions(std::move(options));
}

bronze::LoadResult RunLoad(const LoadOptions& aOptions) {
  bronze::LoadResult result;
  bronze::ThreadPool threads(kTrafficThreads);
  boost::asio::io_context control(1);
  bronze::TargetPool targets(aOptions, threads, control);
  bronze::LoadRun load(aOptions, targets, control, result);
  bronze::BatchRun batch(aOptions, targets, control, result.m_batch);
  auto work = boost::asio::make_work_guard(control);
  int running = 2;
  const auto onEnd = [&] {
    if (--running == 0) work.reset();
  };
  boost::asio::post(control, [&] {
    load.Start(onEnd);
    batch.Start(onEnd);
  });
  control.run();
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options =
      ReadOptions(docopt::docopt(kUsage, {argv + 1, argv + argc}, true));
  if (!options) {
    bronze::Log(bronze::LogLevel::Error, bronze::LogPart::Load, "{}",
                options.error().m_message);
    return bronze::AnswerFor(bronze::ErrorKind::Usage).m_exitCode;
  }
  const bronze::LoadResult result = RunLoad(options.value());
  fmt::print("{}", bronze::ResultTable(result, options.value()));
  if (!options.value().m_json.empty()) {
    std::ofstream file(options.value().m_json);
    file << bronze::ResultJson(result, options.value());
    file.close();
    if (!file) {
      bronze::Log(bronze::LogLevel::Error, bronze::LogPart::Load,
                  "cannot write the result file {}", options.value().m_json);
      return bronze::AnswerFor(bronze::ErrorKind::FileUnreadable).m_exitCode;
    }
  }
  return bronze::IsClean(result) ? 0 : kExitUnclean;
}

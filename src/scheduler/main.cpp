/**
 * @file main.cpp Entry point of the scheduler daemon on one entry VM.
 */

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdlib>

#include "core/error/error_func.h"
#include "core/overload/traffic_func.h"
#include "net/address_func.h"
#include "net/log_func.h"
#include "platform/settings_figure.h"
#include "scheduler/entry_node.h"

namespace {

constexpr char kUsage[] =
    R"(bronze-scheduler: schedules jobs on the platform's runners.

Usage:
  bronze-scheduler [--settings FILE] [--runners-per-cell N]
  bronze-scheduler --check [--settings FILE]
  bronze-scheduler --list-settings
  bronze-scheduler --help

Options:
  --settings FILE  Settings of this VM; without it, the file that the
                   environment variable BRONZEWORKS_CONFIG names.
  --runners-per-cell N  Size of the cells of a deployment that starts for the
                   first time, 1 to 100000; without it, the size that the VM's
                   link and share of CPU allow. Later starts keep the cells.
  --check          Check the settings file, report all problems and exit.
  --list-settings  Show the fields of the settings file and exit.
  --help           Show this text.

On SIGTERM the process hands its cells over to other VMs, answers the calls in
progress and exits. On SIGHUP it reloads the settings. Exit codes: 0 regular
exit, 2 invalid settings, 4 an address cannot be bound.
)";

/** Must match the metrics address in deploy/system.toml. */
constexpr uint16_t kMetricsPort = 9464;
constexpr size_t kTrafficThreads = 1;

int Fail(const bronze::Error& aError) {
  bronze::Log(bronze::LogLevel::Error, bronze::LogPart::Main, "{}",
              aError.m_message);
  return bronze::AnswerFor(aError.m_kind).m_exitCode;
}

/** @return the start time in microseconds since 1970. A VM keeps no data over a
 *          restart, so the time has to tell processes apart. */
uint64_t NewIncarnation() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/** @return the limits of the settings, or of the kernel if these are lower. */
bronze::ProcessLimits LimitsOf(const bronze::NodeConfig& aConfig) {
  bronze::ProcessLimits limits = aConfig.m_limits;
  rlimit kernel{};
  if (getrlimit(RLIMIT_NOFILE, &kernel) == 0) {
    limits.m_descriptors = static_cast<size_t>(
        std::min<rlim_t>(limits.m_descriptors, kernel.rlim_cur));
  }
  return limits;
}

int Serve(const bronze::NodeConfig& aConfig, const std::string& aPath,
          bronze::EntryOptions aOptions) {
  bronze::Counters counters;
  aOptions.m_counters = &counters;
  bronze::ThreadPool threads(kTrafficThreads);
  bronze::EntryNode node(
      threads.Context(0), aConfig, NewIncarnation(),
      [aPath] { return bronze::ReadSettingsText(aPath); }, aOptions);
  const auto table = std::make_shared<bronze::ConnectionTable>(
      bronze::TrafficLimitsOf(LimitsOf(aConfig)), counters);
  bronze::HttpServer callers(
      threads, {}, counters,
      [&node](size_t, bronze::HttpCall aCall, auto aResponder) {
        node.HandleCaller(std::move(aCall), std::move(aResponder));
      },
      {table, bronze::ConnectionRole::Caller});
  bronze::HttpServer peers(
      threads, {}, counters,
      [&node](size_t, bronze::HttpCall aCall, auto aResponder) {
        node.HandlePeer(std::move(aCall), std::move(aResponder));
      },
      {table, bronze::ConnectionRole::Peer});
  const auto health = [&node](size_t, bronze::HttpCall aCall, auto aResponder) {
    node.HandleHealth(aCall, aResponder);
  };
  bronze::HttpServer ready(threads, {}, counters, health,
                           {table, bronze::ConnectionRole::Ready});
  bronze::HttpServer metrics(threads, {}, counters, health,
                             {table, bronze::ConnectionRole::Metrics});
  const boost::asio::ip::tcp::endpoint metricsAddress(
      aConfig.m_callerAddress.address(), kMetricsPort);
  for (const auto& [server, address] :
       {std::pair(&callers, aConfig.m_callerAddress),
        std::pair(&peers, aConfig.m_peerAddress),
        std::pair(&ready, aConfig.m_readyAddress),
        std::pair(&metrics, metricsAddress)}) {
    const auto bound = server->Listen(address);
    if (!bound) return Fail(bound.error());
  }
  boost::asio::signal_set ends(threads.Context(0), SIGTERM, SIGINT);
  ends.async_wait([&node](boost::system::error_code aError, int) {
    if (!aError) node.PostDrain();
  });
  boost::asio::signal_set reloads(threads.Context(0), SIGHUP);
  std::function<void()> awaitReload = [&] {
    reloads.async_wait([&](boost::system::error_code aError, int) {
      if (aError) return;
      node.PostReload();
      awaitReload();
    });
  };
  awaitReload();
  node.SetOnLastCalls([&callers] { callers.Drain(); });
  node.Run();
  callers.Drain();
  threads.Stop();
  return 0;
}

std::string SettingsPath(const docopt::value& aOption) {
  if (aOption) return aOption.asString();
  const char* path = std::getenv(bronze::kSettingsVariable);
  return path == nullptr ? "" : path;
}

/** @return the number of runners per cell, 0 if the option is missing. */
bronze::Result<size_t> RunnersPerCell(const docopt::value& aOption) {
  constexpr size_t kMax = 100'000;
  if (!aOption) return size_t{0};
  const std::string& text = aOption.asString();
  size_t count = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), count);
  const bool valid = error == std::errc() && end == text.data() + text.size() &&
                     count >= 1 && count <= kMax;
  if (valid) return count;
  return bronze::MakeError(
      bronze::ErrorKind::Usage,
      fmt::format("--runners-per-cell must be a number from 1 to {}, not {}",
                  kMax, text));
}

}  // namespace

int main(int argc, char** argv) {
  const auto args = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  if (args.at("--list-settings").asBool()) {
    fmt::print("{}", bronze::PlatformSettingsDocument());
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const std::string path = SettingsPath(args.at("--settings"));
  const auto text = bronze::ReadSettingsText(path);
  if (!text) return Fail(text.error());
  const auto settings = bronze::DecodeNodeConfig(text.value());
  if (!settings) return Fail(settings.error());
  const auto runnersPerCell = RunnersPerCell(args.at("--runners-per-cell"));
  if (!runnersPerCell) return Fail(runnersPerCell.error());
  if (args.at("--check").asBool()) {
    for (const std::string& correction : settings.value().m_corrections) {
      bronze::Log(bronze::LogLevel::Warn, bronze::LogPart::Main,
                  "setting corrected: {}", correction);
    }
    return 0;
  }
  return Serve(settings.value().m_config, path,
               {runnersPerCell.value(), nullptr});
}

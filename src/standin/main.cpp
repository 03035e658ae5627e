/**
 * @file main.cpp Simulates the platform, its workers and the runners.
 */

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "core/error/error_func.h"
#include "net/address_func.h"
#include "net/log_func.h"
#include "standin/standin.h"

namespace {

constexpr char kUsage[] =
    R"(bronze-standin: simulates the platform, workers and runners for tests.

Usage:
  bronze-standin [options]
  bronze-standin --help

Options:
  --listen ADDRESS    Address of the platform's services; runners and workers
                      listen on ports of their own [default: 127.0.0.1:0].
  --runners N         Number of runners [default: 6].
  --slots N           Slots of each runner [default: 8].
  --workers N         Number of workers [default: 6].
  --cores N           Cores of each worker [default: 60].
  --memory MIB        Memory of each worker in MiB [default: 250000].
  --accelerators N    Accelerators of each worker [default: 0].
  --per-rack N        Workers in a rack [default: 8].
  --data-centres N    Number of data centres [default: 3].
  --seed N            Seed of run times and faults [default: 1].
  --help              Show this text.

The bound address is printed to standard output as "platform IP:PORT" once all
servers accept connections.
)";

constexpr size_t kTrafficThreads = 2;

using bronze::Error;
using bronze::LogLevel;
using bronze::LogPart;

int Fail(const Error& aError) {
  bronze::Log(LogLevel::Error, LogPart::Standin, "{}", aError.m_message);
  return bronze::AnswerFor(aError.m_kind).m_exitCode;
}

bronze::Result<bronze::StandinOptions> ParseOptions(
    const std::map<std::string, docopt::value>& aArgs) {
  bool good = true;
  const auto number = [&](const char* aName, int64_t aMinimum) -> int64_t {
    try {
      const int64_t value = aArgs.at(aName).asLong();
      if (value < aMinimum) good = false;
      return value;
    } catch (const std::exception&) {
      good = false;
      return aMinimum;
    }
  };
  bronze::StandinOptions options;
  options.m_listen = aArgs.at("--listen").asString();
  options.m_runners = number("--runners", 0);
  options.m_slots = bronze::Slots(number("--slots", 1));
  options.m_workers = number("--workers", 0);
  options.m_workerResources = {
      bronze::Millicores(number("--cores", 1) * 1000),
      bronze::Mebibytes(number("--memory", 1)),
      bronze::Accelerators(number("--accelerators", 0))};
  options.m_workersPerRack = number("--per-rack", 1);
  options.m_dataCentres = number("--data-centres", 1);
  options.m_seed = static_cast<uint64_t>(number("--seed", 0));
  if (!good) {
    return bronze::MakeError(
        bronze::ErrorKind::Usage,
        "an option that takes a number has no number or one below "
        "its minimum");
  }
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  const auto options =
      ParseOptions(docopt::docopt(kUsage, {argv + 1, argv + argc}, true));
  if (!options) return Fail(options.error());
  bronze::ThreadPool threads(kTrafficThreads);
  boost::asio::io_context control(1);
  bronze::Standin standin(options.value(), threads, control);
  const auto bound = standin.Start();
  if (!bound) return Fail(bound.error());
  fmt::print("platform {}\n", bronze::AddressText(bound.value()));
  std::fflush(stdout);
  boost::asio::signal_set signals(control, SIGTERM, SIGINT);
  signals.async_wait([&control](auto, int) { control.stop(); });
  control.run();
  return 0;
}

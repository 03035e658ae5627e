/**
 * @file main.cpp The daemon of one entry VM.
 */

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>

#include "core/error/error_func.h"
#include "core/overload/traffic_func.h"
#include "daemon/caller_front.h"
#include "daemon/operator_front.h"
#include "files/node_settings.h"
#include "net/address_func.h"
#include "net/log_func.h"

namespace {

constexpr char kUsage[] =
    R"(bronzeworksd: the daemon of one entry VM.

Usage:
  bronzeworksd --settings FOLDER
  bronzeworksd --help
  bronzeworksd --version

Options:
  --settings FOLDER  Folder of YAML files with the settings of this VM.
  --help             Show this text.
  --version          Show the version.

SIGTERM drains: no new request is taken, those in progress are answered, the
units are handed over, then the daemon ends. Exit codes: 0 ended, 2 bad settings,
4 an address cannot be bound.
)";

using bronze::Error;
using bronze::LogLevel;
using bronze::LogPart;

int Fail(const Error& aError) {
  bronze::Log(LogLevel::Error, LogPart::Main, "{}", aError.m_message);
  return bronze::AnswerFor(aError.m_kind).m_exitCode;
}

bronze::Result<std::string> Listen(bronze::HttpServer& aServer,
                                   const std::string& aAddress) {
  const auto endpoint = bronze::ParseAddress(aAddress);
  if (!endpoint) return endpoint.error();
  const auto bound = aServer.Listen(endpoint.value());
  if (!bound) return bound.error();
  return bronze::AddressText(bound.value());
}

/**
 * The VM has no persistent storage, so the wall clock provides an incarnation
 * that increases with each start. If the clock was set back, the peers ignore
 * this VM until it is restarted after the time of its earlier start.
 */
bronze::Incarnation NewIncarnation() {
  const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return bronze::Incarnation(static_cast<uint64_t>(now.count()));
}

int Serve(const bronze::NodeSettings& aNode) {
  const auto platform = bronze::ParseAddress(aNode.m_platformAddress);
  if (!platform) return Fail(platform.error());
  const auto peers = bronze::ParseAddress(aNode.m_peerAddress);
  if (!peers) return Fail(peers.error());

  bronze::Counters counters;
  bronze::ThreadPool threads(static_cast<size_t>(aNode.m_trafficThreads));
  bronze::ControlLoop control(aNode, NewIncarnation(), platform.value(),
                              threads, counters);
  bronze::CallerFront callers(control, counters);
  bronze::OperatorFront operators(control, counters, aNode.m_operatorToken);
  const auto table = std::make_shared<bronze::ConnectionTable>(
      bronze::TrafficLimitsOf({}), counters);
  bronze::HttpServer callerServer(
      threads, {}, counters,
      [&callers](size_t aThread, bronze::HttpCall aCall, auto aResponder) {
        callers.Handle(aThread, std::move(aCall), std::move(aResponder));
      },
      {table, bronze::ConnectionRole::Caller});
  bronze::HttpServer operatorServer(
      threads, {}, counters,
      [&operators](size_t, bronze::HttpCall aCall, auto aResponder) {
        operators.Handle(std::move(aCall), std::move(aResponder));
      },
      {table, bronze::ConnectionRole::Peer});
  const auto peerAddress = control.ListenForPeers(peers.value());
  if (!peerAddress) return Fail(peerAddress.error());
  const auto callerAddress = Listen(callerServer, aNode.m_callerAddress);
  if (!callerAddress) return Fail(callerAddress.error());
  const auto operatorAddress = Listen(operatorServer, aNode.m_operatorAddress);
  if (!operatorAddress) return Fail(operatorAddress.error());
  bronze::Log(LogLevel::Info, LogPart::Main,
              "started vm={} callers={} operators={} peers={}",
              aNode.m_vm.Value(), callerAddress.value(),
              operatorAddress.value(),
              bronze::AddressText(peerAddress.value()));

  boost::asio::signal_set signals(threads.Context(0), SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code aError, int) {
    if (!aError) control.PostDrain();
  });
  control.Run();
  callerServer.Drain();
  threads.Stop();
  bronze::Log(LogLevel::Info, LogPart::Main, "exiting after the drain vm={}",
              aNode.m_vm.Value());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const auto args = docopt::docopt(kUsage, {argv + 1, argv + argc}, true,
                                   "bronzeworksd 0.1.0");
  const auto node = bronze::ReadNodeSettings(args.at("--settings").asString());
  if (!node) return Fail(node.error());
  bronze::SetLogLevel(node.value().m_logLevel);
  return Serve(node.value());
}

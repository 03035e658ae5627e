/**
 * @file load_fixture.h A fake entry VM whose answers a test defines.
 */

#ifndef BRONZE_TESTS_LOAD_LOAD_FIXTURE_H_
#define BRONZE_TESTS_LOAD_LOAD_FIXTURE_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>

#include "load/batch_run.h"
#include "load/load_run.h"
#include "net/http_server.h"
#include "standin/runner_answer.h"

namespace bronze {

/** @return the answer of a correct system to the call. */
inline HttpReply CorrectAnswer(const HttpCall& aCall) {
  const std::string prefix = "/v1/requests/";
  HttpReply reply;
  reply.m_body = EncodeRunnerAnswer(
      {"id", RunnerId("runner-0"), KindId(aCall.m_target.substr(prefix.size())),
       DigestOf(aCall.m_body), aCall.m_body});
  return reply;
}

/** A fake entry VM with one traffic thread, so that handlers need no lock. */
class FakeEntryVm {
 public:
  explicit FakeEntryVm(HttpHandler aHandler)
      : m_server(m_threads, {}, m_counters, std::move(aHandler)) {
    m_address =
        m_server.Listen({boost::asio::ip::address_v4::loopback(), 0}).value();
  }
  ~FakeEntryVm() { m_threads.Stop(); }
  FakeEntryVm(const FakeEntryVm&) = delete;
  FakeEntryVm& operator=(const FakeEntryVm&) = delete;

  ThreadPool m_threads{1};
  Counters m_counters;
  HttpServer m_server;
  boost::asio::ip::tcp::endpoint m_address;
};

/** @return an address on which no process listens. */
inline boost::asio::ip::tcp::endpoint UnusedAddress() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint();
}

inline LoadOptions OptionsFor(
    std::vector<boost::asio::ip::tcp::endpoint> aTargets) {
  LoadOptions options;
  options.m_targets = std::move(aTargets);
  options.m_rate = 500.0;
  options.m_duration = milliseconds(100);
  options.m_mix = {{KindId("check"), 1.0}};
  options.m_window = seconds(60);
  options.m_nonce = "test";
  return options;
}

/** Runs the requests and jobs of aOptions and waits for their end. */
inline LoadResult RunLoad(const LoadOptions& aOptions,
                          Duration aGrace = seconds(60),
                          Duration aJobLimit = seconds(60)) {
  LoadResult result;
  ThreadPool threads(2);
  boost::asio::io_context control(1);
  TargetPool targets(aOptions, threads, control);
  LoadRun load(aOptions, targets, control, result, aGrace);
  BatchRun batch(aOptions, targets, control, result.m_batch, aJobLimit);
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

}  // namespace bronze

#endif  // BRONZE_TESTS_LOAD_LOAD_FIXTURE_H_

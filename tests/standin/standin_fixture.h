/**
 * @file standin_fixture.h Runs a stand-in in the test's process, called over
 * HTTP.
 */

#ifndef BRONZE_TESTS_STANDIN_STANDIN_FIXTURE_H_
#define BRONZE_TESTS_STANDIN_STANDIN_FIXTURE_H_

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "net/address_func.h"
#include "net/http_client.h"
#include "standin/standin.h"

namespace bronze {

using nlohmann::json;

class StandinFixture {
 public:
  StandinFixture() : StandinFixture(DefaultOptions()) {}
  explicit StandinFixture(const StandinOptions& aOptions)
      : m_standin(aOptions, m_threads, m_control),
        m_client(m_context, {kIdle, kMaxAnswer}) {
    m_platform = AddressText(m_standin.Start().value());
    m_controlThread = std::thread([this] { m_control.run(); });
    const json list = Get("/vms");
    for (const json& vm : list.at("vms")) {
      m_addresses[vm.at("id")] = vm.at("address");
    }
  }
  ~StandinFixture() {
    m_control.stop();
    m_controlThread.join();
  }

  static StandinOptions DefaultOptions() {
    StandinOptions options;
    options.m_runners = 2;
    options.m_slots = Slots(2);
    options.m_workers = 2;
    options.m_workerResources = {Millicores(4000), Mebibytes(1000),
                                 Accelerators(1)};
    return options;
  }

  /** Makes all calls concurrently and waits for all outcomes. */
  std::vector<CallOutcome> CallAll(const std::string& aAddress,
                                   const std::vector<HttpCall>& aCalls) {
    std::vector<CallOutcome> outcomes(aCalls.size());
    for (size_t i = 0; i < aCalls.size(); ++i) {
      m_client.Call(ParseAddress(aAddress).value(), aCalls[i], seconds(60),
                    [&outcomes, i](CallOutcome aOutcome) {
                      outcomes[i] = std::move(aOutcome);
                    });
    }
    m_context.restart();
    m_context.run();
    return outcomes;
  }
  CallOutcome Call(const std::string& aAddress, const HttpCall& aCall) {
    return CallAll(aAddress, {aCall}).front();
  }

  json Get(const std::string& aPath) {
    return json::parse(
        Call(m_platform, {"GET", aPath, {}, {}, {}}).m_reply.m_body);
  }
  CallOutcome Post(const std::string& aAddress, const std::string& aPath,
                   const json& aBody) {
    return Call(aAddress, {"POST", aPath, {}, aBody.dump(), {}});
  }
  void Switch(const std::string& aFault, bool aOn, json aMore = {}) {
    if (aMore.is_null()) aMore = json::object();
    aMore["name"] = aFault;
    aMore["on"] = aOn;
    const auto outcome = Post(m_platform, "/standin/faults", aMore);
    BOOST_REQUIRE_EQUAL(outcome.m_reply.m_status, 200);
  }
  void Set(const json& aSettings) {
    const auto outcome = Post(m_platform, "/standin/settings", aSettings);
    BOOST_REQUIRE_EQUAL(outcome.m_reply.m_status, 200);
  }
  int64_t Count(const std::string& aName) {
    return Get("/standin/counts").at(aName).get<int64_t>();
  }

  /** Polls until the condition holds; a hang fails by ctest's timeout. */
  template <class Condition>
  void WaitUntil(Condition aCondition) {
    while (!aCondition()) std::this_thread::sleep_for(milliseconds(2));
  }
  void WaitForCount(const std::string& aName, int64_t aMinimum) {
    WaitUntil([&] { return Count(aName) >= aMinimum; });
  }

  /** @return a request to a runner. */
  static HttpCall Request(const std::string& aKind, const std::string& aMarker,
                          const std::string& aKey = {}) {
    HttpCall call{"POST", "/run/" + aKind, {}, {}, {}};
    call.m_headers.emplace_back("Bronze-Request-Id", "id-" + aMarker);
    if (!aKey.empty()) call.m_headers.emplace_back("Idempotency-Key", aKey);
    call.m_body = json{{"marker", aMarker}}.dump();
    return call;
  }

  static json Task(int aTask, int aToken) {
    return {{"task", fmt::format("{:016x}/0", aTask)}, {"token", aToken}};
  }
  static json StartBody(int aTask, int aToken, int aCores = 1000,
                        const std::string& aCheckpoint = {}) {
    json body = Task(aTask, aToken);
    body.update({{"kind", "batch"},
                 {"cores", aCores},
                 {"memory", 10},
                 {"accelerators", 0},
                 {"lease_ms", 600'000},
                 {"input", ""},
                 {"checkpoint", aCheckpoint}});
    return body;
  }
  /** @return the HTTP status of the command to the worker. */
  int Command(const std::string& aWorker, const std::string& aPath,
              const json& aBody) {
    return Post(m_addresses.at(aWorker), aPath, aBody).m_reply.m_status;
  }
  json Report(const std::string& aWorker) {
    return json::parse(
        Call(m_addresses.at(aWorker), {"GET", "/report", {}, {}, {}})
            .m_reply.m_body);
  }

  std::string m_platform;
  std::map<std::string, std::string> m_addresses;  ///< By VM id.

 private:
  static constexpr size_t kIdle = 4;
  static constexpr size_t kMaxAnswer = 1 << 20;

  ThreadPool m_threads{2};
  boost::asio::io_context m_control{1};
  Standin m_standin;
  std::thread m_controlThread;
  boost::asio::io_context m_context;
  HttpClient m_client;
};

/** Settings with which no task finishes within a test. */
inline const json kEndlessTasks = {
    {"report_lag_ms", 0},
    {"task_kinds",
     {{"batch",
       {{"min_ms", 600'000}, {"max_ms", 600'000}, {"straggler_share", 0}}}}}};

}  // namespace bronze

#endif  // BRONZE_TESTS_STANDIN_STANDIN_FIXTURE_H_

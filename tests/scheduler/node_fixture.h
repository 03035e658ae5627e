/**
 * @file node_fixture.h Entry nodes and a simulated platform in one process,
 * connected over loopback.
 */

#ifndef BRONZE_TESTS_SCHEDULER_NODE_FIXTURE_H_
#define BRONZE_TESTS_SCHEDULER_NODE_FIXTURE_H_

#include <fmt/format.h>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "codec/cell_row_cbor.h"
#include "net/address_func.h"
#include "net/http_client.h"
#include "scheduler/entry_node.h"
#include "standin/row_store.h"

namespace bronze {

/** One entry node and its HTTP servers, on their own threads. */
class RunningNode {
 public:
  RunningNode(const std::string& aName,
              const boost::asio::ip::tcp::endpoint& aStore,
              double aCpuShare = 1.0)
      : m_threads(1),
        m_callers(m_threads, HttpLimits(), m_counters,
                  [this](size_t, HttpCall aCall, auto aResponder) {
                    m_node->HandleCaller(std::move(aCall),
                                         std::move(aResponder));
                  }),
        m_peers(m_threads, HttpLimits(), m_counters,
                [this](size_t, HttpCall aCall, auto aResponder) {
                  m_node->HandlePeer(std::move(aCall), std::move(aResponder));
                }) {
    const boost::asio::ip::tcp::endpoint any(
        boost::asio::ip::address_v4::loopback(), 0);
    NodeConfig config;
    config.m_vm = VmId(aName);
    config.m_storeAddress = aStore;
    config.m_cpuShare = aCpuShare;
    config.m_grace = milliseconds(600);
    config.m_maxLease = seconds(6);
    config.m_statusRetention = seconds(60);
    config.m_callerAddress = m_callers.Listen(any).value();
    config.m_peerAddress = m_peers.Listen(any).value();
    m_peerAddress = config.m_peerAddress;
    static std::atomic<uint64_t> sIncarnation = 0;
    m_address = config.m_callerAddress;
    // The platform's usual bounds.
    config.m_configApply = seconds(2);
    config.m_drainNotice = seconds(2);
    config.m_evacuationNotice = seconds(5);
    m_node = std::make_unique<EntryNode>(m_threads.Context(0), config,
                                         ++sIncarnation,
                                         [this] { return SettingsText(); });
    m_thread = std::thread([this] { m_node->Run(); });
  }
  ~RunningNode() { Stop(); }
  RunningNode(const RunningNode&) = delete;
  RunningNode& operator=(const RunningNode&) = delete;

  /** Stops the node as SIGTERM does: it hands its cells over first. */
  void Stop() {
    if (!m_thread.joinable()) return;
    m_node->PostDrain();
    m_thread.join();
    m_threads.Stop();
  }

  /** Replaces the settings text and reloads it as SIGHUP does. */
  void Reload(const std::string& aText) {
    {
      const std::lock_guard<std::mutex> lock(m_settingsMutex);
      m_settingsText = aText;
    }
    m_node->PostReload();
  }

  /** @return the metrics as text. */
  [[nodiscard]] std::string Metrics() {
    std::promise<std::string> text;
    struct CapturingResponder : HttpResponder {
      explicit CapturingResponder(std::promise<std::string>& aText)
          : m_text(aText) {}
      void Reply(HttpReply aReply) override { m_text.set_value(aReply.m_body); }
      void Abort() override { m_text.set_value(""); }
      void OnClientDisconnect(std::function<void()>) override {}
      std::promise<std::string>& m_text;
    };
    HttpCall call;
    call.m_target = "/metrics";
    m_node->HandleHealth(call, std::make_shared<CapturingResponder>(text));
    return text.get_future().get();
  }

  [[nodiscard]] const boost::asio::ip::tcp::endpoint& Address() const {
    return m_address;
  }
  /** @return the address for calls of other daemons. */
  [[nodiscard]] const boost::asio::ip::tcp::endpoint& PeerAddress() const {
    return m_peerAddress;
  }

 private:
  Result<std::string> SettingsText() {
    const std::lock_guard<std::mutex> lock(m_settingsMutex);
    return m_settingsText;
  }

  std::mutex m_settingsMutex;
  std::string m_settingsText;
  Counters m_counters;
  ThreadPool m_threads;
  std::unique_ptr<EntryNode> m_node;
  HttpServer m_callers;
  HttpServer m_peers;
  boost::asio::ip::tcp::endpoint m_address;
  boost::asio::ip::tcp::endpoint m_peerAddress;
  std::thread m_thread;
};

struct NodeFixture {
  NodeFixture()
      : m_platformThreads(2),
        m_store(m_platformThreads),
        m_client(m_platformThreads.Context(0), {2, size_t{1} << 20}) {
    m_storeAddress = m_store.Listen();
    SetCells(1);
    PutConfig(1, "queue");
    AddRunner("r1", milliseconds(100));
    AddRunner("r2", milliseconds(100));
  }
  ~NodeFixture() {
    m_nodes.clear();
    m_platformThreads.Stop();
  }
  NodeFixture(const NodeFixture&) = delete;
  NodeFixture& operator=(const NodeFixture&) = delete;

  /** Stores the layout, so that no node has to determine it first. */
  void SetCells(uint32_t aCells) {
    m_store.Put("cell", "layout", "cells", EncodeLayoutRow({{aCells}, ""}));
  }

  void PutConfig(int aVersion, const std::string& aPath) {
    m_store.Put(
        "op", "", "config",
        fmt::format(
            R"({{"version":{},"routes":[{{"name":"{}","host":"h.example",)"
            R"("path_prefix":"/{}/","service":"pool","priority":0,)"
            R"("max_attempts":3,"stretch":1.5,"target_latency_ms":250}}],)"
            R"("services":[{{"name":"pool","rejects_overload":true}}]}})",
            aVersion, aPath, aPath));
  }

  void AddRunner(const std::string& aName, Duration aTaskTime,
                 const std::string& aRack = "rack1",
                 const std::string& aDataCentre = "z") {
    m_runners.push_back(
        std::make_unique<standin::FakeRunner>(m_platformThreads, aTaskTime));
    m_runnerAddresses.push_back(m_runners.back()->Listen());
    PutRunner(aName, m_runnerAddresses.back(), aRack, aDataCentre);
  }

  void PutRunner(const std::string& aName,
                 const boost::asio::ip::tcp::endpoint& aAddress,
                 const std::string& aRack = "rack1",
                 const std::string& aDataCentre = "z") {
    m_store.Put(
        "servers", "", aName,
        fmt::format(
            R"({{"service":"pool","address":"{}","zone":"{}","version":"v1",)"
            R"("slots":8,"state":"ready","born":1,"cold_left_ms":0,)"
            R"("capacity":{{"cpu":16000,)"
            R"("mem_mb":32000}},"labels":["a","{}"],"sequence":1}})",
            AddressText(aAddress), aDataCentre, aRack));
  }

  /** @param aOwnStoreAddress gives the node a store address of its own, so that
   *  the store can refuse only its calls. */
  RunningNode& AddNode(const std::string& aName, bool aOwnStoreAddress = false,
                       double aCpuShare = 1.0) {
    const auto store = aOwnStoreAddress ? m_store.Listen() : m_storeAddress;
    m_nodes.push_back(std::make_unique<RunningNode>(aName, store, aCpuShare));
    return *m_nodes.back();
  }

  /** Sends one request as a caller. @return the reply; status 0 if there is
   *  none. */
  HttpReply Call(const RunningNode& aNode, const std::string& aMethod,
                 const std::string& aPath, const std::string& aBody = "",
                 milliseconds aWindow = milliseconds(3000)) {
    HttpCall call;
    call.m_method = aMethod;
    call.m_target = aPath;
    call.m_headers = {{"Host", "h.example"},
                      {"X-Deadline-Ms", std::to_string(aWindow.count())}};
    call.m_body = aBody;
    return Send(aNode.Address(), call);
  }

  /** @return the reply; status 0 if there is none. */
  HttpReply Send(const boost::asio::ip::tcp::endpoint& aAddress,
                 const HttpCall& aCall) {
    auto reply = std::make_shared<std::promise<HttpReply>>();
    boost::asio::post(m_platformThreads.Context(0), [this, aCall, reply,
                                                     aAddress] {
      m_client.Call(aAddress, aCall, seconds(5), [reply](CallOutcome aOutcome) {
        HttpReply result = std::move(aOutcome.m_reply);
        if (aOutcome.m_stage != CallStage::CompleteReply) {
          result.m_status = 0;
        }
        reply->set_value(std::move(result));
      });
    });
    return reply->get_future().get();
  }

  HttpReply Submit(const RunningNode& aNode, const std::string& aId) {
    return Call(aNode, "POST", "/queue/" + aId,
                R"({"spec":"s","steps":[{"count":3,"cpu":1000,"mem_mb":10,)"
                R"("estimate_ms":100},{"count":2,"cpu":1000,"mem_mb":10,)"
                R"("estimate_ms":100,"after":[0]}]})");
  }

  /** Waits until aHolds returns true; the timeout only ends failing tests. */
  static bool Eventually(const std::function<bool()>& aHolds) {
    const auto end = std::chrono::steady_clock::now() + seconds(40);
    while (std::chrono::steady_clock::now() < end) {
      if (aHolds()) return true;
      std::this_thread::sleep_for(milliseconds(30));
    }
    return false;
  }

  bool SubmitUntilAccepted(const RunningNode& aNode, const std::string& aId) {
    return Eventually([&] { return Submit(aNode, aId).m_status == 200; });
  }

  bool BecomesCompleted(const RunningNode& aNode, const std::string& aId) {
    return Eventually([&] {
      return Call(aNode, "GET", "/queue/" + aId).m_body.find("completed") !=
             std::string::npos;
    });
  }

  /** @return the number of starts on all runners, by task name. */
  std::map<std::string, int> Starts() {
    std::map<std::string, int> total;
    for (const auto& runner : m_runners) {
      for (const auto& [task, count] : runner->Starts()) total[task] += count;
    }
    return total;
  }

  ThreadPool m_platformThreads;
  standin::RowStore m_store;
  HttpClient m_client;
  boost::asio::ip::tcp::endpoint m_storeAddress;
  std::vector<std::unique_ptr<standin::FakeRunner>> m_runners;
  std::vector<boost::asio::ip::tcp::endpoint> m_runnerAddresses;
  std::vector<std::unique_ptr<RunningNode>> m_nodes;
};

}  // namespace bronze

#endif  // BRONZE_TESTS_SCHEDULER_NODE_FIXTURE_H_

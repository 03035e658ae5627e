/**
 * @file deployment.h A small deployment on loopback: the platform's stand-ins,
 * some processes of the scheduler, clients and the record of a case.
 */

#ifndef REVIEW_STANDIN_DEPLOYMENT_H_
#define REVIEW_STANDIN_DEPLOYMENT_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <cstdio>
#include <fstream>
#include <optional>
#include <random>
#include <sstream>

#include "platform.h"

extern char** environ;

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/** @return the parts as one text. */
template <class... Parts>
std::string Text(const Parts&... aParts) {
  std::ostringstream text;
  (text << ... << aParts);
  return text.str();
}

/** Lines with the time since the start of the case. */
class Record {
 public:
  explicit Record(const std::string& aPath)
      : m_file(std::fopen(aPath.c_str(), "w")), m_begin(SteadyMillis()) {}
  ~Record() {
    if (m_file != nullptr) std::fclose(m_file);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const std::string& aText) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_file == nullptr) return;
    std::fprintf(m_file, "%9.3f %s\n",
                 static_cast<double>(SteadyMillis() - m_begin) / 1000.0,
                 aText.c_str());
    std::fflush(m_file);
  }
  [[nodiscard]] double SecondsAt(int64_t aSteadyMs) const {
    return static_cast<double>(aSteadyMs - m_begin) / 1000.0;
  }

 private:
  std::mutex m_mutex;
  std::FILE* m_file;
  int64_t m_begin;
};

/** Processes that the case has started; 0: none. A case that is told to end
 *  ends them first. */
inline std::atomic<pid_t> startedProcesses[16];

inline void OnEnd(int /*aSignal*/) {
  for (const auto& process : startedProcesses) {
    if (process != 0) kill(process, SIGKILL);
  }
  _exit(kCouldNotRun);
}

/** Attempts that each task has, by the configuration. */
inline constexpr int kMaxAttempts = 3;

/** A route of the configuration. */
struct Route {
  std::string m_name;
  std::string m_host;
  std::string m_prefix;
  int m_priority = 0;
};

/** One process of the scheduler on its own loopback address. */
struct Node {
  std::string m_name;
  std::string m_ip;
  std::string m_settings;  ///< Path of the settings file.
  std::string m_log;       ///< Path of its output.
  int m_frontPort = 0;
  int m_readyPort = 0;
  pid_t m_process = 0;
};

class Deployment {
 public:
  /** @param aFolder an empty folder for settings and output. */
  Deployment(Record& aRecord, std::string aFolder)
      : m_record(aRecord), m_folder(std::move(aFolder)) {
    std::random_device seed;
    m_net = "127." + std::to_string(20 + seed() % 200) + "." +
            std::to_string(1 + seed() % 250) + ".";
  }
  ~Deployment() { StopNodes(); }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void StartPlatform(size_t aRunners, int64_t aMillicores, int64_t aMemoryMb) {
    constexpr size_t kRunnersPerRack = 8;
    m_storeIp = m_net + "1";
    m_storePort = m_store.Listen(m_storeIp);
    for (size_t at = 0; at < aRunners; ++at) {
      char id[32];
      std::snprintf(id, sizeof id, "i-%08zx", 0x7f3a91c2 + at);
      m_runners.push_back(
          std::make_unique<Runner>(m_store, m_runs, id, kService, Zone(at), "a",
                                   "r1-" + std::to_string(at / kRunnersPerRack),
                                   aMillicores, aMemoryMb));
      m_runners.back()->Start(m_net + "2");
    }
    m_record.Line("platform started runners=" + std::to_string(aRunners));
  }

  void PutConfig(const std::vector<Route>& aRoutes) {
    Json routes = Json::array();
    for (const Route& route : aRoutes) {
      routes.push_back({{"name", route.m_name},
                        {"host", route.m_host},
                        {"path_prefix", route.m_prefix},
                        {"kind", "unsafe"},
                        {"timeout_ms", 3000},
                        {"target_latency_ms", 1000},
                        {"priority", route.m_priority},
                        {"service", kService},
                        {"max_attempts", kMaxAttempts},
                        {"stretch", 2.0}});
    }
    const Json config = {
        {"version", ++m_configVersion},
        {"routes", routes},
        {"services",
         {{{"name", kService},
           {"health_path", "/healthz"},
           {"max_conns", 64},
           {"protocol", "h1"},
           {"tls", false},
           {"rejects_overload", true},
           {"standby", false}}}},
        {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 262144}}}};
    m_store.Put("op", "config", config.dump());
  }

  /** Starts the processes. @return whether all are ready within 20 s. */
  bool StartNodes(size_t aNodes) {
    constexpr int64_t kReadyWithinMs = 20000;
    for (size_t at = 0; at < aNodes; ++at) {
      Node node;
      node.m_name = "front-" + Zone(at) + "-" + std::to_string(at + 1);
      node.m_ip = m_net + std::to_string(11 + at);
      node.m_settings = m_folder + "/" + node.m_name + ".yaml";
      node.m_log = m_folder + "/" + node.m_name + ".log";
      node.m_frontPort = 8161;
      node.m_readyPort = 8167;
      for (const int port : {8161, 8167, 7720, 9464}) {
        if (!IsFree(node.m_ip, port)) return false;
      }
      WriteSettings(node);
      m_nodes.push_back(node);
    }
    for (Node& node : m_nodes) Begin(node);
    const int64_t until = SteadyMillis() + kReadyWithinMs;
    for (Node& node : m_nodes) {
      while (!IsReady(node)) {
        if (SteadyMillis() > until) return false;
        SleepMillis(100);
      }
    }
    return true;
  }

  void Begin(Node& aNode) {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, aNode.m_log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::string program = "target/src/scheduler/bronze-scheduler";
    std::string setting = "BRONZEWORKS_CONFIG=" + aNode.m_settings;
    char* const arguments[] = {program.data(), nullptr};
    char* const environment[] = {setting.data(), nullptr};
    if (posix_spawn(&aNode.m_process, program.c_str(), &actions, nullptr,
                    arguments, environment) != 0) {
      aNode.m_process = 0;
    }
    posix_spawn_file_actions_destroy(&actions);
    startedProcesses[&aNode - m_nodes.data()] = aNode.m_process;
    m_record.Line("process started node=" + aNode.m_name);
  }

  void End(Node& aNode, int aSignal) {
    if (aNode.m_process == 0) return;
    kill(aNode.m_process, aSignal);
    waitpid(aNode.m_process, nullptr, 0);
    startedProcesses[&aNode - m_nodes.data()] = 0;
    aNode.m_process = 0;
    m_record.Line("process ended node=" + aNode.m_name +
                  " signal=" + std::to_string(aSignal));
  }

  void StopNodes() {
    for (Node& node : m_nodes) End(node, SIGKILL);
  }

  bool IsReady(const Node& aNode) const {
    constexpr int64_t kProbeMs = 1000;
    return Call(aNode.m_ip, aNode.m_readyPort, "GET", "/bronzeworks/readyz",
                "Host: " + aNode.m_ip + "\r\n", "", kProbeMs)
               .m_status == 200;
  }

  /** @return the node that became the owner last, by its output; null: none. */
  Node* Owner() {
    Node* owner = nullptr;
    int64_t latest = -1;
    for (Node& node : m_nodes) {
      std::ifstream log(node.m_log);
      for (std::string line; std::getline(log, line);) {
        if (line.find("loaded, scheduling") == std::string::npos) continue;
        const int64_t at = std::atoll(line.c_str() + line.find(' '));
        if (at > latest) {
          latest = at;
          owner = &node;
        }
      }
    }
    return owner;
  }

  /** One call of a client, as the platform forwards it to a node. */
  Reply ClientCall(const Node& aNode, const std::string& aMethod,
                   const Route& aRoute, const std::string& aId,
                   const std::string& aBody) const {
    constexpr int64_t kDeadlineMs = 3000;
    return Call(aNode.m_ip, aNode.m_frontPort, aMethod, aRoute.m_prefix + aId,
                "Host: " + aRoute.m_host +
                    "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " +
                    std::to_string(kDeadlineMs) + "\r\n",
                aBody, kDeadlineMs);
  }

  /** Hands a job in, with up to four retries at any node. @return whether it
   *  was accepted. */
  bool Submit(const Route& aRoute, const std::string& aId, const Json& aJob) {
    constexpr int kTries = 5;
    constexpr int64_t kPauseMs = 1000;
    for (int attempt = 0; attempt < kTries; ++attempt) {
      const Node& node = m_nodes[m_turn++ % m_nodes.size()];
      const Reply reply = ClientCall(node, "POST", aRoute, aId, aJob.dump());
      if (attempt > 0 || reply.m_status != 200) {
        m_record.Line("POST " + aId + " -> " + std::to_string(reply.m_status) +
                      " node=" + node.m_name);
      }
      if (reply.m_status / 100 == 2) return true;
      SleepMillis(kPauseMs);
    }
    return false;
  }

  /** @return the state of the job as any node gives it; empty: no answer. */
  std::string StateOf(const Route& aRoute, const std::string& aId) {
    const Node& node = m_nodes[m_turn++ % m_nodes.size()];
    const Reply reply = ClientCall(node, "GET", aRoute, aId, "");
    if (reply.m_status != 200) {
      return "status " + std::to_string(reply.m_status);
    }
    return Json::parse(reply.m_body, nullptr, false).value("state", "");
  }

  Store& TheStore() { return m_store; }
  RunLog& Runs() { return m_runs; }
  std::vector<Node>& Nodes() { return m_nodes; }
  std::vector<std::unique_ptr<Runner>>& Runners() { return m_runners; }

  /** @return the share of all cores that is in use. */
  double UsedShare() {
    int64_t used = 0;
    int64_t all = 0;
    for (const auto& runner : m_runners) {
      used += runner->UsedMillicores();
      all += runner->Millicores();
    }
    return static_cast<double>(used) / static_cast<double>(all);
  }

 private:
  static constexpr char kService[] = "huvo11a";

  static std::string Zone(size_t aAt) {
    static const char* const kZones[] = {"almaty-a", "almaty-b", "almaty-c"};
    return kZones[aAt % 3];
  }

  void WriteSettings(const Node& aNode) const {
    std::ofstream file(aNode.m_settings);
    file << "node_name: \"" << aNode.m_name << "\"\nrole: \"entry\"\n"
         << "machine_class: \"front\"\nserves:\n  - \"front\"\nip: \""
         << aNode.m_ip << "\"\nzone: \"" << aNode.m_name.substr(6, 8)
         << "\"\nregion: \"almaty\"\nzones:\n  almaty-a: \"almaty\"\n"
         << "  almaty-b: \"almaty\"\n  almaty-c: \"almaty\"\nlisten:\n"
         << "  front: \"" << aNode.m_ip << ":" << aNode.m_frontPort
         << "\"\n  ready: \"" << aNode.m_ip << ":" << aNode.m_readyPort
         << "\"\nport_range:\n  - 7720\n  - 7735\nseeds: []\n"
         << "bootstrap: true\nin_tolerance: false\nlimits:\n"
         << "  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n"
         << "  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
         << "data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\n"
         << "heartbeat_ms: 1500\nbounds:\n  contact_ms: 3000\n"
         << "  ack_ms: 4000\n  drain_ms: 2000\n  grace_s: 6\n"
         << "  config_apply_ms: 2000\n  recovery_s: 12\n"
         << "  max_hold_ms: 10000\n  stop_timeout_ms: 400\n"
         << "  gang_timeout_ms: 3000\n  cancel_ms: 3000\n"
         << "  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n"
         << "  status_s: 120\n  spread_factor: 3\n  checkpoint_s: 2\n"
         << "  restore_ms: 100\norders: \"invoke\"\nplatform:\n  address: \""
         << m_storeIp << ":" << m_storePort
         << "\"\n  form: \"table\"\n  writes_per_s: 600\n"
         << "  reads_per_s: 2000\n  tx_ms: 8.0\n  part_writes_s: 150\n"
         << "  row_bytes: 65536\n  across: false\n  history_s: 20\n";
  }

  Record& m_record;
  std::string m_folder;
  std::string m_net;  ///< First three bytes of all addresses.
  std::string m_storeIp;
  int m_storePort = 0;
  Store m_store;
  RunLog m_runs;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::vector<Node> m_nodes;
  uint64_t m_configVersion = 6;
  std::atomic<size_t> m_turn = 0;
};

/** @return a job's id that is made from a number. */
inline std::string JobIdOf(uint64_t aNumber) {
  uint64_t value = aNumber * 0x9E3779B97F4A7C15ULL;
  value = (value ^ value >> 29) * 0xBF58476D1CE4E5B9ULL;
  char text[20];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(value ^ value >> 32));
  return text;
}

/** Runs a case with the arguments of main and ends the process, as the threads
 *  of the stand-ins go on until then. aPlay gets a deployment and returns what
 *  the process exits with. */
template <class Play>
[[noreturn]] void RunCase(int aCount, char** aArguments, Play aPlay) {
  constexpr int kArguments = 3;
  if (aCount != kArguments) _exit(kCouldNotRun);
  signal(SIGTERM, OnEnd);
  signal(SIGINT, OnEnd);
  auto* const record = new Record(aArguments[1]);
  // Its stand-ins are in use until the process ends.
  auto* const deployment = new Deployment(*record, aArguments[2]);
  const int result = aPlay(*deployment, *record);
  deployment->StopNodes();
  record->Line("result " + std::to_string(result));
  _exit(result);
}

/** @return whether the variable is not 0. */
inline bool IsOn(const char* aVariable) {
  const char* const text = std::getenv(aVariable);
  return text == nullptr || std::string(text) != "0";
}

/** @return whether the case runs with its disruption. */
inline bool HasTrouble() { return IsOn("TROUBLE"); }

}  // namespace review

#endif  // REVIEW_STANDIN_DEPLOYMENT_H_

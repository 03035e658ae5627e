/**
 * @file entry_node.h The control loop of one entry VM: takes callers' requests
 * from the traffic threads and passes them to the owner of the job's cell, in
 * this process or on another VM.
 */

#ifndef BRONZE_SCHEDULER_ENTRY_NODE_H_
#define BRONZE_SCHEDULER_ENTRY_NODE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <mutex>
#include <vector>

#include "core/metrics/histogram_type.h"
#include "net/http_server.h"
#include "platform/caller_wire.h"
#include "platform/node_config.h"
#include "scheduler/owner_election.h"

namespace bronze {

/** Returns the text of the settings file. */
using SettingsReader = std::function<Result<std::string>()>;

class EntryNode {
 public:
  EntryNode(const NodeConfig& aConfig, uint64_t aIncarnation,
            SettingsReader aReadSettings);

  /** Runs the control loop until the drain after SIGTERM is over. */
  void Run();

  /** Handles a request of a caller. Callable from any thread. */
  void HandleCaller(HttpCall aCall, std::shared_ptr<HttpResponder> aResponder);
  /** Handles a call of another daemon. Callable from any thread. */
  void HandlePeer(HttpCall aCall, std::shared_ptr<HttpResponder> aResponder);
  /** Answers requests for readiness or metrics. Callable from any thread. */
  void HandleHealth(const HttpCall& aCall,
                    const std::shared_ptr<HttpResponder>& aResponder);

  /** Starts the drain after SIGTERM. Callable from any thread. */
  void PostDrain();
  /** Reloads the settings after SIGHUP. Callable from any thread. */
  void PostReload();

 private:
  using SharedResponder = std::shared_ptr<HttpResponder>;

  void OnConfigRow(const StoreRow& aRow);
  void Serve(CallerRequest aRequest, const SharedResponder& aResponder);
  void ServeCall(PeerCall aCall, AnswerHandler aHandler);
  void Forward(const std::string& aAddress, PeerCall aCall,
               AnswerHandler aHandler);
  void AnswerCaller(const CallerRequest& aRequest, const PeerAnswer& aAnswer,
                    const SharedResponder& aResponder, TimePoint aBegunAt);
  [[nodiscard]] CellId CellOf(JobId aJob) const;
  [[nodiscard]] std::string Metrics() const;
  void Drain();

  /** Once a second: writes out the log and checks the settings for changes. */
  void Housekeep();
  /** @param aAsked whether SIGHUP asked for it; if so, an unreadable or
   *  unchanged file is logged as well. */
  void Reload(bool aAsked);
  void ApplySettings(const NodeConfig& aConfig);

  NodeConfig m_config;  ///< In force; an invalid file does not change it.
  SettingsReader m_readSettings;
  std::string m_settingsText;  ///< Settings file as last read.
  boost::asio::io_context m_context;
  EventLog m_log;
  StoreClient m_store;
  RunnerClient m_runners;
  AdviceClient m_advisor;
  HttpClient m_peers;
  std::vector<std::shared_ptr<OwnerElection>> m_elections;  ///< By CellId.
  std::shared_ptr<TableWatch> m_operatorWatch;
  boost::asio::steady_timer m_drainTimer;
  boost::asio::steady_timer m_housekeepingTimer;

  std::mutex m_configMutex;  ///< Guards m_liveConfig, read by traffic threads.
  std::shared_ptr<const sched::LiveConfig> m_liveConfig;
  std::atomic<bool> m_ready = false;
  bool m_draining = false;
  LatencyHistogram m_answerTimes;  ///< Time to answer callers' requests.
  std::map<std::string, uint64_t> m_answers;  ///< Count by verb and result.
  std::map<std::string, uint64_t> m_reloads;  ///< Count by result.
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_ENTRY_NODE_H_

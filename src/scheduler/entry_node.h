/**
 * @file entry_node.h The control loop of one entry VM: takes callers' requests
 * from the traffic threads and brings them to the owner of the job's cell.
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
#include "scheduler/cell_seat.h"

namespace bronze {

/** Reads the text of the settings file. */
using SettingsReader = std::function<Result<std::string>()>;

class EntryNode {
 public:
  EntryNode(const NodeConfig& aConfig, uint64_t aIncarnation,
            SettingsReader aReadSettings);

  /** Runs the control loop until the process is to end. */
  void Run();

  /** Any thread: a call of a caller. */
  void HandleCaller(HttpCall aCall, std::shared_ptr<HttpResponder> aResponder);
  /** Any thread: a call of another daemon. */
  void HandlePeer(HttpCall aCall, std::shared_ptr<HttpResponder> aResponder);
  /** Any thread: readiness and metrics. */
  void HandleHealth(const HttpCall& aCall,
                    const std::shared_ptr<HttpResponder>& aResponder);

  /** Any thread: SIGTERM. */
  void PostDrain();
  /** Any thread: SIGHUP. */
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

  /** Writes out the log and looks for changed settings, once a second. */
  void Housekeep();
  /** @param aAsked by a signal: a file without a change is logged, too. */
  void Reload(bool aAsked);
  void ApplySettings(const NodeConfig& aConfig);

  NodeConfig m_config;  ///< In force; a file that cannot be read changes none.
  SettingsReader m_readSettings;
  std::string m_settingsText;  ///< As last read.
  boost::asio::io_context m_context;
  EventLog m_log;
  StoreClient m_store;
  RunnerClient m_runners;
  AdviceClient m_advisor;
  HttpClient m_peers;
  std::vector<std::shared_ptr<CellSeat>> m_seats;  ///< Indexed by CellId.
  std::shared_ptr<TableWatch> m_operatorWatch;
  boost::asio::steady_timer m_drainTimer;
  boost::asio::steady_timer m_housekeepingTimer;

  std::mutex m_configMutex;  ///< Guards m_liveConfig, which traffic reads.
  std::shared_ptr<const sched::LiveConfig> m_liveConfig;
  std::atomic<bool> m_ready = false;
  bool m_draining = false;
  LatencyHistogram m_answerTimes;  ///< Of callers' requests, in this VM.
  std::map<std::string, uint64_t> m_answers;  ///< By verb and result.
  std::map<std::string, uint64_t> m_reloads;  ///< By result.
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_ENTRY_NODE_H_

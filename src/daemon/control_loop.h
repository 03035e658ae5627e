/**
 * @file control_loop.h The control thread, which owns all control state.
 *
 * All decisions are made here, one event at a time. Traffic threads post events
 * to this thread, and it posts the resulting work back to them. Each driver
 * does the I/O for one part of the core; this class connects the drivers.
 */

#ifndef BRONZE_DAEMON_CONTROL_LOOP_H_
#define BRONZE_DAEMON_CONTROL_LOOP_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics/counter_type.h"
#include "daemon/batch_driver.h"
#include "daemon/commit_driver.h"
#include "daemon/config_driver.h"
#include "daemon/coordination_driver.h"
#include "daemon/peer_hub.h"
#include "daemon/request_driver.h"
#include "net/thread_pool.h"
#include "tableservice/vm_list_client.h"

namespace bronze {

class ControlLoop {
 public:
  ControlLoop(const NodeSettings& aNode, Incarnation aIncarnation,
              const boost::asio::ip::tcp::endpoint& aPlatform,
              ThreadPool& aThreads, Counters& aCounters);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /** Call before Run(). @return the bound address for peers. */
  [[nodiscard]] Result<boost::asio::ip::tcp::endpoint> ListenForPeers(
      const boost::asio::ip::tcp::endpoint& aEndpoint);

  /** Runs the event loop on the calling thread until a drain has finished. */
  void Run();

  // These functions may be called from any thread.

  /**
   * Starts a graceful shutdown: hands over the units, answers the requests in
   * progress, then ends Run().
   */
  void PostDrain();
  [[nodiscard]] bool IsReady() const { return m_ready.load(); }

  /** Runs aCall on the control thread. */
  template <class Function>
  void Post(Function aCall) {
    boost::asio::post(m_context, std::move(aCall));
  }

  [[nodiscard]] RequestDriver& Requests() { return *m_requests; }

  // These functions may only be called on the control thread.

  [[nodiscard]] ConfigDriver& Config() { return *m_config; }
  [[nodiscard]] BatchDriver& Batch() { return *m_batch; }
  [[nodiscard]] const CoordinationDriver& Coordination() const {
    return *m_coordination;
  }
  [[nodiscard]] bool IsDraining() const { return m_draining; }
  [[nodiscard]] std::string Metrics() const;

 private:
  void OnPeerMessage(const PeerMessage& aMessage);
  void ApplySettings(const SystemSettings& aSettings);
  void OnUnit(const UnitId& aUnit, bool aAcquired);
  void PollVmList();
  void UseVmList(const std::vector<VmInfo>& aVms);
  void SendHeartbeats();
  void ScheduleHeartbeat();
  void TickFast();
  void TickSlow();
  void Drain();
  void LeaveEpoch();
  void OnRequestsDrained();
  void FinishDrain();
  void UpdateReady();

  NodeSettings m_node;
  SystemSettings m_settings;
  Counters& m_counters;
  boost::asio::io_context m_context;
  boost::asio::steady_timer m_fastTimer;
  boost::asio::steady_timer m_slowTimer;
  boost::asio::steady_timer m_heartbeatTimer;
  boost::asio::steady_timer m_vmListTimer;
  boost::asio::steady_timer m_drainTimer;
  boost::asio::steady_timer m_leaveTimer;
  boost::asio::steady_timer m_releaseTimer;
  HttpClient m_client;
  TableClient m_table;
  VmListClient m_vmList;
  PeerHub m_hub;
  std::unique_ptr<CoordinationDriver> m_coordination;
  std::unique_ptr<CommitDriver> m_commits;
  std::unique_ptr<ConfigDriver> m_config;
  std::unique_ptr<RequestDriver> m_requests;
  std::unique_ptr<BatchDriver> m_batch;
  bool m_unitsChanged = false;  ///< Request driver not told yet.
  bool m_vmListSeen = false;
  bool m_draining = false;
  bool m_hasLeft = false;   ///< Asked peers for an epoch without this VM.
  int m_leaveAttempts = 0;  ///< Times that LeaveEpoch() waited for commits.
  std::atomic<bool> m_ready = false;
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_CONTROL_LOOP_H_

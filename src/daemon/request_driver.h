/**
 * @file request_driver.h Connects the scheduling of requests to I/O.
 *
 * Turns events of the traffic threads and of peers into commands of the core,
 * and the core's effects into calls to runners, callers, peers and the table.
 */

#ifndef BRONZE_DAEMON_REQUEST_DRIVER_H_
#define BRONZE_DAEMON_REQUEST_DRIVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/metrics/histogram_type.h"
#include "core/request/key_owner_cmd.h"
#include "core/request/request_cmd.h"
#include "core/request/slot_owner_cmd.h"
#include "daemon/caller_call.h"
#include "daemon/commit_driver.h"
#include "daemon/runner_gateway.h"
#include "net/thread_pool.h"

namespace bronze {

/** Only Post* functions may be called off the control thread. */
class RequestDriver {
 public:
  RequestDriver(const VmId& aSelf, Incarnation aIncarnation,
                boost::asio::io_context& aControl, ThreadPool& aThreads,
                PeerHub& aHub, TableClient& aTable,
                CoordinationDriver& aCoordination, CommitDriver& aCommits,
                Counters& aCounters);
  ~RequestDriver();
  RequestDriver(const RequestDriver&) = delete;
  RequestDriver& operator=(const RequestDriver&) = delete;

  void PostArrival(std::shared_ptr<CallerCall> aCall, Arrival aArrival);
  void PostCallerLeft(RequestId aRequest);

  void UseSettings(const SystemSettings& aSettings);
  void UseVmList(const std::vector<VmInfo>& aVms);
  void OnEpochAdopted();
  /** The units that this daemon may act for have changed. */
  void OnUnitsChanged();
  /** @return false when another driver handles this kind of message. */
  bool OnMessage(const PeerMessage& aMessage);
  /** The control loop calls this every 10 ms, or every 50 ms while idle. */
  void Tick();
  /** @return whether no request and no attempt is in progress. */
  [[nodiscard]] bool IsIdle() const {
    return m_state.m_pending.empty() && m_state.m_attempts.empty();
  }

  /** Refuses new requests; aOnEmpty runs when none is in progress. */
  void Drain(std::function<void()> aOnEmpty);

  [[nodiscard]] const RequestState& State() const { return m_state; }
  /** Appends latencies of answered requests in the Prometheus format. */
  void AppendMetrics(std::string& aText) const;

 private:
  void OnAttemptEnd(const AttemptResult& aResult);
  void CarryOut(RequestEffects& aEffects);
  void CarryOut(SlotOwnerEffects& aEffects);
  void CarryOut(KeyOwnerEffects& aEffects);
  void Dispatch(const DispatchRequest& aEffect);
  void Deliver(RequestId aRequest);
  void Refuse(const RefuseRequest& aEffect);
  void Abort(RequestId aRequest);
  void ReadKeys(KeyShard aShard, std::string aAfter,
                std::shared_ptr<std::vector<KeyRow>> aRows);
  void WriteKey(KeyShard aShard, const IdempotencyKey& aKey,
                std::optional<std::string> aValue);
  /** Updates m_removed and m_drained after a change of epoch. */
  void RecordRemovedMembers();
  /** @return members that may have been lost with their key claims. */
  [[nodiscard]] std::vector<RemovedMember> LostMembers() const;
  void UpdateOwners();
  void UpdateOwnedSlots();
  void UpdateOwnedKeys();
  void CheckDrained();

  boost::asio::io_context& m_control;
  ThreadPool& m_threads;
  PeerHub& m_hub;
  TableClient& m_table;
  CoordinationDriver& m_coordination;
  CommitDriver& m_commits;
  Counters& m_counters;
  std::vector<std::unique_ptr<RunnerGateway>> m_gateways;  ///< One per thread.
  RequestState m_state;
  SlotOwnerState m_slotOwner;
  KeyOwnerState m_keyOwner;
  std::unordered_map<RequestId, std::shared_ptr<CallerCall>>
      m_calls;  ///< Callers' side of all requests in m_state.m_pending.
  struct Runner {
    boost::asio::ip::tcp::endpoint m_address;
    OwnedRunnerInfo m_info;
  };
  std::map<RunnerId, Runner> m_runners;  ///< From the platform's VM list.
  std::set<RunnerId> m_goneRunners;      ///< Listed as gone by the platform.
  std::map<VmId, Incarnation> m_lastMembers;  ///< Of the adopted epoch.
  bool m_hasSurvivor = true;  ///< Some member of the last epoch is in this one.
  /** Members lost without a drain, within twice the maximum window. */
  std::vector<RemovedMember> m_removed;
  /** Members that left by a drain, within twice the maximum window. */
  std::vector<RemovedMember> m_drained;
  std::map<KindId, LatencyHistogram> m_latencies;  ///< From arrival to answer.
  TimePoint m_nextOwnerTick;
  std::function<void()> m_onDrained;
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_REQUEST_DRIVER_H_

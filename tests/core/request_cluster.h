/**
 * @file request_cluster.h Simulated entry VMs, runners and clock.
 *
 * Carries out the effects of request handling as a daemon does, with messages
 * that may be lost, delayed or repeated, and records violated invariants.
 */

#ifndef BRONZE_TESTS_CORE_REQUEST_CLUSTER_H_
#define BRONZE_TESTS_CORE_REQUEST_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "core/error/error_func.h"
#include "core/request/key_owner_cmd.h"
#include "core/request/request_cmd.h"
#include "core/request/slot_owner_cmd.h"

namespace bronze {

/** Probabilities of faults of the network and of runners. */
struct ClusterFaults {
  double m_messageLoss = 0.0;
  double m_messageRepeat = 0.0;
  Duration m_maxDelay = milliseconds(2);
  double m_connectFails = 0.0;
  double m_answerLost = 0.0;
};

struct FakeRunner {
  int64_t m_slots = 0;
  int64_t m_running = 0;
  int64_t m_maxRunning = 0;
  bool m_unreachable = false;  ///< Connections to it fail.
};

/** An entry VM with its state as a request handler, slot and key owner. */
struct FakeNode {
  VmId m_id;
  Incarnation m_incarnation{1};
  RequestState m_requests;
  SlotOwnerState m_slots;
  KeyOwnerState m_keys;
  TimePoint m_authorityUntil;
  TimePoint m_pausedUntil;
  bool m_alive = true;
};

/** The end of a request as its caller sees it. */
struct FakeEnd {
  bool m_answered = false;
  ErrorKind m_error = ErrorKind::Internal;
  TimePoint m_at;
};

class RequestCluster {
 public:
  using RunTime = std::function<Duration(const KindId&, const RunnerId&)>;

  RequestCluster(size_t aNodes, int aRunners, int64_t aSlots,
                 const RequestSettings& aSettings, uint32_t aSeed);

  /** Advances the clock to aTime and runs the events due until then. */
  void RunUntil(TimePoint aTime);
  /** Schedules aCall at aTime. */
  void At(TimePoint aTime, std::function<void()> aCall);
  /** A request arrives at a node. @return its id. */
  RequestId Send(size_t aNode, const KindId& aKind, Duration aWindow = {},
                 const std::string& aKey = "",
                 const std::string& aCaller = "c");
  /** The caller closes its connection. */
  void Leave(size_t aNode, RequestId aRequest);
  void Kill(size_t aNode);
  void Pause(size_t aNode, Duration aTime);
  /**
   * Starts an epoch without the killed and paused nodes. The others take over
   * their units once every earlier authority has ended. Paused nodes learn of
   * the epoch when they resume.
   */
  void ChangeEpoch();
  void LoseRunner(const RunnerId& aRunner);

  TimePoint m_now{seconds(1000)};
  ClusterFaults m_faults;
  RunTime m_runTime;
  std::vector<std::unique_ptr<FakeNode>> m_nodes;
  std::map<RunnerId, FakeRunner> m_runners;
  Counters m_counters;
  std::map<RequestId, FakeEnd> m_ends;
  std::map<RequestId, int> m_runs;         ///< Number of runs of each request.
  std::map<std::string, int> m_runsOfKey;  ///< Number of runs of each key.
  /**
   * Violated invariants: a runner never runs more requests than it has slots, a
   * request ends once, a request refused as "not run" never ran, and a key runs
   * at most once.
   */
  std::vector<std::string> m_violations;
  uint64_t m_messages = 0;

 private:
  struct Event {
    TimePoint m_at;
    uint64_t m_number;
    std::function<void()> m_call;
    bool operator>(const Event& aOther) const {
      return std::tie(m_at, m_number) > std::tie(aOther.m_at, aOther.m_number);
    }
  };

  FakeNode* NodeOf(const VmId& aVm);
  bool Chance(double aProbability);
  void OnNode(FakeNode& aNode, TimePoint aAt, std::function<void()> aCall);
  void Tick(FakeNode& aNode);
  void Deliver(FakeNode& aFrom, const VmId& aTo, const PeerBody& aBody);
  void Receive(FakeNode& aNode, const PeerMessage& aMessage);
  void Adopt(FakeNode& aNode);
  void TakeOver(FakeNode& aNode);
  void CarryOut(FakeNode& aNode, const RequestEffects& aEffects);
  void CarryOut(FakeNode& aNode, const SlotOwnerEffects& aEffects);
  void CarryOut(FakeNode& aNode, const KeyOwnerEffects& aEffects);
  void Start(FakeNode& aNode, const DispatchRequest& aDispatch);
  void End(FakeNode& aNode, const AttemptResult& aResult);
  void NoteEnd(RequestId aRequest, const FakeEnd& aEnd);

  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  uint64_t m_lastEvent = 0;
  uint64_t m_lastRequest = 0;
  std::minstd_rand m_random;
  UnitOwners m_owners;
  std::vector<RemovedMember> m_removed;
  std::map<RequestId, KindId> m_kindOf;
  std::map<RequestId, std::string> m_keyOf;
  std::map<KeyShard, std::map<IdempotencyKey, KeyRow>> m_table;
};

}  // namespace bronze

#endif  // BRONZE_TESTS_CORE_REQUEST_CLUSTER_H_

/**
 * @file commit_driver.h Carries out the group commit.
 */

#ifndef BRONZE_DAEMON_COMMIT_DRIVER_H_
#define BRONZE_DAEMON_COMMIT_DRIVER_H_

#include <functional>
#include <unordered_map>

#include "core/store/commit_cmd.h"
#include "daemon/coordination_driver.h"
#include "tableservice/table_client.h"

namespace bronze {

/** Every function is called on the control thread. */
class CommitDriver {
 public:
  using DoneHandler = std::function<void(const ChangeDone& aDone)>;

  CommitDriver(TableClient& aTable, CoordinationDriver& aCoordination,
               Counters& aCounters);

  void UseSettings(const CoordinationSettings& aSettings);

  /** Version of the configuration that the lease row tells. */
  void SetConfigHeld(ConfigVersion aVersion) { m_configHeld = aVersion; }

  /**
   * Adds a change. A change without an id gets one that no other part uses. The
   * handler may be empty.
   */
  void Submit(TableChange aChange, DoneHandler aOnDone);

  /** Forgets the changes of a unit that is no longer owned. */
  void Drop(const std::string& aUnit);

  void Tick();

  /** @return whether every change has been committed or refused. */
  [[nodiscard]] bool IsIdle() const { return m_state.m_pending.empty(); }

 private:
  static constexpr uint64_t kFirstOwnId = uint64_t{1} << 63;

  [[nodiscard]] CommitFence Fence(CommitSequence aSequence) const;
  void ReadLease();
  void CarryOut(StoreEffects& aEffects);
  void Send(const SendCommit& aEffect);

  TableClient& m_table;
  CoordinationDriver& m_coordination;
  Counters& m_counters;
  GroupCommitState m_state;
  ConfigVersion m_configHeld;
  bool m_started = false;  ///< The own lease row was read once.
  bool m_reading = false;
  TimePoint m_nextStartRead;
  Epoch m_attemptEpoch;    ///< Epoch whose row the attempt in flight checks.
  Epoch m_committedEpoch;  ///< Of the last commit that took effect.
  uint64_t m_nextId = kFirstOwnId;
  std::unordered_map<ChangeId, DoneHandler> m_handlers;
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_COMMIT_DRIVER_H_

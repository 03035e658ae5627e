/**
 * @file commit_driver.h Commits the changes of all drivers to the table in
 * groups.
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

  /** Sets the configuration version that the next lease row states. */
  void SetConfigHeld(ConfigVersion aVersion) { m_configHeld = aVersion; }

  /**
   * Adds a change to the next commit. A change without an id gets one that no
   * other driver uses. The handler may be empty.
   */
  void Submit(TableChange aChange, DoneHandler aOnDone);

  /** Discards the pending changes of a unit that this VM no longer owns. */
  void Drop(const std::string& aUnit);

  void Tick();

  /** @return whether no change waits for its commit. */
  [[nodiscard]] bool IsIdle() const { return m_state.m_pending.empty(); }

 private:
  /** Ids from here on are given by this class, lower ones by other drivers. */
  static constexpr uint64_t kFirstOwnId = uint64_t{1} << 63;

  [[nodiscard]] CommitFence Fence(CommitSequence aSequence) const;
  void ReadLease();
  void CarryOut(StoreEffects& aEffects);
  void Send(const SendCommit& aEffect);

  TableClient& m_table;
  CoordinationDriver& m_coordination;
  Counters& m_counters;
  GroupCommitState m_state;
  ConfigVersion m_configHeld;   ///< Version that the lease row states.
  bool m_started = false;       ///< Whether this VM's lease row has been read.
  bool m_readingLease = false;  ///< A read of the lease row is in flight.
  TimePoint m_nextStartRead;
  Epoch m_attemptEpoch;    ///< Epoch that the attempt in flight requires.
  Epoch m_committedEpoch;  ///< Epoch of the last successful commit.
  uint64_t m_nextId = kFirstOwnId;
  std::unordered_map<ChangeId, DoneHandler> m_handlers;
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_COMMIT_DRIVER_H_

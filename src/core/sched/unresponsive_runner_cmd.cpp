/**
 * @file unresponsive_runner_cmd.cpp Stored lease ends of unresponsive runners.
 */

#include "core/sched/unresponsive_runner_cmd.h"

#include <algorithm>

#include "core/sched/runner_cmd.h"
#include "core/sched/stored_size_func.h"

namespace bronze::sched {

namespace {

/** A runner is stored as unresponsive only after this time. One that misses a
 *  single renewal and answers the next must not be, since its lease could then
 *  not be extended while the store is unavailable. */
constexpr Duration kUnresponsiveAfter = milliseconds(1000);
/** Of an entry in the owner's row, without the runner's id. */
constexpr size_t kEntryBytes = 16;
/** Of the owner's row without these entries: format version, numbers, and the
 *  name and address of the owner, of at most 200 bytes each. */
constexpr size_t kOwnerRowBytes = 600;

/** Room for unresponsive runners in the owner's row. */
class OwnerRowRoom {
 public:
  explicit OwnerRowRoom(size_t aRowBytes)
      : m_left(aRowBytes > kOwnerRowBytes ? aRowBytes - kOwnerRowBytes : 0) {}

  /** @return whether the entry fits. */
  bool Take(const Runner& aRunner) {
    const size_t bytes =
        TextBytesBound(aRunner.m_entry.m_id.Value()) + kEntryBytes;
    if (bytes > m_left) return false;
    m_left -= bytes;
    return true;
  }

 private:
  size_t m_left;
};

bool IsUnresponsive(const Runner& aRunner, TimePoint aNow) {
  return aRunner.m_missedRenewals > 0 && !aRunner.m_tasks.empty() &&
         aNow < aRunner.m_lapsesAt &&
         aNow - aRunner.m_clockAt > kUnresponsiveAfter;
}

}  // namespace

void CheckUnresponsive(Cell& aCell, TimePoint aNow) {
  OwnerRowRoom room(aCell.m_settings.m_rowBytes);
  for (const Runner& runner : aCell.m_runners) {
    if (runner.m_lapseStored) static_cast<void>(room.Take(runner));
  }
  for (const Runner& runner : aCell.m_runners) {
    if (IsUnresponsive(runner, aNow) == runner.m_lapseStored) continue;
    if (!runner.m_lapseStored && !room.Take(runner)) continue;
    aCell.m_commitWanted = true;
    return;
  }
}

std::vector<UnresponsiveRunner> TakeUnresponsiveRunners(Cell& aCell,
                                                        TimePoint aNow) {
  aCell.m_commitWanted = false;
  OwnerRowRoom room(aCell.m_settings.m_rowBytes);
  std::vector<UnresponsiveRunner> unresponsive;
  for (Runner& runner : aCell.m_runners) {
    if (!IsUnresponsive(runner, aNow) || !room.Take(runner)) continue;
    runner.m_lapseStored = true;
    unresponsive.push_back({runner.m_entry.m_id, runner.m_lapsesAt});
  }
  return unresponsive;
}

void ApplyStoredUnresponsive(Cell& aCell,
                             const std::vector<UnresponsiveRunner>& aStored) {
  for (Runner& runner : aCell.m_runners) {
    if (!runner.m_lapseStored) continue;
    runner.m_lapseStored =
        std::any_of(aStored.begin(), aStored.end(),
                    [&](const UnresponsiveRunner& aUnresponsive) {
                      return aUnresponsive.m_runner == runner.m_entry.m_id;
                    });
    if (!runner.m_lapseStored) aCell.m_capacityChanged = true;
  }
}

void RestoreUnresponsiveRunner(Cell& aCell, const UnresponsiveRunner& aStored) {
  const RunnerIndex index = FindOrAddRunner(aCell, aStored.m_runner);
  Runner& runner = aCell.m_runners[index.Value()];
  runner.m_lapsesAt = std::max(std::min(runner.m_lapsesAt, aStored.m_lapsesAt),
                               runner.m_misdirectedLeaseEnd);
  runner.m_lapseStored = true;
}

}  // namespace bronze::sched

/**
 * @file silence_cmd.cpp Lease ends of silent runners, kept in the store.
 */

#include "core/sched/silence_cmd.h"

#include <algorithm>

#include "core/sched/runner_cmd.h"

namespace bronze::sched {

namespace {

/** A runner that misses one renewal and answers the next is not stored: its
 *  lease could not be renewed while the store is away. */
constexpr Duration kSilentAfter = milliseconds(1000);
/** Bounds the row of the owner, at some 30 bytes a runner. */
constexpr size_t kMaxStoredSilent = 1000;

bool IsSilent(const Runner& aRunner, TimePoint aNow) {
  return aRunner.m_missedHolds > 0 && !aRunner.m_tasks.empty() &&
         aNow < aRunner.m_lapsesAt && aNow - aRunner.m_clockAt > kSilentAfter;
}

}  // namespace

void NoteSilence(Cell& aCell, TimePoint aNow) {
  size_t stored = 0;
  for (const Runner& runner : aCell.m_runners) {
    if (runner.m_lapseStored) ++stored;
  }
  for (const Runner& runner : aCell.m_runners) {
    if (IsSilent(runner, aNow) == runner.m_lapseStored) continue;
    if (!runner.m_lapseStored && stored >= kMaxStoredSilent) continue;
    aCell.m_commitWanted = true;
    return;
  }
}

std::vector<SilentRunner> TakeSilentRunners(Cell& aCell, TimePoint aNow) {
  aCell.m_commitWanted = false;
  std::vector<SilentRunner> silent;
  for (Runner& runner : aCell.m_runners) {
    if (!IsSilent(runner, aNow) || silent.size() >= kMaxStoredSilent) continue;
    runner.m_lapseStored = true;
    silent.push_back({runner.m_entry.m_id, runner.m_lapsesAt});
  }
  return silent;
}

void ApplyStoredSilence(Cell& aCell, const std::vector<SilentRunner>& aStored) {
  for (Runner& runner : aCell.m_runners) {
    if (!runner.m_lapseStored) continue;
    runner.m_lapseStored = std::any_of(
        aStored.begin(), aStored.end(), [&](const SilentRunner& aSilent) {
          return aSilent.m_runner == runner.m_entry.m_id;
        });
    if (!runner.m_lapseStored) aCell.m_capacityChanged = true;
  }
}

void RestoreSilence(Cell& aCell, const SilentRunner& aStored, TimePoint aNow) {
  const RunnerIndex index = RunnerByName(aCell, aStored.m_runner, aNow);
  Runner& runner = aCell.m_runners[index.Value()];
  runner.m_lapsesAt = std::min(runner.m_lapsesAt, aStored.m_lapsesAt);
  runner.m_lapseStored = true;
}

}  // namespace bronze::sched

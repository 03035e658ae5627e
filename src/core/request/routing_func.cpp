/**
 * @file routing_func.cpp Choice of the runner for a request.
 */

#include "core/request/routing_func.h"

#include "core/request/runner_func.h"

namespace bronze {

namespace {

size_t RandomBelow(RequestState& aState, size_t aCount) {
  return std::uniform_int_distribution<size_t>(0, aCount - 1)(aState.m_random);
}

/** Only an idempotent request may probe a runner that has failed. */
bool IsSuitable(const RunnerState& aRunner, const PendingRequest& aPending) {
  if (IsProbed(aRunner) && !aPending.m_idempotent) return false;
  return !aPending.m_avoid.IsValid() || aRunner.m_id != aPending.m_avoid;
}

/** @return a random row with a free slot; removes others from the list. */
std::optional<RunnerIndex> PickFree(RequestState& aState, TimePoint aNow) {
  RunnerPool& pool = aState.m_runners;
  while (!pool.m_freeList.empty()) {
    const RunnerIndex index =
        pool.m_freeList[RandomBelow(aState, pool.m_freeList.size())];
    if (HasFreeSlot(pool.m_rows[index], aNow)) return index;
    RemoveFromFreeList(pool, index);
  }
  return std::nullopt;
}

/** @return any suitable row with a free slot; else the avoided runner. */
std::optional<RunnerIndex> SearchFree(RequestState& aState,
                                      const PendingRequest& aPending,
                                      TimePoint aNow) {
  std::optional<RunnerIndex> avoided;
  for (const RunnerIndex index : aState.m_runners.m_freeList) {
    const RunnerState& runner = aState.m_runners.m_rows[index];
    if (!HasFreeSlot(runner, aNow)) continue;
    if (IsSuitable(runner, aPending)) return index;
    if (!IsProbed(runner)) avoided = index;
  }
  return avoided;
}

bool MayTakeStanding(const RunnerState& aRunner, TimePoint aNow) {
  return aRunner.m_id.IsValid() && !aRunner.m_leaving &&
         aRunner.m_excludedUntil <= aNow && !IsProbed(aRunner);
}

}  // namespace

std::optional<RunnerIndex> ChooseRunner(RequestState& aState,
                                        const PendingRequest& aPending,
                                        TimePoint aNow) {
  const auto& rows = aState.m_runners.m_rows;
  const auto first = PickFree(aState, aNow);
  if (!first) return std::nullopt;
  const bool firstSuits = IsSuitable(rows[*first], aPending);
  if (firstSuits && aState.m_settings.m_routePolicy == RoutePolicy::Random) {
    return first;
  }
  const auto second = PickFree(aState, aNow);
  const bool secondSuits = second && IsSuitable(rows[*second], aPending);
  if (firstSuits && secondSuits) {
    return rows[*second].m_busy < rows[*first].m_busy ? second : first;
  }
  if (firstSuits) return first;
  if (secondSuits) return second;
  return SearchFree(aState, aPending, aNow);
}

std::optional<RunnerIndex> ChooseStandingRunner(RequestState& aState,
                                                const PendingRequest& aPending,
                                                TimePoint aNow) {
  const auto& rows = aState.m_runners.m_rows;
  if (rows.empty()) return std::nullopt;
  std::optional<RunnerIndex> best;
  const auto consider = [&](RunnerIndex aIndex) {
    const RunnerState& runner = rows[aIndex];
    if (!MayTakeStanding(runner, aNow) || !IsSuitable(runner, aPending)) return;
    if (!best || runner.m_standing < rows[*best].m_standing) best = aIndex;
  };
  for (int choice = 0; choice < 2; ++choice) {
    consider(static_cast<RunnerIndex>(RandomBelow(aState, rows.size())));
  }
  if (best) return best;
  // Neither random pick was usable, so check all runners.
  for (RunnerIndex index = 0; index < rows.size(); ++index) consider(index);
  return best;
}

bool MayStartLong(const RequestState& aState) {
  if (aState.m_settings.m_queuePolicy == QueuePolicy::Fifo) return true;
  const int64_t granted = aState.m_slots.m_grantedTotal.Value();
  const int64_t reserved =
      (granted * aState.m_settings.m_shortReservePercent + 99) / 100;
  return aState.m_running.m_long.Value() < granted - reserved;
}

}  // namespace bronze

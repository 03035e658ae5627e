/**
 * @file silence_cmd.h Lease ends of silent runners, kept in the store.
 *
 * A successor cannot know which lease a runner that it does not reach still
 * has, and would have to wait for the longest one from its takeover on. So the
 * owner stores when the lease of each silent runner ends, and orders no later
 * end for such a runner until a row without it is durable.
 */

#ifndef BRONZE_CORE_SCHED_SILENCE_CMD_H_
#define BRONZE_CORE_SCHED_SILENCE_CMD_H_

#include <vector>

#include "core/sched/cell_base.h"

namespace bronze::sched {

/** A runner that does not answer, and when all that ran there has ended. */
struct SilentRunner {
  RunnerId m_runner;
  TimePoint m_lapsesAt;
};

/** Asks for a commit when the silent runners differ from the stored ones. */
void NoteSilence(Cell& aCell, TimePoint aNow);

/** @return the silent runners to store; their leases are fixed from now on. */
[[nodiscard]] std::vector<SilentRunner> TakeSilentRunners(Cell& aCell,
                                                          TimePoint aNow);

/** Only aStored is in the store now: the leases of all others may move. */
void ApplyStoredSilence(Cell& aCell, const std::vector<SilentRunner>& aStored);

/** Enters what an earlier owner has stored, at a takeover. */
void RestoreSilence(Cell& aCell, const SilentRunner& aStored, TimePoint aNow);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_SILENCE_CMD_H_

/**
 * @file open_stop_func.cpp Runs that a cell stops and that are not known to
 * have ended yet.
 */

#include "core/sched/open_stop_func.h"

#include <algorithm>

namespace bronze::sched {

namespace {

/** Each task of Runner::m_tasks has its occurrence. */
const Task& TaskAt(const Cell& aCell, const TaskKey& aKey) {
  const Job& job = aCell.m_jobs.at(aKey.m_job);
  return job.m_occurrences.at(aKey.m_occurrence)
      .m_tasks[job.m_stepOffset[aKey.m_step] + aKey.m_index];
}

void Add(OpenStops& aStops, Duration aAge) {
  ++aStops.m_count;
  aStops.m_longest = std::max(aStops.m_longest, aAge);
}

}  // namespace

OpenStops OpenStopsOf(const Cell& aCell, TimePoint aNow) {
  OpenStops stops;
  for (const Runner& runner : aCell.m_runners) {
    for (const TaskKey& key : runner.m_tasks) {
      const Task& task = TaskAt(aCell, key);
      if (task.m_phase == TaskPhase::Stopping ||
          task.m_phase == TaskPhase::StartUnanswered) {
        Add(stops, aNow - task.m_phaseSince);
      }
    }
    for (const SupersededRun& run : runner.m_supersededRuns) {
      Add(stops, aNow - run.m_since);
    }
  }
  return stops;
}

}  // namespace bronze::sched

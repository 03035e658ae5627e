/**
 * @file open_stop_func.cpp Runs that a cell stops and that are not known to
 * have ended yet.
 */

#include "core/sched/open_stop_func.h"

#include <algorithm>

#include "core/sched/task_internal.h"

namespace bronze::sched {

namespace {

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

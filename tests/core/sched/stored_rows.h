/**
 * @file stored_rows.h The rows of jobs that the commits of a cell have written.
 */

#ifndef BRONZE_TESTS_CORE_SCHED_STORED_ROWS_H_
#define BRONZE_TESTS_CORE_SCHED_STORED_ROWS_H_

#include <map>

#include "core/sched/commit_cmd.h"

namespace bronze::sched {

struct StoredRows {
  /** Carries out a commit as the store does. */
  void Apply(const Commit& aCommit) {
    for (const JobWrite& write : aCommit.m_writes) {
      if (write.m_spec) m_specs[write.m_job] = *write.m_spec;
      if (write.m_state) m_states[write.m_job] = *write.m_state;
      for (const StoredTaskBlock& block : write.m_blocks) {
        m_blocks[block.m_key] = block;
      }
    }
    for (const JobId job : aCommit.m_removed) {
      m_specs.erase(job);
      m_states.erase(job);
    }
    for (const BlockRemoval& removal : aCommit.m_removedBlocks) {
      m_blocks.erase(removal.m_block);
    }
  }

  /** @return the state of the job as a new owner assembles it. */
  [[nodiscard]] StoredState StateOf(JobId aJob) const {
    StoredState state = m_states.at(aJob);
    for (const auto& [key, block] : m_blocks) {
      if (key.m_job == aJob) {
        static_cast<void>(AddTaskBlock(state, m_specs.at(aJob), block));
      }
    }
    return state;
  }

  std::map<JobId, JobSpec> m_specs;
  std::map<JobId, StoredState> m_states;
  std::map<TaskBlockKey, StoredTaskBlock> m_blocks;
};

}  // namespace bronze::sched

#endif  // BRONZE_TESTS_CORE_SCHED_STORED_ROWS_H_

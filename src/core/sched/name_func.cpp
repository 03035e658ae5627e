/**
 * @file name_func.cpp Text form of task and step keys.
 */

#include "core/sched/name_func.h"

#include <fmt/format.h>

namespace bronze::sched {

std::string StepText(const StepKey& aStep) {
  return fmt::format("{:016x}.{}.{}", aStep.m_job.Value(), aStep.m_occurrence,
                     aStep.m_step);
}

std::string TaskText(const TaskKey& aTask) {
  return fmt::format("{:016x}.{}.{}.{}", aTask.m_job.Value(),
                     aTask.m_occurrence, aTask.m_step, aTask.m_index);
}

}  // namespace bronze::sched

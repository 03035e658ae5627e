/**
 * @file name_func.h Texts of tasks and steps, the same in logs, on the runners
 * and in calls to the advice service, so that one search finds all of them.
 */

#ifndef BRONZE_CORE_SCHED_NAME_FUNC_H_
#define BRONZE_CORE_SCHED_NAME_FUNC_H_

#include <string>

#include "core/sched/job_type.h"

namespace bronze::sched {

/** The job in 16 hexadecimal digits, occurrence and step, with dots. */
[[nodiscard]] std::string StepText(const StepKey& aStep);

/** The text of its step, a dot and the task's index. */
[[nodiscard]] std::string TaskText(const TaskKey& aTask);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_NAME_FUNC_H_

/**
 * @file name_func.h Text form of task and step keys. Logs, runners and calls to
 * the advice service use the same form, so that one search finds all of them.
 */

#ifndef BRONZE_CORE_SCHED_NAME_FUNC_H_
#define BRONZE_CORE_SCHED_NAME_FUNC_H_

#include <string>

#include "core/sched/job_type.h"

namespace bronze::sched {

/** The job as 16 hexadecimal digits, the occurrence and the step, separated by
 *  dots. */
[[nodiscard]] std::string StepText(const StepKey& aStep);

/** The step's text, a dot and the task's index. */
[[nodiscard]] std::string TaskText(const TaskKey& aTask);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_NAME_FUNC_H_

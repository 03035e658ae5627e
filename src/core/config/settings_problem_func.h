/**
 * @file settings_problem_func.h List of the problems found in settings files.
 */

#ifndef BRONZE_CORE_CONFIG_SETTINGS_PROBLEM_FUNC_H_
#define BRONZE_CORE_CONFIG_SETTINGS_PROBLEM_FUNC_H_

#include "core/config/setting_type.h"

namespace bronze {

/**
 * Most problems that are listed. A file of the largest size can have 30,000
 * unknown keys: searching the most similar known key for each would take
 * seconds, and the list would be larger than the files.
 */
inline constexpr size_t kMaxSettingsProblems = 500;

/** Whether the limit is exceeded, so that no further problem is added. */
[[nodiscard]] bool IsProblemListFull(
    const std::vector<SettingsProblem>& aProblems);

/**
 * Adds a problem. At the limit, adds a note that there are more instead;
 * beyond it, adds nothing.
 */
void AddProblem(std::vector<SettingsProblem>& aProblems, SettingOrigin aOrigin,
                std::string aKey, std::string aMessage, std::string aAccepted);

/** Sorts by file and line; problems without a file come last. */
void SortProblems(std::vector<SettingsProblem>& aProblems);

/** @return "FILE:LINE: KEY: MESSAGE (accepted: ...)" without a newline. */
[[nodiscard]] std::string ProblemText(const SettingsProblem& aProblem);

/** @return one line per problem. */
[[nodiscard]] std::string ProblemsText(
    const std::vector<SettingsProblem>& aProblems);

}  // namespace bronze

#endif  // BRONZE_CORE_CONFIG_SETTINGS_PROBLEM_FUNC_H_

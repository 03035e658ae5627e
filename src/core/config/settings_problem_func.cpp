/**
 * @file settings_problem_func.cpp List of the problems found in settings files.
 */

#include "core/config/settings_problem_func.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace bronze {

namespace {

void Append(std::vector<SettingsProblem>& aProblems, SettingOrigin aOrigin,
            std::string aKey, std::string aMessage, std::string aAccepted) {
  SettingsProblem& problem = aProblems.emplace_back();
  problem.m_origin = std::move(aOrigin);
  problem.m_key = std::move(aKey);
  problem.m_message = std::move(aMessage);
  problem.m_accepted = std::move(aAccepted);
}

}  // namespace

bool IsProblemListFull(const std::vector<SettingsProblem>& aProblems) {
  return aProblems.size() > kMaxSettingsProblems;
}

void AddProblem(std::vector<SettingsProblem>& aProblems, SettingOrigin aOrigin,
                std::string aKey, std::string aMessage, std::string aAccepted) {
  if (IsProblemListFull(aProblems)) return;
  if (aProblems.size() == kMaxSettingsProblems) {
    Append(aProblems, {}, "", "more problems were found, but are not listed",
           "");
    return;
  }
  Append(aProblems, std::move(aOrigin), std::move(aKey), std::move(aMessage),
         std::move(aAccepted));
}

void SortProblems(std::vector<SettingsProblem>& aProblems) {
  std::stable_sort(
      aProblems.begin(), aProblems.end(),
      [](const SettingsProblem& aLeft, const SettingsProblem& aRight) {
        const auto rank = [](const SettingsProblem& aProblem) {
          const SettingOrigin& origin = aProblem.m_origin;
          return std::make_tuple(origin.m_file.empty(),
                                 std::string_view(origin.m_file),
                                 origin.m_line);
        };
        return rank(aLeft) < rank(aRight);
      });
}

std::string ProblemText(const SettingsProblem& aProblem) {
  std::string text;
  if (!aProblem.m_origin.m_file.empty()) {
    text += aProblem.m_origin.m_file + ":";
    if (aProblem.m_origin.m_line > 0) {
      text += fmt::format("{}:", aProblem.m_origin.m_line);
    }
    text += " ";
  }
  if (!aProblem.m_key.empty()) text += aProblem.m_key + ": ";
  text += aProblem.m_message;
  if (!aProblem.m_accepted.empty()) {
    text += fmt::format(" (accepted: {})", aProblem.m_accepted);
  }
  return text;
}

std::string ProblemsText(const std::vector<SettingsProblem>& aProblems) {
  std::string text;
  for (const SettingsProblem& problem : aProblems) {
    text += ProblemText(problem) + "\n";
  }
  return text;
}

}  // namespace bronze

/**
 * @file ctl_output.cpp Formats results and errors of commands as text or JSON.
 */

#include "ctl/ctl_output.h"

#include <fmt/format.h>

#include "core/config/settings_problem_func.h"
#include "core/error/error_func.h"
#include "ctl/text_table.h"

namespace bronze {

namespace {

constexpr std::string_view kRed = "\x1b[31m";
constexpr std::string_view kResetColor = "\x1b[0m";

std::string Dump(const nlohmann::json& aJson) {
  return aJson.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

nlohmann::json SettingJson(const std::optional<std::string>& aValue,
                           const SettingOrigin& aOrigin) {
  if (!aValue) return nullptr;
  return {
      {"value", *aValue}, {"file", aOrigin.m_file}, {"line", aOrigin.m_line}};
}

}  // namespace

CtlResult Success(const CtlOptions& aOptions, const nlohmann::json& aJson,
                  std::string aText) {
  return {0, aOptions.m_json ? Dump(aJson) : std::move(aText), ""};
}

CtlResult Failure(const CtlOptions& aOptions, const Error& aError,
                  nlohmann::json aDetails, const std::string& aExtraText) {
  const ErrorAnswer& answer = AnswerFor(aError.m_kind);
  CtlResult result;
  result.m_exitCode = answer.m_exitCode;
  if (aOptions.m_json) {
    aDetails["error"] = answer.m_name;
    aDetails["message"] = aError.m_message;
    aDetails["run"] = RunStateName(answer.m_runState);
    aDetails["exit_code"] = answer.m_exitCode;
    result.m_out = Dump(aDetails);
    return result;
  }
  result.m_error =
      fmt::format("{}error: {}{} ({})\n", aOptions.m_color ? kRed : "",
                  Printable(aError.m_message),
                  aOptions.m_color ? kResetColor : "", answer.m_name);
  result.m_error += aExtraText;
  return result;
}

nlohmann::json ProblemsJson(const std::vector<SettingsProblem>& aProblems) {
  auto list = nlohmann::json::array();
  for (const SettingsProblem& problem : aProblems) {
    list.push_back({{"file", problem.m_origin.m_file},
                    {"line", problem.m_origin.m_line},
                    {"key", problem.m_key},
                    {"message", problem.m_message},
                    {"accepted", problem.m_accepted}});
  }
  return list;
}

std::vector<SettingsProblem> ProblemsFromJson(const nlohmann::json& aList) {
  std::vector<SettingsProblem> problems;
  for (const auto& item : aList) {
    AddProblem(
        problems,
        {Printable(item.value("file", "")), item.value("line", int64_t{0})},
        Printable(item.value("key", "")), Printable(item.value("message", "")),
        Printable(item.value("accepted", "")));
  }
  return problems;
}

nlohmann::json ChangesJson(const std::vector<SettingChange>& aChanges) {
  auto list = nlohmann::json::array();
  for (const SettingChange& change : aChanges) {
    list.push_back({{"key", change.m_key},
                    {"old", SettingJson(change.m_old, change.m_oldOrigin)},
                    {"new", SettingJson(change.m_new, change.m_newOrigin)}});
  }
  return list;
}

FileSet FilesFromJson(const nlohmann::json& aObject) {
  return aObject.get<FileSet>();
}

}  // namespace bronze

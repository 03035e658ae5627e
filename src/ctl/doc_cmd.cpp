/**
 * @file doc_cmd.cpp Commands that print tables compiled into the program.
 */

#include "ctl/doc_cmd.h"

#include "core/config/setting_row_func.h"
#include "core/config/setting_value_func.h"
#include "core/config/settings_doc_func.h"
#include "core/error/error_func.h"
#include "ctl/ctl_output.h"
#include "ctl/table/completion.h"
#include "ctl/text_table.h"

namespace bronze {

CtlResult ShowSettings(const CtlOptions& aOptions) {
  auto list = nlohmann::json::array();
  for (const SettingRow& row : AllSettingRows()) {
    list.push_back({{"key", row.m_key},
                    {"scope", SettingScopeName(row.m_scope)},
                    {"type", SettingTypeName(row.m_type)},
                    {"unit", row.m_unit},
                    {"accepted", AcceptedText(row)},
                    {"default", row.m_default},
                    {"required", row.m_required},
                    {"description", row.m_doc}});
  }
  return Success(aOptions, {{"settings", list}}, SettingsDocument());
}

CtlResult ShowErrors(const CtlOptions& aOptions) {
  auto list = nlohmann::json::array();
  TableRows rows;
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorAnswer& answer = AnswerFor(static_cast<ErrorKind>(i));
    list.push_back({{"error", answer.m_name},
                    {"exit_code", answer.m_exitCode},
                    {"http_status", answer.m_httpStatus},
                    {"run", RunStateName(answer.m_runState)},
                    {"may_retry", answer.m_mayRetry}});
    rows.push_back({std::string(answer.m_name),
                    std::to_string(answer.m_exitCode),
                    std::to_string(answer.m_httpStatus),
                    std::string(RunStateName(answer.m_runState)),
                    answer.m_mayRetry ? "yes" : "no"});
  }
  return Success(aOptions, {{"errors", list}},
                 TextTable({"ERROR", "EXIT_CODE", "HTTP", "RUN", "RETRY"}, rows,
                           aOptions.m_color));
}

CtlResult ShowCompletion(const CtlOptions& aOptions) {
  return Success(aOptions, {{"script", kBashCompletion}}, kBashCompletion);
}

}  // namespace bronze

/**
 * @file ctl_output.h Formats results and errors of commands as text or JSON.
 */

#ifndef BRONZE_CTL_CTL_OUTPUT_H_
#define BRONZE_CTL_CTL_OUTPUT_H_

#include <nlohmann/json.hpp>

#include "core/config/setting_type.h"
#include "ctl/ctl_type.h"

namespace bronze {

/** @return exit code 0 with aJson or aText, as --json asks. */
[[nodiscard]] CtlResult Success(const CtlOptions& aOptions,
                                const nlohmann::json& aJson, std::string aText);

/**
 * @param aDetails   fields that JSON output has beside those of the error.
 * @param aExtraText text printed below the error unless output is JSON.
 * @return the error with its exit code.
 */
[[nodiscard]] CtlResult Failure(
    const CtlOptions& aOptions, const Error& aError,
    nlohmann::json aDetails = nlohmann::json::object(),
    const std::string& aExtraText = {});

[[nodiscard]] nlohmann::json ProblemsJson(
    const std::vector<SettingsProblem>& aProblems);
[[nodiscard]] std::vector<SettingsProblem> ProblemsFromJson(
    const nlohmann::json& aList);
[[nodiscard]] nlohmann::json ChangesJson(
    const std::vector<SettingChange>& aChanges);
[[nodiscard]] FileSet FilesFromJson(const nlohmann::json& aObject);

}  // namespace bronze

#endif  // BRONZE_CTL_CTL_OUTPUT_H_

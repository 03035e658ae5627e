/**
 * @file job_input.h Builds a job submission from options or a YAML file.
 */

#ifndef BRONZE_CTL_JOB_INPUT_H_
#define BRONZE_CTL_JOB_INPUT_H_

#include <nlohmann/json.hpp>

#include "core/config/setting_type.h"
#include "ctl/ctl_type.h"

namespace bronze {

[[nodiscard]] Checked<nlohmann::json> JobFromOptions(
    const CtlArguments& aArguments);

/** @param aFile name of the file, for error messages. */
[[nodiscard]] Checked<nlohmann::json> JobFromYaml(const std::string& aFile,
                                                  const std::string& aText);

}  // namespace bronze

#endif  // BRONZE_CTL_JOB_INPUT_H_

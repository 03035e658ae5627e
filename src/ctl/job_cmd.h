/**
 * @file job_cmd.h The "job" commands of bronzectl.
 */

#ifndef BRONZE_CTL_JOB_CMD_H_
#define BRONZE_CTL_JOB_CMD_H_

#include "ctl/ctl_type.h"

namespace bronze {

[[nodiscard]] CtlResult RunJobCommand(const CtlOptions& aOptions,
                                      const CtlArguments& aArguments);

}  // namespace bronze

#endif  // BRONZE_CTL_JOB_CMD_H_

/**
 * @file config_cmd.h The "config" commands of bronzectl.
 */

#ifndef BRONZE_CTL_CONFIG_CMD_H_
#define BRONZE_CTL_CONFIG_CMD_H_

#include "ctl/ctl_type.h"

namespace bronze {

[[nodiscard]] CtlResult RunConfigCommand(const CtlOptions& aOptions,
                                         const CtlArguments& aArguments);

}  // namespace bronze

#endif  // BRONZE_CTL_CONFIG_CMD_H_

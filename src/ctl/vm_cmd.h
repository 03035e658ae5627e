/**
 * @file vm_cmd.h The "worker", "vm" and "status" commands of bronzectl.
 */

#ifndef BRONZE_CTL_VM_CMD_H_
#define BRONZE_CTL_VM_CMD_H_

#include "ctl/ctl_type.h"

namespace bronze {

[[nodiscard]] CtlResult RunWorkerCommand(const CtlOptions& aOptions,
                                         const CtlArguments& aArguments);
[[nodiscard]] CtlResult RunVmCommand(const CtlOptions& aOptions,
                                     const CtlArguments& aArguments);
[[nodiscard]] CtlResult RunStatusCommand(const CtlOptions& aOptions);

}  // namespace bronze

#endif  // BRONZE_CTL_VM_CMD_H_

/**
 * @file ctl_run.h Runs one command line of bronzectl.
 */

#ifndef BRONZE_CTL_CTL_RUN_H_
#define BRONZE_CTL_CTL_RUN_H_

#include "ctl/ctl_type.h"

namespace bronze {

/** @param aArguments the command line, without the program name. */
[[nodiscard]] CtlResult RunCtl(const std::vector<std::string>& aArguments,
                               const CtlEnvironment& aEnvironment);

}  // namespace bronze

#endif  // BRONZE_CTL_CTL_RUN_H_

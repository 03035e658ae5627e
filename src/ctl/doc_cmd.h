/**
 * @file doc_cmd.h Commands that print tables compiled into the program.
 */

#ifndef BRONZE_CTL_DOC_CMD_H_
#define BRONZE_CTL_DOC_CMD_H_

#include "ctl/ctl_type.h"

namespace bronze {

/** Prints the reference of all settings, the text of docs/SETTINGS.md. */
[[nodiscard]] CtlResult ShowSettings(const CtlOptions& aOptions);

/** Prints the error kinds with their HTTP status and exit code. */
[[nodiscard]] CtlResult ShowErrors(const CtlOptions& aOptions);

/** Prints a completion script for bash. */
[[nodiscard]] CtlResult ShowCompletion(const CtlOptions& aOptions);

}  // namespace bronze

#endif  // BRONZE_CTL_DOC_CMD_H_

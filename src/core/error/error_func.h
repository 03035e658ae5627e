/**
 * @file error_func.h Lookup of the answer to each kind of error.
 */

#ifndef BRONZE_CORE_ERROR_ERROR_FUNC_H_
#define BRONZE_CORE_ERROR_ERROR_FUNC_H_

#include <string_view>

#include "core/error/error_type.h"

namespace bronze {

/** The answer to a caller or operator for one kind of error. */
struct ErrorAnswer {
  ErrorKind m_kind;
  std::string_view m_name;  ///< Stable name in answers and metrics.
  int m_httpStatus;
  int m_exitCode;       ///< Of bronzectl.
  RunState m_runState;  ///< Whether the work may have run, as answered.
  bool m_mayRetry;      ///< The same call may succeed later.
};

/** @return the row of the table for aKind. */
[[nodiscard]] const ErrorAnswer& AnswerFor(ErrorKind aKind);

/** @return the kind with this name, or Internal when there is none. */
[[nodiscard]] ErrorKind ErrorKindFromName(std::string_view aName);

[[nodiscard]] std::string_view RunStateName(RunState aState);

}  // namespace bronze

#endif  // BRONZE_CORE_ERROR_ERROR_FUNC_H_

/**
 * @file target_func.h Decodes path and query of a request target.
 */

#ifndef BRONZE_STANDIN_TARGET_FUNC_H_
#define BRONZE_STANDIN_TARGET_FUNC_H_

#include <map>
#include <string>
#include <string_view>

#include "core/error/error_type.h"

namespace bronze {

struct CallTarget {
  std::string m_path;
  std::map<std::string, std::string> m_query;
};

[[nodiscard]] Result<CallTarget> ParseTarget(std::string_view aTarget);

}  // namespace bronze

#endif  // BRONZE_STANDIN_TARGET_FUNC_H_

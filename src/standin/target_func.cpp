/**
 * @file target_func.cpp Decodes path and query of a request target.
 */

#include "standin/target_func.h"

// Compiles Boost.URL into this file, so that no library has to be linked.
#include <boost/url/src.hpp>
// clang-format off
#include <boost/url/parse.hpp>
// clang-format on

namespace bronze {

Result<CallTarget> ParseTarget(std::string_view aTarget) {
  const auto parsed =
      boost::urls::parse_origin_form({aTarget.data(), aTarget.size()});
  if (!parsed) {
    return MakeError(ErrorKind::BadRequest,
                     "the request target has a malformed path or query");
  }
  CallTarget target;
  target.m_path = parsed->path();
  for (const auto& param : parsed->params()) {
    target.m_query[std::string(param.key)] = std::string(param.value);
  }
  return target;
}

}  // namespace bronze

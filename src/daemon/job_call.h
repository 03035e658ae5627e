/**
 * @file job_call.h Recognizes the HTTP calls on jobs.
 */

#ifndef BRONZE_DAEMON_JOB_CALL_H_
#define BRONZE_DAEMON_JOB_CALL_H_

#include "net/http_type.h"

namespace bronze {

inline constexpr std::string_view kJobsPath = "/v1/jobs";

/** @return the path of a request target, without the query. */
[[nodiscard]] inline std::string_view PathOf(std::string_view aTarget) {
  return aTarget.substr(0, aTarget.find('?'));
}

[[nodiscard]] inline bool IsJobCall(const HttpCall& aCall) {
  const std::string_view path = PathOf(aCall.m_target);
  return path == kJobsPath ||
         (path.starts_with(kJobsPath) && path[kJobsPath.size()] == '/');
}

}  // namespace bronze

#endif  // BRONZE_DAEMON_JOB_CALL_H_

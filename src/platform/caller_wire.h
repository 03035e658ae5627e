/**
 * @file caller_wire.h Decodes callers' HTTP calls into typed requests, and
 * encodes the answers.
 */

#ifndef BRONZE_PLATFORM_CALLER_WIRE_H_
#define BRONZE_PLATFORM_CALLER_WIRE_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/error/error_type.h"
#include "core/sched/job_cmd.h"
#include "core/sched/live_config_type.h"
#include "net/http_type.h"

namespace bronze {

enum class CallerVerb : uint8_t { Submit, LookUp, Cancel, CountPending };

/** A request about a job or a queue, routed by the configuration in force. */
struct CallerRequest {
  CallerVerb m_verb = CallerVerb::LookUp;
  sched::QueueId m_queue;
  JobId m_job;            ///< Not set with CountPending.
  sched::JobSpec m_spec;  ///< Only set with Submit.
  Duration m_window{};    ///< How long the caller waits for the answer.
};

/** @return the request, or the error to send to the caller. */
[[nodiscard]] Result<CallerRequest> DecodeCallerCall(
    const HttpCall& aCall, const sched::LiveConfig& aConfig);

[[nodiscard]] HttpReply AcceptedReply();
[[nodiscard]] HttpReply StateReply(sched::JobState aState);
[[nodiscard]] HttpReply PendingReply(uint64_t aCount);

/** @param aRetryAfter sent as Retry-After with statuses 429 and 503. */
[[nodiscard]] HttpReply RefusalReply(const Error& aError, Duration aRetryAfter);

/** Path of the platform's readiness check. */
inline constexpr char kReadyPath[] = "/bronzeworks/readyz";

}  // namespace bronze

#endif  // BRONZE_PLATFORM_CALLER_WIRE_H_

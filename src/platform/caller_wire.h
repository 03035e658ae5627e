/**
 * @file caller_wire.h Callers' HTTP calls as typed requests, and the answers.
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

/** A call on a job or a queue, routed by the configuration in force. */
struct CallerRequest {
  CallerVerb m_verb = CallerVerb::LookUp;
  sched::QueueId m_queue;
  JobId m_job;            ///< Not with CountPending.
  sched::JobSpec m_spec;  ///< Only with Submit; complete.
  Duration m_window{};    ///< How long the caller waits.
};

/** @return the request, or the error to answer at once. */
[[nodiscard]] Result<CallerRequest> DecodeCallerCall(
    const HttpCall& aCall, const sched::LiveConfig& aConfig);

[[nodiscard]] HttpReply AcceptedReply();
[[nodiscard]] HttpReply StateReply(sched::JobState aState);
[[nodiscard]] HttpReply PendingReply(uint64_t aCount);

/** @param aRetryAfter when to come back; only with errors that allow it. */
[[nodiscard]] HttpReply RefusalReply(const Error& aError, Duration aRetryAfter);

/** Path at which the platform asks whether the process takes traffic. */
inline constexpr char kReadyPath[] = "/bronzeworks/readyz";

}  // namespace bronze

#endif  // BRONZE_PLATFORM_CALLER_WIRE_H_

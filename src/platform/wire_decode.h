/**
 * @file wire_decode.h Decodes messages of callers, operators, runners and the
 * advice service.
 */

#ifndef BRONZE_PLATFORM_WIRE_DECODE_H_
#define BRONZE_PLATFORM_WIRE_DECODE_H_

#include <optional>
#include <string_view>

#include "core/error/error_type.h"
#include "core/message/reply_match_type.h"
#include "core/sched/advice_cmd.h"
#include "core/sched/live_config_type.h"
#include "core/sched/runner_type.h"
#include "net/http_type.h"

namespace bronze {

/** Decodes the body of a job submission. Id, queue and policy are not set. */
[[nodiscard]] Result<sched::JobSpec> DecodeJobBody(std::string_view aBody);

/** Decodes the operators' configuration. Invalid routes and services are
 *  skipped and reported in aProblems. */
[[nodiscard]] Result<sched::LiveConfig> DecodeLiveConfig(
    std::string_view aBytes, std::vector<std::string>& aProblems);

/** @return the data centre that a row of the operators' table with this key
 *          asks to evacuate; not set if the row is another one. */
[[nodiscard]] std::optional<DataCentreId> EvacuatedDataCentre(
    std::string_view aKey);

/** Decodes a runner's entry in the platform's list of runners. */
[[nodiscard]] Result<sched::RunnerEntry> DecodeRunnerEntry(
    const std::string& aId, std::string_view aBytes);

/** Decodes a runner's answer to a lease renewal. */
[[nodiscard]] Result<sched::RunnerReport> DecodeRunnerReport(
    std::string_view aBytes);

/** Answer of the advice service. */
struct AdviceAnswer {
  std::vector<sched::AdviceRow> m_approved;
  Duration m_valid{};  ///< How long each ticket is valid.
};

[[nodiscard]] Result<AdviceAnswer> DecodeAdviceAnswer(std::string_view aBytes);

/** Decodes a task name of the form JOB.OCCURRENCE.STEP.INDEX, where JOB is a
 *  job id. */
[[nodiscard]] Result<sched::TaskKey> DecodeTaskName(std::string_view aName);

/** Decodes a job id: 16 hexadecimal digits. */
[[nodiscard]] Result<JobId> DecodeJobId(std::string_view aText);

/** Reads the clock of a runner from its answer. */
[[nodiscard]] std::optional<ServerMillis> ReadRunnerClock(
    const HttpReply& aReply);
/** Reads the clock of the store from its answer. */
[[nodiscard]] std::optional<ServerMillis> ReadStoreClock(
    const HttpReply& aReply);

}  // namespace bronze

#endif  // BRONZE_PLATFORM_WIRE_DECODE_H_

/**
 * @file wire_decode.h Decodes what callers, operators and runners send into the
 * project's types.
 */

#ifndef BRONZE_PLATFORM_WIRE_DECODE_H_
#define BRONZE_PLATFORM_WIRE_DECODE_H_

#include <string_view>

#include "core/error/error_type.h"
#include "core/sched/advice_cmd.h"
#include "core/sched/live_config_type.h"
#include "core/sched/runner_type.h"

namespace bronze {

/** A job's body as a caller sends it. Id, queue and policy are not set. */
[[nodiscard]] Result<sched::JobSpec> DecodeJobBody(std::string_view aBody);

/** The operators' configuration. Routes that cannot be read are left out and
 *  named in aProblems. */
[[nodiscard]] Result<sched::LiveConfig> DecodeLiveConfig(
    std::string_view aBytes, std::vector<std::string>& aProblems);

/** A runner's entry in the platform's list. */
[[nodiscard]] Result<sched::RunnerEntry> DecodeRunnerEntry(
    const std::string& aId, std::string_view aBytes);

/** A runner's answer to a renewal. */
[[nodiscard]] Result<sched::RunnerReport> DecodeRunnerReport(
    std::string_view aBytes);

/** What the advice service answers. */
struct AdviceAnswer {
  std::vector<sched::AdviceRow> m_approved;
  Duration m_valid{};  ///< Of each ticket.
};

[[nodiscard]] Result<AdviceAnswer> DecodeAdviceAnswer(std::string_view aBytes);

/** @return the task that a runner names; an error for any other name. */
[[nodiscard]] Result<sched::TaskKey> DecodeTaskName(std::string_view aName);

/** 16 hexadecimal digits. */
[[nodiscard]] Result<JobId> DecodeJobId(std::string_view aText);

}  // namespace bronze

#endif  // BRONZE_PLATFORM_WIRE_DECODE_H_

/**
 * @file job_cbor.h CBOR form of the stored rows of jobs. A job's spec
 * has the same form in messages between daemons.
 */

#ifndef BRONZE_CODEC_JOB_CBOR_H_
#define BRONZE_CODEC_JOB_CBOR_H_

#include <string>
#include <string_view>

#include "core/error/error_type.h"
#include "core/sched/commit_cmd.h"

namespace bronze {

[[nodiscard]] std::string EncodeJobSpec(const sched::JobSpec& aSpec);
[[nodiscard]] Result<sched::JobSpec> DecodeJobSpec(std::string_view aBytes);

[[nodiscard]] std::string EncodeJobState(const sched::StoredState& aState);
[[nodiscard]] Result<sched::StoredState> DecodeJobState(
    std::string_view aBytes);

/** Some tasks of a divided job; see core/sched/stored_state_type.h. */
[[nodiscard]] std::string EncodeTaskBlock(const sched::StoredTaskBlock& aBlock);
[[nodiscard]] Result<sched::StoredTaskBlock> DecodeTaskBlock(
    std::string_view aBytes);

/** Measured interference between images; one row per cell. */
[[nodiscard]] std::string EncodeInterference(
    const sched::StoredInterference& aInterference);
[[nodiscard]] Result<sched::StoredInterference> DecodeInterference(
    std::string_view aBytes);

}  // namespace bronze

#endif  // BRONZE_CODEC_JOB_CBOR_H_

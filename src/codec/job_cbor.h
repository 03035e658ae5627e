/**
 * @file job_cbor.h Stored rows of jobs, and jobs on their way between daemons,
 * in CBOR.
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

/** What was learned about harm between images; one row a cell. */
[[nodiscard]] std::string EncodeHarm(const sched::StoredHarm& aHarm);
[[nodiscard]] Result<sched::StoredHarm> DecodeHarm(std::string_view aBytes);

/** A runner that does not answer the owner, and when its lease has ended. */
struct SilentRow {
  RunnerId m_runner;
  StoreMillis m_lapsesAt;
};

/** The row that names the owner of a cell. Its version in the store is checked
 *  by every transaction of the owner. */
struct OwnerRow {
  std::string m_vm;
  uint64_t m_incarnation = 0;
  std::string m_address;    ///< Where other daemons reach it.
  uint64_t m_sequence = 0;  ///< Rises with each transaction of the owner.
  double m_cpuShare = 0.0;  ///< Of the VM, of one core; 0: not said.
  Duration m_lease{};       ///< Longest that was ordered in this cell.
  std::vector<SilentRow> m_silent;  ///< See core/sched/silence_cmd.h.
};

[[nodiscard]] std::string EncodeOwnerRow(const OwnerRow& aRow);
[[nodiscard]] Result<OwnerRow> DecodeOwnerRow(std::string_view aBytes);

}  // namespace bronze

#endif  // BRONZE_CODEC_JOB_CBOR_H_

/**
 * @file job_cbor.h CBOR form of the stored rows of jobs and cells. A job's spec
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

/** Measured interference between images; one row per cell. */
[[nodiscard]] std::string EncodeHarm(const sched::StoredHarm& aInterference);
[[nodiscard]] Result<sched::StoredHarm> DecodeHarm(std::string_view aBytes);

/** An unresponsive runner, and the time by which its lease has ended. */
struct SilentRow {
  RunnerId m_runner;
  StoreMillis m_lapsesAt;
};

/**
 * The row that names the owner of a cell. Each transaction of the owner checks
 * the version of this row in the store.
 */
struct OwnerRow {
  std::string m_vm;
  uint64_t m_incarnation = 0;
  std::string m_address;    ///< IP:PORT for calls of other daemons.
  uint64_t m_sequence = 0;  ///< Rises with each transaction of the owner.
  double m_cpuShare = 0.0;  ///< Of the VM, in cores; 0: unknown.
  Duration m_lease{};       ///< Longest lease used in this cell.
  /** Unresponsive runners; see core/sched/silence_cmd.h. */
  std::vector<SilentRow> m_silent;
};

[[nodiscard]] std::string EncodeOwnerRow(const OwnerRow& aRow);
[[nodiscard]] Result<OwnerRow> DecodeOwnerRow(std::string_view aBytes);

}  // namespace bronze

#endif  // BRONZE_CODEC_JOB_CBOR_H_

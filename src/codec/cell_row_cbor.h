/**
 * @file cell_row_cbor.h CBOR form of the stored rows of cells: their owners,
 * heartbeats, layout and routes.
 */

#ifndef BRONZE_CODEC_CELL_ROW_CBOR_H_
#define BRONZE_CODEC_CELL_ROW_CBOR_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/error/error_type.h"
#include "core/sched/cell_layout_type.h"
#include "core/sched/claim_type.h"
#include "core/sched/commit_cmd.h"

namespace bronze {

/** An unresponsive runner, and the time by which its lease has ended. */
struct UnresponsiveRunnerRow {
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
  sched::VmCapability m_capability;  ///< Of the VM.
  Duration m_longestLease{};         ///< Longest lease used in this cell.
  /** Unresponsive runners; see core/sched/unresponsive_runner_cmd.h. */
  std::vector<UnresponsiveRunnerRow> m_unresponsive;
  // Earlier builds write rows without the following fields and skip them.
  /** Named by an owner that has handed the cell over; else empty. */
  std::string m_successor;
  /** Of the largest VM that has lately asked for the cell. */
  sched::VmCapability m_largestAsker;
};

[[nodiscard]] std::string EncodeOwnerRow(const OwnerRow& aRow);
[[nodiscard]] Result<OwnerRow> DecodeOwnerRow(std::string_view aBytes);

/**
 * The heartbeat of a cell's owner. The heartbeats of all cells are in one part
 * of the store, so that a VM reads them in one call. An owner sends starts only
 * within a time after its last acknowledged heartbeat.
 */
struct HeartbeatRow {
  std::string m_vm;  ///< Empty: the cell was handed over.
  uint64_t m_incarnation = 0;
  std::string m_address;    ///< IP:PORT for calls of other daemons.
  uint64_t m_sequence = 0;  ///< Rises with each heartbeat of the owner.
  sched::VmCapability m_capability;  ///< Of the VM.
  FencingToken m_term;               ///< Version of the owner row at the claim.
  sched::CellLoad m_load;
  /** As in the owner row; earlier builds write rows without it. */
  std::string m_successor;
};

[[nodiscard]] std::string EncodeHeartbeatRow(const HeartbeatRow& aRow);
[[nodiscard]] Result<HeartbeatRow> DecodeHeartbeatRow(std::string_view aBytes);

/** The number of cells, or the VM that is counting runners to determine it. */
struct LayoutRow {
  sched::CellLayout m_layout;
  std::string m_countingVm;  ///< Set while m_layout is not known.
};

[[nodiscard]] std::string EncodeLayoutRow(const LayoutRow& aRow);
[[nodiscard]] Result<LayoutRow> DecodeLayoutRow(std::string_view aBytes);

[[nodiscard]] std::string EncodeRoute(const sched::StoredRoute& aRoute);
[[nodiscard]] Result<sched::StoredRoute> DecodeRoute(std::string_view aBytes);

}  // namespace bronze

#endif  // BRONZE_CODEC_CELL_ROW_CBOR_H_

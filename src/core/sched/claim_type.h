/**
 * @file claim_type.h What a VM can carry, and what is known when it may claim
 * a cell or ask for one.
 */

#ifndef BRONZE_CORE_SCHED_CLAIM_TYPE_H_
#define BRONZE_CORE_SCHED_CLAIM_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"

namespace bronze::sched {

using KilobitsPerSecond = Quantity<struct KilobitsPerSecondTag>;

/** What a VM may use; a row of an earlier build lacks some of it. */
struct VmCapability {
  Millicores m_cpu;          ///< 0: unknown.
  KilobitsPerSecond m_link;  ///< 0: unknown.

  friend bool operator==(const VmCapability&, const VmCapability&) = default;
};

/** A VM and the cells that it owns beside the one that is decided on. */
struct KnownVm {
  VmCapability m_capability;
  size_t m_otherCells = 0;
};

/** A VM that considers the claim of a cell without a live owner. */
struct ClaimView {
  VmId m_vm;
  CellId m_cell;
  KnownVm m_own;  ///< Its other cells are those that it owns or claims.
  VmCapability m_lastOwner;
  /** The last owner, one that has asked it for the cell, and owners of other
   *  cells. */
  std::vector<KnownVm> m_known;
  VmId m_successor;  ///< That the former owner has named; may be empty.
};

/** What made a VM wait with its claim for longer than the usual spread. */
enum class ClaimReason : uint8_t {
  Spread,
  Successor,
  SmallerVm,
  OtherSuccessor
};

struct ClaimDelay {
  Duration m_delay{};
  ClaimReason m_reason = ClaimReason::Spread;
};

/** A VM that considers to ask the owner of a cell for it. */
struct AskView {
  KnownVm m_own;  ///< Its other cells include those that it asks for.
  KnownVm m_owner;
  /** Quick reads of the store in a row, up to the last one. */
  uint32_t m_goodReads = 0;
  std::optional<TimePoint> m_lostAt;  ///< When it lost this cell unwillingly.
  TimePoint m_notBefore;              ///< Pause after the last request.
};

/** A VM's request for a cell. */
struct HandoverRequest {
  VmId m_vm;
  Incarnation m_incarnation;
  VmCapability m_capability;

  friend bool operator==(const HandoverRequest&,
                         const HandoverRequest&) = default;
};

/** The owner that is asked for its cell. */
struct HandoverView {
  VmCapability m_own;
  std::optional<TimePoint> m_schedulingSince;  ///< Not set: it still loads.
  bool m_isReleasing = false;
  bool m_wasHandedOver = false;  ///< This term began by a handover.
  /** Heartbeats and commits are acknowledged. */
  bool m_storeResponds = false;
  // The owner before this one, if it did not release the cell.
  VmId m_lostBy;
  Incarnation m_lostByIncarnation;
};

enum class HandoverAnswer : uint8_t {
  Accepted,
  GainTooSmall,
  Loading,
  Releasing,
  TermTooShort,
  StoreUnavailable,
  LostItLately,
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_CLAIM_TYPE_H_

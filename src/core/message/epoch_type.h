/**
 * @file epoch_type.h Table rows that coordinate the entry VMs.
 */

#ifndef BRONZE_CORE_MESSAGE_EPOCH_TYPE_H_
#define BRONZE_CORE_MESSAGE_EPOCH_TYPE_H_

#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace bronze {

/** An entry VM as a member of one epoch. */
struct Member {
  VmId m_vm;
  /** A later incarnation of the VM is not a member of this epoch. */
  Incarnation m_incarnation;
  DataCentreId m_dataCentre;

  friend auto operator<=>(const Member&, const Member&) = default;
};

/**
 * The durations of one epoch. They are part of the row because the next owner
 * of a unit must wait for as long as the previous one relies on its authority,
 * even if a change of the settings has not reached both of them yet.
 */
struct EpochTimes {
  Duration m_lease = seconds(4);         ///< Of an acknowledged commit.
  Duration m_confirmation = seconds(3);  ///< Of an echoed heartbeat.

  friend bool operator==(const EpochTimes&, const EpochTimes&) = default;
};

/** An unsettled epoch: a later one is committed, but a member may still hold
 * valid authority in this one. */
struct EarlierEpoch {
  Epoch m_epoch;
  std::vector<Member> m_members;  ///< Sorted by VM id.
  EpochTimes m_times;

  friend bool operator==(const EarlierEpoch&, const EarlierEpoch&) = default;
};

/** The row epoch/REGION. Once committed, the content for an epoch number never
 * changes. */
struct EpochRow {
  Epoch m_epoch;                  ///< 0: no epoch yet.
  std::vector<Member> m_members;  ///< Sorted by VM id, without duplicates.
  EpochTimes m_times;
  std::vector<EarlierEpoch> m_unsettled;  ///< Ascending, all before m_epoch.

  friend bool operator==(const EpochRow&, const EpochRow&) = default;
};

/** The row lease/VM. Every group commit of the VM writes it. */
struct LeaseRow {
  VmId m_vm;
  Incarnation m_incarnation;
  Epoch m_epoch;  ///< The VM's adopted epoch when it sent the commit.
  CommitSequence m_sequence;
  ConfigVersion m_configHeld;
  /** The VM no longer acts for any unit in this or an earlier epoch. */
  Epoch m_releasedThrough;

  friend bool operator==(const LeaseRow&, const LeaseRow&) = default;
};

}  // namespace bronze

#endif  // BRONZE_CORE_MESSAGE_EPOCH_TYPE_H_

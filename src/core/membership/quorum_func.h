/**
 * @file quorum_func.h Majorities of a list of members.
 */

#ifndef BRONZE_CORE_MEMBERSHIP_QUORUM_FUNC_H_
#define BRONZE_CORE_MEMBERSHIP_QUORUM_FUNC_H_

#include <cstddef>

#include "core/message/epoch_type.h"

namespace bronze {

/** @return the member with this id, or null. */
[[nodiscard]] inline const Member* FindMember(
    const std::vector<Member>& aMembers, const VmId& aVm) {
  for (const Member& member : aMembers) {
    if (member.m_vm == aVm) return &member;
  }
  return nullptr;
}

/** @return how many of aCount members make a majority. */
[[nodiscard]] constexpr size_t MajorityOf(size_t aCount) {
  return aCount / 2 + 1;
}

/**
 * @return how many of aCount members must be missing so that the others are no
 * longer a majority. For an even count this is one less than a majority: of two
 * members, one that stops confirming is enough.
 */
[[nodiscard]] constexpr size_t BlockingCountOf(size_t aCount) {
  return aCount - MajorityOf(aCount) + 1;
}

}  // namespace bronze

#endif  // BRONZE_CORE_MEMBERSHIP_QUORUM_FUNC_H_

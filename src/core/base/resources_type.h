/**
 * @file resources_type.h Amounts of cores, memory and accelerators.
 */

#ifndef BRONZE_CORE_BASE_RESOURCES_TYPE_H_
#define BRONZE_CORE_BASE_RESOURCES_TYPE_H_

#include "core/base/strong_type.h"

namespace bronze {

using Millicores = Quantity<struct MillicoresTag>;  ///< 1000 are one core.
using Mebibytes = Quantity<struct MebibytesTag>;
using Accelerators = Quantity<struct AcceleratorsTag>;  ///< Whole devices.
/** Number of requests that a runner can run at the same time. */
using Slots = Quantity<struct SlotsTag>;

/** Resources that a VM has or that a task needs. */
struct Resources {
  Millicores m_cores;
  Mebibytes m_memory;
  Accelerators m_accelerators;

  Resources& operator+=(const Resources& aOther) {
    m_cores += aOther.m_cores;
    m_memory += aOther.m_memory;
    m_accelerators += aOther.m_accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& aOther) {
    m_cores -= aOther.m_cores;
    m_memory -= aOther.m_memory;
    m_accelerators -= aOther.m_accelerators;
    return *this;
  }
  friend Resources operator+(Resources aLeft, const Resources& aRight) {
    return aLeft += aRight;
  }
  friend Resources operator-(Resources aLeft, const Resources& aRight) {
    return aLeft -= aRight;
  }
  friend bool operator==(const Resources&, const Resources&) = default;
};

/** Whether aNeed fits into aFree in every dimension. */
[[nodiscard]] inline bool Fits(const Resources& aNeed, const Resources& aFree) {
  return aNeed.m_cores <= aFree.m_cores && aNeed.m_memory <= aFree.m_memory &&
         aNeed.m_accelerators <= aFree.m_accelerators;
}

}  // namespace bronze

#endif  // BRONZE_CORE_BASE_RESOURCES_TYPE_H_

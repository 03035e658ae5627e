/**
 * @file fault_func.h Lookup of faults by kind, VM or name.
 */

#ifndef BRONZE_STANDIN_FAULT_FUNC_H_
#define BRONZE_STANDIN_FAULT_FUNC_H_

#include <optional>
#include <string_view>

#include "standin/fault_type.h"

namespace bronze {

/** @return the fault active for the VM, else for every VM; null if none is. */
[[nodiscard]] const Fault* FindFault(const FaultState& aFaults, FaultKind aKind,
                                     const std::string& aVm);

[[nodiscard]] inline bool IsFaulty(const FaultState& aFaults, FaultKind aKind,
                                   const std::string& aVm) {
  return FindFault(aFaults, aKind, aVm) != nullptr;
}

/** @return nothing if no fault has this name. */
[[nodiscard]] std::optional<FaultKind> FaultFromName(std::string_view aName);

}  // namespace bronze

#endif  // BRONZE_STANDIN_FAULT_FUNC_H_

/**
 * @file fault_func.cpp Lookup of faults by kind, VM or name.
 */

#include "standin/fault_func.h"

#include <algorithm>

#include "standin/table/fault_name.h"

namespace bronze {

const Fault* FindFault(const FaultState& aFaults, FaultKind aKind,
                       const std::string& aVm) {
  auto it = aFaults.m_active.find({aKind, aVm});
  if (it == aFaults.m_active.end()) it = aFaults.m_active.find({aKind, {}});
  return it == aFaults.m_active.end() ? nullptr : &it->second;
}

std::optional<FaultKind> FaultFromName(std::string_view aName) {
  const auto* const found =
      std::find(kFaultNames.begin(), kFaultNames.end(), aName);
  if (found == kFaultNames.end()) return std::nullopt;
  return static_cast<FaultKind>(found - kFaultNames.begin());
}

}  // namespace bronze

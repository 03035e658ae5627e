/**
 * @file standin_base.cpp Queries that combine VM list, settings and faults.
 */

#include "standin/standin_base.h"

#include "standin/fault_func.h"

namespace bronze {

Duration VmListLag(const StandinState& aState) {
  const Fault* const late =
      FindFault(aState.m_faults, FaultKind::VmListLate, {});
  return aState.m_settings.m_vmListLag +
         (late != nullptr ? late->m_delay : Duration::zero());
}

std::optional<TimePoint> ListedLeavingSince(const StandinState& aState,
                                            const std::string& aVm) {
  // Daemons learn that a VM is leaving only from the list, so the time counts
  // from when the list shows it, and not at all while the list is down.
  if (IsFaulty(aState.m_faults, FaultKind::VmListDown, {})) return std::nullopt;
  const auto since = LeavingSince(aState.m_vms, aVm);
  if (!since) return std::nullopt;
  return *since + VmListLag(aState);
}

}  // namespace bronze

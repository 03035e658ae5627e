/**
 * @file vm_registry.cpp All states of the platform's VMs, for a list that lags.
 */

#include "standin/vm_registry.h"

namespace bronze {

void SetVm(VmRegistry& aRegistry, VmInfo aVm, TimePoint aNow) {
  auto& changes = aRegistry.m_changes[aVm.m_id];
  changes.push_back({aNow, std::move(aVm)});
}

std::optional<VmInfo> FindVm(const VmRegistry& aRegistry,
                             const std::string& aVm) {
  const auto found = aRegistry.m_changes.find(aVm);
  if (found == aRegistry.m_changes.end()) return std::nullopt;
  return found->second.back().m_vm;
}

std::vector<VmInfo> VmsAt(const VmRegistry& aRegistry, TimePoint aTime) {
  std::vector<VmInfo> vms;
  for (const auto& [id, changes] : aRegistry.m_changes) {
    const VmChange* latest = nullptr;
    for (const VmChange& change : changes) {
      if (change.m_at <= aTime) latest = &change;
    }
    if (latest != nullptr) vms.push_back(latest->m_vm);
  }
  return vms;
}

std::optional<TimePoint> LeavingSince(const VmRegistry& aRegistry,
                                      const std::string& aVm) {
  const auto found = aRegistry.m_changes.find(aVm);
  if (found == aRegistry.m_changes.end()) return std::nullopt;
  std::optional<TimePoint> since;
  for (const VmChange& change : found->second) {
    if (change.m_vm.m_state == VmState::Live) {
      since.reset();
    } else if (!since) {
      since = change.m_at;
    }
  }
  return since;
}

}  // namespace bronze

/**
 * @file vm_registry.h All states of the platform's VMs, for a list that lags.
 */

#ifndef BRONZE_STANDIN_VM_REGISTRY_H_
#define BRONZE_STANDIN_VM_REGISTRY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/message/platform_type.h"

namespace bronze {

/** A VM as it is from m_at on, until its next change. */
struct VmChange {
  TimePoint m_at;
  VmInfo m_vm;
};

/** The history of each VM, by VM id. */
struct VmRegistry {
  std::map<std::string, std::vector<VmChange>> m_changes;  ///< Oldest first.
};

void SetVm(VmRegistry& aRegistry, VmInfo aVm, TimePoint aNow);

/** @return the VM's latest state; nothing if it is unknown. */
[[nodiscard]] std::optional<VmInfo> FindVm(const VmRegistry& aRegistry,
                                           const std::string& aVm);

/** @return the VMs that existed at aTime, as they were then. */
[[nodiscard]] std::vector<VmInfo> VmsAt(const VmRegistry& aRegistry,
                                        TimePoint aTime);

/** @return since when the VM has not been live; nothing while it is. */
[[nodiscard]] std::optional<TimePoint> LeavingSince(const VmRegistry& aRegistry,
                                                    const std::string& aVm);

}  // namespace bronze

#endif  // BRONZE_STANDIN_VM_REGISTRY_H_

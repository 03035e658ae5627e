/**
 * @file node_policy.h Settings of the scheduler's parts, derived from those of
 * the VM.
 */

#ifndef BRONZE_SCHEDULER_NODE_POLICY_H_
#define BRONZE_SCHEDULER_NODE_POLICY_H_

#include "platform/node_config.h"
#include "scheduler/cell_owner.h"
#include "scheduler/layout_keeper.h"
#include "scheduler/table_watch.h"

namespace bronze {

/** @return what this VM can carry, for claims and handovers of cells. */
[[nodiscard]] sched::VmCapability CapabilityOf(const NodeConfig& aConfig);

[[nodiscard]] OwnerSettings OwnerSettingsOf(const NodeConfig& aConfig);

/** @param aRunnersPerCell 0: as many as a VM like this one can serve. */
[[nodiscard]] LayoutPolicy LayoutPolicyOf(const NodeConfig& aConfig,
                                          size_t aRunnersPerCell);

/** @return how often the configuration is asked for, so that it is in force in
 *          time even if one connection stops responding. */
[[nodiscard]] WatchTiming ConfigWatchTiming(const NodeConfig& aConfig);

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_NODE_POLICY_H_

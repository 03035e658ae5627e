/**
 * @file setting_relation.h Table of the rules that two settings must satisfy.
 */

#ifndef BRONZE_CORE_CONFIG_TABLE_SETTING_RELATION_H_
#define BRONZE_CORE_CONFIG_TABLE_SETTING_RELATION_H_

#include "core/config/setting_type.h"

namespace bronze {

inline constexpr SettingRelation kSettingRelations[] = {
    {"request.default_window", 1, false, "request.max_window",
     "at most request.max_window", "longer windows are shortened"},
    {"request.kinds.*.expected_run_time", 1, false, "request.max_window",
     "at most request.max_window",
     "every request of the kind would be rejected"},
    {"batch.lease_renewal", 2, true, "batch.task_lease",
     "below half of batch.task_lease", "one lost renewal would end the lease"},
    {"coordination.heartbeat_interval", 3, false, "coordination.suspect_after",
     "at most a third of coordination.suspect_after",
     "two lost heartbeats would make a peer suspected"},
    {"coordination.heartbeat_interval", 2, false,
     "coordination.confirmation_duration",
     "at most half of coordination.confirmation_duration",
     "one lost heartbeat would end the authority during an outage"},
    {"coordination.commit_interval", 2, false, "coordination.lease_duration",
     "at most half of coordination.lease_duration",
     "one lost commit would end the authority"},
};

}  // namespace bronze

#endif  // BRONZE_CORE_CONFIG_TABLE_SETTING_RELATION_H_

/**
 * @file live_config_type.h The operators' configuration in force: queues and
 * their pools of runners.
 */

#ifndef BRONZE_CORE_SCHED_LIVE_CONFIG_TYPE_H_
#define BRONZE_CORE_SCHED_LIVE_CONFIG_TYPE_H_

#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/sched/job_type.h"

namespace bronze::sched {

struct QueueConfig {
  QueueId m_id;
  std::string m_host;  ///< Lower case, without a port.
  /** A request belongs to the queue with the longest matching prefix. */
  std::string m_pathPrefix;
  QueuePolicy m_policy;
};

struct PoolConfig {
  ServiceId m_id;
  /** Its runners refuse tasks that exceed their capacity. */
  bool m_rejectsOverload = false;
};

struct LiveConfig {
  ConfigVersion m_version;  ///< 0: none was read yet.
  std::vector<QueueConfig> m_queues;
  std::vector<PoolConfig> m_pools;
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_LIVE_CONFIG_TYPE_H_

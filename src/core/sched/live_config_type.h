/**
 * @file live_config_type.h The operators' configuration in force: queues and
 * the pools of runners that serve them.
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
  std::string m_host;        ///< Lower case; without a port.
  std::string m_pathPrefix;  ///< The longest one that fits selects the queue.
  QueuePolicy m_policy;
};

struct PoolConfig {
  ServiceId m_id;
  bool m_rejectsOverload = false;  ///< Its runners refuse what does not fit.
};

struct LiveConfig {
  ConfigVersion m_version;  ///< 0: none was read yet.
  std::vector<QueueConfig> m_queues;
  std::vector<PoolConfig> m_pools;
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_LIVE_CONFIG_TYPE_H_

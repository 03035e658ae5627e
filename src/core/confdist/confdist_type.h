/**
 * @file confdist_type.h Effects of the distribution of the configuration.
 */

#ifndef BRONZE_CORE_CONFDIST_CONFDIST_TYPE_H_
#define BRONZE_CORE_CONFDIST_CONFDIST_TYPE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace bronze {

/** Identifies an operator's call that waits until a version is distributed. */
using OperatorCallId = NumberId<struct OperatorCallIdTag>;

/** Send ConfigPush with the held version to this peer. */
struct PushConfig {
  VmId m_to;
};

/** Ask this peer for its held version. */
struct PullConfig {
  VmId m_from;
  ConfigVersion m_atLeast;
};

/** Read config/VERSION from the table. */
struct ReadConfigRow {
  ConfigVersion m_version;
};

/** Scan the lease rows, which show the versions that unreachable peers hold. */
struct ReadLeaseRows {};

/** Apply the configuration in m_text; it is in force from now on. */
struct ApplyConfig {
  ConfigVersion m_version;
  std::string m_text;
};

/** Send heartbeats at once, so that the peers learn the held version before the
 * next interval. */
struct SendHeartbeatNow {};

/** Answer the operator's call that committed the version. */
struct AnswerOperator {
  OperatorCallId m_call;
  ConfigVersion m_version;
  size_t m_inForce = 0;  ///< Members, self included, that have it in force.
  size_t m_members = 0;
};

/** The daemon has the required configuration in force and may serve. */
struct ConfigReady {};

using ConfdistEffect =
    std::variant<PushConfig, PullConfig, ReadConfigRow, ReadLeaseRows,
                 ApplyConfig, SendHeartbeatNow, AnswerOperator, ConfigReady>;
using ConfdistEffects = std::vector<ConfdistEffect>;

/** The version in force on one VM, as shown to operators. */
struct ConfigStatus {
  VmId m_vm;
  ConfigVersion m_inForce;
  Duration m_seenAgo = Duration::zero();  ///< Since its last heartbeat.
};

}  // namespace bronze

#endif  // BRONZE_CORE_CONFDIST_CONFDIST_TYPE_H_

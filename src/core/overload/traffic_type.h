/**
 * @file traffic_type.h What incoming connections occupy, and what they may.
 */

#ifndef BRONZE_CORE_OVERLOAD_TRAFFIC_TYPE_H_
#define BRONZE_CORE_OVERLOAD_TRAFFIC_TYPE_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/base/resources_type.h"
#include "core/base/strong_type.h"

namespace bronze {

using ByteCount = Quantity<struct ByteCountTag>;
using ConnectionId = NumberId<struct ConnectionIdTag>;
/** IP address of the other end of a connection. */
using ClientAddress = NameId<struct ClientAddressTag>;
/** Order in which connections made progress. */
using ActivityNumber = Sequence<struct ActivityTag>;

/** Who connects; each role has room of its own. */
enum class ConnectionRole : uint8_t { Caller, Peer, Ready, Metrics };
inline constexpr size_t kConnectionRoleCount = 4;

enum class ConnectionStage : uint8_t {
  Idle,        ///< Between two calls.
  Reading,     ///< A part of a call has been read.
  InProgress,  ///< The call is complete and has no reply yet.
  Replying,    ///< The reply has not been taken whole by the other end.
};

/** One incoming connection. */
struct ConnectionUse {
  ConnectionId m_id;
  ClientAddress m_client;
  ConnectionStage m_stage = ConnectionStage::Idle;
  ByteCount m_bytes;              ///< Held for its call or reply.
  ActivityNumber m_lastActivity;  ///< Begin of its stage.
};

/** What the machine grants to the process. The defaults are the lowest that
 *  the platform documents. */
struct ProcessLimits {
  Mebibytes m_memory = Mebibytes(160);
  size_t m_descriptors = 4100;

  friend bool operator==(const ProcessLimits&, const ProcessLimits&) = default;
};

/** Bounds on all connections of a process together. */
struct TrafficLimits {
  ByteCount m_callBytes;   ///< Calls and replies of incoming connections.
  ByteCount m_replyBytes;  ///< Replies that the process reads as a client.
  std::array<size_t, kConnectionRoleCount> m_connections = {};  ///< By role.
};

}  // namespace bronze

#endif  // BRONZE_CORE_OVERLOAD_TRAFFIC_TYPE_H_

/**
 * @file reply_match_type.h Where a reply came from: the connection, its place
 * there and the server's clock.
 */

#ifndef BRONZE_CORE_MESSAGE_REPLY_MATCH_TYPE_H_
#define BRONZE_CORE_MESSAGE_REPLY_MATCH_TYPE_H_

#include <cstdint>
#include <optional>

#include "core/base/strong_type.h"
#include "core/base/time_type.h"

namespace bronze {

/** Number of a connection among those that one client has opened. */
using ConnectionNumber = Sequence<struct ConnectionNumberTag>;
/** Whole milliseconds on a server's steady clock. */
using ServerMillis = Quantity<struct ServerMillisTag>;

struct ReplyOrigin {
  ConnectionNumber m_connection;
  uint32_t m_earlierReplies = 0;  ///< Read on the connection before.
  /** The server's clock when it made the reply; empty: the reply tells none. */
  std::optional<ServerMillis> m_clock;
};

}  // namespace bronze

#endif  // BRONZE_CORE_MESSAGE_REPLY_MATCH_TYPE_H_

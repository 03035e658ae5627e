/**
 * @file reply_match_type.h Where a reply came from, and what shows that it is
 * that of its call.
 */

#ifndef BRONZE_CORE_MESSAGE_REPLY_MATCH_TYPE_H_
#define BRONZE_CORE_MESSAGE_REPLY_MATCH_TYPE_H_

#include <cstdint>
#include <optional>

#include "core/base/strong_type.h"
#include "core/base/time_type.h"

namespace bronze {

/** Number of a call among those of one client. */
using CallNumber = Sequence<struct CallNumberTag>;
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

/** What a reply says about its call. */
struct ReplyMark {
  /** The call's number, which the server has copied from the call. */
  std::optional<CallNumber> m_call;
  /** The server's clock when it made the reply. */
  std::optional<ServerMillis> m_clock;
  bool m_hasBody = false;
};

/** The replies that were read on one connection. */
struct ReplyHistory {
  uint32_t m_replies = 0;
  /** Highest of them; each reply on a kept connection had a mark. */
  std::optional<ServerMillis> m_newestClock;
  TimePoint m_lastReplyAt;
  /** The server's clock was not before this when the last call was sent. */
  std::optional<ServerMillis> m_clockAtSend;
};

enum class ReplyMatch : uint8_t {
  Matches,
  Repeated,  ///< It has the mark of an earlier reply.
  TooEarly,  ///< It was made before the call was sent.
  Unmarked,  ///< It is not the first reply and has no mark.
};

}  // namespace bronze

#endif  // BRONZE_CORE_MESSAGE_REPLY_MATCH_TYPE_H_

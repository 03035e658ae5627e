/**
 * @file forward_table.h HTTP calls forwarded to other entry VMs.
 */

#ifndef BRONZE_DAEMON_FORWARD_TABLE_H_
#define BRONZE_DAEMON_FORWARD_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "core/base/time_type.h"
#include "net/http_type.h"

namespace bronze {

/** Forwarded calls that await the reply of another daemon. */
class ForwardTable {
 public:
  /** Gets the reply, or nullptr if none arrived in time. */
  using Handler = std::function<void(const HttpReply* aReply)>;

  /** @return the call number, which the reply must repeat. */
  uint64_t Add(TimePoint aDeadline, Handler aHandler);

  /** Passes the reply to its handler; ignores late and repeated replies. */
  void Answer(uint64_t aCall, const HttpReply& aReply);

  /** Ends the calls whose deadline has passed. */
  void Expire(TimePoint aNow);

 private:
  struct PendingCall {
    TimePoint m_deadline;
    Handler m_handler;
  };
  uint64_t m_lastCall = 0;
  std::map<uint64_t, PendingCall> m_pending;
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_FORWARD_TABLE_H_

/**
 * @file reply_budget.h Bound on the replies that a process reads as a client.
 */

#ifndef BRONZE_NET_REPLY_BUDGET_H_
#define BRONZE_NET_REPLY_BUDGET_H_

#include <atomic>
#include <memory>

#include "core/overload/traffic_func.h"

namespace bronze {

/** Shared by all clients of a process. May be used on any thread. */
struct ReplyBudget {
  explicit ReplyBudget(ByteCount aLimit) : m_limit(aLimit) {}

  const ByteCount m_limit;
  std::atomic<int64_t> m_bytes = 0;     ///< Counted ones of all replies.
  std::atomic<size_t> m_replies = 0;    ///< Those with counted bytes.
  std::atomic<uint64_t> m_refused = 0;  ///< Given up beyond a limit, so far.
};

/** What one reply holds while it is read. */
class ReplyShare {
 public:
  explicit ReplyShare(std::shared_ptr<ReplyBudget> aBudget)
      : m_budget(std::move(aBudget)) {}
  ~ReplyShare() { Set(0); }
  ReplyShare(const ReplyShare&) = delete;
  ReplyShare& operator=(const ReplyShare&) = delete;

  /** @return whether the reply may hold this much. */
  bool Set(size_t aBytes) {
    const int64_t bytes =
        CountedBytes(ByteCount(static_cast<int64_t>(aBytes))).Value();
    if (!m_budget || bytes == m_bytes) return true;
    if (m_bytes == 0) ++m_budget->m_replies;
    if (bytes == 0) --m_budget->m_replies;
    m_budget->m_bytes += bytes - m_bytes;
    m_bytes = bytes;
    return MayHoldReply(ByteCount(bytes), ByteCount(m_budget->m_bytes),
                        m_budget->m_replies, m_budget->m_limit);
  }
  void CountRefused() {
    if (m_budget) ++m_budget->m_refused;
  }

 private:
  std::shared_ptr<ReplyBudget> m_budget;  ///< Null: no bound.
  int64_t m_bytes = 0;                    ///< Counted ones.
};

}  // namespace bronze

#endif  // BRONZE_NET_REPLY_BUDGET_H_

/**
 * @file forward_table.cpp HTTP calls forwarded to other entry VMs.
 */

#include "daemon/forward_table.h"

#include <vector>

namespace bronze {

uint64_t ForwardTable::Add(TimePoint aDeadline, Handler aHandler) {
  m_pending.emplace(++m_lastCall, PendingCall{aDeadline, std::move(aHandler)});
  return m_lastCall;
}

void ForwardTable::Answer(uint64_t aCall, const HttpReply& aReply) {
  auto waiting = m_pending.extract(aCall);
  if (waiting) waiting.mapped().m_handler(&aReply);
}

void ForwardTable::Expire(TimePoint aNow) {
  std::vector<Handler> expired;
  for (auto entry = m_pending.begin(); entry != m_pending.end();) {
    if (entry->second.m_deadline > aNow) {
      ++entry;
      continue;
    }
    expired.push_back(std::move(entry->second.m_handler));
    entry = m_pending.erase(entry);
  }
  for (const Handler& handler : expired) handler(nullptr);
}

}  // namespace bronze

/**
 * @file connection_table.cpp The incoming connections of a process and what
 * they hold.
 */

#include "net/connection_table.h"

#include <algorithm>

#include "core/metrics/counter_func.h"
#include "core/overload/traffic_func.h"

namespace bronze {

namespace {

/** Part of the total that becomes free at once, and of the connections of a
 *  role that are closed at once. The choice looks at all connections, so it is
 *  not made for each call. */
constexpr int64_t kFreedShare = 8;
constexpr size_t kClosedShare = 64;
/** Part of a role's room that connections may take beyond it while others are
 *  being closed. */
constexpr size_t kSlackShare = 8;

}  // namespace

ConnectionTable::ConnectionTable(const TrafficLimits& aLimits,
                                 Counters& aCounters)
    : m_limits(aLimits), m_counters(aCounters) {}

std::vector<ConnectionUse> ConnectionTable::Uses(
    std::optional<ConnectionRole> aRole) const {
  std::vector<ConnectionUse> uses;
  uses.reserve(m_entries.size());
  for (const auto& [id, entry] : m_entries) {
    if (entry->m_closing || (aRole && entry->m_role != *aRole)) continue;
    uses.push_back({id, entry->m_client, entry->m_stage,
                    ByteCount(entry->m_bytes),
                    ActivityNumber(entry->m_lastActivity)});
  }
  return uses;
}

void ConnectionTable::MarkClosing(const std::vector<ConnectionId>& aIds,
                                  CounterId aCounter, Closables& aClosables) {
  for (const ConnectionId id : aIds) {
    Entry& entry = *m_entries.at(id);
    auto connection = entry.m_connection.lock();
    if (!connection) continue;
    entry.m_closing = true;
    entry.m_closingBytes = entry.m_bytes;
    m_closingBytes += entry.m_closingBytes;
    ++m_roles[static_cast<size_t>(entry.m_role)].m_closing;
    Count(m_counters, aCounter);
    aClosables.push_back(std::move(connection));
  }
}

std::unique_ptr<ConnectionTicket> ConnectionTable::Admit(
    ConnectionRole aRole, const ClientAddress& aClient) {
  Closables closables;
  std::unique_ptr<ConnectionTicket> ticket;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const size_t room = m_limits.m_connections[static_cast<size_t>(aRole)];
    RoleCount& count = m_roles[static_cast<size_t>(aRole)];
    if (count.m_open - count.m_closing >= room) {
      MarkClosing(
          ChooseForRoom(Uses(aRole), std::max<size_t>(room / kClosedShare, 1)),
          CounterId::ConnectionsClosedForRoom, closables);
    }
    if (count.m_open - count.m_closing < room &&
        count.m_open <= room + room / kSlackShare) {
      const ConnectionId id(++m_lastId);
      auto entry = std::make_unique<Entry>();
      entry->m_role = aRole;
      entry->m_client = aClient;
      entry->m_lastActivity = ++m_activity;
      ticket =
          std::make_unique<ConnectionTicket>(shared_from_this(), id, *entry);
      m_entries.emplace(id, std::move(entry));
      ++count.m_open;
    }
  }
  for (const auto& connection : closables) connection->PostClose();
  return ticket;
}

bool ConnectionTable::IsFull() const {
  return m_bytes - m_closingBytes > m_limits.m_callBytes.Value();
}

void ConnectionTable::ShedBytes() {
  Closables closables;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!IsFull()) return;
    const int64_t limit = m_limits.m_callBytes.Value();
    const ByteCount excess(m_bytes - m_closingBytes -
                           (limit - limit / kFreedShare));
    MarkClosing(ChooseForBytes(Uses({}), excess),
                CounterId::ConnectionsClosedForMemory, closables);
  }
  for (const auto& connection : closables) connection->PostClose();
}

void ConnectionTable::Remove(ConnectionId aId) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto at = m_entries.find(aId);
  const Entry& entry = *at->second;
  RoleCount& count = m_roles[static_cast<size_t>(entry.m_role)];
  --count.m_open;
  if (entry.m_closing) {
    --count.m_closing;
    m_closingBytes -= entry.m_closingBytes;
  }
  m_bytes -= entry.m_bytes;
  m_entries.erase(at);
}

ConnectionTicket::ConnectionTicket(std::shared_ptr<ConnectionTable> aTable,
                                   ConnectionId aId,
                                   ConnectionTable::Entry& aEntry)
    : m_table(std::move(aTable)), m_id(aId), m_entry(aEntry) {}

ConnectionTicket::~ConnectionTicket() { m_table->Remove(m_id); }

void ConnectionTicket::SetConnection(
    std::weak_ptr<ClosableConnection> aConnection) {
  const std::lock_guard<std::mutex> lock(m_table->m_mutex);
  m_entry.m_connection = std::move(aConnection);
}

bool ConnectionTicket::Note(ConnectionStage aStage, size_t aBytes) {
  // Only the connection's own thread writes these.
  if (m_entry.m_stage.load(std::memory_order_relaxed) != aStage) {
    m_entry.m_stage.store(aStage, std::memory_order_relaxed);
    m_entry.m_lastActivity.store(
        m_table->m_activity.fetch_add(1, std::memory_order_relaxed),
        std::memory_order_relaxed);
  }
  const int64_t before = m_entry.m_bytes.load(std::memory_order_relaxed);
  const int64_t after =
      CountedBytes(ByteCount(static_cast<int64_t>(aBytes))).Value();
  if (after != before) {
    m_entry.m_bytes.store(after, std::memory_order_relaxed);
    m_table->m_bytes.fetch_add(after - before, std::memory_order_relaxed);
    if (after > before && m_table->IsFull()) m_table->ShedBytes();
  }
  if (m_entry.m_closing) return false;
  return after <= before || !m_table->IsFull();
}

}  // namespace bronze

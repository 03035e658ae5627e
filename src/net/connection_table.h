/**
 * @file connection_table.h The incoming connections of a process and what they
 * hold. Applies the decisions of core/overload to them.
 */

#ifndef BRONZE_NET_CONNECTION_TABLE_H_
#define BRONZE_NET_CONNECTION_TABLE_H_

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/metrics/counter_type.h"
#include "core/overload/traffic_type.h"

namespace bronze {

/** A connection that the table may close. */
class ClosableConnection {
 public:
  virtual ~ClosableConnection() = default;
  /** Closes the connection soon. Callable from any thread. */
  virtual void PostClose() = 0;
};

class ConnectionTicket;

/** Shared by all HTTP servers of a process. May be used on any thread. */
class ConnectionTable : public std::enable_shared_from_this<ConnectionTable> {
 public:
  ConnectionTable(const TrafficLimits& aLimits, Counters& aCounters);

  /** Makes room for a new connection if need be.
   *  @return null if it has to be refused. */
  [[nodiscard]] std::unique_ptr<ConnectionTicket> Admit(
      ConnectionRole aRole, const ClientAddress& aClient);

 private:
  friend class ConnectionTicket;

  struct Entry {
    ConnectionRole m_role = ConnectionRole::Caller;
    ClientAddress m_client;
    std::weak_ptr<ClosableConnection> m_connection;  ///< Guarded by m_mutex.
    std::atomic<ConnectionStage> m_stage = ConnectionStage::Idle;
    std::atomic<int64_t> m_bytes = 0;  ///< Counted ones.
    std::atomic<uint64_t> m_lastActivity = 0;
    std::atomic<bool> m_closing = false;
    int64_t m_closingBytes = 0;  ///< Guarded by m_mutex.
  };
  struct RoleCount {
    size_t m_open = 0;
    size_t m_closing = 0;  ///< Of these.
  };
  using Entries = std::unordered_map<ConnectionId, std::unique_ptr<Entry>>;
  using Closables = std::vector<std::shared_ptr<ClosableConnection>>;

  /** Closes connections if the total is beyond its limit. */
  void ShedBytes();
  [[nodiscard]] bool IsFull() const;
  void Remove(ConnectionId aId);
  /** @return the entries that are not being closed.
   *  @pre m_mutex is held. */
  [[nodiscard]] std::vector<ConnectionUse> Uses(
      std::optional<ConnectionRole> aRole) const;
  /** @pre m_mutex is held. */
  void MarkClosing(const std::vector<ConnectionId>& aIds, CounterId aCounter,
                   Closables& aClosables);

  const TrafficLimits m_limits;
  Counters& m_counters;
  std::atomic<int64_t> m_bytes = 0;         ///< Counted, of all connections.
  std::atomic<int64_t> m_closingBytes = 0;  ///< Of those that are being closed.
  std::atomic<uint64_t> m_activity = 0;
  std::mutex m_mutex;  ///< Guards all below.
  Entries m_entries;
  std::array<RoleCount, kConnectionRoleCount> m_roles = {};
  uint64_t m_lastId = 0;
};

/** The place of one connection in the table; it is given back at the end. */
class ConnectionTicket {
 public:
  ConnectionTicket(std::shared_ptr<ConnectionTable> aTable, ConnectionId aId,
                   ConnectionTable::Entry& aEntry);
  ~ConnectionTicket();
  ConnectionTicket(const ConnectionTicket&) = delete;
  ConnectionTicket& operator=(const ConnectionTicket&) = delete;

  /** From now on, the table may close the connection. */
  void SetConnection(std::weak_ptr<ClosableConnection> aConnection);

  /** Notes what the connection does and holds. Costs no lock unless the total
   *  is beyond its limit.
   *  @return false if the connection must not go on, as the memory for it is
   *  missing or it is being closed. */
  [[nodiscard]] bool Note(ConnectionStage aStage, size_t aBytes);

 private:
  std::shared_ptr<ConnectionTable> m_table;
  ConnectionId m_id;
  ConnectionTable::Entry& m_entry;  ///< Owned by the table.
};

}  // namespace bronze

#endif  // BRONZE_NET_CONNECTION_TABLE_H_

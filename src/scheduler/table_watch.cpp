/**
 * @file table_watch.cpp Reports the rows of one table of the platform's store.
 */

#include "scheduler/table_watch.h"

namespace bronze {

namespace {

/** Longest wait of one call for changes. On a connection that stops responding,
 *  a change is seen only after this wait. A change of the configuration must be
 *  seen within 2 s. */
constexpr Duration kWatchWait = milliseconds(900);
constexpr Duration kReadTimeout = milliseconds(1500);
constexpr Duration kRetryPause = milliseconds(150);

}  // namespace

TableWatch::TableWatch(boost::asio::io_context& aContext, StoreClient& aStore,
                       EventLog& aLog, std::string aTable,
                       TableListener aListener)
    : m_store(aStore),
      m_log(aLog),
      m_table(std::move(aTable)),
      m_listener(std::move(aListener)),
      m_timer(aContext) {}

void TableWatch::Start() { ReadFrom(""); }

void TableWatch::Stop() {
  m_stopped = true;
  m_timer.cancel();
}

void TableWatch::ReadFrom(std::string aFrom) {
  if (m_stopped) return;
  const bool continued = !aFrom.empty();
  if (!continued) m_listed.clear();
  m_store.Read(m_table, "", aFrom, kReadTimeout,
               [self = shared_from_this(), continued](RowsResult aResult) {
                 self->OnRows(std::move(aResult), continued);
               });
}

void TableWatch::OnRows(RowsResult aResult, bool aContinued) {
  if (m_stopped) return;
  if (aResult.m_outcome != StoreOutcome::Done) {
    Retry();
    return;
  }
  if (!m_reachable) {
    m_log.Write("[store]", "table can be read again table={}", m_table);
    m_reachable = true;
  }
  // A large table takes several reads. Rows that change in between are reported
  // by the wait for changes, which starts at the version of the first read.
  if (!aContinued) m_version = aResult.m_version;
  for (const StoreRow& row : aResult.m_rows) {
    m_listed.insert(row.m_key.m_key);
    Apply(row);
  }
  if (aResult.m_truncated && !aResult.m_rows.empty()) {
    // The lowest key after the last one, with its NUL byte URL-encoded.
    ReadFrom(aResult.m_rows.back().m_key.m_key + "%00");
    return;
  }
  const std::set<std::string> known = m_known;
  for (const std::string& key : known) {
    if (m_listed.count(key) > 0) continue;
    m_known.erase(key);
    m_listener.m_removed(key);
  }
  WatchChanges();
}

void TableWatch::WatchChanges() {
  if (m_stopped) return;
  m_store.Watch(m_table, m_version, kWatchWait,
                [self = shared_from_this()](RowsResult aResult) {
                  self->OnChanges(std::move(aResult));
                });
}

void TableWatch::OnChanges(RowsResult aResult) {
  if (m_stopped) return;
  if (aResult.m_outcome == StoreOutcome::HistoryLost) {
    m_log.Write("[store]",
                "changes no longer available, starting over table={} after={}",
                m_table, m_version.Value());
    ReadFrom("");
    return;
  }
  if (aResult.m_outcome != StoreOutcome::Done) {
    Retry();
    return;
  }
  for (const StoreRow& row : aResult.m_rows) Apply(row);
  m_version = std::max(m_version, aResult.m_version);
  WatchChanges();
}

void TableWatch::Retry() {
  if (m_reachable) {
    m_log.Write("[store]", "table cannot be read, retrying table={} version={}",
                m_table, m_version.Value());
    m_reachable = false;
  }
  m_timer.expires_after(kRetryPause);
  m_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code aError) {
        if (!aError) self->ReadFrom("");
      });
}

void TableWatch::Apply(const StoreRow& aRow) {
  if (!aRow.m_key.m_part.empty()) return;
  if (aRow.m_deleted) {
    if (m_known.erase(aRow.m_key.m_key) > 0) {
      m_listener.m_removed(aRow.m_key.m_key);
    }
    return;
  }
  m_known.insert(aRow.m_key.m_key);
  m_listener.m_changed(aRow);
}

}  // namespace bronze

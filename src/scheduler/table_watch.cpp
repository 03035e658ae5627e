/**
 * @file table_watch.cpp Reports the rows of one table of the platform's store.
 */

#include "scheduler/table_watch.h"

#include "scheduler/boot_clock.h"

namespace bronze {

namespace {

constexpr Duration kReadTimeout = milliseconds(1500);
constexpr Duration kRetryPause = milliseconds(150);
/** From this size on, an answer takes noticeable time on a narrow link. */
constexpr size_t kLargeAnswerBytes = size_t{64} << 10;
/** After this many changes for each row, the table is read instead. More
 * changes are made while it is read; if they are made at up to two thirds of
 * the rate at which they can be read, this many suffice to catch up with them.
 */
constexpr size_t kBacklogPerRow = 2;

}  // namespace

TableWatch::TableWatch(boost::asio::io_context& aContext, StoreClient& aStore,
                       EventLog& aLog, std::string aTable, WatchTiming aTiming,
                       TableListener aListener)
    : m_store(aStore),
      m_log(aLog),
      m_table(std::move(aTable)),
      m_listener(std::move(aListener)),
      m_timer(aContext),
      m_timing(aTiming) {}

void TableWatch::Start() { ReadFrom(""); }

void TableWatch::Stop() {
  m_stopped = true;
  m_timer.cancel();
}

void TableWatch::ReadFrom(std::string aFrom) {
  if (m_stopped) return;
  const bool continued = !aFrom.empty();
  // The first of several reads counts: rows that change later are reported by
  // the wait for changes.
  if (!continued) {
    m_listed.clear();
    m_backlog = 0;
    m_askedAt = BootNow();
  }
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
  bool anyChange = false;
  for (const StoreRow& row : aResult.m_rows) {
    m_listed.insert(row.m_key.m_key);
    anyChange = Apply(row) || anyChange;
  }
  if (aResult.m_truncated && !aResult.m_rows.empty()) {
    ReadFrom(KeyAfter(aResult.m_rows.back().m_key.m_key));
    return;
  }
  const std::map<std::string, RowVersion> known = m_known;
  for (const auto& [key, version] : known) {
    if (m_listed.count(key) > 0) continue;
    m_known.erase(key);
    m_listener.m_removed(key);
  }
  Confirm();
  Continue(aResult, anyChange);
}

void TableWatch::Continue(const RowsResult& aResult, bool aAnyChange) {
  size_t bytes = 0;
  for (const StoreRow& row : aResult.m_rows) bytes += row.m_value.size();
  if (m_timing.m_newestOnly && aAnyChange && bytes > kLargeAnswerBytes) {
    ReadFrom("");
    return;
  }
  if (m_timing.m_pause == Duration::zero()) {
    WatchChanges();
    return;
  }
  m_timer.expires_after(m_timing.m_pause);
  m_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code aError) {
        if (!aError) self->WatchChanges();
      });
}

void TableWatch::WatchChanges() {
  if (m_stopped) return;
  m_askedAt = BootNow();
  m_store.Watch(m_table, m_version, m_timing.m_wait,
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
  bool anyChange = false;
  for (const StoreRow& row : aResult.m_rows) {
    anyChange = Apply(row) || anyChange;
  }
  m_version = std::max(m_version, aResult.m_version);
  if (aResult.m_isFull) {
    CatchUp(aResult.m_rows.size());
    return;
  }
  m_backlog = 0;
  Confirm();
  Continue(aResult, anyChange);
}

void TableWatch::CatchUp(size_t aRows) {
  m_backlog += aRows;
  const bool isShorter = m_backlog <= m_known.size() * kBacklogPerRow;
  if (isShorter && !m_timing.m_newestOnly) {
    WatchChanges();
    return;
  }
  m_log.Write("[store]",
              "behind on changes, reading the table table={} version={} "
              "changes_read={} rows={}",
              m_table, m_version.Value(), m_backlog, m_known.size());
  ReadFrom("");
}

void TableWatch::Confirm() {
  m_confirmedAt = m_askedAt;
  if (m_listener.m_confirmed) m_listener.m_confirmed();
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

bool TableWatch::Apply(const StoreRow& aRow) {
  if (!aRow.m_key.m_part.empty()) return false;
  const std::string& key = aRow.m_key.m_key;
  // The store gives all changes of a row in turn, also those before a state
  // that a read of the table has found.
  if (aRow.m_deleted) {
    const auto found = m_known.find(key);
    if (found == m_known.end() || found->second > aRow.m_version) return false;
    m_known.erase(found);
    m_listener.m_removed(key);
    return true;
  }
  RowVersion& known = m_known[key];
  if (known >= aRow.m_version) return false;
  known = aRow.m_version;
  m_listener.m_changed(aRow);
  return true;
}

}  // namespace bronze

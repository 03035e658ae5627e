/**
 * @file table_watch.h Follows one table of the platform's store: reads it
 * whole, then its changes, and reads it again when the history is lost.
 */

#ifndef BRONZE_SCHEDULER_TABLE_WATCH_H_
#define BRONZE_SCHEDULER_TABLE_WATCH_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "platform/store_client.h"
#include "scheduler/event_log.h"

namespace bronze {

/** What a watched table tells. Called on the control thread. */
struct TableListener {
  std::function<void(const StoreRow&)> m_changed;
  std::function<void(const std::string& aKey)> m_removed;
};

/** Keeps itself alive while a call is under way. After Stop the listener is
 *  not called again. */
class TableWatch : public std::enable_shared_from_this<TableWatch> {
 public:
  TableWatch(boost::asio::io_context& aContext, StoreClient& aStore,
             EventLog& aLog, std::string aTable, TableListener aListener);

  void Start();
  void Stop();

 private:
  void ReadFrom(std::string aFrom);
  void OnRows(RowsResult aResult, bool aContinued);
  void WatchChanges();
  void OnChanges(RowsResult aResult);
  void Retry();
  void Apply(const StoreRow& aRow);

  StoreClient& m_store;
  EventLog& m_log;
  std::string m_table;
  TableListener m_listener;
  boost::asio::steady_timer m_timer;
  std::set<std::string> m_known;   ///< Keys that the listener was told of.
  std::set<std::string> m_listed;  ///< Keys seen in the read under way.
  RowVersion m_version;            ///< Changes up to here were told.
  bool m_reachable = true;
  bool m_stopped = false;
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_TABLE_WATCH_H_

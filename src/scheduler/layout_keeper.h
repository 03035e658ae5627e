/**
 * @file layout_keeper.h Reads the division of the deployment into cells, or
 * determines it when the system starts for the first time.
 *
 * One VM creates the layout row, counts the runners until their number stays
 * the same, and writes the number of cells. The others wait for it, and one of
 * them takes over if it does not come.
 */

#ifndef BRONZE_SCHEDULER_LAYOUT_KEEPER_H_
#define BRONZE_SCHEDULER_LAYOUT_KEEPER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "codec/cell_row_cbor.h"
#include "platform/store_client.h"
#include "scheduler/event_log.h"

namespace bronze {

/** What this VM needs to determine the layout. */
struct LayoutPolicy {
  VmId m_vm;
  size_t m_runnersPerCell = 1;
  /** Wait before this VM creates the layout row. */
  Duration m_delay{};
};

class LayoutKeeper : public std::enable_shared_from_this<LayoutKeeper> {
 public:
  LayoutKeeper(boost::asio::io_context& aContext, StoreClient& aStore,
               EventLog& aLog, LayoutPolicy aPolicy,
               std::function<void(sched::CellLayout)> aOnKnown);

  void Start();

 private:
  void ReadLayout();
  void OnLayout(const RowsResult& aResult);
  /** There is no layout row: creates it, after a look for a deployment of an
   *  earlier build, which had one cell. */
  void LookForEarlierCell();
  void WriteLayout(const LayoutRow& aRow);
  void CountRunners(const std::string& aFrom);
  void OnRunners(const RowsResult& aResult);
  void Later(Duration aPause, void (LayoutKeeper::*aStep)());
  void CountFromStart() { CountRunners(""); }

  StoreClient& m_store;
  EventLog& m_log;
  LayoutPolicy m_policy;
  std::function<void(sched::CellLayout)> m_onKnown;
  boost::asio::steady_timer m_timer;

  TimePoint m_startedAt;
  RowVersion m_version;        ///< Of the layout row; 0: there is none.
  TimePoint m_versionAt;       ///< Since when m_version is known.
  size_t m_counted = 0;        ///< Runners found by the current count.
  size_t m_lastCount = 0;      ///< Runners found when the count last grew much.
  TimePoint m_countChangedAt;  ///< When that was.
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_LAYOUT_KEEPER_H_

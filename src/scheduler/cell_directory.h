/**
 * @file cell_directory.h Who owns which cell, as read from the heartbeats of
 * all owners.
 *
 * All heartbeats are read in one call at a fixed interval. A VM with much less
 * CPU than the owners reads less often, as others claim a cell first; it reads
 * at once after a call to an owner has failed.
 */

#ifndef BRONZE_SCHEDULER_CELL_DIRECTORY_H_
#define BRONZE_SCHEDULER_CELL_DIRECTORY_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "codec/cell_row_cbor.h"
#include "platform/store_client.h"
#include "scheduler/event_log.h"

namespace bronze {

/** What is known of the owner of one cell. */
struct CellView {
  std::optional<HeartbeatRow> m_heartbeat;  ///< Not set: none was read.
  RowVersion m_version;                     ///< 0: the row does not exist.
  TimePoint m_changedAt;  ///< m_version is known unchanged since then.
};

class CellDirectory {
 public:
  /** @param aOnRead called after each successful read. */
  CellDirectory(boost::asio::io_context& aContext, StoreClient& aStore,
                EventLog& aLog, sched::VmCapability aCapability,
                std::function<void()> aOnRead);

  void Start(uint32_t aCells);

  /** Tells whether this VM owns a cell; an owner needs recent loads. */
  void SetOwnsCell(bool aOwnsCell) { m_ownsCell = aOwnsCell; }

  /** Reads again soon, because a call to an owner has failed. */
  void Refresh();

  [[nodiscard]] const CellView& Of(CellId aCell) const {
    return m_views[aCell.Value()];
  }

  /** @return the address of the cell's owner, if there is one that may be
   *          alive. */
  [[nodiscard]] std::optional<std::string> AddressOf(CellId aCell) const;

  /** @return whether the cell's last owner has just handed it over to a named
   *          successor that has sent no heartbeat yet. */
  [[nodiscard]] bool IsHandedOver(CellId aCell) const;

  /** @return the quick reads in a row, up to the last one. */
  [[nodiscard]] uint32_t GoodReads() const { return m_goodReads; }

  /** @return the number of other cells whose last heartbeat names the VM. */
  [[nodiscard]] size_t OtherCellsOf(const std::string& aVm, CellId aCell) const;

  /** @return the owners of the other cells, some several times. */
  [[nodiscard]] std::vector<sched::KnownVm> OtherOwners(CellId aCell) const;

  /** @return the published loads, by cell; zero for one without a live owner.
   */
  [[nodiscard]] std::vector<sched::CellLoad> Loads() const;

 private:
  void Read();
  void OnRead(const RowsResult& aResult);
  void UpdateView(CellView& aView, const StoreRow& aRow);
  [[nodiscard]] Duration Interval() const;
  void ReadLater(Duration aPause);

  StoreClient& m_store;
  EventLog& m_log;
  sched::VmCapability m_capability;  ///< Of this VM.
  std::function<void()> m_onRead;
  boost::asio::steady_timer m_timer;
  std::vector<CellView> m_views;  ///< By cell.
  bool m_ownsCell = false;
  bool m_reading = false;
  bool m_everRead = false;
  TimePoint m_nextReadAt;
  TimePoint m_readAt;  ///< Of the last successful read.
  TimePoint m_readSentAt;
  uint32_t m_goodReads = 0;
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_CELL_DIRECTORY_H_

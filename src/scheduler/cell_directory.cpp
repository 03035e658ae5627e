/**
 * @file cell_directory.cpp Who owns which cell.
 */

#include "scheduler/cell_directory.h"

#include <algorithm>
#include <charconv>

#include "scheduler/boot_clock.h"
#include "scheduler/cell_owner.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

constexpr Duration kReadInterval = milliseconds(450);
/** The same on a VM that has much less CPU than the owners. */
constexpr Duration kSlowReadInterval = milliseconds(1500);
/** Share of the CPU of the largest owner below which a VM reads slowly. */
constexpr double kSlowShare = 0.6;
constexpr Duration kReadTimeout = milliseconds(1000);
/** After a longer gap between two successful reads than this beyond the
 *  interval, an unchanged heartbeat does not show that the owner is gone: it
 * may have been unable to reach the store. */
constexpr Duration kMaxReadGap = milliseconds(850);
/** Pause before a read that a failed call asked for. */
constexpr Duration kRefreshPause = milliseconds(60);
/** No calls are sent to an owner whose heartbeat, read from a reachable store,
 *  has not changed for this long: it may accept nothing any more. */
constexpr Duration kMaxHeartbeatAge = kOwnerTimeout + milliseconds(300);
/** No jobs are sent to a cell whose load was published longer ago. */
constexpr Duration kMaxLoadAge = milliseconds(1500);

}  // namespace

CellDirectory::CellDirectory(boost::asio::io_context& aContext,
                             StoreClient& aStore, EventLog& aLog,
                             double aCpuShare, std::function<void()> aOnRead)
    : m_store(aStore),
      m_log(aLog),
      m_cpuShare(aCpuShare),
      m_onRead(std::move(aOnRead)),
      m_timer(aContext) {}

void CellDirectory::Start(uint32_t aCells) {
  m_views.resize(aCells);
  Read();
}

Duration CellDirectory::Interval() const {
  if (m_ownsCell) return kReadInterval;
  double largest = 0.0;
  for (const CellView& view : m_views) {
    if (view.m_heartbeat && !view.m_heartbeat->m_vm.empty()) {
      largest = std::max(largest, view.m_heartbeat->m_cpuShare);
    }
  }
  return m_cpuShare < largest * kSlowShare ? kSlowReadInterval : kReadInterval;
}

void CellDirectory::ReadLater(Duration aPause) {
  m_nextReadAt = BootNow() + aPause;
  m_timer.expires_after(aPause);
  m_timer.async_wait([this](boost::system::error_code aError) {
    if (!aError) Read();
  });
}

void CellDirectory::Refresh() {
  // A read that is due sooner stays: calls that fail all the time must not put
  // it off.
  const bool soon = BootNow() + kRefreshPause >= m_nextReadAt;
  if (!m_reading && !m_views.empty() && !soon) ReadLater(kRefreshPause);
}

void CellDirectory::Read() {
  m_reading = true;
  m_store.Read(kHeartbeatTable, "", "", kReadTimeout,
               [this](const RowsResult& aResult) { OnRead(aResult); });
}

void CellDirectory::OnRead(const RowsResult& aResult) {
  m_reading = false;
  ReadLater(Interval());
  if (aResult.m_outcome != StoreOutcome::Done) return;
  const TimePoint now = BootNow();
  const bool gap = !m_everRead || now - m_readAt > Interval() + kMaxReadGap;
  for (const StoreRow& row : aResult.m_rows) {
    const std::string& key = row.m_key.m_key;
    uint32_t cell = 0;
    const auto parsed =
        std::from_chars(key.data(), key.data() + key.size(), cell);
    if (parsed.ec != std::errc() || cell >= m_views.size()) continue;
    UpdateView(m_views[cell], row);
  }
  if (gap) {
    for (CellView& view : m_views) view.m_changedAt = now;
  }
  m_readAt = now;
  m_everRead = true;
  m_onRead();
}

void CellDirectory::UpdateView(CellView& aView, const StoreRow& aRow) {
  if (aRow.m_version == aView.m_version) return;
  aView.m_version = aRow.m_version;
  aView.m_changedAt = BootNow();
  auto heartbeat = DecodeHeartbeatRow(aRow.m_value);
  if (heartbeat) {
    aView.m_heartbeat = std::move(heartbeat.value());
    return;
  }
  aView.m_heartbeat.reset();
  m_log.Write("[cell]", "skipped invalid heartbeat cell={} error={}",
              aRow.m_key.m_key, heartbeat.error().m_message);
}

std::optional<std::string> CellDirectory::AddressOf(CellId aCell) const {
  if (aCell.Value() >= m_views.size()) return {};
  const CellView& view = m_views[aCell.Value()];
  if (!view.m_heartbeat || view.m_heartbeat->m_vm.empty()) return {};
  const TimePoint now = BootNow();
  const bool storeReachable = now - m_readAt < Interval() + kMaxReadGap;
  // If this VM cannot read the store, the last known owner is the best guess:
  // the store may be out of reach only from here, and a daemon that no longer
  // owns the cell rejects the call.
  if (storeReachable && now - view.m_changedAt > kMaxHeartbeatAge) return {};
  return view.m_heartbeat->m_address;
}

std::vector<sched::CellLoad> CellDirectory::Loads() const {
  const TimePoint now = BootNow();
  std::vector<sched::CellLoad> loads;
  for (const CellView& view : m_views) {
    const bool live = view.m_heartbeat && !view.m_heartbeat->m_vm.empty() &&
                      now - view.m_changedAt < kMaxLoadAge;
    loads.push_back(live ? view.m_heartbeat->m_load : sched::CellLoad());
  }
  return loads;
}

}  // namespace bronze

/**
 * @file cell_directory.cpp Who owns which cell.
 */

#include "scheduler/cell_directory.h"

#include <algorithm>
#include <charconv>

#include "core/sched/claim_func.h"
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
/** A slower answer shows a store that is under load or a link that is. */
constexpr Duration kGoodReadTime = milliseconds(200);
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
                             sched::VmCapability aCapability,
                             std::function<void()> aOnRead)
    : m_store(aStore),
      m_log(aLog),
      m_capability(aCapability),
      m_onRead(std::move(aOnRead)),
      m_timer(aContext) {}

void CellDirectory::Start(uint32_t aCells) {
  m_views.resize(aCells);
  Read();
}

Duration CellDirectory::Interval() const {
  if (m_ownsCell) return kReadInterval;
  const auto own = static_cast<double>(m_capability.m_cpu.Value());
  sched::VmCapability largest;
  for (const CellView& view : m_views) {
    if (view.m_heartbeat && !view.m_heartbeat->m_vm.empty()) {
      largest = sched::LargerOf(largest, view.m_heartbeat->m_capability);
    }
  }
  return own < static_cast<double>(largest.m_cpu.Value()) * kSlowShare
             ? kSlowReadInterval
             : kReadInterval;
}

size_t CellDirectory::OtherCellsOf(const std::string& aVm, CellId aCell) const {
  size_t cells = 0;
  for (size_t at = 0; at < m_views.size(); ++at) {
    const auto& heartbeat = m_views[at].m_heartbeat;
    if (at != aCell.Value() && heartbeat && heartbeat->m_vm == aVm) ++cells;
  }
  return cells;
}

std::vector<sched::KnownVm> CellDirectory::OtherOwners(CellId aCell) const {
  std::vector<sched::KnownVm> owners;
  for (size_t at = 0; at < m_views.size(); ++at) {
    const auto& heartbeat = m_views[at].m_heartbeat;
    if (at == aCell.Value() || !heartbeat || heartbeat->m_vm.empty()) continue;
    owners.push_back(
        {heartbeat->m_capability, OtherCellsOf(heartbeat->m_vm, aCell)});
  }
  return owners;
}

bool CellDirectory::IsHandedOver(CellId aCell) const {
  if (aCell.Value() >= m_views.size()) return false;
  const CellView& view = m_views[aCell.Value()];
  return view.m_heartbeat && view.m_heartbeat->m_vm.empty() &&
         !view.m_heartbeat->m_successor.empty() &&
         BootNow() - view.m_changedAt < kMaxSuccessionTime;
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
  m_readSentAt = BootNow();
  m_store.Read(kHeartbeatTable, "", "", kReadTimeout,
               [this](const RowsResult& aResult) { OnRead(aResult); });
}

void CellDirectory::OnRead(const RowsResult& aResult) {
  m_reading = false;
  ReadLater(Interval());
  const TimePoint now = BootNow();
  const bool isGood = aResult.m_outcome == StoreOutcome::Done &&
                      now - m_readSentAt <= kGoodReadTime;
  m_goodReads = isGood ? m_goodReads + 1 : 0;
  if (aResult.m_outcome != StoreOutcome::Done) return;
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

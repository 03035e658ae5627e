/**
 * @file layout_keeper.cpp Reads or determines the division into cells.
 */

#include "scheduler/layout_keeper.h"

#include "core/sched/cell_layout_func.h"
#include "scheduler/boot_clock.h"
#include "scheduler/cell_owner.h"

namespace bronze {

namespace {

constexpr Duration kTimeout = seconds(1);
constexpr Duration kPause = milliseconds(250);
/** Runners enter the list one after the other, each within its interval of a
 *  second or two. The count is taken when it has grown little for this long. */
constexpr Duration kCountSettles = milliseconds(500);
constexpr size_t kLittleGrowthPercent = 3;
/** A VM that has not written the number of cells by now is gone. It may have
 *  started before the first runner. */
constexpr Duration kCountTimeout = seconds(8);
/** A deployment without any runner gets one cell after this time. */
constexpr Duration kNoRunnersWait = seconds(5);

const RowKey kLayoutRow{kOwnerTable, kLayoutPart, kLayoutKey};

}  // namespace

LayoutKeeper::LayoutKeeper(boost::asio::io_context& aContext,
                           StoreClient& aStore, EventLog& aLog,
                           LayoutPolicy aPolicy,
                           std::function<void(sched::CellLayout)> aOnKnown)
    : m_store(aStore),
      m_log(aLog),
      m_policy(std::move(aPolicy)),
      m_onKnown(std::move(aOnKnown)),
      m_timer(aContext) {}

void LayoutKeeper::Start() {
  m_startedAt = BootNow();
  m_versionAt = m_startedAt;
  ReadLayout();
}

void LayoutKeeper::Later(Duration aPause, void (LayoutKeeper::*aStep)()) {
  m_timer.expires_after(aPause);
  m_timer.async_wait(
      [self = shared_from_this(), aStep](boost::system::error_code aError) {
        if (!aError) (self.get()->*aStep)();
      });
}

void LayoutKeeper::ReadLayout() {
  m_store.Read(kOwnerTable, kLayoutPart, "", kTimeout,
               [self = shared_from_this()](const RowsResult& aResult) {
                 self->OnLayout(aResult);
               });
}

void LayoutKeeper::OnLayout(const RowsResult& aResult) {
  const TimePoint now = BootNow();
  if (aResult.m_outcome != StoreOutcome::Done) {
    Later(kPause, &LayoutKeeper::ReadLayout);
    return;
  }
  LayoutRow layout;
  RowVersion version;
  for (const StoreRow& row : aResult.m_rows) {
    if (row.m_key.m_key != kLayoutKey) continue;
    version = row.m_version;
    const auto decoded = DecodeLayoutRow(row.m_value);
    if (decoded) layout = decoded.value();
  }
  if (layout.m_layout.m_cells > 0) {
    m_log.Write("[cell]", "layout known cells={}", layout.m_layout.m_cells);
    m_onKnown(layout.m_layout);
    return;
  }
  if (version != m_version) m_versionAt = now;
  m_version = version;
  const bool missing = version.Value() == 0;
  const bool counting = layout.m_countingVm == m_policy.m_vm.Value();
  const bool timedOut = now - m_versionAt > kCountTimeout;
  if (missing && now - m_startedAt >= m_policy.m_delay) {
    LookForEarlierCell();
  } else if (counting) {
    CountFromStart();
  } else if (!missing && timedOut) {
    WriteLayout({{}, m_policy.m_vm.Value()});
  } else {
    Later(kPause, &LayoutKeeper::ReadLayout);
  }
}

void LayoutKeeper::LookForEarlierCell() {
  m_store.Read(kOwnerTable, PartOf(CellId(0)), "", kTimeout,
               [self = shared_from_this()](const RowsResult& aResult) {
                 if (aResult.m_outcome != StoreOutcome::Done) {
                   self->Later(kPause, &LayoutKeeper::ReadLayout);
                 } else if (!aResult.m_rows.empty()) {
                   self->WriteLayout({{1}, ""});
                 } else {
                   self->WriteLayout({{}, self->m_policy.m_vm.Value()});
                 }
               });
}

void LayoutKeeper::WriteLayout(const LayoutRow& aRow) {
  StoreTransaction write;
  write.m_expected.push_back({kLayoutRow, m_version});
  write.m_puts.push_back({kLayoutRow, EncodeLayoutRow(aRow), {}});
  m_log.Write("[cell]", "writing layout cells={} counting_vm={} version={}",
              aRow.m_layout.m_cells, aRow.m_countingVm, m_version.Value());
  // Whatever the outcome, the row tells what is in force.
  m_store.Transact(write, kTimeout,
                   [self = shared_from_this()](const TransactionResult&) {
                     self->ReadLayout();
                   });
}

void LayoutKeeper::CountRunners(const std::string& aFrom) {
  if (aFrom.empty()) m_counted = 0;
  m_store.Read(kRunnerTable, "", aFrom, kTimeout,
               [self = shared_from_this()](const RowsResult& aResult) {
                 self->OnRunners(aResult);
               });
}

void LayoutKeeper::OnRunners(const RowsResult& aResult) {
  if (aResult.m_outcome != StoreOutcome::Done) {
    Later(kPause, &LayoutKeeper::CountFromStart);
    return;
  }
  m_counted += aResult.m_rows.size();
  if (aResult.m_truncated && !aResult.m_rows.empty()) {
    CountRunners(KeyAfter(aResult.m_rows.back().m_key.m_key));
    return;
  }
  const TimePoint now = BootNow();
  const size_t little = m_lastCount * kLittleGrowthPercent / 100;
  if (m_countChangedAt == TimePoint() || m_counted > m_lastCount + little) {
    m_countChangedAt = now;
    m_lastCount = m_counted;
  }
  const Duration wait = m_counted == 0 ? kNoRunnersWait : kCountSettles;
  if (now - m_countChangedAt < wait) {
    Later(kPause, &LayoutKeeper::CountFromStart);
    return;
  }
  WriteLayout({{sched::CellsFor(m_counted, m_policy.m_runnersPerCell)}, ""});
}

}  // namespace bronze

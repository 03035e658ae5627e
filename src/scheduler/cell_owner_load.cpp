/**
 * @file cell_owner_load.cpp Loads the state of a cell after its claim, and
 * follows the platform's list of runners.
 */

#include "core/sched/cell_layout_func.h"
#include "core/sched/interference_func.h"
#include "core/sched/route_cmd.h"
#include "core/sched/runner_cmd.h"
#include "platform/wire_decode.h"
#include "scheduler/boot_clock.h"
#include "scheduler/cell_owner.h"

namespace bronze {

namespace {

constexpr Duration kLoadTimeout = seconds(2);
constexpr Duration kLoadRetry = milliseconds(200);
/** Each runner changes its entry every second or two, so a call that waits for
 *  changes would return at once. */
constexpr WatchTiming kRunnerWatchTiming{milliseconds(900), milliseconds(250)};

}  // namespace

void CellOwner::LoadInterference() {
  m_store.Read(
      kInterferenceTable, m_part, "", kLoadTimeout,
      [self = shared_from_this()](const RowsResult& aResult) {
        if (self->m_ended) return;
        // The table is not required: the cell can learn it again from
        // measurements.
        if (aResult.m_outcome != StoreOutcome::Done) {
          self->m_log.Write(
              "[cell]", "interference table not read, learning it anew cell={}",
              self->m_cellId.Value());
        }
        for (const StoreRow& row : aResult.m_rows) {
          const auto stored = DecodeInterference(row.m_value);
          if (stored) {
            sched::RestoreInterference(self->m_cell.m_interference,
                                       stored.value());
          } else {
            self->m_log.Write("[cell]",
                              "skipped invalid interference row={} error={}",
                              row.m_key.m_key, stored.error().m_message);
          }
        }
        self->LoadTable(kRouteTable, "", &CellOwner::OnRoutes);
      });
}

void CellOwner::LoadTable(const char* aTable, const std::string& aFrom,
                          RowsHandler aHandler) {
  m_store.Read(
      aTable, m_part, aFrom, kLoadTimeout,
      [self = shared_from_this(), aTable, aFrom, aHandler](RowsResult aResult) {
        if (self->m_ended) return;
        if (aResult.m_outcome != StoreOutcome::Done) {
          self->m_commitTimer.expires_after(kLoadRetry);
          self->m_commitTimer.async_wait([self, aTable, aFrom, aHandler](
                                             boost::system::error_code aError) {
            if (!aError && !self->m_ended) {
              self->LoadTable(aTable, aFrom, aHandler);
            }
          });
          return;
        }
        const bool more = aResult.m_truncated && !aResult.m_rows.empty();
        const std::string next =
            more ? KeyAfter(aResult.m_rows.back().m_key.m_key) : "";
        aResult.m_truncated = more;
        (self.get()->*aHandler)(std::move(aResult));
        if (more) self->LoadTable(aTable, next, aHandler);
      });
}

void CellOwner::OnRoutes(RowsResult aResult) {
  for (const StoreRow& row : aResult.m_rows) {
    const auto route = DecodeRoute(row.m_value);
    if (route && route.value().m_cell.Value() < m_layout.m_cells) {
      sched::RestoreRoute(m_cell, route.value(), BootNow());
    } else {
      m_log.Write("[cell]", "skipped invalid route row={}", row.m_key.m_key);
    }
  }
  if (!aResult.m_truncated) LoadTable(kStateTable, "", &CellOwner::OnStates);
}

void CellOwner::OnStates(RowsResult aResult) {
  for (const StoreRow& row : aResult.m_rows) {
    auto state = DecodeJobState(row.m_value);
    if (!state) {
      m_log.Write("[cell]", "skipped invalid job state row={} error={}",
                  row.m_key.m_key, state.error().m_message);
      m_hasUnreadRows = true;
      continue;
    }
    const JobId job = state.value().m_job;
    m_loadedStates[job] = std::move(state.value());
  }
  if (!aResult.m_truncated) {
    LoadTable(kTaskTable, "", &CellOwner::OnTaskBlocks);
  }
}

void CellOwner::OnTaskBlocks(RowsResult aResult) {
  for (const StoreRow& row : aResult.m_rows) {
    auto block = DecodeTaskBlock(row.m_value);
    if (!block) {
      m_log.Write("[cell]", "skipped invalid block of tasks row={} error={}",
                  row.m_key.m_key, block.error().m_message);
      m_hasUnreadRows = true;
      continue;
    }
    const sched::TaskBlockKey key = block.value().m_key;
    m_loadedBlocks[key] = std::move(block.value());
  }
  if (!aResult.m_truncated) LoadTable(kJobTable, "", &CellOwner::OnJobs);
}

void CellOwner::AddLoadedBlocks(sched::StoredState& aState,
                                const sched::JobSpec& aSpec) {
  auto at = m_loadedBlocks.lower_bound({aSpec.m_id, 0, 0});
  while (at != m_loadedBlocks.end() && at->first.m_job == aSpec.m_id) {
    if (sched::AddTaskBlock(aState, aSpec, at->second)) {
      at = m_loadedBlocks.erase(at);
    } else {
      ++at;
    }
  }
}

void CellOwner::RemoveLeftoverBlocks() {
  if (!m_hasUnreadRows) {
    for (const auto& [key, block] : m_loadedBlocks) {
      m_cell.m_removedBlocks.push_back({key, 0});
    }
  }
  m_loadedBlocks.clear();
}

void CellOwner::OnJobs(RowsResult aResult) {
  const TimePoint now = BootNow();
  for (const StoreRow& row : aResult.m_rows) {
    auto spec = DecodeJobSpec(row.m_value);
    if (!spec) {
      m_log.Write("[cell]", "skipped invalid job row={} error={}",
                  row.m_key.m_key, spec.error().m_message);
      m_hasUnreadRows = true;
      continue;
    }
    const auto state = m_loadedStates.find(spec.value().m_id);
    if (state == m_loadedStates.end()) continue;
    AddLoadedBlocks(state->second, spec.value());
    sched::RestoreJob(m_cell, std::move(spec.value()), state->second, now,
                      UnixNow());
    ++m_loadedJobs;
  }
  if (aResult.m_truncated) return;
  RemoveLeftoverBlocks();
  m_rowsLoaded = true;
  BeginWhenReady();
}

void CellOwner::RestoreUnresponsive() {
  for (const UnresponsiveRunnerRow& row : m_ownerRow.m_unresponsive) {
    const auto lapsesAt = m_store.LocalTimeUpperBound(row.m_lapsesAt);
    if (!lapsesAt) continue;
    sched::RestoreUnresponsiveRunner(m_cell, {row.m_runner, *lapsesAt});
    m_log.Write("[cell]",
                "unresponsive before takeover runner={} lapses_in_ms={}",
                row.m_runner.Value(),
                std::chrono::duration_cast<milliseconds>(*lapsesAt - BootNow())
                    .count());
  }
}

void CellOwner::BeginWhenReady() {
  if (m_loaded || m_onReleased) return;
  // Before the first heartbeat of this owner is stored, its predecessor may
  // still store one and extend leases.
  if (!m_rowsLoaded || m_authorityFrom == TimePoint()) return;
  m_loaded = true;
  sched::BeginTerm(m_cell, m_earlierHeartbeatsEnd + m_leaseReach);
  RestoreUnresponsive();
  m_loadedStates.clear();
  m_log.Write("[cell]",
              "loaded, scheduling cell={} fence={} jobs={} queued_steps={}",
              m_cellId.Value(), m_cell.m_fence.Value(), m_loadedJobs,
              m_cell.m_queue.size());
  m_schedulingSince = BootNow();
  m_lastCommitSentAt = m_schedulingSince;
  m_runnerWatch = std::make_shared<TableWatch>(
      m_context, m_store, m_log, kRunnerTable, kRunnerWatchTiming,
      TableListener{
          [this](const StoreRow& aRow) { OnRunnerRow(aRow); },
          [this](const std::string& aKey) { OnRunnerRemoved(aKey); }});
  m_runnerWatch->Start();
  m_tickDueAt = BootNow();
  Tick();
}

void CellOwner::OnRunnerRow(const StoreRow& aRow) {
  const std::string& key = aRow.m_key.m_key;
  if (m_otherRunners.count(key) > 0) return;
  auto entry = DecodeRunnerEntry(key, aRow.m_value);
  if (!entry) {
    m_log.Write("[runners]", "skipped invalid runner entry={} error={}", key,
                entry.error().m_message);
    // A valid entry may have been replaced; it is not known any more where that
    // runner is and whether it leaves.
    sched::RemoveRunner(m_cell, RunnerId(key));
    return;
  }
  if (sched::CellOfRunner(m_layout, entry.value()) != m_cellId) {
    // A machine stays in its rack, so this holds for later entries, too.
    m_otherRunners.insert(key);
    return;
  }
  if (sched::ContradictsRunner(m_cell, entry.value())) {
    m_log.Write("[runners]",
                "skipped runner entry that is not the runner's own runner={} "
                "address={} service={} born={}",
                key, entry.value().m_address, entry.value().m_service.Value(),
                entry.value().m_startedAt.Value());
    sched::RemoveRunner(m_cell, RunnerId(key));
    return;
  }
  sched::UpdateRunner(m_cell, entry.value(), BootNow(), UnixNow());
  RequestPass();
}

void CellOwner::OnRunnerRemoved(const std::string& aKey) {
  m_otherRunners.erase(aKey);
  sched::RemoveRunner(m_cell, RunnerId(aKey));
}

}  // namespace bronze

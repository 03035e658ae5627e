/**
 * @file cell_owner.cpp Schedules one cell while this daemon owns it: the passes
 * over its state and what is done at intervals.
 */

#include "scheduler/cell_owner.h"

#include <boost/asio/post.hpp>

#include "core/sched/evacuation_cmd.h"
#include "core/sched/interference_func.h"
#include "core/sched/job_cmd.h"
#include "core/sched/lease_func.h"
#include "core/sched/move_cmd.h"
#include "core/sched/placement_func.h"
#include "core/sched/route_cmd.h"
#include "core/sched/runner_cmd.h"
#include "core/sched/schedule_cmd.h"
#include "scheduler/boot_clock.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

constexpr Duration kTick = milliseconds(50);
/** Time in which the interference that each other cell has learned is read
 *  once. A row takes some 20 KB. */
constexpr Duration kExchangeInterval = seconds(8);
constexpr Duration kExchangeTimeout = seconds(1);
constexpr Duration kRouteCheckInterval = seconds(1);
constexpr Duration kRouteCheckWindow = seconds(2);
/** A delay of the control loop that is logged. */
constexpr Duration kLoggedLag = milliseconds(300);
/** A time without a current list of runners that is logged. While nothing
 *  changes, an answer about changes takes almost as long as a list may be old.
 */
constexpr Duration kLoggedListingDelay = milliseconds(300);
/** Factor by which the recorded delay of the control loop decays per tick. */
constexpr double kLagDecay = 0.9;

}  // namespace

std::string PartOf(CellId aCell) { return fmt::format("c{}", aCell.Value()); }

CellOwner::CellOwner(boost::asio::io_context& aContext, OwnerLinks aLinks,
                     EventLog& aLog, OwnerTerm aTerm,
                     const OwnerSettings& aSettings,
                     std::function<void()> aOnLost)
    : m_links(std::move(aLinks)),
      m_store(m_links.m_store),
      m_log(aLog),
      m_cellId(aTerm.m_cell),
      m_layout(aTerm.m_layout),
      m_part(PartOf(aTerm.m_cell)),
      m_vm(aTerm.m_row.m_vm),
      m_ownerRow(std::move(aTerm.m_row)),
      m_ownerVersion(aTerm.m_version),
      m_onLost(std::move(aOnLost)),
      m_context(aContext),
      m_tickTimer(aContext),
      m_commitTimer(aContext),
      m_commitRows(kMaxRowsPerCommit),
      m_heartbeatVersion(aTerm.m_heartbeatVersion),
      m_leaseReach(sched::LeaseReach(m_ownerRow.m_longestLease)),
      m_earlierHeartbeatsEnd(aTerm.m_heartbeatReadAt),
      m_loads(aTerm.m_layout.m_cells),
      m_previousRow(std::move(aTerm.m_previousRow)) {
  SetSettings(aSettings);
  m_cell.m_fence = FencingToken(m_ownerVersion.Value());
  m_lastCommitSentAt = BootNow();
}

void CellOwner::Start() {
  m_log.Write("[cell]", "became owner, loading state cell={} fence={}",
              m_cellId.Value(), m_cell.m_fence.Value());
  // Others would claim the cell if loading took longer than kOwnerTimeout.
  SendHeartbeat(BootNow());
  LoadInterference();
}

void CellOwner::SetSettings(const OwnerSettings& aSettings) {
  m_cell.m_settings = aSettings.m_cell;
  m_maxListingAge = aSettings.m_maxListingAge;
  m_maxRequestAge = aSettings.m_maxRequestAge;
}

void CellOwner::SetConfig(const sched::LiveConfig& aConfig) {
  sched::ApplyLiveConfig(m_cell, aConfig);
  RequestPass();
}

void CellOwner::SetRequests(const OperatorRequests& aRequests) {
  m_requestsConfirmedAt = aRequests.m_confirmedAt;
  sched::SetEvacuations(m_cell, aRequests.m_evacuations);
  RequestPass();
}

void CellOwner::SetLoads(std::vector<sched::CellLoad> aLoads) {
  if (aLoads.size() != m_loads.size()) return;
  // That of this cell is known better here.
  aLoads[m_cellId.Value()] = std::move(m_loads[m_cellId.Value()]);
  m_loads = std::move(aLoads);
  if (!IsScheduling() || m_onReleased) return;
  const TimePoint now = BootNow();
  if (!HasAuthority(now)) return;
  m_loads[m_cellId.Value()] = sched::LoadOf(m_cell);
  if (sched::BeginMoves(m_cell, m_cellId, m_loads, now) > 0) RequestPass();
}

void CellOwner::MeasureLag(TimePoint aNow) {
  const Duration late = std::max(aNow - m_tickDueAt, Duration::zero());
  const Duration decayed(
      static_cast<int64_t>(static_cast<double>(m_loopLag.count()) * kLagDecay));
  m_loopLag = std::max(late, decayed);
  m_tickDueAt = aNow + kTick;
  if (m_loopLag > kLoggedLag && !m_lagLogged) {
    m_log.Write("[cell]", "control loop is behind cell={} lag_ms={}",
                m_cellId.Value(),
                std::chrono::duration_cast<milliseconds>(m_loopLag).count());
  }
  m_lagLogged = m_loopLag > kLoggedLag;
}

void CellOwner::Tick() {
  if (m_ended) return;
  const TimePoint now = BootNow();
  MeasureLag(now);
  sched::AdvanceJobs(m_cell, now, UnixNow());
  sched::AdvanceRunners(m_cell, now);
  // Quarantines and pauses after refusals expire without any other event, so a
  // queued step may fit now.
  m_cell.m_capacityChanged =
      m_cell.m_capacityChanged || !m_cell.m_queue.empty();
  RefuseUnstoredIfAway(now);
  FailExpiredWaiters(now);
  if (!m_authorityLapsed && !HasAuthority(now)) {
    m_authorityLapsed = true;
    m_log.Write(
        "[store]",
        "no heartbeat acknowledged, sending no starts cell={} "
        "last_commit_ms={}",
        m_cellId.Value(),
        std::chrono::duration_cast<milliseconds>(now - m_lastCommitSentAt)
            .count());
  }
  CheckHandover(now);
  SendHeartbeat(now);
  ExchangeInterference(now);
  CheckOldRoute(now);
  RunPass();
  m_log.Flush();
  m_tickTimer.expires_after(kTick);
  m_tickTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code aError) {
        if (!aError) self->Tick();
      });
}

void CellOwner::ExchangeInterference(TimePoint aNow) {
  const uint32_t others = m_layout.m_cells - 1;
  if (others == 0 || aNow < m_nextExchangeAt) return;
  m_nextExchangeAt = aNow + kExchangeInterval / others;
  m_exchangeCell = (m_exchangeCell + 1) % m_layout.m_cells;
  if (m_exchangeCell == m_cellId.Value()) return;
  const CellId cell(m_exchangeCell);
  m_store.Read(kInterferenceTable, PartOf(cell), "", kExchangeTimeout,
               [self = shared_from_this(), cell](const RowsResult& aResult) {
                 if (self->m_ended || aResult.m_outcome != StoreOutcome::Done) {
                   return;
                 }
                 for (const StoreRow& row : aResult.m_rows) {
                   auto stored = DecodeInterference(row.m_value);
                   if (!stored) continue;
                   self->m_sharedInterference[cell] = std::move(stored.value());
                 }
                 sched::ShareInterference(self->m_cell.m_interference,
                                          self->m_sharedInterference);
               });
}

void CellOwner::CheckOldRoute(TimePoint aNow) {
  if (aNow < m_nextRouteCheckAt) return;
  m_nextRouteCheckAt = aNow + kRouteCheckInterval;
  const auto route = sched::NextRouteToCheck(m_cell, aNow);
  if (!route) return;
  PeerCall call;
  call.m_verb = PeerVerb::LookUp;
  call.m_cell = route->m_cell;
  call.m_routed = true;
  call.m_job = route->m_job;
  call.m_window = kRouteCheckWindow;
  m_links.m_callPeer(std::move(call), [self = shared_from_this(),
                                       job = route->m_job](PeerAnswer aAnswer) {
    if (self->m_ended || !aAnswer.m_error) return;
    if (aAnswer.m_error->m_kind != ErrorKind::UnknownJob) return;
    sched::RemoveRoute(self->m_cell, job);
  });
}

void CellOwner::RequestPass() {
  if (m_passRequested || m_ended || !m_loaded) return;
  m_passRequested = true;
  boost::asio::post(m_context, [self = shared_from_this()] {
    self->m_passRequested = false;
    self->RunPass();
  });
}

void CellOwner::RunPass() {
  if (m_ended || !m_loaded) return;
  const TimePoint now = BootNow();
  // Leases of running work go before new work.
  SendRenewals();
  LogListingAge(now);
  if (!IsListingCurrent(now)) {
    ++m_cell.m_counts.m_staleListings;
  } else if (!AreRequestsCurrent(now)) {
    ++m_cell.m_counts.m_staleRequests;
  } else if (!m_onReleased) {
    sched::PlaceTasks(m_cell, now);
  }
  SendOrders();
  if (!m_onReleased) SendMoves(now);
  StartCommit();
}

bool CellOwner::HasAuthority(TimePoint aNow) const {
  return m_authorityFrom != TimePoint() &&
         aNow - m_authorityFrom < kAuthorityDuration;
}

bool CellOwner::IsListingCurrent(TimePoint aNow) const {
  return m_runnerWatch != nullptr &&
         aNow - m_runnerWatch->ConfirmedAt() <= m_maxListingAge;
}

bool CellOwner::AreRequestsCurrent(TimePoint aNow) const {
  return !m_maxRequestAge || (m_requestsConfirmedAt != TimePoint() &&
                              aNow - m_requestsConfirmedAt <= *m_maxRequestAge);
}

void CellOwner::LogListingAge(TimePoint aNow) {
  const bool isStale = !IsListingCurrent(aNow - kLoggedListingDelay);
  // The first read of the list is no delay.
  const bool isKnown =
      m_runnerWatch != nullptr && m_runnerWatch->ConfirmedAt() != TimePoint();
  if (!isKnown || isStale == m_staleListingLogged) return;
  m_staleListingLogged = isStale;
  const auto age = std::chrono::duration_cast<milliseconds>(
      aNow - m_runnerWatch->ConfirmedAt());
  m_log.Write(
      "[runners]", "{} cell={} age_ms={} limit_ms={}",
      isStale ? "list of runners is too old, starting nothing"
              : "list of runners is current again",
      m_cellId.Value(), age.count(),
      std::chrono::duration_cast<milliseconds>(m_maxListingAge).count());
}

bool CellOwner::MayStart(sched::RunnerIndex aRunner, TimePoint aNow) const {
  // While the start waited for a connection, the runner may have said that it
  // leaves, or its evacuation may have been requested.
  return !m_ended && !m_releaseSent && HasAuthority(aNow) &&
         IsListingCurrent(aNow) && AreRequestsCurrent(aNow) &&
         sched::IsOpen(m_cell.m_runners[aRunner.Value()]);
}

}  // namespace bronze

/**
 * @file rack_lease_cmd.cpp Lease renewal and lapse of workers.
 *
 * A worker counts its lease from the receipt of a call, which may be any time
 * before the call's end, so the owner counts from the end. A call without an
 * answer may still lie in the receive buffer of a paused worker, which may read
 * it just before its lease ends. In that case the owner waits for one more
 * lease, and sends no further renewal until the worker has answered a call.
 */

#include <algorithm>

#include "core/batch/rack_cmd.h"
#include "core/batch/rack_internal.h"

namespace bronze {

namespace {

constexpr int kPercent = 100;
constexpr Duration kReportInterval = seconds(1);
constexpr Duration kReportIntervalMax = seconds(5);
// Limits the traffic of reports: one of a worker with 20 tasks has about 3 KB,
// and a node may use 11 KB/s for control traffic.
constexpr Duration kReportIntervalPerWorker = milliseconds(100);

/** @return aTime, lengthened by the largest drift between two clocks. */
Duration WithDrift(const RackOwnerState& aState, Duration aTime) {
  return aTime * (kPercent + aState.m_driftPercent) / kPercent;
}

/** @return whether a renewal of its worker's lease lists the task. */
bool IsRenewed(const RackTask& aRackTask) {
  const bool mayRun = aRackTask.m_seen == SeenAtWorker::Running ||
                      aRackTask.m_seen == SeenAtWorker::Unknown;
  // A start carries its own lease, and the worker may not know the task yet.
  const bool starting = aRackTask.m_row.m_state == TaskState::Starting &&
                        aRackTask.m_seen == SeenAtWorker::Unknown;
  const bool holdsCapacity = IsPlaced(aRackTask.m_row.m_state) ||
                             aRackTask.m_row.m_state == TaskState::Cancelled;
  return mayRun && holdsCapacity && !starting;
}

void Renew(const RackContext& aContext, Worker& aWorker) {
  RenewWorkerLease renewal;
  renewal.m_worker = aWorker.m_id;
  renewal.m_lease = aContext.m_state.m_settings.m_taskLease;
  for (const TaskId& task : aWorker.m_tasks) {
    const RackTask& rackTask = aContext.m_state.m_tasks.at(task);
    if (!IsRenewed(rackTask)) continue;
    renewal.m_tasks.emplace_back(task, rackTask.m_row.m_token);
  }
  if (renewal.m_tasks.empty() && aWorker.m_forget.empty()) return;
  renewal.m_forget = aWorker.m_forget;
  aWorker.m_forgetSent = aWorker.m_forget.size();
  aWorker.m_lease.m_renewalInFlight = true;
  LeaseCallSent(aWorker, aContext.m_now);
  aContext.m_effects.emplace_back(std::move(renewal));
}

}  // namespace

void LeaseCallSent(Worker& aWorker, TimePoint aNow) {
  ++aWorker.m_lease.m_callsInFlight;
  aWorker.m_lease.m_lastSent = aNow;
}

void LeaseCallEnded(Worker& aWorker, WorkerCallEnd aEnd, TimePoint aNow) {
  WorkerLease& lease = aWorker.m_lease;
  lease.m_callsInFlight = std::max(lease.m_callsInFlight - 1, 0);
  if (aEnd == WorkerCallEnd::NotSent) return;
  lease.m_latestReceipt = aNow;
  lease.m_unanswered = aEnd == WorkerCallEnd::Lost;
}

bool IsLeaseOver(const RackOwnerState& aState, const Worker& aWorker,
                 TimePoint aNow) {
  const WorkerLease& lease = aWorker.m_lease;
  if (lease.m_callsInFlight > 0) return false;
  const Duration one = WithDrift(aState, aState.m_settings.m_taskLease);
  const Duration wait = lease.m_unanswered ? one * 2 : one;
  return aNow > lease.m_latestReceipt + wait + aState.m_clockErrorMargin;
}

void CallWorker(const RackContext& aContext, Worker& aWorker) {
  if (aWorker.m_state == VmState::Gone) return;
  const auto& settings = aContext.m_state.m_settings;
  const WorkerLease& lease = aWorker.m_lease;
  const bool mayRenew =
      !lease.m_renewalInFlight && (!lease.m_unanswered || aWorker.m_reachable);
  if (mayRenew &&
      aContext.m_now >= lease.m_lastSent + settings.m_leaseRenewal) {
    Renew(aContext, aWorker);
  }
  const auto workers = static_cast<int64_t>(aContext.m_state.m_workers.size());
  const Duration interval = std::clamp(kReportIntervalPerWorker * workers,
                                       kReportInterval, kReportIntervalMax);
  if (aWorker.m_reportInFlight) return;
  if (aWorker.m_reported &&
      aContext.m_now < aWorker.m_lastReportRequest + interval) {
    return;
  }
  if (aContext.m_now < aWorker.m_lastReportRequest + kCallRetryDelay) return;
  aWorker.m_reportInFlight = true;
  aWorker.m_lastReportRequest = aContext.m_now;
  aContext.m_effects.emplace_back(ReadWorkerReport{aWorker.m_id});
}

}  // namespace bronze

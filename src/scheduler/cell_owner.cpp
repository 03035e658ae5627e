/**
 * @file cell_owner.cpp Schedules one cell while this daemon owns it: loads its
 * state, sends orders and answers calls. Commits are in cell_owner_commit.cpp.
 */

#include "scheduler/cell_owner.h"

#include <boost/asio/post.hpp>

#include "core/sched/interference_func.h"
#include "core/sched/job_cmd.h"
#include "core/sched/name_func.h"
#include "core/sched/schedule_cmd.h"
#include "platform/wire_decode.h"
#include "scheduler/boot_clock.h"
#include "scheduler/owner_timing.h"

namespace bronze {

namespace {

constexpr Duration kTick = milliseconds(50);
constexpr Duration kLoadTimeout = seconds(2);
constexpr Duration kLoadRetry = milliseconds(200);

}  // namespace

std::string PartOf(CellId aCell) { return fmt::format("c{}", aCell.Value()); }

CellOwner::CellOwner(boost::asio::io_context& aContext, StoreClient& aStore,
                     RunnerClient& aRunners, AdviceClient& aAdvisor,
                     EventLog& aLog, CellId aCell, OwnerRow aOwnerRow,
                     RowVersion aOwnerVersion,
                     const sched::CellSettings& aSettings,
                     std::function<void()> aOnLost)
    : m_store(aStore),
      m_runners(aRunners),
      m_advisor(aAdvisor),
      m_log(aLog),
      m_cellId(aCell),
      m_part(PartOf(aCell)),
      m_ownerRow(std::move(aOwnerRow)),
      m_ownerVersion(aOwnerVersion),
      m_onLost(std::move(aOnLost)),
      m_context(aContext),
      m_tickTimer(aContext),
      m_commitTimer(aContext) {
  m_cell.m_settings = aSettings;
  if (m_ownerRow.m_longestLease > Duration::zero()) {
    m_cell.m_settings.m_maxLease =
        std::min(aSettings.m_maxLease, m_ownerRow.m_longestLease);
  }
  SetSettings(m_cell.m_settings);
  m_cell.m_fence = FencingToken(aOwnerVersion.Value());
  m_lastCommitSentAt = BootNow();
}

void CellOwner::Start() {
  m_log.Write("[cell]", "became owner, loading state cell={} fence={}",
              m_cellId.Value(), m_cell.m_fence.Value());
  LoadInterference();
}

void CellOwner::LoadInterference() {
  m_store.Read(kInterferenceTable, m_part, "", kLoadTimeout,
               [self = shared_from_this()](RowsResult aResult) {
                 if (self->m_ended) return;
                 self->OnInterference(aResult);
                 self->LoadStates("");
               });
}

void CellOwner::OnInterference(const RowsResult& aResult) {
  // The table is not required: the cell can learn it again from measurements.
  if (aResult.m_outcome != StoreOutcome::Done) {
    m_log.Write("[cell]",
                "interference table not read, learning it anew cell={}",
                m_cellId.Value());
    return;
  }
  for (const StoreRow& row : aResult.m_rows) {
    const auto stored = DecodeInterference(row.m_value);
    if (stored) {
      sched::RestoreInterference(m_cell.m_interference, stored.value());
    } else {
      m_log.Write("[cell]", "skipped invalid interference row={} error={}",
                  row.m_key.m_key, stored.error().m_message);
    }
  }
}

void CellOwner::LoadStates(std::string aFrom) {
  m_store.Read(kStateTable, m_part, aFrom, kLoadTimeout,
               [self = shared_from_this()](RowsResult aResult) {
                 self->OnStates(std::move(aResult));
               });
}

void CellOwner::OnStates(RowsResult aResult) {
  if (m_ended) return;
  if (aResult.m_outcome != StoreOutcome::Done) {
    m_commitTimer.expires_after(kLoadRetry);
    m_commitTimer.async_wait(
        [self = shared_from_this()](boost::system::error_code aError) {
          if (!aError) self->LoadStates("");
        });
    return;
  }
  for (const StoreRow& row : aResult.m_rows) {
    auto state = DecodeJobState(row.m_value);
    if (!state) {
      m_log.Write("[cell]", "skipped invalid job state row={} error={}",
                  row.m_key.m_key, state.error().m_message);
      continue;
    }
    const JobId job = state.value().m_job;
    m_loadedStates[job] = std::move(state.value());
  }
  if (aResult.m_truncated && !aResult.m_rows.empty()) {
    LoadStates(aResult.m_rows.back().m_key.m_key + "%00");
    return;
  }
  LoadJobs("");
}

void CellOwner::LoadJobs(std::string aFrom) {
  m_store.Read(kJobTable, m_part, aFrom, kLoadTimeout,
               [self = shared_from_this(), aFrom](RowsResult aResult) {
                 if (self->m_ended) return;
                 if (aResult.m_outcome == StoreOutcome::Done) {
                   self->OnJobs(std::move(aResult));
                   return;
                 }
                 self->m_commitTimer.expires_after(kLoadRetry);
                 self->m_commitTimer.async_wait(
                     [self, aFrom](boost::system::error_code aError) {
                       if (!aError) self->LoadJobs(aFrom);
                     });
               });
}

void CellOwner::OnJobs(RowsResult aResult) {
  const TimePoint now = BootNow();
  for (const StoreRow& row : aResult.m_rows) {
    auto spec = DecodeJobSpec(row.m_value);
    if (!spec) {
      m_log.Write("[cell]", "skipped invalid job row={} error={}",
                  row.m_key.m_key, spec.error().m_message);
      continue;
    }
    const auto state = m_loadedStates.find(spec.value().m_id);
    if (state == m_loadedStates.end()) continue;
    sched::RestoreJob(m_cell, std::move(spec.value()), state->second, now,
                      UnixNow());
    ++m_loadedJobs;
  }
  if (aResult.m_truncated && !aResult.m_rows.empty()) {
    LoadJobs(aResult.m_rows.back().m_key.m_key + "%00");
    return;
  }
  BeginScheduling();
}

void CellOwner::OnRunnerRow(const StoreRow& aRow) {
  auto entry = DecodeRunnerEntry(aRow.m_key.m_key, aRow.m_value);
  if (!entry) {
    m_log.Write("[runners]", "skipped invalid runner entry={} error={}",
                aRow.m_key.m_key, entry.error().m_message);
    return;
  }
  sched::UpdateRunner(m_cell, entry.value(), BootNow());
  RequestPass();
}

void CellOwner::SetSettings(const sched::CellSettings& aSettings) {
  // The longest lease that earlier owners may have granted does not depend on
  // the settings of this owner.
  const Duration earlierLease = m_cell.m_settings.m_maxLease;
  m_cell.m_settings = aSettings;
  m_cell.m_settings.m_maxLease = earlierLease;
  m_ownerRow.m_longestLease =
      std::max(m_ownerRow.m_longestLease, aSettings.m_lease);
}

void CellOwner::SetConfig(const sched::LiveConfig& aConfig) {
  sched::ApplyLiveConfig(m_cell, aConfig);
  RequestPass();
}

void CellOwner::RestoreUnresponsive() {
  for (const UnresponsiveRunnerRow& row : m_ownerRow.m_unresponsive) {
    const auto lapsesAt = m_store.LocalTimeUpperBound(row.m_lapsesAt);
    if (!lapsesAt) continue;
    sched::RestoreUnresponsiveRunner(m_cell, {row.m_runner, *lapsesAt},
                                     BootNow());
    m_log.Write("[cell]",
                "unresponsive before takeover runner={} lapses_in_ms={}",
                row.m_runner.Value(),
                std::chrono::duration_cast<milliseconds>(*lapsesAt - BootNow())
                    .count());
  }
}

void CellOwner::BeginScheduling() {
  m_loaded = true;
  RestoreUnresponsive();
  m_loadedStates.clear();
  m_log.Write("[cell]",
              "loaded, scheduling cell={} fence={} jobs={} queued_steps={}",
              m_cellId.Value(), m_cell.m_fence.Value(), m_loadedJobs,
              m_cell.m_queue.size());
  m_runnerWatch = std::make_shared<TableWatch>(
      m_context, m_store, m_log, kRunnerTable,
      TableListener{[this](const StoreRow& aRow) { OnRunnerRow(aRow); },
                    [this](const std::string& aKey) {
                      sched::RemoveRunner(m_cell, RunnerId(aKey));
                    }});
  m_runnerWatch->Start();
  Tick();
}

void CellOwner::Tick() {
  if (m_ended) return;
  const TimePoint now = BootNow();
  sched::AdvanceJobs(m_cell, now, UnixNow());
  sched::AdvanceRunners(m_cell, now);
  // Quarantines and pauses after refusals expire without any other event, so a
  // queued step may fit now.
  m_cell.m_capacityChanged =
      m_cell.m_capacityChanged || !m_cell.m_queue.empty();
  FailWaiters(
      MakeError(ErrorKind::Timeout,
                "the change was not stored before the caller's deadline"),
      true);
  if (!m_authorityLapsed && now - m_lastCommitSentAt > kAuthorityDuration) {
    m_authorityLapsed = true;
    m_log.Write(
        "[store]",
        "no commit acknowledged, sending no starts cell={} last_commit_ms={}",
        m_cellId.Value(),
        std::chrono::duration_cast<milliseconds>(now - m_lastCommitSentAt)
            .count());
  }
  RunPass();
  m_log.Flush();
  m_tickTimer.expires_after(kTick);
  m_tickTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code aError) {
        if (!aError) self->Tick();
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
  if (!m_onReleased) sched::PlaceTasks(m_cell, BootNow());
  SendOrders();
  SendRenewals();
  StartCommit();
}

bool CellOwner::HasAuthority(TimePoint aNow) const {
  return aNow - m_lastCommitSentAt < kAuthorityDuration;
}

bool CellOwner::StepDownIfFenced(const RunnerTarget& aTarget,
                                 sched::RunnerIndex aRunner,
                                 sched::OrderOutcome aOutcome) {
  if (aOutcome != sched::OrderOutcome::RefusedFence) return false;
  // The higher token that the runner has seen may be a newer one of this owner.
  if (aTarget.m_fence < TargetOf(aRunner).m_fence) return false;
  // Another daemon has claimed the cell. This owner may not see the claim in
  // the store if it cannot reach the store.
  LoseCell("a runner has seen a higher fencing token");
  return true;
}

RunnerTarget CellOwner::TargetOf(sched::RunnerIndex aRunner) const {
  const sched::Runner& runner = m_cell.m_runners[aRunner.Value()];
  return {runner.m_entry.m_address, runner.m_entry.m_id, runner.m_fence};
}

void CellOwner::SendOrders() {
  while (!m_cell.m_orders.empty()) {
    const std::vector<sched::Order> orders = std::move(m_cell.m_orders);
    m_cell.m_orders.clear();
    for (const sched::Order& order : orders) {
      std::visit([this](const auto& aOrder) { SendOrder(aOrder); }, order);
    }
  }
}

void CellOwner::SendOrder(const sched::StartOrder& aOrder) {
  const TimePoint now = BootNow();
  // Checked right before each start: this VM may have been suspended for so
  // long that another daemon schedules the cell by now.
  if (!HasAuthority(now)) {
    sched::ApplyStartAnswer(m_cell, aOrder, sched::OrderOutcome::NotSent, now);
    return;
  }
  sched::Runner& runner = m_cell.m_runners[aOrder.m_runner.Value()];
  const auto deadline = sched::OrderDeadline(m_cell, runner, now);
  m_log.Write("[cell]", "start task={} run={} runner={} fence={}",
              sched::TaskText(aOrder.m_task), aOrder.m_run.Value(),
              runner.m_entry.m_id.Value(), runner.m_fence.Value());
  const RunnerTarget target = TargetOf(aOrder.m_runner);
  m_runners.Start(
      target, aOrder, m_cell.m_jobs.at(aOrder.m_task.m_job).m_spec.m_payload,
      deadline,
      [self = shared_from_this(), aOrder, target](OrderAnswer aAnswer) {
        if (self->m_ended || self->StepDownIfFenced(target, aOrder.m_runner,
                                                    aAnswer.m_outcome)) {
          return;
        }
        if (aAnswer.m_outcome != sched::OrderOutcome::Applied) {
          self->m_log.Write("[cell]",
                            "start not confirmed task={} run={} error={}",
                            sched::TaskText(aOrder.m_task),
                            aOrder.m_run.Value(), aAnswer.m_error);
        }
        sched::ApplyStartAnswer(self->m_cell, aOrder, aAnswer.m_outcome,
                                BootNow());
        self->RequestPass();
      });
}

void CellOwner::SendOrder(const sched::StopOrder& aOrder) {
  const RunnerTarget target = TargetOf(aOrder.m_runner);
  if (target.m_address.empty()) return;
  m_log.Write("[cell]", "stop task={} run={} runner={}",
              sched::TaskText(aOrder.m_task), aOrder.m_run.Value(),
              target.m_id.Value());
  m_runners.Stop(
      target, aOrder,
      [self = shared_from_this(), aOrder, target](OrderAnswer aAnswer) {
        if (self->m_ended || self->StepDownIfFenced(target, aOrder.m_runner,
                                                    aAnswer.m_outcome)) {
          return;
        }
        sched::ApplyStopAnswer(self->m_cell, aOrder, aAnswer.m_outcome,
                               BootNow());
        self->RequestPass();
      });
}

void CellOwner::SendOrder(const sched::PaceOrder& aOrder) {
  m_runners.Pace(TargetOf(aOrder.m_runner), aOrder,
                 [self = shared_from_this(), aOrder](OrderAnswer aAnswer) {
                   if (self->m_ended) return;
                   sched::ApplyPaceAnswer(self->m_cell, aOrder,
                                          aAnswer.m_outcome);
                 });
}

void CellOwner::SendOrder(const sched::AdviceOrder& aOrder) {
  std::vector<RunnerId> runners;
  for (const sched::RunnerIndex runner : aOrder.m_runners) {
    runners.push_back(m_cell.m_runners[runner.Value()].m_entry.m_id);
  }
  m_advisor.Ask(
      aOrder, runners,
      [self = shared_from_this(), aOrder,
       askedAt = BootNow()](Result<AdviceAnswer> aAnswer) {
        if (self->m_ended) return;
        if (aAnswer) {
          sched::ApplyAdvice(self->m_cell, aOrder, aAnswer.value().m_approved,
                             aAnswer.value().m_valid, askedAt);
        } else {
          self->m_log.Write("[advice]", "advice call failed step={} error={}",
                            sched::StepText(aOrder.m_step),
                            aAnswer.error().m_message);
          sched::ApplyAdviceFailure(self->m_cell, aOrder, BootNow());
        }
        self->RequestPass();
      });
}

void CellOwner::SendOrder(const sched::Decision& aDecision) {
  m_log.WriteLine("[cell]", aDecision.m_text);
}

void CellOwner::SendRenewals() {
  const TimePoint now = BootNow();
  for (uint32_t at = 0; at < m_cell.m_runners.size(); ++at) {
    const auto order = sched::NextRenewal(m_cell, sched::RunnerIndex(at), now);
    if (!order) continue;
    m_runners.RenewLease(*order, [self = shared_from_this(),
                                  runner = order->m_runner,
                                  target = TargetOf(order->m_runner),
                                  sentAt = now](RenewalAnswer aAnswer) {
      if (self->m_ended ||
          self->StepDownIfFenced(target, runner, aAnswer.m_outcome)) {
        return;
      }
      const TimePoint answeredAt = BootNow();
      if (aAnswer.m_outcome == sched::OrderOutcome::Applied) {
        sched::ApplyReport(self->m_cell, runner, aAnswer.m_report, sentAt,
                           answeredAt);
      } else {
        self->m_log.Write("[runners]",
                          "lease renewal failed runner={} error={}",
                          self->TargetOf(runner).m_id.Value(), aAnswer.m_error);
        sched::ApplyRenewalFailure(self->m_cell, runner, aAnswer.m_outcome,
                                   answeredAt);
      }
      self->RequestPass();
    });
  }
}

void CellOwner::Handle(PeerCall aCall, AnswerHandler aHandler) {
  PeerAnswer answer;
  if (!IsScheduling() || m_onReleased) {
    answer.m_error = MakeError(ErrorKind::NotOwner,
                               "the cell is being loaded or handed over");
    aHandler(std::move(answer));
    return;
  }
  const TimePoint now = BootNow();
  switch (aCall.m_verb) {
    case PeerVerb::Submit: {
      // A job that is already known is accepted again even if the last commit
      // failed.
      const bool isNew = m_cell.m_jobs.count(aCall.m_job) == 0;
      if (!HasAuthority(now) || (isNew && m_lastCommitTryFailed)) {
        answer.m_error = MakeError(ErrorKind::StoreUnavailable,
                                   "the store is not available");
        break;
      }
      auto when =
          sched::SubmitJob(m_cell, std::move(aCall.m_spec), now, UnixNow());
      if (when) {
        m_log.Write("[cell]", "submit job={:016x} queue={} version={}",
                    aCall.m_job.Value(), aCall.m_queue.Value(),
                    when.value().m_version);
        WaitFor(when.value(), aCall, std::move(aHandler));
        RequestPass();
        return;
      }
      answer.m_error = when.error();
      break;
    }
    case PeerVerb::Cancel: {
      auto when = sched::CancelJob(m_cell, aCall.m_job, now);
      if (when) {
        m_log.Write("[cell]", "cancel job={:016x}", aCall.m_job.Value());
        WaitFor(when.value(), aCall, std::move(aHandler));
        RequestPass();
        return;
      }
      answer.m_error = when.error();
      break;
    }
    case PeerVerb::LookUp: {
      const auto state = sched::LookUpJob(m_cell, aCall.m_job);
      if (state) {
        answer.m_state = state.value();
      } else if (HasAuthority(now)) {
        answer.m_error = state.error();
      } else {
        // Another daemon may own the cell by now and may have accepted a job
        // that is missing here.
        answer.m_error = MakeError(ErrorKind::StoreUnavailable,
                                   "the store is not available");
      }
      break;
    }
    case PeerVerb::CountPending:
      answer.m_count = sched::PendingJobs(m_cell, aCall.m_queue);
      break;
  }
  aHandler(std::move(answer));
}

}  // namespace bronze

/**
 * @file cell_owner_orders.cpp Sends the orders and lease renewals of a cell to
 * its runners.
 */

#include "core/sched/advice_cmd.h"
#include "core/sched/name_func.h"
#include "core/sched/runner_cmd.h"
#include "scheduler/boot_clock.h"
#include "scheduler/cell_owner.h"

namespace bronze {

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

sched::OrderOutcome CellOwner::ProvenOutcome(const RunnerTarget& aTarget,
                                             sched::RunnerIndex aRunner,
                                             sched::OrderOutcome aOutcome) {
  const sched::OrderOutcome proven = sched::OutcomeAt(
      m_cell.m_runners[aRunner.Value()], aTarget.m_address, aOutcome);
  if (proven == sched::OrderOutcome::WrongAddress) {
    ++m_cell.m_counts.m_misdirectedOrders;
    m_log.Write(
        "[runners]",
        "another runner answers, nothing concluded runner={} address={}",
        aTarget.m_id.Value(), aTarget.m_address);
  }
  return proven;
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
  if (!MayStart(aOrder.m_runner, now)) {
    if (m_cell.m_runners[aOrder.m_runner.Value()].m_evacuated) {
      ++m_cell.m_counts.m_evacuatedStarts;
    }
    sched::ApplyStartAnswer(m_cell, aOrder, sched::OrderOutcome::Withdrawn, {},
                            now);
    return;
  }
  sched::Runner& runner = m_cell.m_runners[aOrder.m_runner.Value()];
  const auto deadline = sched::OrderDeadline(m_cell, runner, now);
  m_log.Write("[cell]", "start task={} run={} runner={} fence={}",
              sched::TaskText(aOrder.m_task), aOrder.m_run.Value(),
              runner.m_entry.m_id.Value(), runner.m_fence.Value());
  const RunnerTarget target = TargetOf(aOrder.m_runner);
  m_links.m_runners.Start(
      target, aOrder, m_cell.m_jobs.at(aOrder.m_task.m_job).m_spec.m_payload,
      deadline,
      [self = shared_from_this(), runner = aOrder.m_runner] {
        return self->MayStart(runner, BootNow());
      },
      [self = shared_from_this(), aOrder, target](OrderAnswer aAnswer) {
        if (self->m_ended || self->StepDownIfFenced(target, aOrder.m_runner,
                                                    aAnswer.m_outcome)) {
          return;
        }
        if (aAnswer.m_outcome != sched::OrderOutcome::Applied) {
          self->m_log.Write(
              "[cell]", "start not confirmed task={} run={} error={} {}",
              sched::TaskText(aOrder.m_task), aOrder.m_run.Value(),
              aAnswer.m_error, OriginFields(aAnswer.m_origin));
        }
        sched::ApplyStartAnswer(
            self->m_cell, aOrder,
            sched::OutcomeOfOwnStart(
                self->ProvenOutcome(target, aOrder.m_runner, aAnswer.m_outcome),
                aAnswer.m_origin.m_earlierReplies > 0),
            aAnswer.m_clock, BootNow());
        self->RequestPass();
      });
}

void CellOwner::SendOrder(const sched::StopOrder& aOrder) {
  const RunnerTarget target = TargetOf(aOrder.m_runner);
  if (target.m_address.empty()) return;
  m_log.Write("[cell]", "stop task={} run={} runner={}",
              sched::TaskText(aOrder.m_task), aOrder.m_run.Value(),
              target.m_id.Value());
  m_links.m_runners.Stop(
      target, aOrder,
      [self = shared_from_this(), aOrder, target](OrderAnswer aAnswer) {
        if (self->m_ended || self->StepDownIfFenced(target, aOrder.m_runner,
                                                    aAnswer.m_outcome)) {
          return;
        }
        self->m_log.Write("[cell]", "stop answered task={} run={} answer={} {}",
                          sched::TaskText(aOrder.m_task), aOrder.m_run.Value(),
                          aAnswer.m_error, OriginFields(aAnswer.m_origin));
        sched::ApplyStopAnswer(
            self->m_cell, aOrder,
            self->ProvenOutcome(target, aOrder.m_runner, aAnswer.m_outcome),
            BootNow());
        self->RequestPass();
      });
}

void CellOwner::SendOrder(const sched::PaceOrder& aOrder) {
  m_links.m_runners.Pace(
      TargetOf(aOrder.m_runner), aOrder,
      [self = shared_from_this(), aOrder](OrderAnswer aAnswer) {
        if (self->m_ended) return;
        sched::ApplyPaceAnswer(self->m_cell, aOrder, aAnswer.m_outcome);
      });
}

void CellOwner::SendOrder(const sched::AdviceOrder& aOrder) {
  std::vector<RunnerId> runners;
  for (const sched::RunnerIndex runner : aOrder.m_runners) {
    runners.push_back(m_cell.m_runners[runner.Value()].m_entry.m_id);
  }
  m_links.m_advisor.Ask(
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
    m_links.m_runners.RenewLease(*order, [self = shared_from_this(),
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
                          "lease renewal failed runner={} error={} {}",
                          self->TargetOf(runner).m_id.Value(), aAnswer.m_error,
                          OriginFields(aAnswer.m_origin));
        sched::ApplyRenewalFailure(
            self->m_cell, runner,
            self->ProvenOutcome(target, runner, aAnswer.m_outcome), answeredAt);
      }
      self->RequestPass();
    });
  }
}

}  // namespace bronze

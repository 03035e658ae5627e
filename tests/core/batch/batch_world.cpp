/**
 * @file batch_world.cpp Simulation of batch scheduling with a fake table, fake
 *                       workers and a virtual clock.
 */

#include "batch_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "codec/batch_json.h"
#include "core/batch/row_key_func.h"

namespace bronze {

TableCommitResult FakeTable::Commit(const TableTransaction& aCommit) {
  TableCommitResult result;
  for (const TableCheck& check : aCommit.m_checks) {
    if (Read(check.m_key).m_version != check.m_version) {
      result.m_conflicts.push_back(check.m_key);
    }
  }
  if (!result.m_conflicts.empty()) return result;
  ++m_commits;
  result.m_committed = true;
  result.m_version = RowVersion(++m_version);
  for (const TableCheck& check : aCommit.m_checks) {
    m_bytes += check.m_key.size();
  }
  for (const TableWrite& write : aCommit.m_writes) {
    m_bytes += write.m_key.size() + write.m_value.value_or("").size();
    if (write.m_value) {
      m_rows[write.m_key] = {write.m_key, *write.m_value, result.m_version};
    } else {
      m_rows.erase(write.m_key);
    }
  }
  return result;
}

TableRow FakeTable::Read(const std::string& aKey) const {
  const auto found = m_rows.find(aKey);
  return found == m_rows.end() ? TableRow{aKey, "", RowVersion()}
                               : found->second;
}

std::vector<TableRow> FakeTable::Scan(const std::string& aPrefix) const {
  std::vector<TableRow> rows;
  for (auto item = m_rows.lower_bound(aPrefix);
       item != m_rows.end() && item->first.starts_with(aPrefix); ++item) {
    rows.push_back(item->second);
  }
  return rows;
}

BatchWorld::BatchWorld(int aRacks, int aWorkersPerRack, Resources aSize) {
  for (int rack = 0; rack < aRacks; ++rack) {
    const RackId rackId(fmt::format("r{:02}", rack));
    m_racks.insert(rackId);
    for (int index = 0; index < aWorkersPerRack; ++index) {
      FakeWorker worker;
      worker.m_info.m_id = fmt::format("w{:02}-{}", rack, index);
      worker.m_info.m_role = VmRole::Worker;
      worker.m_info.m_rack = rackId;
      worker.m_info.m_resources = aSize;
      m_workers.emplace(WorkerId(worker.m_info.m_id), std::move(worker));
    }
  }
}

BatchWorld::~BatchWorld() = default;

FakeDaemon& BatchWorld::AddDaemon(bool aNewEpoch) {
  if (aNewEpoch) {
    TableTransaction epoch;
    epoch.m_writes = {{"epoch/x", fmt::format("{}", m_daemons.size())}};
    (void)m_table.Commit(epoch);
  }
  m_daemons.push_back(
      std::make_unique<FakeDaemon>(*this, static_cast<int>(m_daemons.size())));
  m_daemons.back()->Recover();
  return *m_daemons.back();
}

void BatchWorld::Kill(FakeDaemon& aDaemon) {
  aDaemon.m_paused = true;
  aDaemon.m_acting = false;
  std::erase_if(m_actions,
                [&](const auto& aAction) { return aAction.first == &aDaemon; });
}

void BatchWorld::Post(FakeDaemon* aDaemon, std::function<void()> aAction) {
  m_actions.emplace_back(aDaemon, std::move(aAction));
}

void BatchWorld::Step() {
  ++m_steps;
  const auto next =
      std::find_if(m_actions.begin(), m_actions.end(), [](const auto& aAction) {
        return aAction.first == nullptr || !aAction.first->m_paused;
      });
  if (next != m_actions.end()) {
    const auto action = std::move(next->second);
    m_actions.erase(next);
    m_actionSteps.insert(m_steps);
    action();
    if (m_transit > Duration::zero()) Advance(m_transit);
  } else {
    Advance(milliseconds(50));
    for (const auto& daemon : m_daemons) {
      if (!daemon->m_paused) daemon->Tick();
    }
  }
  if (m_check) CheckInvariants();
}

bool BatchWorld::RunUntil(const std::function<bool()>& aDone, Duration aLimit) {
  const TimePoint end = m_now + aLimit;
  while (m_now < end) {
    if (aDone()) return true;
    Step();
  }
  return aDone();
}

void BatchWorld::RunFor(Duration aTime) {
  (void)RunUntil([] { return false; }, aTime);
}

void BatchWorld::Advance(Duration aTime) {
  m_now += aTime;
  for (auto& [id, worker] : m_workers) {
    if (worker.m_paused) continue;
    for (auto& [task, run] : worker.m_runs) {
      if (run.m_state != WorkerTaskState::Running) continue;
      if (run.m_leaseEnd <= m_now && run.m_leaseEnd <= run.m_end) {
        run.m_state = WorkerTaskState::Stopped;
      } else if (run.m_end <= m_now) {
        run.m_state = worker.m_failsAll ? WorkerTaskState::Failed
                                        : WorkerTaskState::Finished;
        if (worker.m_failsAll) continue;
        ++m_finishes[task];
        ++m_finishesOfKind[run.m_kind];
      }
    }
  }
}

void BatchWorld::CheckInvariants() {
  std::map<TaskId, WorkerId> places;
  for (const auto& [id, worker] : m_workers) {
    Resources size;
    Resources usage;
    for (const auto& [task, run] : worker.m_runs) {
      if (run.m_state != WorkerTaskState::Running) continue;
      size += run.m_size;
      usage.m_cores += std::min(run.m_usage.m_cores, run.m_size.m_cores);
      if (worker.m_paused) continue;
      if (!places.emplace(task, id).second) {
        m_violations.push_back("task runs on two workers: " + TaskText(task));
      }
    }
    if (!Fits(size, worker.m_info.m_resources)) {
      m_violations.push_back("worker over capacity: " + id.Value());
    }
  }
  if (!m_finishesOnce) return;
  for (const auto& [task, count] : m_finishes) {
    if (count > 1)
      m_violations.push_back("task finished twice: " + TaskText(task));
  }
}

std::optional<TaskRow> BatchWorld::RowOf(TaskId aTask) const {
  const TableRow row = m_table.Read(TaskKey(aTask));
  if (row.m_version == RowVersion()) return std::nullopt;
  return DecodeTaskRow(row.m_value).value();
}

int BatchWorld::CountState(TaskState aState) const {
  int count = 0;
  for (const TableRow& row : m_table.Scan("task/")) {
    count += DecodeTaskRow(row.m_value).value().m_state == aState ? 1 : 0;
  }
  return count;
}

int BatchWorld::Running() const {
  int count = 0;
  for (const auto& [id, worker] : m_workers) {
    for (const auto& [task, run] : worker.m_runs) {
      count += run.m_state == WorkerTaskState::Running ? 1 : 0;
    }
  }
  return count;
}

FakeWorker& BatchWorld::WorkerOf(const WorkerId& aWorker) {
  return m_workers.at(aWorker);
}

void BatchWorld::Resume(const WorkerId& aWorker) {
  FakeWorker& worker = WorkerOf(aWorker);
  worker.m_paused = false;
  Advance(Duration::zero());
  for (const auto& call : std::exchange(worker.m_buffer, {})) call();
}

bool BatchWorld::IsStale(FakeWorker& aWorker, TaskId aTask,
                         FencingToken aToken) {
  FencingToken& highest = aWorker.m_highest[aTask];
  if (aToken < highest) return true;
  highest = aToken;
  return false;
}

WorkerCallEnd BatchWorld::Start(const WorkerId& aWorker,
                                const WorkerStart& aStart) {
  FakeWorker& worker = WorkerOf(aWorker);
  if (worker.m_crashed) return WorkerCallEnd::NotSent;
  if (worker.m_paused) {
    worker.m_buffer.emplace_back(
        [this, aWorker, aStart] { (void)Start(aWorker, aStart); });
    return WorkerCallEnd::Lost;
  }
  if (IsStale(worker, aStart.m_task, aStart.m_token)) {
    return WorkerCallEnd::StaleToken;
  }
  const auto known = worker.m_runs.find(aStart.m_task);
  if (known == worker.m_runs.end() || known->second.m_token < aStart.m_token) {
    Resources held = aStart.m_resources;
    for (const auto& [task, run] : worker.m_runs) {
      if (run.m_state == WorkerTaskState::Running) held += run.m_size;
    }
    if (!Fits(held, worker.m_info.m_resources)) return WorkerCallEnd::Refused;
    FakeRun run;
    run.m_token = aStart.m_token;
    run.m_size = aStart.m_resources;
    run.m_kind = aStart.m_kind;
    run.m_checkpoint = aStart.m_checkpoint;
    run.m_usage = m_usageOf ? m_usageOf(aStart.m_task, aStart) : Resources{};
    run.m_leaseEnd = m_now + aStart.m_lease;
    run.m_end =
        m_now + (m_runTimeOf ? m_runTimeOf(aStart.m_task, aStart) : m_runTime);
    worker.m_runs[aStart.m_task] = run;
    const auto row = RowOf(aStart.m_task);
    if (!row || IsEnded(row->m_state)) {
      m_violations.push_back("task started after its end: " +
                             TaskText(aStart.m_task));
    }
    ++m_starts;
  }
  return worker.m_answersLost ? WorkerCallEnd::Lost : WorkerCallEnd::Answered;
}

WorkerCallEnd BatchWorld::Stop(const WorkerId& aWorker, TaskId aTask,
                               FencingToken aToken, SeenAtWorker& aAnswer) {
  FakeWorker& worker = WorkerOf(aWorker);
  if (worker.m_crashed) return WorkerCallEnd::NotSent;
  if (worker.m_paused) {
    worker.m_buffer.emplace_back([this, aWorker, aTask, aToken] {
      SeenAtWorker answer = SeenAtWorker::Unknown;
      (void)Stop(aWorker, aTask, aToken, answer);
    });
    return WorkerCallEnd::Lost;
  }
  if (IsStale(worker, aTask, aToken)) return WorkerCallEnd::StaleToken;
  const auto run = worker.m_runs.find(aTask);
  aAnswer = SeenAtWorker::Unknown;
  if (run != worker.m_runs.end()) {
    if (run->second.m_state == WorkerTaskState::Running) {
      run->second.m_state = WorkerTaskState::Stopped;
      ++m_evictions;
    }
    aAnswer = run->second.m_state == WorkerTaskState::Finished
                  ? SeenAtWorker::Finished
              : run->second.m_state == WorkerTaskState::Failed
                  ? SeenAtWorker::Failed
                  : SeenAtWorker::Stopped;
  }
  return worker.m_answersLost ? WorkerCallEnd::Lost : WorkerCallEnd::Answered;
}

WorkerCallEnd BatchWorld::Checkpoint(const WorkerId& aWorker, TaskId aTask,
                                     FencingToken aToken, SeenAtWorker& aAnswer,
                                     ObjectName& aName) {
  FakeWorker& worker = WorkerOf(aWorker);
  if (worker.m_noCheckpoints) return WorkerCallEnd::Refused;
  const auto run = worker.m_runs.find(aTask);
  const bool running = !worker.m_paused && run != worker.m_runs.end() &&
                       run->second.m_state == WorkerTaskState::Running;
  const WorkerCallEnd end = Stop(aWorker, aTask, aToken, aAnswer);
  if (running && aAnswer == SeenAtWorker::Stopped) {
    run->second.m_state = WorkerTaskState::Checkpointed;
    run->second.m_checkpoint =
        ObjectName(fmt::format("c{}", m_nextCheckpoint++));
  }
  if (run != worker.m_runs.end()) aName = run->second.m_checkpoint;
  return end;
}

WorkerCallEnd BatchWorld::Renew(const RenewWorkerLease& aCall,
                                std::vector<TaskId>& aUnknown) {
  FakeWorker& worker = WorkerOf(aCall.m_worker);
  if (worker.m_crashed) return WorkerCallEnd::NotSent;
  if (worker.m_paused) {
    worker.m_buffer.emplace_back([this, aCall] {
      std::vector<TaskId> unknown;
      (void)Renew(aCall, unknown);
    });
    return WorkerCallEnd::Lost;
  }
  for (const auto& [task, token] : aCall.m_tasks) {
    const auto run = worker.m_runs.find(task);
    if (run == worker.m_runs.end() || run->second.m_token != token) {
      aUnknown.push_back(task);
    } else {
      run->second.m_leaseEnd = m_now + aCall.m_lease;
    }
  }
  for (const auto& [task, token] : aCall.m_forget) {
    const auto run = worker.m_runs.find(task);
    if (run != worker.m_runs.end() && run->second.m_token == token &&
        run->second.m_state != WorkerTaskState::Running) {
      worker.m_runs.erase(run);
    }
  }
  return worker.m_answersLost ? WorkerCallEnd::Lost : WorkerCallEnd::Answered;
}

std::optional<WorkerReport> BatchWorld::Report(const WorkerId& aWorker) {
  FakeWorker& worker = WorkerOf(aWorker);
  if (worker.m_crashed || worker.m_answersLost || worker.m_paused)
    return std::nullopt;
  WorkerReport report;
  report.m_worker = aWorker;
  for (const auto& [task, run] : worker.m_runs) {
    report.m_tasks.push_back({task, run.m_token, run.m_state, run.m_usage,
                              run.m_checkpoint, "set by the fake worker"});
  }
  if (m_onReport) m_onReport(worker, report);
  return report;
}

}  // namespace bronze

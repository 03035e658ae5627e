/**
 * @file fake_daemon.cpp Carries out the effects of batch scheduling in tests.
 */

#include <fmt/format.h>

#include <charconv>

#include "batch_world.h"
#include "codec/batch_json.h"
#include "core/batch/row_key_func.h"

namespace bronze {

namespace {

CommitSequence SequenceIn(const TableRow& aRow) {
  uint64_t value = 0;
  std::from_chars(aRow.m_value.data(),
                  aRow.m_value.data() + aRow.m_value.size(), value);
  return CommitSequence(value);
}

}  // namespace

FakeDaemon::FakeDaemon(BatchWorld& aWorld, int aNumber)
    : m_world(aWorld), m_number(aNumber) {
  m_racks.m_random.seed(7);
  m_teams.m_random.seed(11);
}

void FakeDaemon::Recover() {
  m_epoch = m_world.m_table.Read("epoch/x");
  const TableRow lease =
      m_world.m_table.Read(fmt::format("lease/v{}", m_number));
  StartCommits(m_commit, SequenceIn(lease), lease.m_version);
  BatchEffects effects;
  const int partitions = static_cast<int>(m_world.m_partitions);
  int index = 0;
  for (const RackId& rack : m_world.m_racks) {
    if (index++ % partitions != m_number % partitions) continue;
    OwnRack(m_racks, rack, effects);
  }
  for (int shard = m_number % partitions; shard < 256; shard += partitions) {
    OwnShard(m_teams, TeamShard{static_cast<uint8_t>(shard)}, m_world.m_now,
             effects);
  }
  CarryOut(std::move(effects));
}

void FakeDaemon::Tick() {
  if (!m_acting) return;
  if (m_world.m_now >= m_nextList) {
    // The list of VMs; read every second, so that tests see changes soon.
    m_nextList = m_world.m_now + seconds(1);
    std::vector<VmInfo> vms;
    for (const auto& [id, worker] : m_world.m_workers) {
      vms.push_back(worker.m_info);
    }
    UseWorkerList(m_racks, vms, m_world.m_now);
    UseWorkerSizes(m_teams, vms);
    if (m_world.m_partitions > 1) {
      std::vector<RackSummary> summaries;
      for (size_t unit = 0; unit < m_world.m_partitions; ++unit) {
        const auto part = SummarizeRacks(m_world.OwnerOf(unit).m_racks);
        summaries.insert(summaries.end(), part.begin(), part.end());
      }
      UseSummaries(m_teams, std::move(summaries));
    }
  }
  BatchEffects effects;
  TickRacks(m_racks, m_world.m_now, m_counters, effects);
  if (m_world.m_now >= m_nextTeams) {
    m_nextTeams = m_world.m_now + milliseconds(100);
    if (m_world.m_partitions == 1)
      UseSummaries(m_teams, SummarizeRacks(m_racks));
    TickTeams(m_teams, m_world.m_now, m_counters, effects);
  }
  CarryOut(std::move(effects));
  if (const auto due = DueCommit(m_commit, m_epoch.m_version, m_world.m_now)) {
    m_sentSequence = due->m_sequence;
    StoreEffects store;
    BeginCommit(m_commit, Fence(due->m_sequence), m_world.m_now, m_counters,
                store);
    CarryOut(std::move(store));
  }
}

void FakeDaemon::Submit(const JobRow& aRow) {
  BatchEffects effects;
  JobSubmission submission;
  submission.m_row = aRow;
  submission.m_random = m_teams.m_random() * uint64_t{2654435761U};
  SubmitJob(m_teams, submission, m_world.m_now, m_counters, effects);
  CarryOut(std::move(effects));
}

void FakeDaemon::Cancel(JobId aJob) {
  BatchEffects effects;
  CancelJob(m_teams, aJob, 0, m_world.m_now, m_counters, effects);
  CarryOut(std::move(effects));
}

CommitFence FakeDaemon::Fence(CommitSequence aSequence) const {
  return {{"epoch/x", m_epoch.m_version},
          fmt::format("lease/v{}", m_number),
          fmt::format("{}", aSequence.Value())};
}

void FakeDaemon::Post(std::function<void()> aAction) {
  m_world.Post(this, std::move(aAction));
}

void FakeDaemon::CarryOut(BatchEffects aEffects) {
  for (BatchEffect& effect : aEffects) {
    std::visit([this](auto& aEffect) { Do(aEffect); }, effect);
  }
}

void FakeDaemon::CarryOut(StoreEffects aEffects) {
  for (StoreEffect& effect : aEffects) {
    std::visit([this](auto& aEffect) { Do(aEffect); }, effect);
  }
}

void FakeDaemon::Do(SubmitChange& aEffect) {
  AddChange(m_commit, EncodeChange(aEffect));
}

void FakeDaemon::Do(SendOffers& aEffect) {
  FakeDaemon* owner = m_world.m_partitions == 1
                          ? this
                          : &m_world.OwnerOf(aEffect.m_offers.m_rack);
  owner->Post([owner, offers = aEffect.m_offers] {
    BatchEffects effects;
    OffersArrived(owner->m_racks, offers, owner->m_world.m_now,
                  owner->m_counters, effects);
    owner->CarryOut(std::move(effects));
  });
}

void FakeDaemon::Do(SendUpdates& aEffect) {
  FakeDaemon* owner = m_world.m_partitions == 1
                          ? this
                          : &m_world.OwnerOf(aEffect.m_shard.m_value);
  owner->Post([owner, updates = aEffect.m_updates] {
    UpdatesArrived(owner->m_teams, updates, owner->m_world.m_now);
  });
}

void FakeDaemon::Do(SendCancel& aEffect) {
  FakeDaemon* owner = m_world.m_partitions == 1
                          ? this
                          : &m_world.OwnerOf(aEffect.m_cancel.m_rack);
  owner->Post([owner, cancel = aEffect.m_cancel] {
    BatchEffects effects;
    CancelArrived(owner->m_racks, cancel, effects);
    owner->CarryOut(std::move(effects));
  });
}

void FakeDaemon::Do(StartOnWorker& aEffect) {
  Post([this, call = aEffect] {
    const WorkerCallEnd end = m_world.Start(call.m_worker, call.m_start);
    Post([this, call, end] {
      BatchEffects effects;
      WorkerStartEnded(m_racks, call.m_worker, call.m_start.m_task,
                       call.m_start.m_token, end, m_world.m_now, m_counters,
                       effects);
      CarryOut(std::move(effects));
    });
  });
}

void FakeDaemon::Do(StopOnWorker& aEffect) {
  Post([this, call = aEffect] {
    SeenAtWorker answer = SeenAtWorker::Unknown;
    const WorkerCallEnd end =
        m_world.Stop(call.m_worker, call.m_task, call.m_token, answer);
    Post([this, call, end, answer] {
      BatchEffects effects;
      WorkerStopEnded(m_racks, call.m_worker, call.m_task, call.m_token, end,
                      answer, m_world.m_now, m_counters, effects);
      CarryOut(std::move(effects));
    });
  });
}

void FakeDaemon::Do(CheckpointOnWorker& aEffect) {
  Post([this, call = aEffect] {
    SeenAtWorker answer = SeenAtWorker::Unknown;
    ObjectName name;
    const WorkerCallEnd end = m_world.Checkpoint(call.m_worker, call.m_task,
                                                 call.m_token, answer, name);
    Post([this, call, end, answer, name] {
      BatchEffects effects;
      WorkerCheckpointEnded(m_racks, call.m_worker, call.m_task, call.m_token,
                            end, answer, name, m_world.m_now, m_counters,
                            effects);
      CarryOut(std::move(effects));
    });
  });
}

void FakeDaemon::Do(ThrottleOnWorker& aEffect) {
  Post([this, call = aEffect] {
    auto& runs = m_world.WorkerOf(call.m_worker).m_runs;
    const auto run = runs.find(call.m_task);
    if (run == runs.end() || run->second.m_token != call.m_token) return;
    run->second.m_usage.m_cores =
        std::min(run->second.m_usage.m_cores, call.m_cores);
  });
}

void FakeDaemon::Do(RenewWorkerLease& aEffect) {
  Post([this, call = aEffect] {
    std::vector<TaskId> unknown;
    const WorkerCallEnd end = m_world.Renew(call, unknown);
    Post([this, call, end, unknown] {
      BatchEffects effects;
      WorkerRenewalEnded(m_racks, call.m_worker, end, unknown, m_world.m_now,
                         m_counters, effects);
      CarryOut(std::move(effects));
    });
  });
}

void FakeDaemon::Do(ReadWorkerReport& aEffect) {
  Post([this, worker = aEffect.m_worker] {
    const auto report = m_world.Report(worker);
    Post([this, worker, report] {
      BatchEffects effects;
      if (report) {
        WorkerReported(m_racks, *report, m_world.m_now, m_counters, effects);
      } else {
        WorkerReportFailed(m_racks, worker);
      }
      CarryOut(std::move(effects));
    });
  });
}

void FakeDaemon::Do(ReadTaskRow& aEffect) {
  Post([this, task = aEffect.m_task] {
    const bool down = m_world.m_table.m_down;
    const TableRow read = m_world.m_table.Read(TaskKey(task));
    Post([this, task, down, read] {
      if (down) {
        RackTaskRowReadFailed(m_racks, task);
        TeamTaskRowReadFailed(m_teams, task);
        return;
      }
      std::optional<TaskRow> row;
      if (read.m_version != RowVersion()) {
        row = DecodeTaskRow(read.m_value).value();
      }
      BatchEffects effects;
      RackTaskRowRead(m_racks, task, row, read.m_version, m_world.m_now,
                      m_counters, effects);
      TeamTaskRowRead(m_teams, task, row, read.m_version, m_world.m_now);
      CarryOut(std::move(effects));
    });
  });
}

void FakeDaemon::Do(ReadJobRow& aEffect) {
  Post([this, job = aEffect.m_job] {
    const bool down = m_world.m_table.m_down;
    const TableRow read = m_world.m_table.Read(JobKey(job));
    Post([this, job, down, read] {
      BatchEffects effects;
      if (down) {
        JobRowReadFailed(m_teams, job, effects);
      } else {
        std::optional<JobRow> row;
        if (read.m_version != RowVersion()) {
          row = DecodeJobRow(read.m_value).value();
        }
        JobRowRead(m_teams, job, row, read.m_version, m_world.m_now, m_counters,
                   effects);
      }
      CarryOut(std::move(effects));
    });
  });
}

void FakeDaemon::Do(ScanRack& aEffect) {
  Post([this, rack = aEffect.m_rack] {
    if (m_world.m_table.m_down) {
      ScanRack again{rack};
      Do(again);
      return;
    }
    std::vector<RackRecord> records;
    for (const TableRow& row : m_world.m_table.Scan(RackPrefix(rack))) {
      records.push_back(DecodeRackRecord(row).value());
    }
    BatchEffects effects;
    RecoverRack(m_racks, rack, records, m_world.m_now, m_counters, effects);
    CarryOut(std::move(effects));
  });
}

void FakeDaemon::Do(ScanShard& aEffect) {
  Post([this, shard = aEffect.m_shard] {
    if (m_world.m_table.m_down) {
      ScanShard again{shard};
      Do(again);
      return;
    }
    std::vector<JobRecord> jobs;
    for (const TableRow& row : m_world.m_table.Scan(JobPrefix(shard))) {
      jobs.push_back(DecodeJobRecord(row).value());
    }
    std::vector<TaskRecord> tasks;
    for (const TableRow& row : m_world.m_table.Scan(TaskPrefix(shard))) {
      tasks.push_back(DecodeTaskRecord(row).value());
    }
    BatchEffects effects;
    RecoverShard(m_teams, shard, jobs, tasks, m_world.m_now, effects);
    CarryOut(std::move(effects));
  });
}

void FakeDaemon::Do(AnswerJob& aEffect) {
  m_answers.push_back(aEffect);
  if (!aEffect.m_error) m_lastJob = aEffect.m_view.m_job;
}

void FakeDaemon::Do(SendCommit& aEffect) {
  Post([this, commit = aEffect] {
    CommitReply reply;
    if (m_world.m_table.m_down) {
      reply.m_outcome = CommitOutcome::Unavailable;
    } else {
      const auto result = m_world.m_table.Commit(commit.m_transaction);
      reply.m_outcome = result.m_committed ? CommitOutcome::Committed
                                           : CommitOutcome::Conflict;
      reply.m_version = result.m_version;
      reply.m_conflicts = result.m_conflicts;
      if (m_loseReplies > 0) {
        --m_loseReplies;
        reply = {CommitOutcome::ReplyLost, RowVersion(), {}};
      }
    }
    Post([this, commit, reply] {
      StoreEffects effects;
      CommitEnded(m_commit, reply, Fence(commit.m_sequence), m_world.m_now,
                  m_counters, effects);
      CarryOut(std::move(effects));
    });
  });
}

void FakeDaemon::Do(ReadLeaseRow& aEffect) {
  Post([this, key = aEffect.m_key] {
    const bool down = m_world.m_table.m_down;
    const TableRow row = m_world.m_table.Read(key);
    Post([this, down, row] {
      StoreEffects effects;
      if (down) {
        LeaseReadFailed(m_commit, m_world.m_now, m_counters);
      } else {
        LeaseRowRead(m_commit, SequenceIn(row), row.m_version, m_world.m_now,
                     m_counters, effects);
      }
      CarryOut(std::move(effects));
    });
  });
}

void FakeDaemon::Do(EpochRowChanged& /*aEffect*/) {
  // Another daemon has taken over all units in a new epoch.
  m_acting = false;
}

void FakeDaemon::Do(ChangeDone& aEffect) {
  BatchEffects effects;
  if (!RackChangeDone(m_racks, aEffect, m_world.m_now, m_counters, effects)) {
    (void)TeamChangeDone(m_teams, aEffect, m_world.m_now, m_counters, effects);
  }
  CarryOut(std::move(effects));
}

void FakeDaemon::Do(LeaseCommitted& /*aEffect*/) {}

}  // namespace bronze

/**
 * @file batch_driver.cpp Connects the scheduling of jobs and tasks to I/O.
 */

#include "daemon/batch_driver.h"

#include <random>

#include "codec/batch_json.h"
#include "core/batch/row_key_func.h"
#include "daemon/clock.h"
#include "daemon/overloaded.h"
#include "net/address_func.h"
#include "net/log_func.h"

namespace bronze {

namespace {

constexpr Duration kTableTimeout = seconds(2);
constexpr Duration kTeamTickInterval = milliseconds(100);
constexpr size_t kScanLimit = 500;

UnitId ShardUnitOf(TeamShard aShard) {
  return ShardUnit(UnitKind::Team, ShardId(aShard.m_value));
}

TeamShard ShardOfUnit(const UnitId& aUnit) {
  return {static_cast<uint8_t>(aUnit.m_shard.Value())};
}

SeenAtWorker ToSeenAtWorker(WorkerStopState aState) {
  switch (aState) {
    case WorkerStopState::Unknown:
    case WorkerStopState::Stopped:
      return SeenAtWorker::Stopped;
    case WorkerStopState::Finished:
      return SeenAtWorker::Finished;
    case WorkerStopState::Failed:
      return SeenAtWorker::Failed;
  }
  return SeenAtWorker::Unknown;
}

}  // namespace

BatchDriver::BatchDriver(HttpClient& aClient, PeerHub& aHub,
                         TableClient& aTable, CoordinationDriver& aCoordination,
                         CommitDriver& aCommits, Counters& aCounters)
    : m_hub(aHub),
      m_table(aTable),
      m_coordination(aCoordination),
      m_commits(aCommits),
      m_counters(aCounters),
      m_workers(aClient) {
  std::random_device device;
  m_racks.m_random.seed(device());
  m_teams.m_random.seed(device());
}

void BatchDriver::UseSettings(const SystemSettings& aSettings) {
  m_racks.m_margin = aSettings.m_coordination.m_clockMargin;
  m_racks.m_driftPercent = aSettings.m_coordination.m_clockDriftPercent;
  UseBatchSettings(m_racks, aSettings.m_batch);
  UseTeamSettings(m_teams, aSettings.m_batch);
}

void BatchDriver::UseVmList(const std::vector<VmInfo>& aVms) {
  m_workerList.clear();
  for (const VmInfo& vm : aVms) {
    if (vm.m_role != VmRole::Worker) continue;
    m_workerList.push_back(vm);
    const auto address = ParseAddress(vm.m_address);
    if (address) m_addresses[WorkerId(vm.m_id)] = address.value();
  }
  UseWorkerList(m_racks, m_workerList, Now());
  UseWorkerSizes(m_teams, m_workerList);
}

void BatchDriver::OnEpochAdopted() {
  std::erase_if(m_digests, [this](const auto& aEntry) {
    return FindMember(m_coordination.Members().m_row.m_members, aEntry.first) ==
           nullptr;
  });
}

void BatchDriver::OnUnit(const UnitId& aUnit, bool aAcquired) {
  BatchEffects effects;
  if (aUnit.m_kind == UnitKind::Rack) {
    const RackId rack(aUnit.m_name);
    if (aAcquired) {
      OwnRack(m_racks, rack, effects);
      UseWorkerList(m_racks, m_workerList, Now());
    } else {
      DropRack(m_racks, rack);
    }
    CarryOut(Part::Rack, effects);
    return;
  }
  if (aAcquired) {
    OwnShard(m_teams, ShardOfUnit(aUnit), Now(), effects);
  } else {
    DropShard(m_teams, ShardOfUnit(aUnit), effects);
  }
  CarryOut(Part::Team, effects);
}

void BatchDriver::OnDigests(const VmId& aFrom,
                            const std::vector<RackDigest>& aRacks) {
  m_digests[aFrom] = aRacks;
}

void BatchDriver::MergeDigests() {
  std::vector<RackDigest> all = DigestRacks(m_racks);
  for (const auto& [vm, racks] : m_digests) {
    all.insert(all.end(), racks.begin(), racks.end());
  }
  UseDigests(m_teams, std::move(all));
}

bool BatchDriver::OnMessage(const PeerMessage& aMessage) {
  const TimePoint now = Now();
  BatchEffects effects;
  const bool taken = std::visit(
      Overloaded{[&](const TaskOffers& aBody) {
                   if (!m_coordination.MayAct(RackUnit(aBody.m_rack)))
                     return true;
                   OffersArrived(m_racks, aBody, now, m_counters, effects);
                   return true;
                 },
                 [&](const TaskCancel& aBody) {
                   if (!m_coordination.MayAct(RackUnit(aBody.m_rack)))
                     return true;
                   CancelArrived(m_racks, aBody, effects);
                   return true;
                 },
                 [&](const TaskUpdates& aBody) {
                   UpdatesArrived(m_teams, aBody, now);
                   return true;
                 },
                 [&](const JobForward& aBody) {
                   HandleOperation(
                       aBody.m_method, aBody.m_target, aBody.m_body,
                       [this, to = aMessage.m_from,
                        call = aBody.m_call](HttpReply aReply) {
                         m_hub.Send(to, JobReply{call, aReply.m_status,
                                                 std::move(aReply.m_body)});
                       });
                   return true;
                 },
                 [&](const JobReply& aBody) {
                   HttpReply reply;
                   reply.m_status = aBody.m_status;
                   reply.m_body = aBody.m_body;
                   m_forwards.Answer(aBody.m_call, reply);
                   return true;
                 },
                 [](const auto&) { return false; }},
      aMessage.m_body);
  CarryOut(Part::Rack, effects);
  return taken;
}

void BatchDriver::Tick() {
  const TimePoint now = Now();
  m_forwards.Expire(now);
  // Without authority nothing may be decided; leases of workers are not renewed
  // and expire.
  if (m_coordination.AuthorityUntil() <= now) return;
  BatchEffects effects;
  TickRacks(m_racks, now, m_counters, effects);
  CarryOut(Part::Rack, effects);
  if (now < m_nextTeamTick) return;
  m_nextTeamTick = now + kTeamTickInterval;
  m_teams.m_storeUp = !IsStoreUnreachable(m_coordination.Owners(), now);
  MergeDigests();
  BatchEffects teamEffects;
  TickTeams(m_teams, now, m_counters, teamEffects);
  CarryOut(Part::Team, teamEffects);
}

std::vector<RackDigest> BatchDriver::OwnDigests() const {
  return DigestRacks(m_racks);
}

void BatchDriver::CarryOut(Part aPart, BatchEffects& aEffects) {
  for (BatchEffect& effect : aEffects) {
    std::visit(
        Overloaded{
            [&](const SubmitChange& aEffect) { Submit(aPart, aEffect); },
            [this](SendOffers& aEffect) {
              const VmId owner = OwnerOf(m_coordination.Owners(),
                                         RackUnit(aEffect.m_offers.m_rack));
              m_hub.Send(owner, std::move(aEffect.m_offers));
            },
            [this](SendUpdates& aEffect) {
              m_hub.Send(OwnerOfShard(aEffect.m_shard),
                         std::move(aEffect.m_updates));
            },
            [this](SendCancel& aEffect) {
              const VmId owner = OwnerOf(m_coordination.Owners(),
                                         RackUnit(aEffect.m_cancel.m_rack));
              m_hub.Send(owner, std::move(aEffect.m_cancel));
            },
            [this](const StartOnWorker& aEffect) { StartTask(aEffect); },
            [this](const StopOnWorker& aEffect) { StopTask(aEffect); },
            [this](const CheckpointOnWorker& aEffect) {
              CheckpointTask(aEffect);
            },
            [this](const ThrottleOnWorker& aEffect) { ThrottleTask(aEffect); },
            [this](const RenewWorkerLease& aEffect) { RenewLease(aEffect); },
            [this](const ReadWorkerReport& aEffect) {
              ReadReport(aEffect.m_worker);
            },
            [&](const ReadTaskRow& aEffect) {
              ReadTask(aPart, aEffect.m_task);
            },
            [this](const ReadJobRow& aEffect) { ReadJob(aEffect.m_job); },
            [this](const ScanRack& aEffect) { ScanRackRows(aEffect.m_rack); },
            [this](const ScanShard& aEffect) {
              ScanShardRows(aEffect.m_shard);
            },
            [this](const AnswerJob& aEffect) { AnswerPendingCall(aEffect); }},
        effect);
  }
}

void BatchDriver::Submit(Part aPart, const SubmitChange& aEffect) {
  m_commits.Submit(
      EncodeChange(aEffect), [this, aPart](const ChangeDone& aDone) {
        BatchEffects effects;
        if (aPart == Part::Rack) {
          RackChangeDone(m_racks, aDone, Now(), m_counters, effects);
        } else {
          TeamChangeDone(m_teams, aDone, Now(), m_counters, effects);
        }
        CarryOut(aPart, effects);
      });
}

void BatchDriver::StartTask(const StartOnWorker& aEffect) {
  const WorkerId worker = aEffect.m_worker;
  const TaskId task = aEffect.m_start.m_task;
  const FencingToken token = aEffect.m_start.m_token;
  const auto ended = [this, worker, task, token](WorkerCallEnd aEnd) {
    BatchEffects effects;
    WorkerStartEnded(m_racks, worker, task, token, aEnd, Now(), m_counters,
                     effects);
    CarryOut(Part::Rack, effects);
  };
  const Endpoint* address = AddressOf(worker);
  if (address == nullptr || !MayActFor(worker)) {
    ended(WorkerCallEnd::NotSent);
    return;
  }
  m_workers.Start(*address, aEffect.m_start, ended);
}

void BatchDriver::StopTask(const StopOnWorker& aEffect) {
  const auto ended = [this, effect = aEffect](WorkerCallEnd aEnd,
                                              const WorkerStopAnswer& aAnswer) {
    BatchEffects effects;
    WorkerStopEnded(m_racks, effect.m_worker, effect.m_task, effect.m_token,
                    aEnd, ToSeenAtWorker(aAnswer.m_state), Now(), m_counters,
                    effects);
    CarryOut(Part::Rack, effects);
  };
  const Endpoint* address = AddressOf(aEffect.m_worker);
  if (address == nullptr || !MayActFor(aEffect.m_worker)) {
    ended(WorkerCallEnd::NotSent, {});
    return;
  }
  m_workers.Stop(*address, {aEffect.m_task, aEffect.m_token}, ended);
}

void BatchDriver::CheckpointTask(const CheckpointOnWorker& aEffect) {
  const auto ended = [this, effect = aEffect](WorkerCallEnd aEnd,
                                              const WorkerStopAnswer& aAnswer) {
    BatchEffects effects;
    WorkerCheckpointEnded(m_racks, effect.m_worker, effect.m_task,
                          effect.m_token, aEnd, ToSeenAtWorker(aAnswer.m_state),
                          aAnswer.m_checkpoint, Now(), m_counters, effects);
    CarryOut(Part::Rack, effects);
  };
  const Endpoint* address = AddressOf(aEffect.m_worker);
  if (address == nullptr || !MayActFor(aEffect.m_worker)) {
    ended(WorkerCallEnd::NotSent, {});
    return;
  }
  m_workers.Checkpoint(*address, {aEffect.m_task, aEffect.m_token}, ended);
}

void BatchDriver::ThrottleTask(const ThrottleOnWorker& aEffect) {
  const Endpoint* address = AddressOf(aEffect.m_worker);
  if (address == nullptr || !MayActFor(aEffect.m_worker)) return;
  m_workers.Throttle(*address,
                     {{aEffect.m_task, aEffect.m_token}, aEffect.m_cores});
}

void BatchDriver::RenewLease(const RenewWorkerLease& aEffect) {
  const WorkerId worker = aEffect.m_worker;
  const auto ended = [this, worker](WorkerCallEnd aEnd,
                                    const std::vector<TaskId>& aUnknown) {
    BatchEffects effects;
    WorkerLeaseEnded(m_racks, worker, aEnd, aUnknown, Now(), m_counters,
                     effects);
    CarryOut(Part::Rack, effects);
  };
  const Endpoint* address = AddressOf(worker);
  if (address == nullptr || !MayActFor(worker)) {
    ended(WorkerCallEnd::NotSent, {});
    return;
  }
  m_workers.RenewLease(*address,
                       {m_hub.Self(), m_coordination.Owners().m_row.m_epoch,
                        aEffect.m_lease, aEffect.m_tasks, aEffect.m_forget},
                       ended);
}

void BatchDriver::ReadReport(const WorkerId& aWorker) {
  const Endpoint* address = AddressOf(aWorker);
  if (address == nullptr) {
    WorkerReportFailed(m_racks, aWorker);
    return;
  }
  m_workers.ReadReport(*address, [this, aWorker](Result<WorkerReport> aReport) {
    if (!aReport || aReport.value().m_worker != aWorker) {
      WorkerReportFailed(m_racks, aWorker);
      return;
    }
    BatchEffects effects;
    WorkerReported(m_racks, aReport.value(), Now(), m_counters, effects);
    CarryOut(Part::Rack, effects);
  });
}

void BatchDriver::ReadTask(Part aPart, TaskId aTask) {
  m_table.ReadRow(TaskKey(aTask), kTableTimeout,
                  [this, aPart, aTask](auto aRow) {
                    std::optional<TaskRow> row;
                    if (aRow && aRow.value().m_version != RowVersion()) {
                      const auto decoded = DecodeTaskRow(aRow.value().m_value);
                      if (decoded) row = decoded.value();
                    }
                    const bool unreadable =
                        aRow && !row && aRow.value().m_version != RowVersion();
                    if (!aRow || unreadable) {
                      if (aPart == Part::Rack) {
                        RackTaskRowReadFailed(m_racks, aTask);
                      } else {
                        TeamTaskRowReadFailed(m_teams, aTask);
                      }
                      return;
                    }
                    m_coordination.OnStoreAnswered();
                    const RowVersion version = aRow.value().m_version;
                    if (aPart == Part::Team) {
                      TeamTaskRowRead(m_teams, aTask, row, version, Now());
                      return;
                    }
                    BatchEffects effects;
                    RackTaskRowRead(m_racks, aTask, row, version, Now(),
                                    m_counters, effects);
                    CarryOut(Part::Rack, effects);
                  });
}

void BatchDriver::ReadJob(JobId aJob) {
  m_table.ReadRow(JobKey(aJob), kTableTimeout, [this, aJob](auto aRow) {
    BatchEffects effects;
    if (!aRow) {
      JobRowReadFailed(m_teams, aJob, effects);
      CarryOut(Part::Team, effects);
      return;
    }
    m_coordination.OnStoreAnswered();
    std::optional<JobRow> row;
    if (aRow.value().m_version != RowVersion()) {
      const auto decoded = DecodeJobRow(aRow.value().m_value);
      if (decoded) row = decoded.value();
    }
    JobRowRead(m_teams, aJob, row, aRow.value().m_version, Now(), m_counters,
               effects);
    CarryOut(Part::Team, effects);
  });
}

void BatchDriver::Scan(std::string aPrefix, std::string aAfter,
                       std::shared_ptr<std::vector<TableRow>> aRows,
                       std::function<void()> aDone,
                       std::function<bool()> aStillOwned) {
  if (!aStillOwned()) return;
  m_table.Scan(aPrefix, aAfter, kScanLimit, kTableTimeout,
               [this, aPrefix, aAfter, rows = aRows, done = std::move(aDone),
                stillOwned = std::move(aStillOwned)](Result<TableScan> aScan) {
                 if (!aScan) {
                   // Retries: the unit is not served until its rows have been
                   // read.
                   Scan(aPrefix, aAfter, rows, done, stillOwned);
                   return;
                 }
                 m_coordination.OnStoreAnswered();
                 TableScan& scan = aScan.value();
                 std::move(scan.m_rows.begin(), scan.m_rows.end(),
                           std::back_inserter(*rows));
                 if (scan.m_more && !rows->empty()) {
                   Scan(aPrefix, rows->back().m_key, rows, done, stillOwned);
                   return;
                 }
                 done();
               });
}

void BatchDriver::ScanRackRows(const RackId& aRack) {
  auto rows = std::make_shared<std::vector<TableRow>>();
  Scan(
      RackPrefix(aRack), "", rows,
      [this, aRack, rows] {
        std::vector<RackRecord> records;
        for (const TableRow& row : *rows) {
          const auto record = DecodeRackRecord(row);
          if (record) records.push_back(record.value());
        }
        BatchEffects effects;
        RecoverRack(m_racks, aRack, records, Now(), m_counters, effects);
        CarryOut(Part::Rack, effects);
      },
      [this, aRack] { return m_racks.m_racks.contains(aRack); });
}

void BatchDriver::ScanShardRows(TeamShard aShard) {
  auto jobs = std::make_shared<std::vector<TableRow>>();
  auto tasks = std::make_shared<std::vector<TableRow>>();
  const auto stillOwned = [this, aShard] {
    return m_teams.m_shards.contains(aShard);
  };
  const auto finish = [this, aShard, jobs, tasks] {
    std::vector<JobRecord> jobRecords;
    for (const TableRow& row : *jobs) {
      const auto record = DecodeJobRecord(row);
      if (record) jobRecords.push_back(record.value());
    }
    std::vector<TaskRecord> taskRecords;
    for (const TableRow& row : *tasks) {
      const auto record = DecodeTaskRecord(row);
      if (record) taskRecords.push_back(record.value());
    }
    BatchEffects effects;
    RecoverShard(m_teams, aShard, jobRecords, taskRecords, Now(), effects);
    CarryOut(Part::Team, effects);
  };
  Scan(
      JobPrefix(aShard), "", jobs,
      [this, aShard, tasks, finish, stillOwned] {
        Scan(TaskPrefix(aShard), "", tasks, finish, stillOwned);
      },
      stillOwned);
}

const BatchDriver::Endpoint* BatchDriver::AddressOf(
    const WorkerId& aWorker) const {
  const auto found = m_addresses.find(aWorker);
  return found == m_addresses.end() ? nullptr : &found->second;
}

bool BatchDriver::MayActFor(const WorkerId& aWorker) const {
  const auto worker = m_racks.m_workers.find(aWorker);
  return worker != m_racks.m_workers.end() &&
         m_coordination.MayAct(RackUnit(worker->second.m_rack));
}

VmId BatchDriver::OwnerOfShard(TeamShard aShard) const {
  return OwnerOf(m_coordination.Owners(), ShardUnitOf(aShard));
}

}  // namespace bronze

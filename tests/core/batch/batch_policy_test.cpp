/**
 * @file batch_policy_test.cpp Task transitions, placement, learned sizes and
 *                             codecs.
 */

#include <fmt/format.h>
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "batch_world.h"
#include "codec/batch_json.h"
#include "codec/worker_json.h"
#include "core/batch/placement_func.h"
#include "core/batch/row_key_func.h"
#include "core/batch/usage_func.h"

namespace bronze {

namespace {

constexpr Resources kSmall{Millicores(2'000), Mebibytes(4'000),
                           Accelerators(0)};

JobRow MakeJob(Resources aSize, const std::string& aSubmission = "") {
  JobRow row;
  row.m_spec.m_team = TeamId("blue");
  row.m_spec.m_kind = KindId("sort");
  row.m_spec.m_resources = aSize;
  row.m_submissionId = aSubmission;
  return row;
}

TaskRow RowIn(TaskState aState) {
  TaskRow row;
  row.m_state = aState;
  row.m_token = FencingToken(4);
  row.m_worker = WorkerId("w");
  return row;
}

}  // namespace

// Guards against transitions that are not in the list below, such as one out of
// an end state.
BOOST_AUTO_TEST_CASE(OnlyListedTransitionsAreAllowed) {
  using S = TaskState;
  using C = TaskCommand;
  const std::set<std::pair<S, C>> allowed = {
      {S::Queued, C::Start},     {S::Starting, C::Confirm},
      {S::Starting, C::Abandon}, {S::Running, C::Evict},
      {S::Evicting, C::Evicted}, {S::Running, C::Lost},
      {S::Starting, C::Finish},  {S::Running, C::Finish},
      {S::Evicting, C::Finish},  {S::Starting, C::Fail},
      {S::Running, C::Fail},     {S::Queued, C::Cancel},
      {S::Starting, C::Cancel},  {S::Running, C::Cancel},
      {S::Evicting, C::Cancel},  {S::Cancelled, C::Release}};
  for (int state = 0; state <= static_cast<int>(S::Cancelled); ++state) {
    for (int command = 0; command <= static_cast<int>(C::Release); ++command) {
      const auto from = static_cast<S>(state);
      const auto with = static_cast<C>(command);
      BOOST_TEST(CheckTaskCommand(RowIn(from), with).has_value() ==
                     allowed.contains({from, with}),
                 "state " << state << " command " << command);
    }
  }
}

// Guards against late commands and reports of an earlier run that affect the
// current one.
BOOST_AUTO_TEST_CASE(EachStartRaisesTheToken) {
  TaskRow row = RowIn(TaskState::Queued);
  BOOST_TEST(StartTask(row, {WorkerId("v"), RackId("r"), kSmall}).has_value());
  BOOST_TEST((row.m_token == FencingToken(5)));
  BOOST_TEST(!ConfirmTask(row, FencingToken(4)).has_value());
  BOOST_TEST(!FinishTask(row, FencingToken(4)).has_value());
  BOOST_TEST(ConfirmTask(row, FencingToken(5)).has_value());
}

// Guards against failures of a bad worker that count against the job.
BOOST_AUTO_TEST_CASE(FailuresInQuarantineAreNotCharged) {
  TaskRow row = RowIn(TaskState::Running);
  TaskReport report;
  report.m_token = row.m_token;
  report.m_worker = row.m_worker;
  report.m_charged = false;
  BOOST_TEST(FailTask(row, report, 1).has_value());
  BOOST_TEST((row.m_state == TaskState::Queued));
  BOOST_TEST(row.m_attempts == 0);
}

// Guards against a job that waits forever because no worker can hold it.
BOOST_AUTO_TEST_CASE(JobLargerThanAnyWorkerIsRefusedWithTheNearestSize) {
  BatchWorld world(1, 2,
                   {Millicores(16'000), Mebibytes(64'000), Accelerators(1)});
  FakeDaemon& daemon = world.AddDaemon();
  world.RunFor(seconds(2));
  daemon.Submit(
      MakeJob({Millicores(20'000), Mebibytes(4'000), Accelerators(0)}));
  BOOST_REQUIRE(!daemon.m_answers.empty());
  const AnswerJob& answer = daemon.m_answers.back();
  BOOST_REQUIRE(answer.m_error.has_value());
  BOOST_TEST((answer.m_error->m_kind == ErrorKind::ImpossibleJob));
  // Batch tasks may reserve 70 % of the 16 cores.
  BOOST_TEST(answer.m_error->m_message.find(
                 "cores=11200 memory=4000 accelerators=0") !=
             std::string::npos);
}

// Guards against a second job when a caller repeats its submission.
BOOST_AUTO_TEST_CASE(RepeatedSubmissionGetsTheFirstJob) {
  BatchWorld world(1, 2,
                   {Millicores(16'000), Mebibytes(64'000), Accelerators(0)});
  FakeDaemon& first = world.AddDaemon();
  world.RunFor(seconds(2));
  first.Submit(MakeJob(kSmall, "one"));
  first.Submit(MakeJob(kSmall, "one"));
  world.RunFor(seconds(2));
  BOOST_TEST(first.m_answers.size() == 2u);
  const JobId job = first.m_lastJob;
  world.Kill(first);
  FakeDaemon& second = world.AddDaemon();
  world.RunFor(seconds(2));
  second.Submit(MakeJob(kSmall, "one"));
  world.RunFor(seconds(2));
  BOOST_TEST((second.m_lastJob == job));
  BOOST_TEST(world.m_table.Scan("job/").size() == 1u);
}

// Guards against a submission that is accepted while its row cannot be stored.
BOOST_AUTO_TEST_CASE(SubmissionIsRefusedAsNotRunWhileTheTableIsDown) {
  BatchWorld world(1, 1,
                   {Millicores(16'000), Mebibytes(64'000), Accelerators(0)});
  FakeDaemon& daemon = world.AddDaemon();
  world.RunFor(seconds(2));
  daemon.m_teams.m_storeUp = false;
  daemon.Submit(MakeJob(kSmall));
  BOOST_REQUIRE(daemon.m_answers.back().m_error.has_value());
  BOOST_TEST(
      (daemon.m_answers.back().m_error->m_kind == ErrorKind::StoreUnavailable));
}

// Guards against a team that uses more than its quota.
BOOST_AUTO_TEST_CASE(QuotaLimitsWhatRunsAtOnce) {
  BatchWorld world(2, 4,
                   {Millicores(16'000), Mebibytes(64'000), Accelerators(0)});
  FakeDaemon& daemon = world.AddDaemon();
  daemon.m_teams.m_settings.m_teams[TeamId("blue")].m_quota = {
      Millicores(6'000), Mebibytes(1'000'000), Accelerators(0)};
  world.RunFor(seconds(2));
  JobRow job = MakeJob(kSmall);
  job.m_tasks = 12;
  daemon.Submit(job);
  int most = 0;
  BOOST_TEST(world.RunUntil(
      [&] {
        most = std::max(most, world.Running());
        return world.CountState(TaskState::Finished) == 12;
      },
      seconds(120)));
  BOOST_TEST(most == 3);
}

// Guards against placement on a worker that is full, leaving or in quarantine.
BOOST_AUTO_TEST_CASE(PlacementRespectsTheWorker) {
  Worker worker;
  worker.m_id = WorkerId("w");
  worker.m_limit = {Millicores(4'000), Mebibytes(8'000), Accelerators(0)};
  worker.m_reachable = true;
  BOOST_TEST(CanPlace(worker, {kSmall, {}}));
  worker.m_reserved = {Millicores(3'000), Mebibytes(0), Accelerators(0)};
  BOOST_TEST(!CanPlace(worker, {kSmall, {}}));
  worker.m_reserved = {};
  worker.m_state = VmState::Leaving;
  BOOST_TEST(!CanPlace(worker, {kSmall, {}}));
  worker.m_state = VmState::Live;
  worker.m_health.m_quarantined = true;
  BOOST_TEST(!CanPlace(worker, {kSmall, {}}));
}

// Guards against a policy that misses the only rack with room.
BOOST_AUTO_TEST_CASE(EveryPolicyFindsTheOnlyRackWithRoom) {
  std::vector<RackSummary> racks(98);
  racks[61].m_largestFree = kSmall;
  racks[61].m_free = kSmall;
  std::minstd_rand random;
  for (const auto policy :
       {PlacePolicy::Sampled, PlacePolicy::FullScan, PlacePolicy::FirstFit}) {
    const auto chosen = ChooseRack(racks, kSmall, policy, random);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(*chosen == 61u);
  }
}

// Guards against reservations that ignore the measured use.
BOOST_AUTO_TEST_CASE(ReservationFollowsTheMeasuredQuantile) {
  UsageTable table;
  const KindId kind("sort");
  for (int i = 0; i < 200; ++i) {
    LearnUsage(table, kind,
               {Millicores(4'000 + 10 * (i % 100)), Mebibytes(1'000),
                Accelerators(0)});
  }
  const Resources limit{Millicores(16'000), Mebibytes(64'000), Accelerators(0)};
  const Resources size = SizeToReserve(table, kind, kSmall, limit);
  BOOST_TEST(size.m_cores.Value() > 4'500);
  BOOST_TEST(size.m_cores.Value() < 5'500);
  BOOST_TEST((size.m_memory == kSmall.m_memory));
}

// Guards against rows that lose information when they are written and read.
BOOST_AUTO_TEST_CASE(RowsKeepTheirContent) {
  const bool kept = rc::check(
      "rows", [](uint64_t aToken, const std::string& aName, int32_t aAttempts) {
        RC_PRE(!aName.empty());
        TaskRow row = RowIn(TaskState::Evicting);
        row.m_token = FencingToken(aToken);
        row.m_rack = RackId("r1");
        row.m_checkpoint = ObjectName("c/" + std::to_string(aToken));
        row.m_attempts = aAttempts;
        row.m_reserved = kSmall;
        const RackRecord back =
            DecodeRackRecord({RackTaskKey(row.m_rack, {JobId(aToken / 2), 3}),
                              EncodeRackRow(row, MakeJob(kSmall).m_spec),
                              RowVersion(9)})
                .value();
        RC_ASSERT(back.m_row.m_token == row.m_token);
        RC_ASSERT(back.m_row.m_checkpoint == row.m_checkpoint);
        RC_ASSERT(back.m_row.m_reserved == row.m_reserved);
        RC_ASSERT(back.m_row.m_attempts == row.m_attempts);
        RC_ASSERT(back.m_spec.m_team == TeamId("blue"));
        RC_ASSERT(back.m_task.m_job == JobId(aToken / 2));
      });
  BOOST_TEST(kept);
  BOOST_TEST(!DecodeTaskRow(R"({"s":7,"n":1})").has_value());
  BOOST_TEST(!DecodeTaskRow(R"({"s":"running","n":1})").has_value());
  BOOST_TEST(!DecodeTaskRow("[]").has_value());
}

// Guards against an answer of a worker with an invalid state that is decoded as
// "running" or "unknown".
BOOST_AUTO_TEST_CASE(UnknownStatesOfWorkersAreRefused) {
  BOOST_TEST(!DecodeStopAnswer(R"({"state":"odd"})").has_value());
  BOOST_TEST((DecodeStopAnswer(R"({"state":"finished"})").value().m_state ==
              WorkerStopState::Finished));
  const TaskId task{JobId(17), 2};
  WorkerReport report;
  report.m_worker = WorkerId("w");
  report.m_tasks.push_back({task, FencingToken(3),
                            WorkerTaskState::Checkpointed, kSmall,
                            ObjectName("c1"), "\xff"});
  const auto back = DecodeWorkerReport(EncodeWorkerReport(report)).value();
  BOOST_TEST((back.m_tasks.at(0).m_state == WorkerTaskState::Checkpointed));
  BOOST_TEST((back.m_tasks.at(0).m_task == task));
}

// Guards against accepted submissions with missing or invalid fields.
BOOST_AUTO_TEST_CASE(MalformedSubmissionsAreRefused) {
  BOOST_TEST(!DecodeSubmission("{}").has_value());
  BOOST_TEST(
      !DecodeSubmission(R"({"team":"t","kind":"k","cores":"1","memory":1})")
           .has_value());
  BOOST_TEST(!DecodeSubmission(
                  R"({"team":"t","kind":"k","cores":1,"memory":1,"tasks":0})")
                  .has_value());
  BOOST_TEST(DecodeSubmission(R"({"team":"t","kind":"k","cores":1,"memory":1})")
                 .has_value());
}

}  // namespace bronze

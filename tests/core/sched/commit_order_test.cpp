/**
 * @file commit_order_test.cpp Tests which jobs a commit takes first while more
 * have changed than it holds.
 */

#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "core/sched/admission_func.h"

namespace bronze::sched {

namespace {

constexpr size_t kRows = 12;

struct CommitOrderFixture : CellFixture {
  void SubmitUnstored(uint64_t aId) {
    BOOST_REQUIRE(SubmitJob(m_cell, Spec(aId), m_now, m_unixNow).has_value());
  }

  /** Stores the jobs 1 to aCount. */
  void StoreKnownJobs(uint64_t aCount) {
    for (uint64_t id = 1; id <= aCount; ++id) Submit(Spec(id));
  }

  void ChangeKnownJobs() {
    for (const auto& [id, job] : m_cell.m_jobs) {
      if (job.m_specStored) m_cell.m_dirty.insert(id);
    }
  }

  static std::vector<uint64_t> JobsOf(const Commit& aCommit, bool aNew) {
    std::vector<uint64_t> jobs;
    for (const JobWrite& write : aCommit.m_writes) {
      if (write.m_spec.has_value() == aNew) {
        jobs.push_back(write.m_job.Value());
      }
    }
    return jobs;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CommitOrderSuite, CommitOrderFixture)

/** Guards against callers who wait behind the states of running work, and
 *  against new jobs that overtake earlier ones by their ids. */
BOOST_AUTO_TEST_CASE(NewJobsGoFirstInTheirOrder) {
  StoreKnownJobs(40);
  ChangeKnownJobs();
  SubmitUnstored(902);
  SubmitUnstored(901);
  const Commit commit = TakeCommit(m_cell, kRows, m_now);
  BOOST_TEST((JobsOf(commit, true) == std::vector<uint64_t>{902, 901}));
  // What the new jobs leave is used in full.
  BOOST_TEST(JobsOf(commit, false).size() == kRows - 2 * kRowsPerNewJob);
}

/** Guards against ends of runs that never become durable while new jobs keep
 *  coming: each known job has its turn within a bounded number of commits. */
BOOST_AUTO_TEST_CASE(NewJobsDoNotStarveKnownOnes) {
  constexpr uint64_t kKnown = 12;
  constexpr size_t kKeptRows = kRows / 3;
  StoreKnownJobs(kKnown);
  ChangeKnownJobs();
  std::set<uint64_t> written;
  uint64_t next = 900;
  for (size_t commits = 0; commits < kKnown / kKeptRows; ++commits) {
    for (size_t added = 0; added < kRows; ++added) SubmitUnstored(next++);
    const Commit commit = TakeCommit(m_cell, kRows, m_now);
    BOOST_TEST(JobsOf(commit, true).size() ==
               NewJobRows(kRows, kKnown) / kRowsPerNewJob);
    for (const uint64_t job : JobsOf(commit, false)) {
      BOOST_TEST(written.insert(job).second, "taken twice: " << job);
    }
    ApplyCommitted(m_cell, commit, m_now);
  }
  BOOST_TEST(written.size() == kKnown);
}

/** Guards against rows of a commit that stay unused while new jobs wait. */
BOOST_AUTO_TEST_CASE(NewJobsTakeWhatKnownOnesLeave) {
  StoreKnownJobs(1);
  ChangeKnownJobs();
  for (uint64_t id = 900; id < 920; ++id) SubmitUnstored(id);
  const Commit commit = TakeCommit(m_cell, kRows, m_now);
  BOOST_TEST(JobsOf(commit, false).size() == 1U);
  BOOST_TEST(JobsOf(commit, true).size() == (kRows - 1) / kRowsPerNewJob);
}

/** Guards against a refused commit whose new jobs come after later ones, and
 *  against one that writes a job twice. */
BOOST_AUTO_TEST_CASE(ReturnedJobsKeepTheirOrder) {
  for (const uint64_t id : {903, 902, 901}) SubmitUnstored(id);
  const Commit refused = TakeCommit(m_cell, kRows, m_now);
  SubmitUnstored(900);
  ReturnCommit(m_cell, refused);
  const Commit commit = TakeCommit(m_cell, kRows, m_now);
  BOOST_TEST(
      (JobsOf(commit, true) == std::vector<uint64_t>{903, 902, 901, 900}));
}

/** Guards against a job that the store rejects and that keeps all others from
 *  being stored: narrow commits take all jobs in turns. */
BOOST_AUTO_TEST_CASE(NarrowCommitsTakeJobsInTurns) {
  StoreKnownJobs(2);
  ChangeKnownJobs();
  SubmitUnstored(900);
  std::set<uint64_t> written;
  for (int commits = 0; commits < 2; ++commits) {
    const Commit commit = TakeCommit(m_cell, kRowsPerNewJob, m_now);
    for (const JobWrite& write : commit.m_writes) {
      written.insert(write.m_job.Value());
    }
    // The store rejects it.
    ReturnCommit(m_cell, commit);
  }
  BOOST_TEST(written.size() == 3U);
}

/** Guards against a withdrawn job that counts as waiting, and against a job
 *  that is withdrawn although the store may have it. */
BOOST_AUTO_TEST_CASE(OnlyUnsentJobsAreWithdrawn) {
  SubmitUnstored(901);
  const Commit commit = TakeCommit(m_cell, kRows, m_now);
  BOOST_TEST(!WithdrawJob(m_cell, JobId(901)));
  SubmitUnstored(902);
  BOOST_TEST(WithdrawJob(m_cell, JobId(902)));
  BOOST_TEST(!WithdrawJob(m_cell, JobId(902)));
  BOOST_TEST(m_cell.m_newJobs.empty());
  ApplyCommitted(m_cell, commit, m_now);
  ChangeKnownJobs();
  BOOST_TEST(!WithdrawJob(m_cell, JobId(901)));
  BOOST_TEST(m_cell.m_jobs.count(JobId(901)) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched

/**
 * @file admission_test.cpp Tests which new jobs are accepted while the store
 * answers quickly, slowly or not at all.
 */

#include "core/sched/admission_func.h"

#include <boost/test/unit_test.hpp>

namespace bronze::sched {

namespace {

constexpr Duration kUsualCommit = milliseconds(4);
/** What is left of a window of 3 s when the call reaches the owner. */
constexpr Duration kCallerWindow = milliseconds(2850);

AdmissionInput InputAt(Duration aCommit) {
  AdmissionInput input;
  input.m_reachesStore = true;
  input.m_window = kCallerWindow;
  input.m_expectedCommit = aCommit;
  input.m_commitRows = 98;
  return input;
}

AdmissionVerdict VerdictOn(const AdmissionInput& aInput) {
  return DecideAdmission(aInput).m_verdict;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AdmissionSuite)

/** Guards against refusals while the store answers in its usual time, also with
 *  thousands of changed jobs. */
BOOST_AUTO_TEST_CASE(QuickStoreAdmits) {
  AdmissionInput input = InputAt(kUsualCommit);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::Admit));
  input.m_tryAge = milliseconds(2);
  input.m_newJobsAhead = 500;
  input.m_otherRows = 5000;
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::Admit));
}

/** Guards against refusals in a slow store although the window has room for the
 *  commit in flight and the next one. */
BOOST_AUTO_TEST_CASE(SlowStoreAdmitsWhatACommitCanCarry) {
  for (const int commit : {300, 600}) {
    AdmissionInput input = InputAt(milliseconds(commit));
    input.m_tryAge = milliseconds(10);
    input.m_newJobsAhead = 30;
    input.m_otherRows = 400;
    BOOST_TEST((VerdictOn(input) == AdmissionVerdict::Admit), commit);
  }
}

/** Guards against callers who wait for a commit that comes after their
 *  deadline: what cannot be stored in time is refused at once. */
BOOST_AUTO_TEST_CASE(SlowStoreRefusesWhatNoCommitCarriesInTime) {
  AdmissionInput input = InputAt(milliseconds(600));
  input.m_tryAge = milliseconds(10);
  input.m_otherRows = 400;
  // Three commits with 33 new jobs each end in time, a fourth one does not.
  input.m_newJobsAhead = 98;
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::Admit));
  input.m_newJobsAhead = 99;
  const Admission refused = DecideAdmission(input);
  BOOST_TEST((refused.m_verdict == AdmissionVerdict::TooLate));
  BOOST_TEST((refused.m_retryAfter == refused.m_expectedWait - input.m_window));
  // Without other rows, all of a commit is for new jobs.
  input.m_otherRows = 0;
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::Admit));
  input.m_window = milliseconds(700);
  input.m_newJobsAhead = 0;
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::TooLate));
}

/** Guards against a whole commit time that is added for one nearly over. */
BOOST_AUTO_TEST_CASE(CommitInFlightCountsWithWhatIsLeftOfIt) {
  AdmissionInput input = InputAt(milliseconds(600));
  input.m_window = milliseconds(900);
  input.m_tryAge = milliseconds(50);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::TooLate));
  input.m_tryAge = milliseconds(450);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::Admit));
}

/** Guards against promises that rest on the usual time of a commit while the
 *  one in flight already takes much longer. */
BOOST_AUTO_TEST_CASE(CommitThatIsOverdueRaisesTheExpectedTime) {
  AdmissionInput input = InputAt(kUsualCommit);
  input.m_tryAge = milliseconds(800);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::Admit));
  input.m_window = milliseconds(1600);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::TooLate));
}

/** Guards against callers who wait on a store that is silent, and against
 *  refusals for one time-out of a store that is slow. */
BOOST_AUTO_TEST_CASE(TimeOutMeansSilenceOnlyIfCommitsWereQuick) {
  AdmissionInput input = InputAt(kUsualCommit);
  input.m_failures = {CommitFailure::Unanswered, milliseconds(900)};
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::StoreAway));
  input.m_expectedCommit = milliseconds(500);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::Admit));
  input.m_failures.m_for = milliseconds(1501);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::StoreAway));
}

/** Guards against refusals at the first slow commit: the store answers other
 *  calls, and the commit in flight tells how long the next one may take. */
BOOST_AUTO_TEST_CASE(StoreThatAnswersOtherCallsIsNotSilent) {
  AdmissionInput input = InputAt(kUsualCommit);
  input.m_failures = {CommitFailure::Unanswered, milliseconds(950), true};
  input.m_tryAge = milliseconds(950);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::Admit));
  input.m_tryAge = milliseconds(1500);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::TooLate));
  input.m_failures.m_for = milliseconds(1801);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::StoreAway));
}

/** Guards against tries that are repeated while a slow store works on the first
 *  one, and against longer waits on a quick store. */
BOOST_AUTO_TEST_CASE(TimeOutsFollowTheStore) {
  constexpr Duration kUsual = milliseconds(900);
  constexpr Duration kMax = seconds(2);
  BOOST_TEST((FirstTimeout(kUsualCommit, kUsual, kMax) == kUsual));
  BOOST_TEST(
      (FirstTimeout(milliseconds(600), kUsual, kMax) == milliseconds(1200)));
  BOOST_TEST((FirstTimeout(seconds(3), kUsual, kMax) == kMax));
}

/** Guards against refusals for one call too many in a slow store, and against
 *  callers who wait on a store that refuses all calls. */
BOOST_AUTO_TEST_CASE(RefusedTriesAreToldApart) {
  AdmissionInput input = InputAt(kUsualCommit);
  input.m_failures = {CommitFailure::Overloaded, milliseconds(100)};
  input.m_commitPause = milliseconds(100);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::StoreAway));
  input.m_expectedCommit = milliseconds(400);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::Admit));
  input.m_failures.m_for = milliseconds(801);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::StoreAway));
  input.m_failures = {CommitFailure::Unavailable, milliseconds(1)};
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::StoreAway));
  input = InputAt(kUsualCommit);
  input.m_reachesStore = false;
  const Admission refused = DecideAdmission(input);
  BOOST_TEST((refused.m_verdict == AdmissionVerdict::StoreAway));
  BOOST_TEST((refused.m_retryAfter > Duration::zero()));
}

/** Guards against refusals after an outage: the time of the commit that was
 *  repeated until the store returned is not the time of a commit. */
BOOST_AUTO_TEST_CASE(StoreThatHasReturnedAdmits) {
  RecentCommits recent;
  for (int at = 0; at < 2; ++at) RecordCommit(recent, milliseconds(600));
  BOOST_TEST((ExpectedCommitTime(recent) == milliseconds(600)));
  for (int at = 0; at < 2; ++at) RecordCommit(recent, kUsualCommit);
  BOOST_TEST((ExpectedCommitTime(recent) == kUsualCommit));
  RecordCommit(recent, milliseconds(300));
  BOOST_TEST((ExpectedCommitTime(recent) == milliseconds(300)));
}

/** Guards against new jobs that take time from accepted work. */
BOOST_AUTO_TEST_CASE(LateControlLoopRefuses) {
  AdmissionInput input = InputAt(kUsualCommit);
  input.m_loopLag = milliseconds(601);
  BOOST_TEST((VerdictOn(input) == AdmissionVerdict::OwnerBehind));
}

/** Guards against a commit that new jobs fill, so that no end of a run becomes
 *  durable. */
BOOST_AUTO_TEST_CASE(NewJobsLeaveAThirdOfACommit) {
  BOOST_TEST(NewJobRows(98, 0) == 98U);
  BOOST_TEST(NewJobRows(98, 10) == 88U);
  BOOST_TEST(NewJobRows(98, 1000) == 66U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched

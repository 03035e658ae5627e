/**
 * @file admission_func.cpp Decides whether a new job can be stored before its
 * caller's deadline.
 */

#include "core/sched/admission_func.h"

#include <algorithm>

namespace bronze::sched {

namespace {

/** Above this delay of the control loop, new jobs are refused: they would take
 *  time from work that was accepted. */
constexpr Duration kMaxLagForNewJobs = milliseconds(600);
/** A store that answers within this many times the expected duration is slow;
 *  one that is silent for longer is away. */
constexpr int64_t kMaxSlowdown = 3;
/** The same for a store that answers other calls, at least. */
constexpr Duration kMaxSilenceOfOne = milliseconds(1800);
/** A slow store refuses calls while others wait, and accepts them once these
 *  have ended. One that refuses for longer than this many commits, thus at once
 *  if it is quick, turns this VM away. */
constexpr int64_t kOverloadedCommits = 2;
/** Sent with refusals if nothing is known of when the cause ends. */
constexpr Duration kUnknownEnd = seconds(1);
constexpr Duration kMaxRetryAfter = seconds(5);
/** Share of a commit that is left to known jobs. */
constexpr size_t kOtherShare = 3;

/** @return the time until the commit in flight has ended. One that takes longer
 *          than expected is expected to take as long again. */
Duration RemainingOfCommit(const AdmissionInput& aInput) {
  if (!aInput.m_tryAge) return aInput.m_commitPause;
  const Duration age = *aInput.m_tryAge;
  return age < aInput.m_expectedCommit ? aInput.m_expectedCommit - age : age;
}

/** @return the commits from the next one up to that with the new job. */
int64_t CommitsNeeded(const AdmissionInput& aInput) {
  size_t rows =
      aInput.m_rowsFirst + kRowsPerNewJob * (aInput.m_newJobsAhead + 1);
  if (aInput.m_commitRows < kMinSharedRows) rows += aInput.m_otherRows;
  const size_t room = std::max(
      NewJobRows(aInput.m_commitRows, aInput.m_otherRows), kRowsPerNewJob);
  return static_cast<int64_t>((rows + room - 1) / room);
}

Duration ExpectedWait(const AdmissionInput& aInput) {
  const Duration each = std::max(aInput.m_expectedCommit,
                                 aInput.m_tryAge.value_or(Duration::zero()));
  return RemainingOfCommit(aInput) + each * CommitsNeeded(aInput) + kAnswerTime;
}

}  // namespace

void RecordCommit(RecentCommits& aRecent, Duration aTime) {
  aRecent.m_times[aRecent.m_next] = aTime;
  aRecent.m_next = (aRecent.m_next + 1) % aRecent.m_times.size();
}

Duration ExpectedCommitTime(const RecentCommits& aRecent) {
  return *std::max_element(aRecent.m_times.begin(), aRecent.m_times.end());
}

Duration FirstTimeout(Duration aExpectedCommit, Duration aUsual,
                      Duration aMax) {
  constexpr int64_t kMargin = 2;
  return std::clamp(kMargin * aExpectedCommit, aUsual, aMax);
}

bool IsStoreAway(const CommitFailures& aFailures, Duration aExpectedCommit) {
  switch (aFailures.m_last) {
    case CommitFailure::None:
      return false;
    case CommitFailure::Overloaded:
      return aFailures.m_for > kOverloadedCommits * aExpectedCommit;
    case CommitFailure::Unanswered:
      return aFailures.m_for >
             std::max<Duration>(
                 kMaxSlowdown * aExpectedCommit,
                 aFailures.m_answersOthers ? kMaxSilenceOfOne : Duration());
    case CommitFailure::Unavailable:
      return true;
  }
  return true;
}

Admission DecideAdmission(const AdmissionInput& aInput) {
  Admission admission;
  admission.m_expectedWait = ExpectedWait(aInput);
  if (!aInput.m_reachesStore ||
      IsStoreAway(aInput.m_failures, aInput.m_expectedCommit)) {
    admission.m_verdict = AdmissionVerdict::StoreAway;
    admission.m_retryAfter = kUnknownEnd;
  } else if (aInput.m_loopLag > kMaxLagForNewJobs) {
    admission.m_verdict = AdmissionVerdict::OwnerBehind;
    admission.m_retryAfter = kUnknownEnd;
  } else if (admission.m_expectedWait > aInput.m_window) {
    admission.m_verdict = AdmissionVerdict::TooLate;
    // By then, the commits that do not fit into the window have ended.
    admission.m_retryAfter = std::min<Duration>(
        admission.m_expectedWait - aInput.m_window, kMaxRetryAfter);
  }
  return admission;
}

std::string_view VerdictName(AdmissionVerdict aVerdict) {
  switch (aVerdict) {
    case AdmissionVerdict::Admit:
      return "admit";
    case AdmissionVerdict::StoreAway:
      return "store_away";
    case AdmissionVerdict::OwnerBehind:
      return "owner_behind";
    case AdmissionVerdict::TooLate:
      return "too_late";
  }
  return "unknown";
}

std::string_view FailureName(CommitFailure aFailure) {
  switch (aFailure) {
    case CommitFailure::None:
      return "none";
    case CommitFailure::Overloaded:
      return "overloaded";
    case CommitFailure::Unanswered:
      return "unanswered";
    case CommitFailure::Unavailable:
      return "unavailable";
  }
  return "unknown";
}

size_t NewJobRows(size_t aCommitRows, size_t aOtherRows) {
  if (aCommitRows < kMinSharedRows) return aCommitRows;
  return aCommitRows - std::min(aOtherRows, aCommitRows / kOtherShare);
}

}  // namespace bronze::sched

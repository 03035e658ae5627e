/**
 * @file admission_func.h Decides whether a new job can be stored before its
 * caller's deadline, from the commits that have to succeed before.
 */

#ifndef BRONZE_CORE_SCHED_ADMISSION_FUNC_H_
#define BRONZE_CORE_SCHED_ADMISSION_FUNC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/base/time_type.h"

namespace bronze::sched {

/** Rows of a new job: its spec and its state. */
inline constexpr size_t kRowsPerNewJob = 2;

/** How the last try of a commit failed. */
enum class CommitFailure : uint8_t {
  None,
  Overloaded,   ///< The store had too many calls; nothing was written.
  Unanswered,   ///< No answer in time.
  Unavailable,  ///< The store refused the try or cannot be reached.
};

/** Durations of the last commits, each from its last try to its answer. */
struct RecentCommits {
  std::array<Duration, 2> m_times{};
  size_t m_next = 0;  ///< Index of the oldest one.
};

void RecordCommit(RecentCommits& aRecent, Duration aTime);

/** @return the longest of the recent commits: a store that becomes slow is
 *          noticed with the first one. */
[[nodiscard]] Duration ExpectedCommitTime(const RecentCommits& aRecent);

/** Commits that have failed since the last success. */
struct CommitFailures {
  CommitFailure m_last = CommitFailure::None;
  Duration m_for{};  ///< Since the first failed try was sent.
  /** The store has answered other calls meanwhile. */
  bool m_answersOthers = false;
};

/** @return how long to wait for the first answer to a call of a store that
 *          takes aExpectedCommit for a transaction: aUsual if it is quick, and
 *          at most aMax. A call that is repeated too early has to wait behind
 *          its first try. */
[[nodiscard]] Duration FirstTimeout(Duration aExpectedCommit, Duration aUsual,
                                    Duration aMax);

/** Whether the failures mean that the store is away, rather than slow. */
[[nodiscard]] bool IsStoreAway(const CommitFailures& aFailures,
                               Duration aExpectedCommit);

struct AdmissionInput {
  /** A heartbeat or a commit was acknowledged recently. */
  bool m_reachesStore = false;
  Duration m_loopLag{};  ///< How late the control loop is.
  Duration m_window{};   ///< Time until the caller's deadline.
  Duration m_expectedCommit{};
  Duration m_commitPause{};  ///< Time until the next commit may begin.
  /** Age of the last try of the commit in flight; not set: there is none. */
  std::optional<Duration> m_tryAge;
  size_t m_commitRows = 0;    ///< Rows that a commit may have.
  size_t m_rowsFirst = 0;     ///< Rows that go before those of new jobs.
  size_t m_newJobsAhead = 0;  ///< New jobs that no commit contains.
  size_t m_otherRows = 0;     ///< Other rows that no commit contains.
  CommitFailures m_failures;
};

enum class AdmissionVerdict : uint8_t {
  Admit,
  StoreAway,
  OwnerBehind,  ///< The control loop is late.
  TooLate,      ///< The job would be stored after the caller's deadline.
};

/** Counters of AdmissionVerdict have this many elements. */
inline constexpr size_t kAdmissionVerdicts = 4;

struct Admission {
  AdmissionVerdict m_verdict = AdmissionVerdict::Admit;
  Duration m_expectedWait{};  ///< Until the caller has the answer.
  Duration m_retryAfter{};    ///< If refused: when to come back.
};

[[nodiscard]] Admission DecideAdmission(const AdmissionInput& aInput);

/** @return the name for logs and metrics. */
[[nodiscard]] std::string_view VerdictName(AdmissionVerdict aVerdict);
[[nodiscard]] std::string_view FailureName(CommitFailure aFailure);

/** Commits with fewer rows than this take new and known jobs in turns. */
inline constexpr size_t kMinSharedRows = 8;

/** @return the rows of a commit that new jobs may take first while aOtherRows
 *          wait too. The rest, a third if it is needed, is left to the state of
 *          running work. */
[[nodiscard]] size_t NewJobRows(size_t aCommitRows, size_t aOtherRows);

/** Time between the end of a commit and the arrival of the answer at the VM
 *  that has the caller: a tick of the control loop and the way back. */
inline constexpr Duration kAnswerTime = milliseconds(100);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_ADMISSION_FUNC_H_

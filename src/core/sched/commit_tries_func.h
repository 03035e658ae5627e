/**
 * @file commit_tries_func.h What is known of a commit after its transaction was
 * sent one or several times.
 *
 * A try that got no answer may have been stored, or may be stored later if its
 * condition still holds. The answer to another try says nothing about it,
 * unless it shows the owner row: each transaction of an owner expects the row's
 * version and writes a sequence number of its own to it. So a commit that can
 * be neither repeated nor given up is settled by a transaction that replaces
 * only the owner row. Once that is stored, no try of the commit can be.
 */

#ifndef BRONZE_CORE_SCHED_COMMIT_TRIES_FUNC_H_
#define BRONZE_CORE_SCHED_COMMIT_TRIES_FUNC_H_

#include <cstdint>

namespace bronze::sched {

/** How one try ended, by its own answer. */
enum class TryEnd : uint8_t {
  Stored,
  OwnRow,      ///< Not stored: the owner row is that of an earlier try.
  DoubtedRow,  ///< The same, of the commit that is being settled.
  OtherRow,    ///< Not stored: another daemon has rewritten the owner row.
  Refused,     ///< Nothing was written; a later try may be.
  Rejected,    ///< Nothing was written; the store does not accept the content.
  Unanswered,
};

/** What follows from the end of a try. */
enum class CommitStep : uint8_t {
  Repeat,     ///< Send the same transaction again.
  Settle,     ///< Send the transaction that settles the commit.
  Stored,     ///< The commit is stored.
  NotStored,  ///< Nothing of the commit is stored, or can be any more.
  Lost,       ///< Another daemon owns the cell.
};

/** The tries of one commit, and of the transaction that settles it. */
struct CommitTries {
  /** Tries of the commit that may have been stored or may still be. A try
   *  counts from before it is sent; only its own answer takes it off. */
  uint32_t m_inDoubt = 0;
  bool m_settles = false;  ///< The transaction that settles is being sent.
};

/** To be called before a try is sent. */
void BeginTry(CommitTries& aTries);

/** @return what follows from the end of the last try. */
[[nodiscard]] CommitStep EndTry(CommitTries& aTries, TryEnd aEnd);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_COMMIT_TRIES_FUNC_H_

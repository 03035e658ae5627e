/**
 * @file commit_tries_test.cpp Tests what is concluded of a commit after several
 * tries of its transaction.
 */

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "core/sched/commit_tries_func.h"

namespace bronze::sched {

BOOST_AUTO_TEST_SUITE(CommitTriesSuite)

/** Guards against a commit that is given up although an unanswered try of it
 *  has been stored: another try was rejected, which says nothing of it. */
BOOST_AUTO_TEST_CASE(RejectionDoesNotSettleAnUnansweredTry) {
  CommitTries tries;
  BeginTry(tries);
  BOOST_TEST((EndTry(tries, TryEnd::Unanswered) == CommitStep::Repeat));
  BeginTry(tries);
  BOOST_TEST((EndTry(tries, TryEnd::Rejected) == CommitStep::Settle));
  BeginTry(tries);
  BOOST_TEST((EndTry(tries, TryEnd::Rejected) == CommitStep::Repeat));
  BeginTry(tries);
  BOOST_TEST((EndTry(tries, TryEnd::Stored) == CommitStep::NotStored));
}

/** Guards against a commit that is repeated for good although nothing of it can
 *  be stored. */
BOOST_AUTO_TEST_CASE(OwnAnswersAreProofs) {
  for (const TryEnd end : {TryEnd::Refused, TryEnd::Rejected}) {
    CommitTries tries;
    BeginTry(tries);
    BOOST_TEST((EndTry(tries, end) == CommitStep::NotStored));
  }
}

namespace {

/** The owner row, as far as it counts here. */
struct ModelRow {
  int m_version = 1;
  int m_sequence = 0;  ///< 0: of another daemon, or of an earlier commit.
};

constexpr int kCommitSequence = 1;
constexpr int kSettlingSequence = 2;

/** A store that answers tries, leaves them unanswered, or carries them out
 *  later. */
class TriesModel {
 public:
  explicit TriesModel(uint64_t aSeed) : m_random(aSeed) {}

  /** Sends tries until something is concluded, at most 60.
   *  @return whether the conclusion is wrong, now or later. */
  bool ConcludesWrongly() {
    CommitTries tries;
    CommitStep step = CommitStep::Repeat;
    for (int at = 0; at < 60; ++at) {
      if (step != CommitStep::Repeat && step != CommitStep::Settle) break;
      if (step == CommitStep::Settle) m_sequence = kSettlingSequence;
      BeginTry(tries);
      step = EndTry(tries, Send());
      if (Draw(5) == 0) CarryOutLate();
    }
    m_step = step;
    const bool storedThen = m_commitStored;
    while (!m_late.empty()) CarryOutLate();
    switch (step) {
      case CommitStep::Stored:
        return !storedThen;
      case CommitStep::NotStored:
        return m_commitStored;
      default:
        return false;
    }
  }

  [[nodiscard]] CommitStep Step() const { return m_step; }

 private:
  size_t Draw(size_t aBelow) {
    return std::uniform_int_distribution<size_t>(0, aBelow - 1)(m_random);
  }

  TryEnd Send() {
    switch (Draw(8)) {
      case 0:
        return TryEnd::Refused;
      case 1:
      case 2:
        return TryEnd::Rejected;
      case 3:
        m_late.push_back(m_sequence);
        return TryEnd::Unanswered;
      case 4:
        CarryOut(m_sequence);
        return TryEnd::Unanswered;
      case 5:
        if (Draw(6) == 0) m_row = {m_row.m_version + 1, 0};
        return TryEnd::Unanswered;
      default:
        return CarryOut(m_sequence);
    }
  }

  /** All tries expect the version that the row had at the begin. */
  TryEnd CarryOut(int aSequence) {
    if (m_row.m_version == 1) {
      m_row = {2, aSequence};
      if (aSequence == kCommitSequence) m_commitStored = true;
      return TryEnd::Stored;
    }
    if (m_row.m_sequence == aSequence) return TryEnd::OwnRow;
    return m_row.m_sequence == kCommitSequence ? TryEnd::DoubtedRow
                                               : TryEnd::OtherRow;
  }

  void CarryOutLate() {
    if (m_late.empty()) return;
    (void)CarryOut(m_late.back());
    m_late.pop_back();
  }

  std::mt19937_64 m_random;
  ModelRow m_row;
  int m_sequence = kCommitSequence;
  bool m_commitStored = false;
  std::vector<int> m_late;  ///< Sequences of tries that are still on their way.
  CommitStep m_step = CommitStep::Repeat;
};

}  // namespace

/** Guards against any order of lost, late, refused and rejected tries after
 *  which a commit counts as not stored and is, or the other way round. */
BOOST_AUTO_TEST_CASE(NoOrderOfTriesIsConcludedWrongly) {
  int stored = 0;
  int notStored = 0;
  for (uint64_t seed = 1; seed <= 100000; ++seed) {
    TriesModel model(seed);
    BOOST_REQUIRE_MESSAGE(!model.ConcludesWrongly(), "seed " << seed);
    stored += model.Step() == CommitStep::Stored ? 1 : 0;
    notStored += model.Step() == CommitStep::NotStored ? 1 : 0;
  }
  // Else the model would show nothing.
  BOOST_TEST(stored > 1000);
  BOOST_TEST(notStored > 1000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched

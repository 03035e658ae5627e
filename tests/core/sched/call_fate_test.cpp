/**
 * @file call_fate_test.cpp Tests what callers are told after several copies of
 * their call were sent.
 */

#include <array>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <random>
#include <vector>

#include "core/error/error_func.h"
#include "core/sched/call_fate_func.h"

namespace bronze::sched {

BOOST_AUTO_TEST_SUITE(CallFateSuite)

namespace {

CallFate FateOfChange() {
  CallFate fate;
  fate.m_changesJob = true;
  return fate;
}

/** @return what is reported after copies that were answered with these errors,
 *          one after the other. */
ErrorKind FinalKind(const std::vector<ErrorKind>& aAnswers) {
  CallFate fate = FateOfChange();
  for (const ErrorKind kind : aAnswers) {
    EndCopy(fate, BeginCopy(fate), StateOfAnswered(MakeError(kind, "failed")));
  }
  return FinalError(fate, MakeError(aAnswers.back(), "the last one")).m_kind;
}

}  // namespace

/** Guards against "never runs" for a job that an earlier copy has stored: its
 *  answer was lost, and a later copy was refused (review/4). */
BOOST_AUTO_TEST_CASE(RefusalDoesNotSettleAnEarlierAttempt) {
  for (const ErrorKind lost : {ErrorKind::OutcomeUnknown, ErrorKind::Timeout}) {
    for (const ErrorKind refusal :
         {ErrorKind::NotOwner, ErrorKind::NotReady, ErrorKind::QueueFull,
          ErrorKind::StoreUnavailable, ErrorKind::ConnectionFailed}) {
      BOOST_TEST((FinalKind({lost, refusal}) == ErrorKind::OutcomeUnknown));
      BOOST_TEST((FinalKind({refusal, lost, refusal, refusal}) ==
                  ErrorKind::OutcomeUnknown));
    }
  }
}

/** Guards against an unknown outcome where nothing was done, which would leave
 *  callers without a time to come back. */
BOOST_AUTO_TEST_CASE(RefusalsAloneAreReported) {
  BOOST_TEST((FinalKind({ErrorKind::NotOwner, ErrorKind::QueueFull}) ==
              ErrorKind::QueueFull));
  BOOST_TEST((FinalKind({ErrorKind::OutcomeUnknown, ErrorKind::UnknownJob}) ==
              ErrorKind::UnknownJob));
  CallFate fate = FateOfChange();
  EndCopy(fate, BeginCopy(fate), CopyState::NotSent);
  const Error refusal = MakeError(ErrorKind::NotReady, "cannot connect");
  BOOST_TEST(IsSettled(fate, refusal));
  BOOST_TEST((FinalError(fate, refusal).m_kind == ErrorKind::NotReady));
}

/** Guards against "never runs" for a job that a second copy of the call stores:
 *  the first one could not be sent, and the second had no answer yet
 *  (review/11). */
BOOST_AUTO_TEST_CASE(RefusalDoesNotSettleAnOpenCopy) {
  CallFate fate = FateOfChange();
  const CopyNumber first = BeginCopy(fate);
  const CopyNumber second = BeginCopy(fate);
  EndCopy(fate, first, CopyState::NotSent);
  const Error refusal = MakeError(ErrorKind::NotReady, "cannot connect");
  BOOST_TEST(MayBeDone(fate));
  BOOST_TEST(!IsSettled(fate, refusal));
  BOOST_TEST((FinalError(fate, refusal).m_kind == ErrorKind::OutcomeUnknown));
  // What the copy tells itself counts, also if that comes late.
  EndCopy(fate, second, CopyState::Declined);
  BOOST_TEST(IsSettled(fate, refusal));
  BOOST_TEST((FinalError(fate, refusal).m_kind == ErrorKind::NotReady));
  BOOST_TEST(CopiesText(fate) == "not_sent,declined");
}

/** Guards against an unknown outcome for calls that change nothing. */
BOOST_AUTO_TEST_CASE(LookUpsAreRefusedWhateverIsOpen) {
  CallFate fate;
  (void)BeginCopy(fate);
  const Error refusal = MakeError(ErrorKind::NotReady, "cannot connect");
  BOOST_TEST(IsSettled(fate, refusal));
  BOOST_TEST((FinalError(fate, refusal).m_kind == ErrorKind::NotReady));
}

namespace {

/** An owner of the cell, as far as one job counts. */
struct ModelOwner {
  bool m_owns = false;    ///< Its commits succeed.
  bool m_behind = false;  ///< Refuses new jobs.
};

/** One copy between the sender and an owner. */
struct ModelCopy {
  CopyNumber m_number;
  size_t m_owner = 0;
  bool m_connected = false;  ///< Its bytes are in the network for good.
  bool m_ended = false;      ///< For the sender.
  bool m_handled = false;    ///< By the owner.
};

/**
 * The job is submitted by one caller. Copies are sent to two owners, of which
 * the first hands the cell to the second at some time; links are cut and heal;
 * what was sent before may be read at any later time, also after the caller has
 * its answer.
 */
class CallModel {
 public:
  explicit CallModel(uint64_t aSeed) : m_random(aSeed) {
    m_fate.m_changesJob = true;
    m_owners[0].m_owns = true;
  }

  /** Plays to the end. @return whether the caller was told that the job never
   *  runs although it is stored. */
  bool BreaksPromise() {
    for (int step = 0; step < 40; ++step) Step();
    if (!m_answer) Report();
    // What is still in the network arrives, and all owners accept jobs again.
    m_owners[0].m_behind = m_owners[1].m_behind = false;
    for (ModelCopy& copy : m_copies) {
      if (copy.m_connected && !copy.m_handled) Handle(copy);
    }
    const bool isRefused =
        m_answer && AnswerFor(*m_answer).m_runState == RunState::NotRun;
    m_refused = isRefused;
    return isRefused && m_stored;
  }

  [[nodiscard]] bool IsRefused() const { return m_refused; }
  [[nodiscard]] bool IsStored() const { return m_stored; }

 private:
  size_t Draw(size_t aBelow) {
    return std::uniform_int_distribution<size_t>(0, aBelow - 1)(m_random);
  }

  void Step() {
    switch (Draw(9)) {
      case 0:
        if (m_answer || m_copies.size() >= 4) return;
        m_copies.push_back({BeginCopy(m_fate), Draw(2), false, false, false});
        return;
      case 1:
        m_isCut = !m_isCut;
        return;
      case 2:
        if (m_owners[0].m_owns) {
          m_owners[0].m_owns = false;
          m_owners[1].m_owns = true;
        }
        return;
      case 3: {
        ModelOwner& owner = m_owners[Draw(2)];
        owner.m_behind = !owner.m_behind;
        return;
      }
      case 4:
        // The caller's deadline.
        if (!m_copies.empty() && !m_answer && Draw(4) == 0) Report();
        return;
      default:
        if (!m_copies.empty()) Advance(m_copies[Draw(m_copies.size())]);
        return;
    }
  }

  /** Something happens to the copy. */
  void Advance(ModelCopy& aCopy) {
    if (!aCopy.m_connected) {
      if (aCopy.m_ended) return;
      if (!m_isCut) {
        aCopy.m_connected = true;
      } else if (Draw(2) == 0) {
        End(aCopy, CopyState::NotSent);
      }
      return;
    }
    if (!aCopy.m_handled && Draw(2) == 0) {
      const CopyState state = Handle(aCopy);
      // The answer may be lost.
      if (!m_isCut && Draw(3) > 0) End(aCopy, state);
      return;
    }
    if (!aCopy.m_ended && Draw(3) == 0) End(aCopy, CopyState::Lost);
  }

  CopyState Handle(ModelCopy& aCopy) {
    aCopy.m_handled = true;
    const ModelOwner& owner = m_owners[aCopy.m_owner];
    if (!owner.m_owns || (owner.m_behind && !m_stored)) {
      return CopyState::Declined;
    }
    m_stored = true;
    return CopyState::Done;
  }

  void End(ModelCopy& aCopy, CopyState aState) {
    if (aCopy.m_ended) return;
    aCopy.m_ended = true;
    EndCopy(m_fate, aCopy.m_number, aState);
    const Error refusal = MakeError(ErrorKind::NotReady, "refused");
    if (m_answer) return;
    if (aState == CopyState::Done) {
      // Accepted, which is no refusal.
      m_answer = ErrorKind::OutcomeUnknown;
    } else if (IsSettled(m_fate, refusal) && Draw(3) == 0) {
      Report();
    }
  }

  void Report() {
    m_answer =
        FinalError(m_fate, MakeError(ErrorKind::NotReady, "refused")).m_kind;
  }

  std::mt19937_64 m_random;
  CallFate m_fate;
  std::array<ModelOwner, 2> m_owners;
  std::vector<ModelCopy> m_copies;
  bool m_isCut = false;
  bool m_stored = false;
  bool m_refused = false;
  std::optional<ErrorKind> m_answer;
};

}  // namespace

/** Guards against any order of copies, cuts, answers, a successor and the
 *  caller's deadline after which a refused job is stored. */
BOOST_AUTO_TEST_CASE(NoInterleavingStoresARefusedJob) {
  int refused = 0;
  int stored = 0;
  for (uint64_t seed = 1; seed <= 200000; ++seed) {
    CallModel model(seed);
    BOOST_REQUIRE_MESSAGE(!model.BreaksPromise(), "seed " << seed);
    refused += model.IsRefused() ? 1 : 0;
    stored += model.IsStored() ? 1 : 0;
  }
  // Else the model would show nothing.
  BOOST_TEST(refused > 1000);
  BOOST_TEST(stored > 1000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched

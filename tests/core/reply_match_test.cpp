/**
 * @file reply_match_test.cpp Tests which replies count for which calls.
 */

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <vector>

#include "core/message/reply_match_func.h"

namespace bronze {

namespace {

constexpr TimePoint kNow{seconds(100)};

ReplyMark MarkWithCall(uint64_t aCall) { return {CallNumber(aCall), {}, true}; }
ReplyMark MarkWithClock(int64_t aMillis) {
  return {{}, ServerMillis(aMillis), true};
}
ReplyMark NoMark(bool aHasBody) { return {{}, {}, aHasBody}; }

/** @return the history of a connection on which this reply was read. */
ReplyHistory HistoryAfter(const ReplyMark& aMark) {
  ReplyHistory history;
  NoteReply(history, aMark, kNow);
  return history;
}

/** Calls on one connection to a server that sends each reply once in its order
 *  and again at random later places. */
void RunWithRepetitions(bool aNumbered) {
  struct SentReply {
    uint64_t m_call;
    ReplyMark m_mark;
  };
  const auto calls = *rc::gen::inRange<uint64_t>(1, 30);
  // Before a true reply come repetitions of earlier ones.
  std::vector<SentReply> sent;
  std::vector<SentReply> stream;
  int64_t clock = *rc::gen::inRange<int64_t>(0, 1000);
  for (uint64_t call = 1; call <= calls; ++call) {
    const auto repetitions = *rc::gen::inRange<size_t>(0, 4);
    for (size_t i = 0; i < repetitions && !sent.empty(); ++i) {
      stream.push_back(sent[*rc::gen::inRange<size_t>(0, sent.size())]);
    }
    clock += *rc::gen::inRange<int64_t>(1, 5);
    sent.push_back(
        {call, aNumbered ? MarkWithCall(call) : MarkWithClock(clock)});
    stream.push_back(sent.back());
  }
  ReplyHistory history;
  uint64_t waiting = 1;
  for (const SentReply& reply : stream) {
    if (MatchReply(history, CallNumber(waiting), reply.m_mark) !=
        ReplyMatch::Matches) {
      continue;
    }
    RC_ASSERT(reply.m_call == waiting);
    RC_ASSERT(NoteReply(history, reply.m_mark, kNow));
    ++waiting;
  }
  RC_ASSERT(waiting == calls + 1);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ReplyMatchSuite)

/** Guards against the reply to another call on a connection, also on one that
 *  has carried none yet. */
BOOST_AUTO_TEST_CASE(NumberOfAnotherCallIsARepetition) {
  for (const ReplyHistory& history :
       {ReplyHistory(), HistoryAfter(MarkWithCall(6))}) {
    BOOST_TEST((MatchReply(history, CallNumber(7), MarkWithCall(7)) ==
                ReplyMatch::Matches));
    for (const uint64_t other : {0U, 6U, 8U}) {
      BOOST_TEST((MatchReply(history, CallNumber(7), MarkWithCall(other)) ==
                  ReplyMatch::Repeated));
    }
  }
}

/** Guards against a repetition with the clock of the last reply, or of one
 *  before it. */
BOOST_AUTO_TEST_CASE(OnlyANewerClockMatches) {
  ReplyHistory history = HistoryAfter(MarkWithClock(50));
  // A lower clock must not make the newest one older.
  NoteReply(history, MarkWithClock(40), kNow);
  const auto match = [&](int64_t aMillis) {
    return MatchReply(history, {}, MarkWithClock(aMillis));
  };
  BOOST_TEST((match(51) == ReplyMatch::Matches));
  BOOST_TEST((match(50) == ReplyMatch::Repeated));
  BOOST_TEST((match(45) == ReplyMatch::Repeated));
  BOOST_TEST((match(0) == ReplyMatch::Repeated));
}

/** Guards against a first reply that is refused for its clock, such as that of
 *  a server that has just started. */
BOOST_AUTO_TEST_CASE(AnyClockMatchesOnANewConnection) {
  BOOST_TEST((MatchReply({}, {}, MarkWithClock(0)) == ReplyMatch::Matches));
}

/** Guards against a body without a mark on a kept connection: it may consist of
 *  parts of two replies. */
BOOST_AUTO_TEST_CASE(ReplyWithoutAMarkMatchesOnlyAsTheFirst) {
  const ReplyHistory later = HistoryAfter(MarkWithClock(50));
  for (const bool hasBody : {false, true}) {
    BOOST_TEST((MatchReply({}, CallNumber(1), NoMark(hasBody)) ==
                ReplyMatch::Matches));
  }
  BOOST_TEST(
      (MatchReply(later, CallNumber(1), NoMark(true)) == ReplyMatch::Unmarked));
  BOOST_TEST(
      (MatchReply(later, CallNumber(1), NoMark(false)) == ReplyMatch::Matches));
}

/** Guards against another call on a connection whose last reply cannot be told
 *  from the next. */
BOOST_AUTO_TEST_CASE(ConnectionIsKeptOnlyAfterAMark) {
  ReplyHistory history;
  BOOST_TEST(NoteReply(history, MarkWithCall(1), kNow));
  BOOST_TEST(NoteReply(history, MarkWithClock(1), kNow));
  BOOST_TEST(!NoteReply(history, NoMark(true), kNow));
  BOOST_TEST(!NoteReply(history, NoMark(false), kNow));
  BOOST_TEST(history.m_replies == 4U);
}

/** Guards against a true reply with the clock of the one before it, and against
 *  a pause between numbered calls. */
BOOST_AUTO_TEST_CASE(NextCallWaitsForTheServersClock) {
  BOOST_TEST((NextCallAt({}) == TimePoint()));
  BOOST_TEST((NextCallAt(HistoryAfter(MarkWithCall(1))) == TimePoint()));
  // Whole milliseconds differ for certain only after more than one.
  BOOST_TEST(
      (NextCallAt(HistoryAfter(MarkWithClock(50))) > kNow + milliseconds(1)));
}

/** Guards against a sequence of repetitions after which a call takes the reply
 *  to another, or never its own. */
BOOST_AUTO_TEST_CASE(EachCallTakesItsOwnReply) {
  BOOST_TEST(rc::check("numbered calls", [] { RunWithRepetitions(true); }));
  BOOST_TEST(rc::check("server's clock", [] { RunWithRepetitions(false); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze

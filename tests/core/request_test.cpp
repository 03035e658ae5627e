/**
 * @file request_test.cpp A request at one entry VM, from start to end.
 */

#include <boost/test/unit_test.hpp>

#include "request_fixture.h"

namespace bronze {

namespace {

/** Two runners with one slot each. */
struct Fixture : RequestFixture {
  Fixture() {
    SetRunners(2, Slots(1));
    Grant(Slots(1));
  }
};

}  // namespace

// Guards against the dispatch of more requests to a runner than it has slots.
BOOST_FIXTURE_TEST_CASE(RequestsBeyondTheSlotsWait, Fixture) {
  const RunnerId first = RunnerOf(ArriveOne(1, kCheck));
  const RunnerId second = RunnerOf(ArriveOne(2, kCheck));
  BOOST_TEST((first != second));
  BOOST_TEST(EffectsOf<DispatchRequest>(ArriveOne(3, kCheck)).empty());
  const auto effects = EndOne(1, first, AttemptEnd::Answered);
  BOOST_REQUIRE_EQUAL(effects.size(), 2u);
  BOOST_TEST(std::holds_alternative<DeliverAnswer>(effects[0]));
  BOOST_TEST((std::get<DispatchRequest>(effects[1]).m_request == RequestId(3)));
}

// Guards against a second run of a non-idempotent request.
BOOST_FIXTURE_TEST_CASE(NonIdempotentIsNotRepeatedOnceBytesWereSent, Fixture) {
  m_state.m_retryBudget.m_tokens = kRetryBurst;
  BOOST_TEST(EffectsOf<DispatchRequest>(ArriveOne(1, kCommit)).empty());
  const RunnerId runner = RunnerOf(AnswerKey(1, KeyState::Granted));
  const auto effects = EndOne(1, runner, AttemptEnd::AnswerLost);
  BOOST_TEST(EffectsOf<DispatchRequest>(effects).empty());
  const auto refusals = EffectsOf<RefuseRequest>(effects);
  BOOST_REQUIRE_EQUAL(refusals.size(), 1u);
  BOOST_TEST((refusals[0].m_error.m_kind == ErrorKind::OutcomeUnknown));
}

// Guards against the answer "not run" after an attempt that may have run.
BOOST_FIXTURE_TEST_CASE(ExhaustedBudgetAfterALostAnswerIsUnknown, Fixture) {
  const RunnerId runner = RunnerOf(ArriveOne(1, kCheck));
  m_state.m_retryBudget.m_tokens = 0.0;
  const auto effects = EndOne(1, runner, AttemptEnd::AnswerLost);
  const auto& refusal = std::get<RefuseRequest>(effects.at(0));
  BOOST_TEST((refusal.m_error.m_kind == ErrorKind::OutcomeUnknown));
}

// Guards against the delivery of an answer after the caller has left, and
// against reuse of the slot while the runner still runs the request.
BOOST_FIXTURE_TEST_CASE(LateAnswerIsOnlyCounted, Fixture) {
  const RunnerId runner = RunnerOf(ArriveOne(1, kCheck));
  RequestEffects effects;
  HandleCallerLeft(m_state, RequestId(1), m_now, m_counters, effects);
  BOOST_TEST(effects.empty());
  BOOST_TEST((Runner(runner).m_busy == Slots(1)));
  BOOST_TEST(EndOne(1, runner, AttemptEnd::Answered).empty());
  BOOST_TEST(ValueOf(m_counters, CounterId::AnswersLate) == 1u);
  BOOST_TEST((Runner(runner).m_busy == Slots(0)));
}

// Guards against a standing request that stays open without its caller.
BOOST_FIXTURE_TEST_CASE(WatchEndsWithItsCaller, Fixture) {
  const RunnerId runner = RunnerOf(ArriveOne(1, kWatch));
  BOOST_TEST((Runner(runner).m_busy == Slots(0)));
  RequestEffects effects;
  HandleCallerLeft(m_state, RequestId(1), m_now, m_counters, effects);
  BOOST_TEST(std::holds_alternative<AbortAttempt>(effects.at(0)));
}

// Guards against the dispatch of a request whose window is over.
BOOST_FIXTURE_TEST_CASE(QueuedRequestIsShedAtItsDeadline, Fixture) {
  ArriveOne(1, kCheck);
  ArriveOne(2, kCheck);
  ArriveOne(3, kCheck);
  const auto effects = Advance(m_state.m_settings.m_defaultWindow);
  const auto refusal = EffectsOf<RefuseRequest>(effects).at(0);
  BOOST_TEST((refusal.m_request == RequestId(3)));
  BOOST_TEST((refusal.m_error.m_kind == ErrorKind::DeadlineShed));
}

}  // namespace bronze

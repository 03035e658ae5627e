/**
 * @file call_fate_test.cpp Tests what callers are told after several attempts.
 */

#include <boost/test/unit_test.hpp>

#include "core/sched/call_fate_func.h"

namespace bronze::sched {

BOOST_AUTO_TEST_SUITE(CallFateSuite)

namespace {

ErrorKind FinalKind(const std::vector<ErrorKind>& aAttempts) {
  CallFate fate;
  for (const ErrorKind kind : aAttempts) {
    NoteFailedAttempt(fate, MakeError(kind, "an attempt failed"));
  }
  return FinalError(fate, MakeError(aAttempts.back(), "the last one")).m_kind;
}

}  // namespace

/** Guards against "never runs" for a job that an earlier attempt has stored:
 *  its answer was lost, and a later attempt was refused (review/4). */
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
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze::sched

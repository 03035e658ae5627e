/**
 * @file error_test.cpp Tables of error answers and counters.
 */

#include <boost/test/unit_test.hpp>
#include <set>

#include "core/error/error_func.h"
#include "core/error/table/error_answer.h"
#include "core/metrics/counter_func.h"

namespace bronze {

// Guards against two kinds of error with the same name.
BOOST_AUTO_TEST_CASE(ErrorNamesAreUniqueAndFound) {
  std::set<std::string_view> names;
  for (const ErrorAnswer& row : kErrorAnswers) {
    BOOST_TEST(names.insert(row.m_name).second);
    BOOST_TEST((ErrorKindFromName(row.m_name) == row.m_kind));
  }
}

// Guards against an answer "not run" when the work may have run.
BOOST_AUTO_TEST_CASE(UncertainErrorsNeverReportNotRun) {
  for (const ErrorKind kind : {ErrorKind::OutcomeUnknown, ErrorKind::Timeout,
                               ErrorKind::BackendBroken, ErrorKind::Internal}) {
    BOOST_TEST((AnswerFor(kind).m_runState == RunState::Unknown));
  }
}

// Guards against a kind of refusal without a metric.
BOOST_AUTO_TEST_CASE(EachRefusalHasItsOwnCounter) {
  Counters counters;
  Count(counters, RefusalCounter(ErrorKind::QueueFull), 3);
  std::string text;
  AppendPrometheus(counters, text);
  BOOST_TEST(text.find("bronze_refusals_total{reason=\"queue_full\"} 3\n") !=
             std::string::npos);
  BOOST_TEST(text.find("bronze_refusals_total{reason=\"draining\"} 0\n") !=
             std::string::npos);
}

}  // namespace bronze

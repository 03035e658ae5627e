/**
 * @file load_options_test.cpp Limits of the generated load, and its arrival
 * times.
 */

#include <boost/test/unit_test.hpp>

#include "load/arrival_func.h"
#include "load/load_options.h"
#include "load/load_result.h"

namespace bronze {

namespace {

LoadOptions GoodOptions(std::string aNonce = "n") {
  LoadOptions options;
  options.m_targets = ParseTargets("127.0.0.1:1,[::1]:2").value();
  options.m_mix = ParseMix("check=70,commit=30").value();
  options.m_nonce = std::move(aNonce);
  return options;
}

std::vector<Duration> Arrivals(const LoadOptions& aOptions, uint64_t aSeed) {
  ArrivalState state(aSeed);
  std::vector<Duration> times;
  while (const auto time = NextArrival(state, aOptions)) {
    times.push_back(*time);
  }
  return times;
}

}  // namespace

// Guards against load that is sent to another machine.
BOOST_AUTO_TEST_CASE(OnlyLoopbackTargets) {
  BOOST_TEST(ParseTargets("127.0.0.1:1,127.9.9.9:2").value().size() == 2u);
  for (const char* bad : {"10.0.0.1:80", "127.0.0.1:1,192.168.0.1:2",
                          "0.0.0.0:1", "localhost:1", "[::]:1", ""}) {
    BOOST_TEST(!ParseTargets(bad), bad);
  }
}

// Guards against unbounded load.
BOOST_AUTO_TEST_CASE(RateAndDurationAreBounded) {
  LoadOptions options = GoodOptions();
  options.m_rate = kMaxRate;
  options.m_duration = kMaxDuration;
  BOOST_TEST(!!CheckOptions(options));
  options.m_rate = kMaxRate + 1;
  BOOST_TEST(!CheckOptions(options));
  options.m_rate = kMaxRate;
  options.m_swing = ParseSwing("1.5@0+1").value();
  BOOST_TEST(!CheckOptions(options));
  options.m_swing = {};
  options.m_duration = kMaxDuration + Duration(1);
  BOOST_TEST(!CheckOptions(options));
}

// Guards against a malformed option that is accepted.
BOOST_AUTO_TEST_CASE(MalformedTextsAreRefused) {
  for (const char* bad : {"", "check", "check=x", "=3", "check=0", "a=-1"}) {
    BOOST_TEST(!ParseMix(bad), bad);
  }
  for (const char* bad : {"3", "3@1", "3+1", "x@1+1", "3@-1+1"}) {
    BOOST_TEST(!ParseSwing(bad), bad);
  }
  const Swing swing = ParseSwing("3@1.5+2").value();
  BOOST_TEST((swing.m_start == milliseconds(1500)));
  BOOST_TEST((swing.m_length == seconds(2)));
  BOOST_TEST((ParseSwing("").value().m_length == Duration::zero()));
}

// Guards against arrivals that the seed does not determine, and against a rate
// or a swing that differs from the options.
BOOST_AUTO_TEST_CASE(ArrivalsFollowSeedAndRate) {
  LoadOptions options = GoodOptions();
  options.m_rate = 1000.0;
  options.m_duration = seconds(20);
  options.m_swing = ParseSwing("3@5+5").value();
  const auto times = Arrivals(options, 7);
  BOOST_TEST((times == Arrivals(options, 7)));
  BOOST_TEST((times != Arrivals(options, 8)));
  const auto inSwing = std::count_if(
      times.begin(), times.end(),
      [&](Duration aTime) { return IsInSwing(options.m_swing, aTime); });
  // Poisson counts of 15,000 each; six standard deviations are 735.
  BOOST_TEST(std::abs(inSwing - 15'000) < 735);
  BOOST_TEST(std::abs(static_cast<long>(times.size()) - inSwing - 15'000) <
             735);
}

// Guards against two requests, or two runs, with the same markers.
BOOST_AUTO_TEST_CASE(MarkersAndKeysAreUnique) {
  const LoadOptions options = GoodOptions();
  ArrivalState state(1);
  (void)NextArrival(state, options);
  const LoadRequest first = MakeRequest(state, options, TimePoint());
  (void)NextArrival(state, options);
  const LoadRequest second = MakeRequest(state, options, TimePoint());
  BOOST_TEST(first.m_marker != second.m_marker);
  const LoadOptions other = GoodOptions("m");
  BOOST_TEST(MakeRequest(state, other, TimePoint()).m_marker !=
             second.m_marker);
  BOOST_TEST(first.m_key.empty() == IsIdempotent(first.m_kind));
}

// Guards against late answers that count as goodput, and against goodput over
// another period than the swing.
BOOST_AUTO_TEST_CASE(GoodputCountsAnswersInTheWindow) {
  LoadOptions options = GoodOptions();
  options.m_swing = ParseSwing("3@1+2").value();
  LoadResult result;
  LoadRequest request;
  request.m_kind = KindId("check");
  request.m_scheduled = TimePoint(seconds(10));
  request.m_deadline = TimePoint(seconds(11));
  request.m_inSwing = true;
  const auto end = [&](int64_t aMs, RequestOutcome aOutcome) {
    RecordOutcome(result, request, aOutcome, {}, TimePoint(milliseconds(aMs)));
  };
  end(10'500, RequestOutcome::Answered);
  end(11'000, RequestOutcome::Answered);
  end(11'001, RequestOutcome::Answered);
  end(10'500, RequestOutcome::Refused);
  request.m_inSwing = false;
  end(10'500, RequestOutcome::Answered);
  BOOST_TEST(GoodputAtPeakRate(result, options) == 1.0);
  BOOST_TEST(result.m_kinds.at(request.m_kind).m_late == 1u);
  BOOST_TEST(result.m_inWindow == 3u);
}

}  // namespace bronze

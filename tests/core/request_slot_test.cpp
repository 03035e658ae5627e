/**
 * @file request_slot_test.cpp Slot grants of slot owners to entry VMs.
 */

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "core/request/slot_split_func.h"
#include "request_cluster.h"
#include "request_fixture.h"

namespace bronze {

namespace {

RequestSettings Settings() {
  RequestSettings settings;
  settings.m_kinds[kCheck].m_expectedRunTime = milliseconds(20);
  settings.m_kinds[kPlan].m_class = KindClass::Long;
  settings.m_kinds[kPlan].m_expectedRunTime = seconds(5);
  return settings;
}

/** Plans run for up to 20 s, longer than a takeover takes. */
RequestCluster::RunTime RunTimes(uint32_t aSeed) {
  return [random = std::minstd_rand(aSeed)](const KindId& aKind,
                                            const RunnerId&) mutable {
    if (aKind != kPlan) return Duration(milliseconds(20));
    return Duration(
        milliseconds(std::uniform_int_distribution<int>(500, 20'000)(random)));
  };
}

/** Sends requests to random nodes at a mean rate during aTime. */
void AddLoad(RequestCluster& aCluster, const KindId& aKind, double aPerSecond,
             Duration aTime, uint32_t aSeed) {
  std::minstd_rand random(aSeed);
  std::exponential_distribution<> gap(aPerSecond);
  std::uniform_int_distribution<size_t> node(0, aCluster.m_nodes.size() - 1);
  double at = gap(random);
  while (at < std::chrono::duration<double>(aTime).count()) {
    const Duration offset(static_cast<Duration::rep>(at * 1e6));
    aCluster.At(aCluster.m_now + offset, [&aCluster, aKind, to = node(random)] {
      aCluster.Send(to, aKind, seconds(aKind == kPlan ? 30 : 5));
    });
    at += gap(random);
  }
}

}  // namespace

// Guards against more requests at a runner than it has slots. There are lost,
// late and repeated messages, failing connections, pauses beyond the validity
// of grants and two changes of owner.
BOOST_AUTO_TEST_CASE(NeverMoreThanTheSlotsOfARunner) {
  const bool held = rc::check("slots", [] {
    const auto seed = *rc::gen::inRange<uint32_t>(1, 1'000'000);
    const auto victim = *rc::gen::inRange<size_t>(0, 4);
    const auto paused = *rc::gen::inRange<size_t>(0, 4);
    const auto pause = milliseconds(*rc::gen::inRange(100, 12'000));
    RequestCluster cluster(5, 6, 4, Settings(), seed);
    cluster.m_runTime = RunTimes(seed);
    cluster.m_faults = {0.1, 0.05, milliseconds(80), 0.02, 0.02};
    AddLoad(cluster, kCheck, 100.0, seconds(45), seed);
    AddLoad(cluster, kPlan, 8.0, seconds(45), seed + 1);
    cluster.RunUntil(cluster.m_now + seconds(4));
    cluster.Pause(paused, pause);
    cluster.RunUntil(cluster.m_now + seconds(1));
    cluster.Kill(victim);
    cluster.RunUntil(cluster.m_now + seconds(5));
    cluster.ChangeEpoch();
    cluster.RunUntil(cluster.m_now + seconds(8));
    cluster.Kill(4);
    cluster.RunUntil(cluster.m_now + seconds(5));
    cluster.ChangeEpoch();
    cluster.RunUntil(cluster.m_now + seconds(40));
    for (const auto& violation : cluster.m_violations) RC_FAIL(violation);
    RC_ASSERT(cluster.m_ends.size() > 2'000U);
  });
  BOOST_TEST(held);
}

// Guards against slots that stay unused after their owner has failed, even when
// the longest window is over and all lost slots have to be free again.
BOOST_AUTO_TEST_CASE(SuccessorGetsAllSlotsBack) {
  RequestCluster cluster(3, 3, 8, Settings(), 7);
  cluster.m_runTime = RunTimes(7);
  AddLoad(cluster, kCheck, 200.0, seconds(60), 7);
  cluster.RunUntil(cluster.m_now + seconds(5));
  cluster.Kill(0);
  cluster.RunUntil(cluster.m_now + seconds(5));
  cluster.ChangeEpoch();
  cluster.RunUntil(cluster.m_now + seconds(45));
  for (const auto& node : cluster.m_nodes) {
    if (!node->m_alive) continue;
    for (const auto& [id, runner] : node->m_slots.m_runners) {
      BOOST_TEST((runner.m_unaccounted == Slots(0)));
      BOOST_TEST(runner.m_lost.empty());
    }
  }
  BOOST_TEST(cluster.m_violations.empty());
}

// Guards against slots that a new owner holds back although all members have
// reported to it and none has failed.
BOOST_AUTO_TEST_CASE(HandoverWithoutLossDoesNotWait) {
  SlotOwnerState owner;
  owner.m_self = VmId("e2");
  SetOwnedRunners(owner,
                  {Epoch(2),
                   {kSelf, VmId("e2")},
                   false,
                   {{RunnerId("r"), {Slots(8), false}}}},
                  TimePoint(seconds(100)));
  Counters counters;
  SlotOwnerEffects effects;
  const TimePoint now(seconds(101));
  SlotReport report;
  report.m_sequence = HeartbeatSequence(1);
  report.m_demand.m_short = Slots(2);
  report.m_uses = {{RunnerId("r"), Slots(4), Slots(3)}};
  HandleSlotReport(owner, {kSelf, Incarnation(1), Epoch(2)}, report,
                   now + seconds(4), now, counters, effects);
  const OwnedRunner& runner = owner.m_runners.at(RunnerId("r"));
  BOOST_TEST((runner.m_unaccounted == Slots(4)));
  HandleSlotReport(owner, {VmId("e2"), Incarnation(1), Epoch(2)}, {},
                   now + seconds(4), now, counters, effects);
  BOOST_TEST((runner.m_unaccounted == Slots(0)));
}

// Guards against grants that are valid beyond the owner's authority.
BOOST_AUTO_TEST_CASE(GrantsEndWithTheAuthority) {
  SlotOwnerState owner;
  SetOwnedRunners(

      owner, {Epoch(1), {kSelf}, false, {{RunnerId("r"), {Slots(8), false}}}},
      TimePoint(seconds(100)));
  Counters counters;
  SlotOwnerEffects effects;
  const TimePoint now(seconds(101));
  SlotReport report;
  report.m_sequence = HeartbeatSequence(1);
  report.m_demand.m_short = Slots(2);
  HandleSlotReport(owner, {kSelf, Incarnation(1), Epoch(1)}, report,
                   now + milliseconds(300), now, counters, effects);
  BOOST_REQUIRE_EQUAL(effects.size(), 1u);
  BOOST_REQUIRE_EQUAL(effects[0].m_grant.m_items.size(), 1u);
  BOOST_TEST((effects[0].m_grant.m_items[0].m_validFor == milliseconds(300)));
  effects.clear();
  report.m_sequence = HeartbeatSequence(2);
  HandleSlotReport(owner, {kSelf, Incarnation(1), Epoch(1)}, report, now, now,
                   counters, effects);
  BOOST_TEST(effects.empty());
}

// Guards against a dispatch after the grant has expired. Its validity counts
// from the time at which the report was sent.
BOOST_FIXTURE_TEST_CASE(NothingIsDispatchedAfterTheValidity, RequestFixture) {
  SetRunners(1, Slots(4));
  m_now += milliseconds(1900);
  Grant(Slots(4));
  BOOST_TEST(EffectsOf<DispatchRequest>(ArriveOne(1, kCheck)).size() == 1u);
  m_now += milliseconds(100);
  BOOST_TEST(EffectsOf<DispatchRequest>(ArriveOne(2, kCheck)).empty());
}

// Guards against an old grant that arrives late and replaces a newer one.
BOOST_FIXTURE_TEST_CASE(OlderGrantIsDropped, RequestFixture) {
  SetRunners(1, Slots(4));
  Grant(Slots(1));
  m_grants = GrantSequence(0);
  Grant(Slots(4));
  BOOST_TEST((Runner(RunnerId("r1")).m_granted == Slots(1)));
}

// Guards against the dispatch of new requests to a leaving runner.
BOOST_FIXTURE_TEST_CASE(LeavingRunnerGetsNothing, RequestFixture) {
  SetRunners(1, Slots(4));
  Grant(Slots(4));
  SetRunner(m_state, RunnerId("r1"), Slots(4), true);
  BOOST_TEST(EffectsOf<DispatchRequest>(ArriveOne(1, kCheck)).empty());
}

// Guards against reuse of a slot after its connection was closed at the
// deadline: the runner may still run the request until the longest window is
// over.
BOOST_FIXTURE_TEST_CASE(ClosedSlotStaysBusyForTheLongestWindow,
                        RequestFixture) {
  SetRunners(1, Slots(1));
  Grant(Slots(1));
  const RunnerId runner = RunnerOf(ArriveOne(1, kCheck, seconds(1)));
  m_now += seconds(1);
  EndOne(1, runner, AttemptEnd::DeadlineReached, seconds(1));
  BOOST_TEST((Runner(runner).m_busy == Slots(1)));
  Advance(m_state.m_settings.m_maxWindow - seconds(1) - milliseconds(1));
  BOOST_TEST((Runner(runner).m_busy == Slots(1)));
  Advance(milliseconds(1));
  BOOST_TEST((Runner(runner).m_busy == Slots(0)));
}

// Guards against a request that never ends and a slot that is never freed when
// the daemon does not report the end of an attempt.
BOOST_FIXTURE_TEST_CASE(LostResultEndsWithTheWindow, RequestFixture) {
  SetRunners(1, Slots(1));
  Grant(Slots(1));
  const RunnerId runner = RunnerOf(ArriveOne(1, kCheck, seconds(1)));
  const auto effects = Advance(milliseconds(1300));
  const auto refusal = EffectsOf<RefuseRequest>(effects).at(0);
  BOOST_TEST((refusal.m_error.m_kind == ErrorKind::OutcomeUnknown));
  Advance(m_state.m_settings.m_maxWindow);
  BOOST_TEST((Runner(runner).m_busy == Slots(0)));
}

// Guards against a result that names another runner or arrives twice and frees
// a slot in use.
BOOST_FIXTURE_TEST_CASE(CrossedResultFreesNoSlot, RequestFixture) {
  SetRunners(2, Slots(1));
  Grant(Slots(1));
  const RunnerId first = RunnerOf(ArriveOne(1, kCheck));
  const RunnerId second = RunnerOf(ArriveOne(2, kCheck));
  BOOST_TEST(EndOne(1, second, AttemptEnd::Answered).empty());
  BOOST_TEST((Runner(second).m_busy == Slots(1)));
  BOOST_TEST(EndOne(1, first, AttemptEnd::Answered).size() == 1u);
  BOOST_TEST(EndOne(1, first, AttemptEnd::Answered).empty());
  BOOST_TEST((Runner(first).m_busy == Slots(0)));
}

// Guards against a split that grants more slots than there are, more than an
// entry VM demands, or less than the fair share to a small short demand.
BOOST_AUTO_TEST_CASE(SplitIsFairAndWithinTheTotal) {
  const bool held = rc::check("split", [] {
    const auto total = *rc::gen::inRange<int64_t>(0, 500);
    const auto wanted = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 100)));
    std::vector<SlotDemand> demands;
    demands.reserve(wanted.size());
    for (const auto& [small, large] : wanted) {
      demands.push_back({Slots(small), Slots(large)});
    }
    const RequestSettings settings;
    const auto shares = SplitSlots(Slots(total), demands, settings);
    RC_ASSERT(shares.size() == demands.size());
    Slots sum;
    for (size_t i = 0; i < shares.size(); ++i) {
      sum += shares[i].m_wanted;
      RC_ASSERT(shares[i].m_needed <= shares[i].m_wanted);
      RC_ASSERT(shares[i].m_needed <= demands[i].m_short + demands[i].m_long);
      const Slots fair(total / static_cast<int64_t>(demands.size()));
      RC_ASSERT(shares[i].m_needed >= std::min(fair, demands[i].m_short));
    }
    RC_ASSERT(sum <= Slots(total));
  });
  BOOST_TEST(held);
}

}  // namespace bronze

/**
 * @file membership_test.cpp Which VMs are suspected, and which daemon proposes
 * the next epoch.
 */

#include "core/membership/membership_func.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "ownership_driver.h"

namespace bronze {

namespace {

const FaultPlan kNoFaults;

void RunUntilMembers(Cluster& aCluster, size_t aMembers) {
  const auto took = aCluster.RunUntil(
      [&] {
        return std::all_of(
            aCluster.m_daemons.begin(), aCluster.m_daemons.end(),
            [&](const TestDaemon& aDaemon) {
              return aDaemon.m_membership.m_row.m_members.size() == aMembers;
            });
      },
      seconds(30));
  BOOST_REQUIRE(took.has_value());
}

}  // namespace

// Guards against a new epoch because a few heartbeats were lost.
BOOST_AUTO_TEST_CASE(FivePercentLossRemovesNobody) {
  Cluster cluster(9, 11);
  RunUntilMembers(cluster, 9);
  const Epoch before = cluster.m_row.m_epoch;
  FaultPlan plan;
  plan.m_messageLoss = 0.05;
  plan.m_maxDuration = milliseconds(500);
  for (int step = 0; step < 36000; ++step) cluster.Step(plan);
  BOOST_TEST_MESSAGE("one hour, 9 members: "
                     << ValueOf(cluster.m_counters, CounterId::SuspicionsRaised)
                     << " suspicions");
  BOOST_TEST((cluster.m_row.m_epoch == before));
}

// Guards against a member with one failed link that removes a healthy member.
BOOST_AUTO_TEST_CASE(OneObserverOfThreeRemovesNobody) {
  Cluster cluster(3, 12);
  RunUntilMembers(cluster, 3);
  const Epoch before = cluster.m_row.m_epoch;
  cluster.m_blockedLinks = {{VmId("e1"), VmId("e2")}, {VmId("e2"), VmId("e1")}};
  for (int step = 0; step < 200; ++step) cluster.Step(kNoFaults);
  BOOST_TEST((cluster.m_row.m_epoch == before));
  BOOST_TEST((VmStatusOf(cluster.m_daemons[0].m_membership, VmId("e2")) ==
              VmStatus::Suspected));
}

// Guards against a member that was paused and then suspects all others, whose
// heartbeats it could not receive.
BOOST_AUTO_TEST_CASE(PausedDaemonDoesNotSuspectTheOthers) {
  Cluster cluster(2, 13);
  RunUntilMembers(cluster, 2);
  cluster.m_downUntil = cluster.m_now + seconds(20);
  cluster.m_daemons[0].m_pausedUntil = cluster.m_now + seconds(15);
  while (cluster.m_now < cluster.m_daemons[0].m_pausedUntil) {
    cluster.Step(kNoFaults);
  }
  BOOST_TEST(!IsSuspectedByMajority(cluster.m_daemons[0].m_membership,
                                    VmId("e2"), cluster.m_now));
}

// Guards against proposals of a new epoch by all members at the same time.
BOOST_AUTO_TEST_CASE(LaterRanksWaitAndDrainingOnesDoNot) {
  Cluster cluster(3, 14);
  RunUntilMembers(cluster, 3);
  auto& last = cluster.m_daemons[2].m_membership;
  BOOST_TEST((ProposalDelay(cluster.m_daemons[0].m_membership, cluster.m_now) ==
              Duration::zero()));
  BOOST_TEST((ProposalDelay(last, cluster.m_now) == Duration(seconds(2))));
  last.m_draining = true;
  BOOST_TEST((ProposalDelay(last, cluster.m_now) == Duration::zero()));
}

// Guards against a joining VM without links to the members that replaces them
// all in a new epoch.
BOOST_AUTO_TEST_CASE(JoinerDoesNotProposeWhileAMemberMayBeAlive) {
  Cluster cluster(3, 15);
  RunUntilMembers(cluster, 3);
  MembershipState joiner;
  joiner.m_self = VmId("e0");
  joiner.m_incarnation = Incarnation(1);
  StartMembership(joiner, cluster.m_now);
  Counters counters;
  AdoptEpochRow(joiner, cluster.m_row, cluster.m_rowVersion, counters);
  const TimePoint later = cluster.m_now + seconds(60);
  BOOST_TEST(!ProposeEpoch(joiner, {}, later).has_value());
  for (VmInfo& vm : cluster.m_vmList) vm.m_state = VmState::Gone;
  MembershipEffects effects;
  ApplyVmList(joiner, cluster.m_vmList, later, effects);
  BOOST_TEST(ProposeEpoch(joiner, {}, later).has_value());
}

// Guards against a state that is set from the wrong source: an omission from
// the VM list must not mark a VM gone, nor a late heartbeat mark a gone VM
// alive.
BOOST_AUTO_TEST_CASE(OnlyTheVmListMarksGoneOnlyHeartbeatsMarkAlive) {
  Cluster cluster(3, 16);
  RunUntilMembers(cluster, 3);
  auto& state = cluster.m_daemons[0].m_membership;
  MembershipEffects effects;
  ApplyVmList(state, {}, cluster.m_now, effects);
  BOOST_TEST((VmStatusOf(state, VmId("e2")) == VmStatus::Member));
  cluster.m_vmList[1].m_state = VmState::Gone;
  ApplyVmList(state, cluster.m_vmList, cluster.m_now, effects);
  PeerMessage late{VmId("e2"), Incarnation(1), Epoch(1), Heartbeat{}};
  std::get<Heartbeat>(late.m_body).m_sequence = HeartbeatSequence(1000000);
  BOOST_TEST(!ReceiveHeartbeat(state, late, cluster.m_now, cluster.m_counters,
                               effects));
  cluster.m_vmList[1].m_state = VmState::Live;
  ApplyVmList(state, cluster.m_vmList, cluster.m_now, effects);
  BOOST_TEST((VmStatusOf(state, VmId("e2")) == VmStatus::Gone));
}

// Guards against a restarted daemon that is treated as the member it replaces.
BOOST_AUTO_TEST_CASE(RestartedMemberRejoinsWithItsNewIncarnation) {
  Cluster cluster(3, 17);
  RunUntilMembers(cluster, 3);
  cluster.Start(1, 2);
  const auto took = cluster.RunUntil(
      [&] { return IsMember(cluster.m_daemons[1].m_membership); }, seconds(10));
  BOOST_TEST(took.has_value());
}

}  // namespace bronze

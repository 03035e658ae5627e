/**
 * @file scheduler_store_test.cpp Entry nodes against the stand-in of the
 * platform, with faults of the store and of runners.
 */

#include <boost/test/unit_test.hpp>

#include "node_fixture.h"

namespace bronze {

namespace {

const std::string kJob = "00000000000000a1";

}  // namespace

using standin::RowStoreFaults;

BOOST_FIXTURE_TEST_SUITE(SchedulerStoreSuite, NodeFixture)

/** Guards the whole path: a job's steps run in order, each task once, and its
 *  ends are acknowledged on the runners. */
BOOST_AUTO_TEST_CASE(JobRunsToCompletion) {
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, kJob));
  BOOST_TEST(BecomesCompleted(node, kJob));
  const auto starts = Starts();
  BOOST_TEST(starts.size() == 5U);
  for (const auto& [task, count] : starts) BOOST_TEST(count == 1, task);
  BOOST_TEST(Eventually([this] {
    return m_runners[0]->Acknowledged() + m_runners[1]->Acknowledged() == 5U;
  }));
}

/** Guards against bad input that is stored or that ends the process. */
BOOST_AUTO_TEST_CASE(BadInputIsRefused) {
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, kJob));
  BOOST_TEST(Call(node, "POST", "/queue/short", "{}").m_status == 400);
  BOOST_TEST(Call(node, "POST", "/queue/00000000000000b1", "{").m_status ==
             400);
  BOOST_TEST(Call(node, "POST", "/queue/00000000000000b1",
                  R"({"spec":"s","steps":[{"count":"x"}]})")
                 .m_status == 400);
  BOOST_TEST(Call(node, "PUT", "/queue/00000000000000b1").m_status == 405);
  BOOST_TEST(Call(node, "GET", "/other/00000000000000b1").m_status == 404);
  BOOST_TEST(Call(node, "GET", "/queue/00000000000000b1").m_status == 410);
  BOOST_TEST(Call(node, "DELETE", "/queue/00000000000000b1").m_status == 410);
  BOOST_TEST(m_store.CountRows("job") == 1U);
}

/** Guards against a job that is stored twice, or not at all, when answers of
 *  the store are lost after the write. */
BOOST_AUTO_TEST_CASE(LostAnswersOfTheStoreDoNoHarm) {
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, kJob));
  RowStoreFaults faults;
  faults.m_losesAnswers = true;
  m_store.SetFaults(faults);
  BOOST_TEST(Submit(node, "00000000000000a2").m_status == 200);
  BOOST_TEST(BecomesCompleted(node, "00000000000000a2"));
  m_store.SetFaults({});
  BOOST_TEST(BecomesCompleted(node, kJob));
  for (const auto& [task, count] : Starts()) BOOST_TEST(count == 1, task);
}

/** Guards against an acceptance without the store, and against a 410 for a job
 *  that may exist: without the store, absence is not known. */
BOOST_AUTO_TEST_CASE(StoreAwayIsToldTruthfully) {
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, kJob));
  BOOST_REQUIRE(BecomesCompleted(node, kJob));
  RowStoreFaults faults;
  faults.m_refuses = true;
  m_store.SetFaults(faults);
  BOOST_TEST(Eventually([&] {
    return Call(node, "GET", "/queue/00000000000000c1").m_status == 503;
  }));
  const HttpReply refused = Submit(node, "00000000000000c1");
  BOOST_TEST(refused.m_status == 503);
  BOOST_TEST(!refused.Header("Retry-After").empty());
  BOOST_TEST(Call(node, "GET", "/queue/" + kJob).m_status == 200);
  m_store.SetFaults({});
  BOOST_TEST(SubmitUntilAccepted(node, "00000000000000c2"));
  // What was refused with 503 never runs.
  BOOST_TEST(Call(node, "GET", "/queue/00000000000000c1").m_status == 410);
}

/** Guards against a second run of a task whose start had no answer. */
BOOST_AUTO_TEST_CASE(LostAnswersOfRunnersStartNothingTwice) {
  for (const auto& runner : m_runners) runner->SetFaults({true, false});
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, kJob));
  BOOST_TEST(BecomesCompleted(node, kJob));
  for (const auto& runner : m_runners) BOOST_TEST(runner->WorstOverlap() <= 1);
}

/** Guards against jobs that are lost or run twice when the owner ends, and
 *  against callers that are not served by the others. */
BOOST_AUTO_TEST_CASE(SuccessorFinishesTheJobs) {
  RunningNode& first = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(first, kJob));
  RunningNode& second = AddNode("n2");
  BOOST_REQUIRE(SubmitUntilAccepted(second, "00000000000000a3"));
  first.Stop();
  BOOST_TEST(BecomesCompleted(second, kJob));
  BOOST_TEST(BecomesCompleted(second, "00000000000000a3"));
  BOOST_TEST(SubmitUntilAccepted(second, "00000000000000a4"));
  BOOST_TEST(BecomesCompleted(second, "00000000000000a4"));
  for (const auto& runner : m_runners) BOOST_TEST(runner->WorstOverlap() <= 1);
}

/** Guards against an owner that goes on answering while the store is away from
 *  it and a runner has seen a successor's token (found by incident inc-8443).
 */
BOOST_AUTO_TEST_CASE(OwnerStepsDownWhenARunnerShowsASuccessor) {
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, kJob));
  BOOST_REQUIRE(BecomesCompleted(node, kJob));
  BOOST_REQUIRE(SubmitUntilAccepted(node, "00000000000000e1"));
  RowStoreFaults faults;
  faults.m_refuses = true;
  m_store.SetFaults(faults);
  for (const auto& runner : m_runners) runner->RaiseFence();
  BOOST_TEST(Eventually(
      [&] { return Call(node, "GET", "/queue/" + kJob).m_status == 503; }));
}

/** Guards against callers that are refused because the store turns away the VM
 *  that they reached, while the owner serves (found by incident inc-8443). */
BOOST_AUTO_TEST_CASE(CallersOfATurnedAwayNodeReachTheOwner) {
  RunningNode& owner = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(owner, kJob));
  RunningNode& other = AddNode("n2", true);
  BOOST_REQUIRE(SubmitUntilAccepted(other, "00000000000000f1"));
  RowStoreFaults faults;
  faults.m_refusedFront = 1;
  m_store.SetFaults(faults);
  // Longer than a view of the owner is used while the store can be read.
  std::this_thread::sleep_for(seconds(5));
  BOOST_TEST(Submit(other, "00000000000000f2").m_status == 200);
  BOOST_TEST(BecomesCompleted(other, "00000000000000f2"));
}

/** Guards against entries of other writers that stop the reading of a table. */
BOOST_AUTO_TEST_CASE(ForeignEntriesAreSkipped) {
  m_store.Put("servers", "", "a-foreign", "\xff\xfe");
  m_store.Put("servers", "", "b-foreign", R"({"service":5})");
  m_store.Put("servers", "", "z-foreign", R"({"state":"unknown"})");
  m_store.Put("op", "", "another", "[]");
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, kJob));
  BOOST_TEST(BecomesCompleted(node, kJob));
}

/** Guards against a configuration that is missed when the store forgets its
 *  history, and against one that goes back. */
BOOST_AUTO_TEST_CASE(ConfigurationIsFollowedAndNeverGoesBack) {
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, kJob));
  RowStoreFaults faults;
  faults.m_forgets = true;
  m_store.SetFaults(faults);
  PutConfig(5, "moved");
  BOOST_TEST(Eventually([&] {
    return Call(node, "GET", "/moved/00000000000000d1").m_status == 410;
  }));
  BOOST_TEST(Call(node, "GET", "/queue/" + kJob).m_status == 404);
  PutConfig(4, "queue");
  PutConfig(6, "moved");
  BOOST_TEST(Call(node, "GET", "/moved/00000000000000d1").m_status == 410);
}

/** Guards against attempts without end, and against a failure that is not
 *  shown. */
BOOST_AUTO_TEST_CASE(JobThatCannotBeDoneFails) {
  for (const auto& runner : m_runners) runner->SetFaults({false, true});
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, kJob));
  BOOST_TEST(Eventually([&] {
    return Call(node, "GET", "/queue/" + kJob).m_body.find("failed") !=
           std::string::npos;
  }));
  for (const auto& [task, count] : Starts()) BOOST_TEST(count <= 3, task);
}

/** Guards against a damaged settings file that ends the process or replaces
 * what is in force. */
BOOST_AUTO_TEST_CASE(BadSettingsLeaveTheOldOnesInForce) {
  RunningNode& node = AddNode("n1");
  BOOST_REQUIRE(SubmitUntilAccepted(node, kJob));
  node.Reload("node_name: [");
  BOOST_TEST(Eventually([&] {
    return node.Metrics().find(
               "settings_reloads_total{result=\"refused\"} 1") !=
           std::string::npos;
  }));
  BOOST_TEST(Submit(node, "00000000000000a9").m_status == 200);
  node.Reload(R"(node_name: n1
zone: z
ip: 127.0.0.1
listen: {front: "127.0.0.1:1", ready: "127.0.0.1:2"}
port_range: [3, 4]
platform: {address: "127.0.0.1:5"}
bounds: {grace_s: 0.6, max_hold_ms: 5000}
)");
  BOOST_TEST(Eventually([&] {
    return node.Metrics().find(
               "settings_reloads_total{result=\"applied\"} 1") !=
           std::string::npos;
  }));
  BOOST_TEST(BecomesCompleted(node, "00000000000000a9"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze

/**
 * @file platform_test.cpp Tests of the simulated table service, object store
 * and VM list.
 */

#include "standin_fixture.h"

namespace bronze {

namespace {

json Write(const std::string& aKey, const json& aValue, int aVersion = -1) {
  json body = {{"checks", json::array()}};
  body["writes"] = json::array({json{{"key", aKey}, {"value", aValue}}});
  if (aVersion >= 0) {
    body["checks"] = json::array({json{{"key", aKey}, {"version", aVersion}}});
  }
  return body;
}

std::string StateOf(StandinFixture& aFixture, const std::string& aVm) {
  const json list = aFixture.Get("/vms");
  for (const json& vm : list.at("vms")) {
    if (vm.at("id") == aVm) return vm.at("state");
  }
  return "absent";
}

}  // namespace

// Guards against a transaction that takes effect although a check fails.
BOOST_FIXTURE_TEST_CASE(TransactionIsAllOrNothing, StandinFixture) {
  const auto first = Post(m_platform, "/table/commit", Write("a", "1", 0));
  BOOST_TEST(json::parse(first.m_reply.m_body).at("version") == 1);
  json both = Write("a", "2", 0);
  both["writes"].push_back({{"key", "b"}, {"value", "2"}});
  const auto second = Post(m_platform, "/table/commit", both);
  BOOST_TEST(second.m_reply.m_status == 409);
  BOOST_TEST(json::parse(second.m_reply.m_body).at("conflicts") ==
             json::array({"a"}));
  BOOST_TEST(Get("/table/row?key=a").at("value") == "1");
  BOOST_TEST(Get("/table/row?key=b").at("version") == 0);
  BOOST_TEST(Get("/table/row?key=b").at("value").is_null());
  BOOST_TEST(Count("transactions") == 2);
  BOOST_TEST(Count("table_writes") == 1);
  BOOST_TEST(Count("rows_written") == 1);
  BOOST_TEST(Count("table_reads") == 3);
  BOOST_TEST(Count("table_reads_peak") >= 1);
}

// Guards against scans that omit rows, repeat them, or return rows without the
// prefix.
BOOST_FIXTURE_TEST_CASE(ScanGoesOnAfterAKey, StandinFixture) {
  for (const char* key : {"job/1", "job/2", "job/3", "key", "jo"}) {
    Post(m_platform, "/table/commit", Write(key, "x"));
  }
  Post(m_platform, "/table/commit", Write("job/3", nullptr));
  const json first = Get("/table/scan?prefix=job%2F&limit=1");
  BOOST_TEST(first.at("more") == true);
  BOOST_TEST(first.at("rows").at(0).at("key") == "job/1");
  const json rest = Get("/table/scan?prefix=job%2F&after=job%2F1&limit=9");
  BOOST_TEST(rest.at("more") == false);
  BOOST_REQUIRE_EQUAL(rest.at("rows").size(), 1u);
  BOOST_TEST(rest.at("rows").at(0).at("key") == "job/2");
}

// Guards against a lost reply whose write has no effect.
BOOST_FIXTURE_TEST_CASE(LostReplyComesAfterTheWrite, StandinFixture) {
  Switch("table_reply_lost", true, {{"probability", 1.0}});
  const auto lost = Post(m_platform, "/table/commit", Write("a", "1"));
  BOOST_TEST((lost.m_stage == CallStage::Sent));
  BOOST_TEST(Get("/table/row?key=a").at("value") == "1");
  Switch("table_reply_lost", false);
  const auto whole = Post(m_platform, "/table/commit", Write("a", "2"));
  BOOST_TEST((whole.m_stage == CallStage::WholeAnswer));
}

// Guards against a table that works during an outage or stays down after it.
BOOST_FIXTURE_TEST_CASE(TableIsDownWhileTheFaultIsOn, StandinFixture) {
  Switch("table_down", true);
  BOOST_TEST(
      Post(m_platform, "/table/commit", Write("a", "1")).m_reply.m_status ==
      503);
  BOOST_TEST(Get("/table/row?key=a").at("error") == "store_unavailable");
  Switch("table_down", false);
  BOOST_TEST(Get("/table/row?key=a").at("version") == 0);
}

// Guards against a fault of one VM that affects other VMs.
BOOST_FIXTURE_TEST_CASE(TableFaultOfOneVm, StandinFixture) {
  Switch("table_down", true, {{"vm", "e1"}});
  const auto one = Post(m_platform, "/table/commit", Write("lease/e1", "1"));
  const auto other = Post(m_platform, "/table/commit", Write("lease/e2", "1"));
  BOOST_TEST(one.m_reply.m_status == 503);
  BOOST_TEST(other.m_reply.m_status == 200);
}

// Guards against a slow table that answers as fast as before.
BOOST_FIXTURE_TEST_CASE(SlowTableAnswersAfterTheDelay, StandinFixture) {
  Switch("table_slow", true, {{"delay_ms", 50}});
  const auto start = std::chrono::steady_clock::now();
  BOOST_TEST(Get("/table/row?key=a").at("version") == 0);
  // Only a lower bound: on a busy machine the call may take much longer.
  BOOST_TEST((std::chrono::steady_clock::now() - start >= milliseconds(50)));
}

// Guards against objects whose content is altered, and against an object store
// fault without effect.
BOOST_FIXTURE_TEST_CASE(ObjectsAreKept, StandinFixture) {
  const HttpCall put{"PUT", "/objects/a/b", {}, std::string("\0\xff", 2), {}};
  const HttpCall get{"GET", "/objects/a/b", {}, {}, {}};
  BOOST_TEST(Call(m_platform, get).m_reply.m_status == 404);
  BOOST_TEST(Call(m_platform, put).m_reply.m_status == 200);
  BOOST_TEST(Call(m_platform, get).m_reply.m_body == put.m_body);
  Switch("objects_down", true);
  BOOST_TEST(Call(m_platform, put).m_reply.m_status == 503);
  BOOST_TEST(Call(m_platform, get).m_reply.m_status == 503);
  Switch("objects_down", false);
  BOOST_TEST(Call(m_platform, get).m_reply.m_status == 200);
}

// Guards against a VM list that shows a change before the lag has passed, never
// shows it, or answers during an outage.
BOOST_FIXTURE_TEST_CASE(VmListLags, StandinFixture) {
  const json entry = {{"id", "e1"},
                      {"role", "entry"},
                      {"address", "127.0.0.1:1"},
                      {"http_address", "127.0.0.1:2"},
                      {"data_centre", "dc-0"},
                      {"state", "live"}};
  Post(m_platform, "/standin/vms", entry);
  BOOST_TEST(StateOf(*this, "e1") == "live");
  Switch("vm_list_late", true, {{"seconds", 600}});
  Post(m_platform, "/standin/vms", {{"id", "e1"}, {"state", "leaving"}});
  BOOST_TEST(StateOf(*this, "e1") == "absent");
  Switch("vm_list_late", false);
  BOOST_TEST(StateOf(*this, "e1") == "leaving");
  Set({{"vm_list_lag_ms", 600'000}});
  BOOST_TEST(StateOf(*this, "e1") == "absent");
  BOOST_TEST(StateOf(*this, "worker-0") == "live");
  Switch("vm_list_down", true);
  BOOST_TEST(Get("/vms").at("error") == "store_unavailable");
}

// Guards against listing a runner or worker that has no server.
BOOST_FIXTURE_TEST_CASE(OnlyEntryVmsAreAdded, StandinFixture) {
  const auto outcome =
      Post(m_platform, "/standin/vms", {{"id", "w9"}, {"role", "worker"}});
  BOOST_TEST(outcome.m_reply.m_status == 400);
  BOOST_TEST(
      Post(m_platform, "/standin/faults", {{"name", "no_such"}, {"on", true}})
          .m_reply.m_status == 400);
  Switch("table_slow", true, {{"vm", "e1"}, {"delay_ms", 7}});
  const json listed = Get("/standin/faults").at("faults").at(0);
  BOOST_TEST(listed.at("name") == "table_slow");
  BOOST_TEST(listed.at("vm") == "e1");
  BOOST_TEST(listed.at("delay_ms") == 7);
}

}  // namespace bronze

/**
 * @file outage_system_test.cpp Outages of the platform's services.
 */

#include <boost/test/unit_test.hpp>
#include <csignal>

#include "system_fixture.h"

namespace bronze {

namespace {

struct OutageFixture : SystemFixture {
  OutageFixture() {
    StartStandin({"--runners", "6", "--workers", "0", "--seed", "3"});
    StartDaemons(3);
    PushConfiguration();
    WaitUntil("the daemons serve", [&] { return Check("entry-1") == 200; });
  }

  int Check(const std::string& aVm) {
    return Call(Addresses(aVm).m_callers, "POST", "/v1/requests/check", "x",
                {{"Bronze-Window-Ms", "5000"}})
        .m_status;
  }

  std::string Authority(const std::string& aVm) {
    return Operator(aVm, "/v1/status").Json().at("authority");
  }
};

}  // namespace

// Guards against daemons that stop serving when the table service is down for
// longer than their lease.
BOOST_FIXTURE_TEST_CASE(RequestsAreServedWhileTheTableIsDown, OutageFixture) {
  SetFault({{"name", "table_down"}, {"on", true}});
  for (const char* vm : {"entry-1", "entry-2", "entry-3"}) {
    WaitUntil("peers confirm the authority",
              [&] { return Authority(vm) == "peers"; });
    BOOST_TEST(Check(vm) == 200);
  }
  SetFault({{"name", "table_down"}, {"on", false}});
  WaitUntil("the authority is based on the store again",
            [&] { return Authority("entry-1") == "store"; });
  BOOST_TEST(Check("entry-1") == 200);
  CheckInvariants();
}

// Guards against a daemon that keeps acting without contact to the store and
// its peers, and against one that does not serve again afterwards.
BOOST_FIXTURE_TEST_CASE(ADaemonAloneLosesItsAuthority, OutageFixture) {
  SetFault({{"name", "table_down"}, {"on", true}});
  Signal("entry-2", SIGSTOP);
  Signal("entry-3", SIGSTOP);
  WaitUntil("the authority expires",
            [&] { return Authority("entry-1") == "none"; });
  Signal("entry-2", SIGCONT);
  Signal("entry-3", SIGCONT);
  SetFault({{"name", "table_down"}, {"on", false}});
  WaitUntil("the authority is restored",
            [&] { return Authority("entry-1") == "store"; });
  WaitUntil("it serves again", [&] { return Check("entry-1") == 200; });
  CheckInvariants();
}

// Guards against daemons that serve with an older configuration when all of
// them are restarted while the table service is down.
BOOST_FIXTURE_TEST_CASE(RestartDuringAnOutageWaitsForTheTable, OutageFixture) {
  SetFault({{"name", "table_down"}, {"on", true}});
  for (const char* vm : {"entry-1", "entry-2", "entry-3"}) {
    Signal(vm, SIGKILL);
  }
  for (const char* vm : {"entry-1", "entry-2", "entry-3"}) RestartDaemon(vm);
  for (const char* vm : {"entry-1", "entry-2", "entry-3"}) {
    BOOST_TEST(Operator(vm, "/readyz").m_status == 503);
  }
  SetFault({{"name", "table_down"}, {"on", false}});
  WaitUntil("the daemons serve again",
            [&] { return Check("entry-1") == 200 && Check("entry-3") == 200; });
  BOOST_TEST(Operator("entry-2", "/v1/config").Json().at("version") == 1);
  CheckInvariants();
}

// Guards against daemons that take a lost reply for a failed commit and then
// lose their authority or write twice.
BOOST_FIXTURE_TEST_CASE(LostRepliesAreResolved, OutageFixture) {
  SetFault({{"name", "table_reply_lost"}, {"on", true}, {"probability", 0.5}});
  const auto resolved = [&] {
    const std::string metrics = Operator("entry-1", "/metrics").m_body;
    const std::string name = "\nbronze_store_commits_resolved_total ";
    const auto at = metrics.find(name);
    return at != std::string::npos &&
           std::stoll(metrics.substr(at + name.size())) >= 3;
  };
  WaitUntil("three lost replies are resolved", resolved);
  BOOST_TEST(Check("entry-1") == 200);
  SetFault({{"name", "table_reply_lost"}, {"on", false}});
  CheckInvariants();
}

// Guards against entry VMs that are removed because the VM list cannot be read.
BOOST_FIXTURE_TEST_CASE(ALateVmListChangesNothing, OutageFixture) {
  SetFault({{"name", "vm_list_down"}, {"on", true}});
  WaitUntil("reads of the VM list have failed", [&] {
    const std::string metrics = Operator("entry-1", "/metrics").m_body;
    return metrics.find("bronze_store_retries_total{reason=\"vm_list\"} 0") ==
           std::string::npos;
  });
  BOOST_TEST(Check("entry-1") == 200);
  BOOST_TEST(Operator("entry-1", "/v1/vms").Json().at("vms").size() == 3u);
}

}  // namespace bronze

/**
 * @file vm_cmd_test.cpp The "worker", "vm" and "status" commands.
 */

#include <boost/test/unit_test.hpp>

#include "fake_server.h"

namespace bronze {

// Guards against columns that do not match the server's answers.
BOOST_AUTO_TEST_CASE(ListsShowEachField) {
  FakeServer server;
  server.Answer("GET /v1/workers", 200,
                R"({"workers": [{"id": "w1", "rack": "r1", "data_centre": "dc",
          "state": "live", "quarantined": true,
          "total": {"cores": 60000, "memory": 250000, "accelerators": 4},
          "free": {"cores": 1, "memory": 2, "accelerators": 3},
          "tasks": 9, "owner": "entry-1"}]})");
  server.Answer("GET /v1/vms", 200,
                R"({"epoch": 12, "vms": [{"id": "entry-1", "data_centre": "dc",
          "incarnation": 3, "state": "member", "heartbeat_ms_ago": 8,
          "epoch": 11, "config_version": 7}]})");
  server.Answer(
      "GET /v1/status", 200,
      R"({"vm": "entry-1", "ready": true, "draining": false, "epoch": 11,
          "authority": "store", "authority_ms_left": 3900,
          "config_version": 7, "units": 60,
          "requests": {"in_progress": 1, "queued": 2}, "runners": 50,
          "workers": 50, "jobs": {"queued": 4, "running": 5},
          "store": "up"})");
  for (const char* list : {"worker", "vm"}) {
    const auto result = RunAgainst(server.Address(), {list, "list"});
    BOOST_TEST(result.m_exitCode == 0);
    // "-" stands for a missing field.
    BOOST_TEST(result.m_out.find(" - ") == std::string::npos, result.m_out);
    BOOST_TEST(!result.m_out.ends_with("-\n"), result.m_out);
  }
  const auto status = RunAgainst(server.Address(), {"status"});
  BOOST_TEST(status.m_out.find("  -\n") == std::string::npos, status.m_out);
  BOOST_TEST(status.m_out.find("authority ms left      3900\n") !=
             std::string::npos);
}

// Guards against an ID that changes the path of the call.
BOOST_AUTO_TEST_CASE(DrainEncodesTheId) {
  FakeServer server;
  server.Answer("POST /v1/workers/a%2Fb/drain", 200,
                R"({"id": "a/b", "state": "draining"})");
  const auto result = RunAgainst(server.Address(), {"worker", "drain", "a/b"});
  BOOST_TEST(result.m_out == "worker a/b is draining\n");
  server.Answer("POST /v1/workers/none/drain", 404,
                R"({"error": "unknown_worker", "message": "no such worker"})");
  BOOST_TEST(
      RunAgainst(server.Address(), {"worker", "drain", "none"}).m_exitCode ==
      6);
}

}  // namespace bronze

/**
 * @file config_system_test.cpp Changes of the configuration with real daemons.
 */

#include <boost/test/unit_test.hpp>

#include "system_fixture.h"

namespace bronze {

using nlohmann::json;

namespace {

struct ConfigFixture : SystemFixture {
  ConfigFixture() {
    StartStandin({"--runners", "2", "--workers", "0", "--seed", "4"});
    StartDaemons(3);
    PushConfiguration();
  }

  static json Change(uint64_t aBasedOn, int aQueueLimit) {
    return {{"based_on", aBasedOn},
            {"files",
             {{"10.yaml",
               "request: {queue_limit: " + std::to_string(aQueueLimit) + "}"}}},
            {"author", "test"}};
  }

  Answer Put(const std::string& aVm, const json& aChange) {
    return Call(Addresses(aVm).m_operators, "PUT", "/v1/config",
                aChange.dump());
  }

  uint64_t Version(const std::string& aVm) {
    return Operator(aVm, "/v1/config").Json().at("version");
  }
};

}  // namespace

// Guards against concurrent changes that are both reported as accepted.
BOOST_FIXTURE_TEST_CASE(OfRacingOperatorsOneWins, ConfigFixture) {
  std::vector<std::pair<int, json>> answers;
  for (const char* vm : {"entry-1", "entry-2", "entry-3"}) {
    StartCall(Addresses(vm).m_operators, "PUT", "/v1/config",
              Change(1, 100 + static_cast<int>(answers.size())).dump(), {},
              [&answers](const Answer& aAnswer) {
                answers.emplace_back(aAnswer.m_status, aAnswer.Json());
              });
  }
  RunCalls();
  BOOST_REQUIRE_EQUAL(answers.size(), 3u);
  int accepted = 0;
  for (const auto& [status, body] : answers) {
    if (status == 200) {
      ++accepted;
      BOOST_TEST(body.at("version") == 2);
    } else {
      BOOST_TEST(status == 409);
      BOOST_TEST(body.at("error") == "config_conflict");
      BOOST_TEST(body.at("version") == 2);
      BOOST_TEST(body.at("files").contains("10.yaml"));
    }
  }
  BOOST_TEST(accepted == 1);
}

// Guards against an accepted version that does not reach every daemon when the
// table service fails right after the commit.
BOOST_FIXTURE_TEST_CASE(AcceptedVersionReachesAllWithoutTheTable,
                        ConfigFixture) {
  BOOST_TEST(Put("entry-1", Change(1, 77)).m_status == 200);
  SetFault({{"name", "table_down"}, {"on", true}});
  for (const char* vm : {"entry-1", "entry-2", "entry-3"}) {
    WaitUntil("the version is in force", [&] { return Version(vm) == 2; });
  }
  const Answer refused = Put("entry-2", Change(2, 78));
  BOOST_TEST(refused.m_status == 503);
  SetFault({{"name", "table_down"}, {"on", false}});
  WaitUntil("changes are accepted again",
            [&] { return Put("entry-2", Change(2, 78)).m_status == 200; });
}

// Guards against a change that is reported as failed although it is in force,
// because the reply to its commit was lost.
BOOST_FIXTURE_TEST_CASE(LostReplyOfAChangeIsResolved, ConfigFixture) {
  SetFault({{"name", "table_reply_lost"}, {"on", true}});
  const Answer answer = Put("entry-1", Change(1, 99));
  BOOST_TEST(answer.m_status == 200);
  SetFault({{"name", "table_reply_lost"}, {"on", false}});
  WaitUntil("the version is in force", [&] { return Version("entry-3") == 2; });
}

// Guards against a daemon that returns to an older version while several
// daemons accept changes.
BOOST_FIXTURE_TEST_CASE(VersionsNeverFall, ConfigFixture) {
  std::map<std::string, uint64_t> seen;
  int accepted = 0;
  for (int i = 0; accepted < 20; ++i) {
    const std::string vm = "entry-" + std::to_string(i % 3 + 1);
    if (Put(vm, Change(Version(vm), 100 + i)).m_status == 200) ++accepted;
    for (const char* other : {"entry-1", "entry-2", "entry-3"}) {
      const uint64_t version = Version(other);
      BOOST_TEST(version >= seen[other]);
      seen[other] = version;
    }
    BOOST_REQUIRE(i < 2000);
  }
  const json history = Operator("entry-1", "/v1/config/history?limit=5").Json();
  BOOST_TEST(history.at("versions").size() == 5u);
}

}  // namespace bronze

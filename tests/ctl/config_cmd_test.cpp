/**
 * @file config_cmd_test.cpp The "config" commands against a fake server.
 */

#include <boost/test/unit_test.hpp>

#include "core/config/settings_parse_func.h"
#include "fake_server.h"
#include "files/settings_folder.h"

namespace bronze {

namespace {

constexpr const char* kInForce =
    R"({"version": 7, "files": {"a.yaml": "request.queue_limit: 5\n"}})";

bool Contains(const std::string& aText, const std::string& aPart) {
  const bool found = aText.find(aPart) != std::string::npos;
  BOOST_TEST(found, "\"" << aPart << "\" is not in:\n" << aText);
  return found;
}

std::string Sample(const std::string& aName) {
  return std::string(BRONZE_SOURCE_FOLDER) + "/" + aName;
}

}  // namespace

// Guards against sample configurations that the settings schema rejects, or
// that lack a kind of request.
BOOST_AUTO_TEST_CASE(SamplesHaveNoProblems) {
  for (const char* name : {"throughput", "tail"}) {
    const std::string folder = Sample(std::string("samples/") + name);
    BOOST_TEST(RunAgainst("", {"config", "check", folder}).m_exitCode == 0);
    const auto files = ReadSettingsFolder(folder);
    BOOST_REQUIRE(files.has_value());
    BOOST_TEST(files.value().size() >= 4U);
    const auto settings = ParseSystemSettings(files.value());
    BOOST_REQUIRE(settings.has_value());
    const auto& kinds = settings.value().m_request.m_kinds;
    BOOST_TEST(kinds.size() == 4U);
    BOOST_TEST(!kinds.at(KindId("commit")).m_idempotent);
    BOOST_TEST((kinds.at(KindId("watch")).m_class == KindClass::Standing));
    BOOST_TEST(settings.value().m_batch.m_teams.size() == 3U);
  }
  BOOST_TEST(
      RunAgainst("", {"config", "check", "--node", Sample("samples/node")})
          .m_exitCode == 0);
}

// Guards against a check that stops at the first mistake, needs a server or
// reports success.
BOOST_AUTO_TEST_CASE(CheckFindsFiveMistakesInOneRun) {
  const std::string folder = Sample("tests/ctl/five_mistakes");
  const CtlResult result = RunAgainst("", {"config", "check", folder});
  BOOST_TEST(result.m_exitCode == 2);
  BOOST_TEST(result.m_out == "");
  Contains(result.m_error, "error: 5 problems");
  Contains(result.m_error, "10-request.yaml:4: request.queue_limit: ");
  const auto json = nlohmann::json::parse(
      RunAgainst("", {"config", "check", folder, "--json"}).m_out);
  BOOST_TEST(json.at("problems").size() == 5U);
  BOOST_TEST(json.at("problems").at(0).at("line") == 3);
  BOOST_TEST(json.at("exit_code") == 2);
}

// Guards against a mistyped path that would reset every setting.
BOOST_AUTO_TEST_CASE(AnEmptyOrMissingFolderIsRefused) {
  const TestFolder folder;
  FakeServer server;
  for (const char* command : {"check", "push", "diff"}) {
    for (const std::string& path : {folder.Path(), folder.Path("none")}) {
      const auto result =
          RunAgainst(server.Address(), {"config", command, path});
      BOOST_TEST(result.m_exitCode == 2);
      Contains(result.m_error, folder.Path());
    }
  }
  BOOST_TEST(server.Calls().empty());
}

// Guards against a push that does not tell the server which version it is based
// on.
BOOST_AUTO_TEST_CASE(PushSendsTheVersionItIsBasedOn) {
  const TestFolder folder;
  folder.Write("a.yaml", "request.queue_limit: 6\n");
  folder.Write("notes.txt", "not a settings file");
  FakeServer server;
  server.Answer("GET /v1/config", 200, kInForce);
  server.Answer("PUT /v1/config", 200,
                R"({"version": 8, "in_force": 3, "members": 4})");
  const auto result =
      RunAgainst(server.Address(),
                 {"config", "push", folder.Path(), "--note", "more room"});
  BOOST_TEST(result.m_exitCode == 0);
  Contains(result.m_out, "version 8 accepted, in force on 3 of 4 daemons");
  Contains(result.m_out, "request.queue_limit: 5 (a.yaml:1) -> 6 (a.yaml:1)");
  const auto body = nlohmann::json::parse(server.LastCall().m_body);
  const nlohmann::json expected = {
      {"based_on", 7},
      {"files", {{"a.yaml", "request.queue_limit: 6\n"}}},
      {"author", "operator"},
      {"note", "more room"}};
  BOOST_TEST(body == expected);
}

// Guards against a conflict that does not show what another operator pushed
// meanwhile.
BOOST_AUTO_TEST_CASE(ConflictShowsTheDifferenceAndChangesNothing) {
  const TestFolder folder;
  folder.Write("a.yaml", "request.queue_limit: 6\n");
  FakeServer server;
  server.Answer("GET /v1/config", 200, kInForce);
  server.Answer("PUT /v1/config", 409,
                R"({"error": "config_conflict", "message": "lost", "version": 9,
                    "files": {"b.yaml": "request.queue_limit: 7\n"}})");
  const auto result =
      RunAgainst(server.Address(), {"config", "push", folder.Path()});
  BOOST_TEST(result.m_exitCode == 5);
  Contains(result.m_error,
           "version 9 is in force, but the push was based on "
           "version 7; nothing was changed");
  Contains(result.m_error, "request.queue_limit: 7 (b.yaml:1) -> 6 (a.yaml:1)");
  const std::vector<std::string> calls = {"GET /v1/config", "PUT /v1/config"};
  BOOST_TEST(server.Calls() == calls, boost::test_tools::per_element());
  BOOST_TEST(folder.Read("a.yaml") == "request.queue_limit: 6\n");
  const auto json = nlohmann::json::parse(
      RunAgainst(server.Address(), {"config", "push", folder.Path(), "--json"})
          .m_out);
  BOOST_TEST(json.at("changes").at(0).at("old").at("value") == "7");
}

// Guards against problems reported by a newer server that are not shown, and
// against escape sequences from a server that reach the terminal.
BOOST_AUTO_TEST_CASE(RefusedPushShowsTheProblemsOfTheServer) {
  const TestFolder folder;
  folder.Write("a.yaml", "request.queue_limit: 6\n");
  FakeServer server;
  server.Answer("GET /v1/config", 200, kInForce);
  server.Answer("PUT /v1/config", 422,
                R"({"error": "config_invalid", "message": "bad", "problems":
                    [{"file": "a.yaml", "line": 1, "key": "request.queue_limit",
                      "message": "is too \u001b[31msmall"}]})");
  const auto result =
      RunAgainst(server.Address(), {"config", "push", folder.Path()});
  BOOST_TEST(result.m_exitCode == 2);
  Contains(result.m_error, "a.yaml:1: request.queue_limit: is too ?[31msmall");
}

// Guards against invalid files that are sent to the server.
BOOST_AUTO_TEST_CASE(BadFilesAreNotPushed) {
  FakeServer server;
  const auto result = RunAgainst(
      server.Address(), {"config", "push", Sample("tests/ctl/five_mistakes")});
  BOOST_TEST(result.m_exitCode == 2);
  BOOST_TEST(server.Calls().empty());
}

// Guards against a change of one file that drops another, or keeps a removed
// one.
BOOST_AUTO_TEST_CASE(PutAndRmChangeOneFile) {
  const TestFolder folder;
  folder.Write("b.yaml", "batch.batch_share: 60\n");
  FakeServer server;
  server.Answer("GET /v1/config", 200, kInForce);
  server.Answer("PUT /v1/config", 200,
                R"({"version": 8, "in_force": 1, "members": 1})");
  const auto files = [&server] {
    return nlohmann::json::parse(server.LastCall().m_body).at("files");
  };
  auto result =
      RunAgainst(server.Address(), {"config", "put", folder.Path("b.yaml")});
  BOOST_TEST(result.m_exitCode == 0);
  BOOST_TEST(files().size() == 2U);
  BOOST_TEST(files().at("b.yaml") == "batch.batch_share: 60\n");
  result = RunAgainst(server.Address(), {"config", "rm", "a.yaml"});
  BOOST_TEST(result.m_exitCode == 0);
  BOOST_TEST(files().empty());
  const size_t calls = server.Calls().size();
  result = RunAgainst(server.Address(), {"config", "rm", "none.yaml"});
  BOOST_TEST(result.m_exitCode == 2);
  BOOST_TEST(server.Calls().size() == calls + 1);
}

// Guards against a pull that overwrites local changes or writes outside its
// folder.
BOOST_AUTO_TEST_CASE(PullReplacesDifferingFilesOnlyByForce) {
  const TestFolder folder;
  FakeServer server;
  server.Answer("GET /v1/config", 200, kInForce);
  const std::vector<std::string> pull = {"config", "pull", folder.Path("new")};
  BOOST_TEST(RunAgainst(server.Address(), pull).m_exitCode == 0);
  BOOST_TEST(folder.Read("new/a.yaml") == "request.queue_limit: 5\n");
  BOOST_TEST(RunAgainst(server.Address(), pull).m_exitCode == 0);
  folder.Write("new/a.yaml", "request.queue_limit: 1\n");
  folder.Write("new/b.yaml", "request.queue_limit: 2\n");
  const auto refused = RunAgainst(server.Address(), pull);
  BOOST_TEST(refused.m_exitCode == 5);
  Contains(refused.m_error, "a.yaml\nb.yaml\n");
  BOOST_TEST(folder.Read("new/a.yaml") == "request.queue_limit: 1\n");
  auto forced = pull;
  forced.emplace_back("--force");
  BOOST_TEST(RunAgainst(server.Address(), forced).m_exitCode == 0);
  BOOST_TEST(folder.Read("new/a.yaml") == "request.queue_limit: 5\n");
  BOOST_TEST(!std::filesystem::exists(folder.Path("new/b.yaml")));
  server.Answer("GET /v1/config", 200,
                R"({"version": 8, "files": {"../x.yaml": ""}})");
  BOOST_TEST(RunAgainst(server.Address(), forced).m_exitCode == 2);
  BOOST_TEST(!std::filesystem::exists(folder.Path("x.yaml")));
}

// Guards against a table that does not show which file set a value.
BOOST_AUTO_TEST_CASE(ShowPrintsValuesWithTheirOrigin) {
  FakeServer server;
  server.Answer("GET /v1/config", 200, kInForce);
  server.Answer("GET /v1/config?version=3", 200,
                R"({"version": 3, "files": {}})");
  server.Answer("GET /v1/config?version=99", 404,
                R"({"error": "unknown_config_version", "message": "no"})");
  const auto shown =
      RunAgainst(server.Address(), {"config", "show", "--origin"});
  Contains(shown.m_out, "version 7\n");
  Contains(shown.m_out, "5            a.yaml:1\n");
  Contains(shown.m_out, "default\n");
  const auto older = RunAgainst(server.Address(),
                                {"config", "show", "--version", "3", "--json"});
  BOOST_TEST(nlohmann::json::parse(older.m_out).at("version") == 3);
  BOOST_TEST(RunAgainst(server.Address(), {"config", "show", "--version", "99"})
                 .m_exitCode == 6);
}

// Guards against columns that do not match the server's answers.
BOOST_AUTO_TEST_CASE(HistoryStatusAndDiffAreShown) {
  const TestFolder folder;
  folder.Write("a.yaml", "request.queue_limit: 5\nbatch.batch_share: 60\n");
  FakeServer server;
  server.Answer("GET /v1/config", 200, kInForce);
  server.Answer("GET /v1/config/history?limit=1", 200,
                R"({"versions": [{"version": 7, "author": "ann", "note": "why",
                    "time": "2026-12-04T10:00:00Z"}]})");
  server.Answer("GET /v1/config/status", 200,
                R"({"version": 7, "vms":
                    [{"vm": "entry-1", "version": 6, "seen_ms_ago": 40}]})");
  Contains(
      RunAgainst(server.Address(), {"config", "history", "--limit", "1"}).m_out,
      "7        2026-12-04T10:00:00Z  ann     why\n");
  Contains(RunAgainst(server.Address(), {"config", "status"}).m_out,
           "entry-1  6        40\n");
  const auto diff =
      RunAgainst(server.Address(), {"config", "diff", folder.Path()});
  BOOST_TEST(diff.m_out ==
             "version 7 -> folder:\n"
             "batch.batch_share: 70 (default) -> 60 (a.yaml:2)\n");
}

}  // namespace bronze

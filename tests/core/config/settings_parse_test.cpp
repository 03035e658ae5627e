/**
 * @file settings_parse_test.cpp Merges and checks sets of settings files.
 */

#include "core/config/settings_parse_func.h"

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>

#include "core/config/settings_diff_func.h"
#include "core/config/settings_merge_func.h"
#include "core/config/settings_problem_func.h"

namespace bronze {

namespace {

/** @return "FILE:LINE KEY" of each problem. */
std::vector<std::string> Places(const FileSet& aFiles) {
  std::vector<std::string> places;
  const auto settings = ParseSystemSettings(aFiles);
  if (settings) return places;
  for (const SettingsProblem& problem : settings.error()) {
    BOOST_TEST(!problem.m_message.empty());
    BOOST_TEST(!problem.m_accepted.empty());
    places.push_back(problem.m_origin.m_file + ":" +
                     std::to_string(problem.m_origin.m_line) + " " +
                     problem.m_key);
  }
  return places;
}

SystemSettings Parsed(const FileSet& aFiles) {
  const auto settings = ParseSystemSettings(aFiles);
  BOOST_REQUIRE(settings.has_value());
  return settings.value();
}

void TestOneProblem(const std::string& aText, const std::string& aPlace) {
  const auto places = Places({{"a.yaml", aText}});
  BOOST_TEST_CONTEXT(aText.substr(0, 100)) {
    BOOST_TEST(places.size() == 1U);
    if (!places.empty()) BOOST_TEST(places.front() == aPlace);
  }
}

}  // namespace

// Guards against a check that reports only the first mistake.
BOOST_AUTO_TEST_CASE(FiveMistakesInThreeFilesAreFoundInOneRun) {
  const auto places = Places(
      {{"10.yaml", "request:\n  defalt_window: 5s\n  queue_limit: lots\n"},
       {"20.yaml", "batch:\n  lease_renewal: 15s\n  batch_share: 101\n"},
       {"30.yaml", "coordination:\n  suspect_after: 5s\n }\n"}});
  const std::vector<std::string> expected = {
      "10.yaml:2 request.defalt_window", "10.yaml:3 request.queue_limit",
      "20.yaml:2 batch.lease_renewal", "20.yaml:3 batch.batch_share",
      "30.yaml:3 "};
  BOOST_TEST(places == expected, boost::test_tools::per_element());
}

// Guards against invalid files that are accepted, or reported at a wrong place.
BOOST_AUTO_TEST_CASE(EachMistakeHasItsLineAndKey) {
  TestOneProblem("request:\n  max_window: 5s\n  max_window: 6s\n",
                 "a.yaml:3 request.max_window");
  TestOneProblem("request:\n  queue_limit: 1\nrequest.queue_limit: 2\n",
                 "a.yaml:3 request.queue_limit");
  TestOneProblem("request:\n  queue_limit: \"5\"\n",
                 "a.yaml:2 request.queue_limit");
  TestOneProblem("request:\n  queue_limit: 0x10\n",
                 "a.yaml:2 request.queue_limit");
  TestOneProblem("request:\n  queue_limit: 99999999999999999999\n",
                 "a.yaml:2 request.queue_limit");
  TestOneProblem("request:\n  short_reserve: 25%\n",
                 "a.yaml:2 request.short_reserve");
  TestOneProblem("request:\n  adaptive_concurrency: yes\n",
                 "a.yaml:2 request.adaptive_concurrency");
  TestOneProblem("request:\n  queue_policy: lifo\n",
                 "a.yaml:2 request.queue_policy");
  TestOneProblem("request: 5\n", "a.yaml:1 request");
  TestOneProblem("request:\n", "a.yaml:1 request");
  TestOneProblem("request: {queue_limit: }\n", "a.yaml:1 request.queue_limit");
  TestOneProblem("request:\n  kinds:\n    a b: {}\n",
                 "a.yaml:3 request.kinds.a b");
  TestOneProblem("request:\n  kinds:\n    a.b: {}\n",
                 "a.yaml:3 request.kinds.a.b");
  TestOneProblem("node:\n  vm: a\n", "a.yaml:2 node.vm");
  TestOneProblem("nonsense: null\n", "a.yaml:1 nonsense");
  TestOneProblem("- request\n", "a.yaml:1 ");
  TestOneProblem("text\n", "a.yaml:1 ");
  TestOneProblem("request: {}\n---\nbatch: {}\n", "a.yaml:2 ");
  TestOneProblem("request:\n  queue_limit: !!int 5\n",
                 "a.yaml:2 request.queue_limit");
  TestOneProblem("request:\n  queue_limit: &a 5\n  max_body: *a\n",
                 "a.yaml:3 request.max_body");
  TestOneProblem("? {a: 1}\n: 5\n", "a.yaml:1 ");
  TestOneProblem("\xff\n", "a.yaml:1 ");
  TestOneProblem("request: {}\n#\x01\n", "a.yaml:2 ");
}

// Guards against values that are each in range but contradict each other.
BOOST_AUTO_TEST_CASE(RelationsAreCheckedOnTheMergedValues) {
  TestOneProblem("batch.lease_renewal: 10s\n", "a.yaml:1 batch.lease_renewal");
  TestOneProblem("batch.task_lease: 10s\n", "a.yaml:1 batch.task_lease");
  TestOneProblem("coordination.suspect_after: 2s\n",
                 "a.yaml:1 coordination.suspect_after");
  TestOneProblem("coordination.commit_interval: 3s\n",
                 "a.yaml:1 coordination.commit_interval");
  TestOneProblem("coordination.confirmation_duration: 1s\n",
                 "a.yaml:1 coordination.confirmation_duration");
  TestOneProblem("request.default_window: 31s\n",
                 "a.yaml:1 request.default_window");
  TestOneProblem("request.kinds.a.expected_run_time: 31s\n",
                 "a.yaml:1 request.kinds.a.expected_run_time");
  BOOST_TEST(Places({{"a.yaml", "batch.lease_renewal: 10s\n"},
                     {"b.yaml", "batch.task_lease: 21s\n"}})
                 .empty());
  BOOST_TEST(Places({{"a.yaml", "coordination.suspect_after: 3s\n"}}).empty());
}

// Guards against a wrong order of files, and against settings that stay in
// force after their file was removed.
BOOST_AUTO_TEST_CASE(LaterFilesOverrideAndRemovedFilesHaveNoEffect) {
  FileSet files = {{"10.yaml", "request: {queue_limit: 1, max_body: 2048}\n"},
                   {"9.yaml", "request.queue_limit: 3\n"},
                   {"20.yaml", "request.queue_limit: 2\n"}};
  // "9.yaml" is the last one in the order of the names.
  BOOST_TEST(Parsed(files).m_request.m_queueLimit == 3);
  BOOST_TEST(Parsed(files).m_request.m_maxBodyBytes == 2048);
  files.erase("9.yaml");
  BOOST_TEST(Parsed(files).m_request.m_queueLimit == 2);
  files.erase("20.yaml");
  files.erase("10.yaml");
  BOOST_TEST((Parsed(files) == SystemSettings{}));
}

// Guards against a null that unsets nothing or too much, or that a later file
// cannot override.
BOOST_AUTO_TEST_CASE(NullUnsetsAKeyOrAGroup) {
  FileSet files = {{"a.yaml",
                    "request:\n  queue_limit: 1\n  kinds:\n"
                    "    check: {weight: 2}\n    plan: {}\n"},
                   {"b.yaml", "request.queue_limit: null\n"},
                   {"c.yaml", "request:\n  kinds:\n    check: ~\n"}};
  const SystemSettings settings = Parsed(files);
  BOOST_TEST(settings.m_request.m_queueLimit == 2000);
  BOOST_TEST(settings.m_request.m_kinds.size() == 1U);
  BOOST_TEST(settings.m_request.m_kinds.contains(KindId("plan")));
  files["d.yaml"] = "request.kinds: null\n";
  BOOST_TEST(Parsed(files).m_request.m_kinds.empty());
  files["e.yaml"] = "request.kinds.check.weight: 5\n";
  const auto again = Parsed(files);
  BOOST_TEST(again.m_request.m_kinds.at(KindId("check")).m_weight == 5);
}

// Guards against input that takes unbounded memory, stack or time.
BOOST_AUTO_TEST_CASE(SizeAndDepthAreLimited) {
  TestOneProblem(std::string(kMaxSettingsFileBytes + 1, '#'), "a.yaml:0 ");
  // One problem for the list, one for its depth.
  BOOST_TEST(Places({{"a.yaml", "a: " + std::string(100'000, '[')}}).size() ==
             2U);
  std::string deep;
  for (size_t i = 0; i < 200; ++i) {
    deep += std::string(i, ' ') + "k" + ":\n";
  }
  BOOST_TEST(!Places({{"a.yaml", deep}}).empty());
  FileSet many;
  for (size_t i = 0; i <= kMaxSettingsFiles; ++i) {
    many[std::to_string(i) + ".yaml"] = "";
  }
  BOOST_TEST(Places(many).size() == 1U);
  const std::string half(kMaxSettingsFileBytes, '#');
  BOOST_TEST(
      Places({{"a.yaml", half}, {"b.yaml", half}, {"c.yaml", "#"}}).size() ==
      1U);
}

// Guards against a list of problems that is larger than the checked files.
BOOST_AUTO_TEST_CASE(ProblemsAreListedUpToALimit) {
  std::string text;
  for (size_t i = 0; i < 2 * kMaxSettingsProblems; ++i) {
    text += fmt::format("k{}: 1\n", i);
  }
  const auto settings = ParseSystemSettings({{"a.yaml", text}});
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(settings.error().size() == kMaxSettingsProblems + 1);
  BOOST_TEST(settings.error().back().m_message.find("more problems") !=
             std::string::npos);
}

// Guards against a file name that would be written outside the folder into
// which the configuration is pulled.
BOOST_AUTO_TEST_CASE(FileNamesStayInTheirFolder) {
  for (const char* name : {"../a.yaml", "a/b.yaml", ".a.yaml", "a.yml", "",
                           "a b.yaml", "a\n.yaml"}) {
    BOOST_TEST(!IsSettingsFileName(name), name);
    BOOST_TEST(Places({{name, ""}}).size() == 1U);
  }
  BOOST_TEST(IsSettingsFileName("10-a_b.c.yaml"));
}

// Guards against a daemon that starts without its data centre, region or
// addresses.
BOOST_AUTO_TEST_CASE(NodeSettingsHaveRequiredKeys) {
  const auto missing = ParseNodeSettings({{"a.yaml", "node.vm: a\n"}});
  BOOST_REQUIRE(!missing.has_value());
  BOOST_TEST(missing.error().size() == 6U);
  const auto settings = ParseNodeSettings(
      {{"a.yaml",
        "node:\n  vm: a\n  data_centre: b\n  region: c\n"
        "  caller_address: 127.0.0.1:0\n  operator_address: 127.0.0.1:0\n"
        "  peer_address: '127.0.0.1:0'\n  platform_address: '[::1]:1'\n"
        "  log_level: warn\n"}});
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings.value().m_vm.Value() == "a");
  BOOST_TEST((settings.value().m_logLevel == LogLevel::Warn));
}

// Guards against an operator token in a log, a list of settings or an error.
BOOST_AUTO_TEST_CASE(SecretsAreNeverShown) {
  const FileSet files = {{"a.yaml", "node.operator_token: hunter2\n"}};
  for (const auto& setting : ListSettings(SettingScope::Node, files)) {
    BOOST_TEST(setting.m_value.find("hunter2") == std::string::npos);
  }
  const FileSet bad = {
      {"a.yaml", "node.operator_token: hunter2" + std::string(300, 'x')}};
  const auto settings = ParseNodeSettings(bad);
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(ProblemsText(settings.error()).find("hunter2") ==
             std::string::npos);
}

// Guards against a difference that compares texts of files instead of values in
// force.
BOOST_AUTO_TEST_CASE(DifferenceShowsValuesWithTheirOrigin) {
  const FileSet before = {{"a.yaml", "request:\n  queue_limit: 5\n"}};
  const FileSet after = {
      {"b.yaml", "request.queue_limit: 5\nrequest.kinds.a: {}\n"},
      {"c.yaml", "batch:\n  batch_share: 60\n"}};
  BOOST_TEST(DiffSettings(SettingScope::System, before, before).empty());
  const auto changes = DiffSettings(SettingScope::System, before, after);
  const std::string text = DiffText(changes);
  BOOST_TEST(text.find("batch.batch_share: 70 (default) -> 60 (c.yaml:2)\n") !=
             std::string::npos);
  BOOST_TEST(text.find("request.kinds.a.weight: (none) -> 1 (default)\n") !=
             std::string::npos);
  BOOST_TEST(text.find("queue_limit") == std::string::npos);
}

}  // namespace bronze

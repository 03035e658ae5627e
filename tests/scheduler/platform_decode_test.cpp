/**
 * @file platform_decode_test.cpp Tests the decoding of settings and messages,
 * and of stored rows and peer calls in CBOR.
 */

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>

#include "codec/job_cbor.h"
#include "codec/peer_call_cbor.h"
#include "core/sched/failed_runs_func.h"
#include "core/sched/name_func.h"
#include "platform/caller_wire.h"
#include "platform/node_config.h"
#include "platform/wire_decode.h"

namespace bronze {

namespace {

constexpr char kSettings[] = R"(
node_name: "vm-1"
ip: "127.0.0.1"
zone: "a"
listen:
  front: "127.0.0.1:8161"
  ready: "127.0.0.1:8167"
port_range: [7720, 7735]
platform:
  address: "127.0.0.1:9000"
bounds:
  max_hold_ms: 6000
  status_s: 120
unknown_field: {more: [1, 2]}
)";

}  // namespace

namespace {

/** All fields that a runner writes to its entry, as JSON. */
const std::map<std::string, std::string> kRunnerFields = {
    {"service", "\"s\""},
    {"address", "\"127.0.0.1:1\""},
    {"zone", "\"a\""},
    {"version", "\"v1\""},
    {"slots", "8"},
    {"state", "\"ready\""},
    {"cold_left_ms", "0"},
    {"sequence", "1"},
    {"capacity", R"({"cpu":1})"},
    {"labels", R"(["a","rack1"])"}};

std::string EntryOf(const std::map<std::string, std::string>& aFields) {
  std::string text;
  for (const auto& [name, value] : aFields) {
    text += fmt::format("{}\"{}\":{}", text.empty() ? "{" : ",", name, value);
  }
  return text + "}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PlatformDecodeSuite)

/** Guards against settings that are refused because of unknown fields. */
BOOST_AUTO_TEST_CASE(SettingsAreRead) {
  const auto config = DecodeNodeConfig(kSettings);
  BOOST_REQUIRE(config.has_value());
  BOOST_TEST(config.value().m_config.m_vm.Value() == "vm-1");
  BOOST_TEST(config.value().m_config.m_peerAddress.port() == 7720);
  BOOST_TEST((config.value().m_config.m_maxLease == seconds(6)));
}

/** Guards against rows that are larger than this deployment's store accepts,
 * and against a limit that no row could keep: the least one is used and named.
 */
BOOST_AUTO_TEST_CASE(LimitOfRowsIsRead) {
  const auto withLimit = [](const std::string& aLimit) {
    std::string text = kSettings;
    const std::string before = "platform:\n";
    text.replace(text.find(before), before.size(),
                 before + "  row_bytes: " + aLimit + "\n");
    return DecodeNodeConfig(text);
  };
  BOOST_TEST(DecodeNodeConfig(kSettings).value().m_config.m_storeRowBytes ==
             65536U);
  BOOST_TEST(withLimit("16384").value().m_config.m_storeRowBytes == 16384U);
  BOOST_TEST(withLimit("16384").value().m_corrections.empty());
  for (const auto* limit : {"0", "-1", "8191"}) {
    const auto corrected = withLimit(limit);
    BOOST_REQUIRE(corrected.has_value());
    BOOST_TEST(corrected.value().m_config.m_storeRowBytes == 8192U);
    BOOST_REQUIRE_EQUAL(corrected.value().m_corrections.size(), 1U);
    BOOST_TEST(corrected.value().m_corrections[0].find("platform.row_bytes") !=
               std::string::npos);
  }
}

/** Guards against deployments without evacuations whose starts depend on the
 * age of the operators' requests, and against a bound that is ignored. */
BOOST_AUTO_TEST_CASE(EvacuationNoticeIsRead) {
  BOOST_TEST(!DecodeNodeConfig(kSettings).value().m_config.m_evacuationNotice);
  std::string text = kSettings;
  const std::string before = "bounds:\n";
  text.replace(text.find(before), before.size(),
               before + "  evacuate_ms: 5000\n");
  BOOST_TEST((DecodeNodeConfig(text).value().m_config.m_evacuationNotice ==
              seconds(5)));
  // A bound that cannot be kept is no reason to overlook evacuations.
  text.replace(text.find("5000"), 4, "-500");
  const auto corrected = DecodeNodeConfig(text);
  BOOST_REQUIRE(corrected.has_value());
  BOOST_TEST(
      (corrected.value().m_config.m_evacuationNotice == milliseconds(1)));
  BOOST_TEST(corrected.value().m_corrections.size() == 1U);
}

/** Guards against other rows of the operators' table that are taken for a
 *  request, and against runners that are refused for the new field. */
BOOST_AUTO_TEST_CASE(EvacuationsAndColdRunnersAreDecoded) {
  BOOST_TEST(EvacuatedDataCentre("evacuate/a-1")->Value() == "a-1");
  for (const auto* key : {"evacuate/", "evacuate", "config", "", "x/a",
                          "evacuate/a\"b", "evacuate/a\nb", "evacuate/a b"}) {
    BOOST_TEST(!EvacuatedDataCentre(key), key);
  }
  const auto entry = [](const std::string& aColdLeft) {
    auto fields = kRunnerFields;
    fields["cold_left_ms"] = aColdLeft;
    return DecodeRunnerEntry("r", EntryOf(fields));
  };
  BOOST_TEST((entry("0").value().m_coldLeft == Duration::zero()));
  BOOST_TEST((entry("1250.5").value().m_coldLeft == milliseconds(1250)));
  BOOST_TEST(!entry("\"soon\"").has_value());
}

/** Guards against an error that reports only the first problem. */
BOOST_AUTO_TEST_CASE(AllProblemsOfSettingsAreNamed) {
  const auto config = DecodeNodeConfig("ip: [1]\nlisten: {front: nonsense}\n");
  BOOST_REQUIRE(!config.has_value());
  const std::string& text = config.error().m_message;
  for (const auto* name : {"node_name", "zone", "nonsense", "listen.ready",
                           "platform", "port_range"}) {
    BOOST_TEST(text.find(name) != std::string::npos, name);
  }
  BOOST_TEST(!DecodeNodeConfig("a: [").has_value());
}

/** Guards against malformed task names that decode to some task. */
BOOST_AUTO_TEST_CASE(TaskNamesAreRead) {
  const auto key = DecodeTaskName("5c0e7a21d94b36f8.0.1.17");
  BOOST_REQUIRE(key.has_value());
  BOOST_TEST(key.value().m_index == 17U);
  BOOST_TEST(sched::TaskText(key.value()) == "5c0e7a21d94b36f8.0.1.17");
  for (const auto* bad :
       {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1", "x.0.1.2",
        "5c0e7a21d94b36f8.0.1.17.", "5c0e7a21d94b36f8.0.1.-1",
        "5c0e7a21d94b36f8.0..1", "5c0e7a21d94b36f8.0.1.99999999999"}) {
    BOOST_TEST(!DecodeTaskName(bad).has_value(), bad);
  }
}

/** Guards against malformed reports of which a part is used. */
BOOST_AUTO_TEST_CASE(ReportsAreRead) {
  const auto report = DecodeRunnerReport(
      R"({"clock_ms":482113,"born":7,"running":[["5c0e7a21d94b36f8.0.1.17",2,)"
      R"("00",41,35]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report.value().m_running.at(0).m_measure == 35);
  BOOST_TEST(report.value().m_ended.at(0).m_number.Value() == 58U);
  constexpr const char* kReportWithAnOddEnd =
      R"({"clock_ms":1,"running":[],)"
      R"("finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"odd"]]})";
  for (const auto* bad :
       {"", "[]", "{}", R"({"clock_ms":"x"})",
        R"({"clock_ms":1,"running":[5],"finished":[]})", kReportWithAnOddEnd,
        R"({"clock_ms":1})", R"({"clock_ms":1,"running":[]})",
        R"({"clock_ms":1,"finished":[]})"}) {
    BOOST_TEST(!DecodeRunnerReport(bad).has_value(), bad);
  }
}

/** Guards against a list of ends that is taken as complete although the runner
 *  keeps more (review/3). */
BOOST_AUTO_TEST_CASE(FullListOfEndsMayBeIncomplete) {
  constexpr size_t kMostListed = 500;
  std::string ends;
  for (size_t number = 1; number <= kMostListed; ++number) {
    ends += fmt::format(R"({}[{},"5c0e7a21d94b36f8.0.1.{}",1,"done",""])",
                        ends.empty() ? "" : ",", number, number);
    const auto report = DecodeRunnerReport(
        fmt::format(R"({{"clock_ms":1,"running":[],"finished":[{}]}})", ends));
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report.value().m_allEndsListed == (number < kMostListed));
  }
}

/** Guards against the use of runners whose entry is invalid, and against an
 *  entry of another writer that counts as that of a runner as it has the fields
 *  that are used (review/13). */
BOOST_AUTO_TEST_CASE(InvalidRunnerEntriesAreRefused) {
  BOOST_TEST(DecodeRunnerEntry("a", EntryOf(kRunnerFields)).has_value());
  for (const auto& [name, value] : kRunnerFields) {
    auto fields = kRunnerFields;
    fields.erase(name);
    BOOST_TEST(!DecodeRunnerEntry("a", EntryOf(fields)).has_value(), name);
    fields[name] = value.front() == '"' ? "7" : "\"odd\"";
    BOOST_TEST(!DecodeRunnerEntry("a", EntryOf(fields)).has_value(), name);
    fields[name] = "null";
    BOOST_TEST(!DecodeRunnerEntry("a", EntryOf(fields)).has_value(), name);
  }
  for (const auto* bad : {"\xff", "7"}) {
    BOOST_TEST(!DecodeRunnerEntry("a", bad).has_value(), bad);
  }
}

/** Guards against an invalid route that discards the valid ones. */
BOOST_AUTO_TEST_CASE(BadRoutesAreLeftOut) {
  std::vector<std::string> problems;
  const auto config = DecodeLiveConfig(
      R"({"version":7,"routes":[{"name":"a","host":"H.Example",)"
      R"("path_prefix":"/a/","service":"s"},{"name":5}],"services":[]})",
      problems);
  BOOST_REQUIRE(config.has_value());
  BOOST_TEST(config.value().m_queues.size() == 1U);
  BOOST_TEST(config.value().m_queues[0].m_host == "h.example");
  BOOST_TEST(problems.size() == 1U);
  BOOST_TEST(!DecodeLiveConfig("{}", problems).has_value());
}

/** Guards against calls that match two path prefixes and go to the queue with
 *  the shorter one. */
BOOST_AUTO_TEST_CASE(LongestPrefixSelectsTheQueue) {
  sched::LiveConfig config;
  config.m_version = ConfigVersion(1);
  config.m_queues = {{sched::QueueId("short"), "h", "/a/", {}},
                     {sched::QueueId("long"), "h", "/a/b/", {}}};
  HttpCall call;
  call.m_method = "GET";
  call.m_headers = {{"Host", "H:80"}};
  call.m_target = "/a/b/5c0e7a21d94b36f8";
  const auto request = DecodeCallerCall(call, config);
  BOOST_REQUIRE(request.has_value());
  BOOST_TEST(request.value().m_queue.Value() == "long");
}

/** Guards against failed runs that the next owner does not get because their
 *  numbers do not fit into the mask of earlier builds, and against a build of
 *  before that finds anything else than the mask which it would have written
 *  itself. */
BOOST_AUTO_TEST_CASE(FailuresBeyondTheMaskAreKept) {
  sched::FailedRuns runs = sched::FailedRunsOfMask(1);
  sched::AddFailedRun(runs, sched::RunNumber(80));
  sched::AddFailedRun(runs, sched::RunNumber(82));
  using Stored = sched::StoredTask;
  sched::StoredState state;
  state.m_job = JobId(9);
  state.m_occurrences = {
      {4,
       {{Stored::State::Open, sched::RunNumber(2), {}, {}, ""},
        {Stored::State::Open, sched::RunNumber(82), runs, {}, "half"}}}};
  const std::string row = EncodeJobState(state);
  const auto read = DecodeJobState(row);
  BOOST_REQUIRE(read.has_value());
  const auto& tasks = read.value().m_occurrences.at(0).m_tasks;
  BOOST_TEST((tasks.at(0).m_failedRuns == sched::FailedRuns()));
  BOOST_TEST((tasks.at(1).m_failedRuns == runs));
  BOOST_TEST(tasks.at(1).m_checkpoint == "half");
  // Earlier builds read eight fields at most.
  const auto fields = nlohmann::json::from_cbor(row);
  BOOST_REQUIRE(fields.size() == 9U);
  constexpr uint64_t kHighestBit = uint64_t{1} << 63;
  BOOST_TEST((fields.at(5).at(0).at(2).at(2) == (kHighestBit | 1U)));
  BOOST_TEST(fields.at(6).empty());
  BOOST_TEST((fields.at(7) == 0));

  const sched::StoredTaskBlock block{{JobId(9), 4, 64},
                                     state.m_occurrences.at(0).m_tasks};
  const auto readBlock = DecodeTaskBlock(EncodeTaskBlock(block));
  BOOST_REQUIRE(readBlock.has_value());
  BOOST_TEST((readBlock.value().m_key == block.m_key));
  BOOST_TEST((readBlock.value().m_tasks.at(1).m_failedRuns == runs));
}

/** Guards against a divided state that loses a field, and against a build of
 *  before that takes it for a job none of whose tasks was ever placed. */
BOOST_AUTO_TEST_CASE(DividedStateIsNoRowOfAnEarlierBuild) {
  sched::StoredState state;
  state.m_job = JobId(9);
  state.m_phase = sched::JobPhase::Failed;
  state.m_nextOccurrence = 3;
  state.m_anyStarted = true;
  state.m_movingTo = CellId(5);
  state.m_moveCount = 2;
  state.m_tasksPerBlock = 65;
  state.m_occurrences = {{1, {}}, {2, {}}};
  const std::string row = EncodeJobState(state);
  const auto read = DecodeJobState(row);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read.value().m_phase == state.m_phase));
  BOOST_TEST(read.value().m_nextOccurrence == 3U);
  BOOST_TEST(read.value().m_anyStarted);
  BOOST_TEST((read.value().m_movingTo == CellId(5)));
  BOOST_TEST(read.value().m_moveCount == 2U);
  BOOST_TEST(read.value().m_tasksPerBlock == 65U);
  BOOST_REQUIRE(read.value().m_occurrences.size() == 2U);
  BOOST_TEST(read.value().m_occurrences[1].m_number == 2U);
  // Earlier builds skip rows of another version than 1.
  BOOST_TEST((nlohmann::json::from_cbor(row).at(0) == 2));
}

/** Guards against fields of a stored row that the next owner does not get. */
BOOST_AUTO_TEST_CASE(StateRowsKeepEveryField) {
  sched::StoredState state;
  state.m_job = JobId(9);
  state.m_phase = sched::JobPhase::Active;
  state.m_nextOccurrence = 3;
  state.m_anyStarted = true;
  using Stored = sched::StoredTask;
  state.m_occurrences = {
      {2,
       {{Stored::State::Open, sched::RunNumber(0), {}, {}, ""},
        {Stored::State::Open,
         sched::RunNumber(4),
         sched::FailedRunsOfMask(5),
         {},
         "half"},
        {Stored::State::Placed, sched::RunNumber(300), {}, RunnerId("r"), ""},
        {Stored::State::Done,
         sched::RunNumber(1),
         sched::FailedRunsOfMask(1),
         {},
         ""}}}};
  const auto read = DecodeJobState(EncodeJobState(state));
  BOOST_REQUIRE(read.has_value());
  const auto& tasks = read.value().m_occurrences.at(0).m_tasks;
  BOOST_TEST(read.value().m_nextOccurrence == 3U);
  BOOST_TEST(read.value().m_occurrences[0].m_number == 2U);
  BOOST_TEST((tasks.at(1).m_failedRuns == sched::FailedRunsOfMask(5)));
  BOOST_TEST(tasks[1].m_checkpoint == "half");
  BOOST_TEST(tasks[2].m_run.Value() == 300U);
  BOOST_TEST(tasks[2].m_runner.Value() == "r");
  BOOST_TEST((tasks[3].m_state == Stored::State::Done));
  BOOST_TEST(!DecodeJobState("\x81\x07").has_value());
  BOOST_TEST(!DecodeJobState("").has_value());
}

/** Guards against fields that are lost in calls between daemons. */
BOOST_AUTO_TEST_CASE(PeerCallsKeepEveryField) {
  PeerCall call;
  call.m_verb = PeerVerb::Submit;
  call.m_cell = CellId(0);
  call.m_job = JobId(9);
  call.m_queue = sched::QueueId("q");
  call.m_window = milliseconds(2500);
  auto spec = DecodeJobBody(
      R"({"spec":"s","steps":[{"count":4,"cpu":500,"fills":true,"image":"i",)"
      R"("estimate_ms":900,"after":[],"saves_progress":true}],"max_runs":2})");
  BOOST_REQUIRE(spec.has_value());
  call.m_spec = std::move(spec.value());
  call.m_spec.m_id = JobId(9);
  const auto read = DecodePeerCall(EncodePeerCall(call));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read.value().m_window == milliseconds(2500)));
  const auto& step = read.value().m_spec.m_steps.at(0);
  BOOST_TEST(step.m_bestEffort);
  BOOST_TEST(step.m_savesProgress);
  BOOST_TEST(step.m_image == "i");
  BOOST_TEST(read.value().m_spec.m_maxRuns == 2U);
  BOOST_TEST(!DecodePeerCall("\x82\x18\x63").has_value());
}

/** Guards against malformed answers of the advice service that are used. */
BOOST_AUTO_TEST_CASE(AdviceAnswerIsChecked) {
  const auto answer = DecodeAdviceAnswer(
      R"({"approved":[["i-1","t-1"],["i-2","t-2"]],"valid_ms":3000})");
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer.value().m_approved.size() == 2U);
  BOOST_TEST(answer.value().m_approved[1].m_ticket == "t-2");
  BOOST_TEST((answer.value().m_valid == seconds(3)));
  BOOST_TEST(!DecodeAdviceAnswer("{}").has_value());
  BOOST_TEST(!DecodeAdviceAnswer(R"({"approved":[["i-1"]]})").has_value());
  BOOST_TEST(!DecodeAdviceAnswer(R"({"approved":[[1,2]]})").has_value());
  BOOST_TEST(!DecodeAdviceAnswer("[").has_value());
}

/** Guards against an advice policy that is not read: runners would refuse all
 *  starts of that queue, as these would have no ticket. */
BOOST_AUTO_TEST_CASE(AdvicePolicyOfAQueueIsRead) {
  std::vector<std::string> problems;
  const auto config = DecodeLiveConfig(
      R"({"version":2,"routes":[{"name":"q","host":"h","path_prefix":"/q/",)"
      R"("service":"s","advice":{"decision_ms":50,"per_worker_ms":2,)"
      R"("valid_ms":3000}}]})",
      problems);
  BOOST_REQUIRE(config.has_value());
  BOOST_REQUIRE_EQUAL(config.value().m_queues.size(), 1U);
  const auto& advice = config.value().m_queues[0].m_policy.m_advice;
  BOOST_REQUIRE(advice.has_value());
  BOOST_TEST((advice->m_perRunner == milliseconds(2)));
  BOOST_TEST((advice->m_valid == seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze

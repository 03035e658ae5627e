/**
 * @file system_fixture.cpp Runs the stand-in and daemons as real processes.
 */

#include "system_fixture.h"

#include <fmt/format.h>
#include <sys/wait.h>

#include <boost/process/args.hpp>
#include <boost/process/io.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <deque>
#include <exception>
#include <fstream>
#include <iostream>
#include <thread>

#include "net/address_func.h"

namespace bronze {

namespace bp = boost::process;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};

/** @return the first line of the file that contains aText; empty: none. */
std::string FindLine(const std::filesystem::path& aFile,
                     const std::string& aText) {
  std::ifstream file(aFile);
  std::string line;
  while (std::getline(file, line)) {
    // A line without a line end may be incomplete.
    if (!file.eof() && line.find(aText) != std::string::npos) return line;
  }
  return {};
}

/** @return the value of key=value in a log line. */
std::string Field(const std::string& aLine, const std::string& aKey) {
  const auto start = aLine.find(" " + aKey + "=");
  if (start == std::string::npos) return {};
  const auto from = start + aKey.size() + 2;
  return aLine.substr(from, aLine.find(' ', from) - from);
}

/** @return whether the process has ended, and how. */
std::string StateText(bp::child& aChild) {
  std::error_code ignored;
  if (aChild.running(ignored)) return "is running";
  const int status = aChild.native_exit_code();
  if (WIFSIGNALED(status)) {
    return fmt::format("has ended by signal {}", WTERMSIG(status));
  }
  return fmt::format("has ended with exit code {}", WEXITSTATUS(status));
}

/** Prints whether the process has ended, how, and the end of its log. */
void PrintProcess(const std::string& aName, bp::child& aChild,
                  const std::filesystem::path& aLog) {
  constexpr size_t kPrintedLines = 15;
  std::cerr << aName << " " << StateText(aChild) << "; the end of its log:\n";
  std::deque<std::string> lines;
  std::ifstream file(aLog);
  for (std::string line; std::getline(file, line);) {
    lines.push_back(line);
    if (lines.size() > kPrintedLines) lines.pop_front();
  }
  for (const std::string& line : lines) std::cerr << "  " << line << "\n";
}

constexpr char kConfiguration[] = R"(request:
  kinds:
    check: {class: short, idempotent: true}
    plan: {class: long, idempotent: true, expected_run_time: 400ms}
    commit: {class: short, idempotent: false}
    watch: {class: standing, idempotent: true}
)";

}  // namespace

json Answer::Json() const {
  auto parsed = json::parse(m_body, nullptr, false);
  BOOST_REQUIRE_MESSAGE(!parsed.is_discarded(),
                        "the body is not JSON, HTTP status "
                            << m_status << ": " << m_body << m_error);
  return parsed;
}

SystemFixture::SystemFixture()
    : m_folder(
          std::filesystem::temp_directory_path() /
          fmt::format(
              "bronze-test-{}-{}", ::getpid(),
              std::chrono::steady_clock::now().time_since_epoch().count())),
      m_context(1),
      m_client(m_context, {0, size_t{16} << 20}) {
  std::filesystem::create_directories(m_folder);
}

SystemFixture::~SystemFixture() {
  if (std::uncaught_exceptions() > 0) PrintProcesses();
  for (auto& [vm, process] : m_daemons) {
    std::error_code ignored;
    if (process.m_child) process.m_child->terminate(ignored);
  }
  std::error_code ignored;
  if (m_standin) m_standin->terminate(ignored);
  if (std::uncaught_exceptions() > 0) {
    BOOST_TEST_MESSAGE("the logs of the failed test are in " << m_folder);
    return;
  }
  std::filesystem::remove_all(m_folder, ignored);
}

void SystemFixture::PrintProcesses() {
  if (m_standin) {
    PrintProcess("stand-in", *m_standin, m_folder / "standin.log");
  }
  for (auto& [vm, process] : m_daemons) {
    if (process.m_child) PrintProcess(vm, *process.m_child, process.m_log);
  }
}

void SystemFixture::StartStandin(const std::vector<std::string>& aOptions) {
  const auto out = m_folder / "standin.out";
  m_standin = std::make_unique<bp::child>(
      BRONZE_STANDIN, bp::args(aOptions), bp::std_out > out.string(),
      bp::std_err > (m_folder / "standin.log").string(), bp::std_in < bp::null);
  WaitUntil("the stand-in prints its address",
            [&] { return !FindLine(out, "platform ").empty(); });
  m_platform =
      FindLine(out, "platform ").substr(std::string("platform ").size());
}

void SystemFixture::StartDaemon(const std::string& aVm,
                                const std::string& aDataCentre) {
  Process& process = m_daemons[aVm];
  process.m_dataCentre = aDataCentre;
  Launch(aVm);
  Register(aVm);
}

void SystemFixture::StartDaemons(int aCount) {
  for (int i = 1; i <= aCount; ++i) {
    StartDaemon(fmt::format("entry-{}", i), fmt::format("dc-{}", i % 3 + 1));
  }
}

void SystemFixture::Launch(const std::string& aVm) {
  Process& process = m_daemons[aVm];
  const auto settings = m_folder / aVm;
  std::filesystem::create_directories(settings);
  std::ofstream(settings / "10-node.yaml") << fmt::format(
      "node:\n  vm: {}\n  data_centre: {}\n  region: region-1\n"
      "  caller_address: 127.0.0.1:0\n  operator_address: 127.0.0.1:0\n"
      "  peer_address: 127.0.0.1:0\n  platform_address: {}\n",
      aVm, process.m_dataCentre, m_platform);
  process.m_log = m_folder / (aVm + ".log");
  std::filesystem::remove(process.m_log);
  process.m_child = std::make_unique<bp::child>(
      BRONZEWORKSD, "--settings", settings.string(),
      bp::std_err > process.m_log.string(), bp::std_out > bp::null,
      bp::std_in < bp::null);
  WaitUntil(aVm + " logs its addresses",
            [&] { return !FindLine(process.m_log, "started vm=").empty(); });
  const std::string line = FindLine(process.m_log, "started vm=");
  process.m_addresses = {Field(line, "callers"), Field(line, "operators"),
                         Field(line, "peers")};
}

void SystemFixture::Register(const std::string& aVm) {
  const Process& process = m_daemons.at(aVm);
  const json body = {{"id", aVm},
                     {"role", "entry"},
                     {"state", "live"},
                     {"address", process.m_addresses.m_peers},
                     {"http_address", process.m_addresses.m_operators},
                     {"data_centre", process.m_dataCentre}};
  const Answer answer = Call(m_platform, "POST", "/standin/vms", body.dump());
  BOOST_REQUIRE_EQUAL(answer.m_status, 200);
}

void SystemFixture::PushConfiguration() {
  const std::string first = m_daemons.begin()->first;
  WaitUntil("the configuration is accepted", [&] {
    const auto now = Operator(first, "/v1/config");
    if (now.m_status != 200) return false;
    const json body = {{"based_on", now.Json().at("version")},
                       {"files", {{"10-kinds.yaml", kConfiguration}}},
                       {"author", "test"},
                       {"note", ""}};
    return Call(Addresses(first).m_operators, "PUT", "/v1/config", body.dump())
               .m_status == 200;
  });
  WaitUntil("all daemons are ready", [&] {
    return std::all_of(m_daemons.begin(), m_daemons.end(), [&](auto& aDaemon) {
      return Operator(aDaemon.first, "/readyz").m_status == 200;
    });
  });
}

void SystemFixture::Signal(const std::string& aVm, int aSignal) {
  Process& process = m_daemons.at(aVm);
  BOOST_REQUIRE_EQUAL(::kill(process.m_child->id(), aSignal), 0);
  if (aSignal == SIGKILL) process.m_child->wait();
}

int SystemFixture::WaitForExit(const std::string& aVm) {
  auto& child = *m_daemons.at(aVm).m_child;
  WaitUntil(aVm + " ends", [&] { return !child.running(); });
  return child.exit_code();
}

bool SystemFixture::IsRunning(const std::string& aVm) {
  return m_daemons.at(aVm).m_child->running();
}

void SystemFixture::RestartDaemon(const std::string& aVm) {
  Launch(aVm);
  Register(aVm);
}

const DaemonAddresses& SystemFixture::Addresses(const std::string& aVm) const {
  return m_daemons.at(aVm).m_addresses;
}

void SystemFixture::StartCall(const std::string& aAddress,
                              const std::string& aMethod,
                              const std::string& aTarget,
                              const std::string& aBody,
                              const HttpHeaders& aHeaders,
                              std::function<void(Answer)> aDone) {
  HttpCall call;
  call.m_method = aMethod;
  call.m_target = aTarget;
  call.m_body = aBody;
  call.m_headers = aHeaders;
  m_client.Call(ParseAddress(aAddress).value(), call, kMaxWait,
                [done = std::move(aDone)](CallOutcome aOutcome) {
                  Answer answer;
                  if (aOutcome.m_stage == CallStage::CompleteReply) {
                    answer.m_status = aOutcome.m_reply.m_status;
                    answer.m_body = std::move(aOutcome.m_reply.m_body);
                  }
                  answer.m_error = std::move(aOutcome.m_error);
                  done(std::move(answer));
                });
}

void SystemFixture::RunCalls() {
  m_context.restart();
  m_context.run();
}

Answer SystemFixture::Call(const std::string& aAddress,
                           const std::string& aMethod,
                           const std::string& aTarget, const std::string& aBody,
                           const HttpHeaders& aHeaders) {
  Answer answer;
  StartCall(aAddress, aMethod, aTarget, aBody, aHeaders,
            [&answer](Answer aAnswer) { answer = std::move(aAnswer); });
  RunCalls();
  return answer;
}

Answer SystemFixture::Operator(const std::string& aVm,
                               const std::string& aTarget) {
  return Call(Addresses(aVm).m_operators, "GET", aTarget);
}

void SystemFixture::SetFault(const json& aFault) {
  const Answer answer =
      Call(m_platform, "POST", "/standin/faults", aFault.dump());
  BOOST_REQUIRE_MESSAGE(answer.m_status == 200,
                        "the stand-in refused the fault: " << answer.m_body);
}

json SystemFixture::Counts() {
  return Call(m_platform, "GET", "/standin/counts").Json();
}

void SystemFixture::WaitUntil(const std::string& aWhat,
                              const std::function<bool()>& aState) {
  const auto end = std::chrono::steady_clock::now() + kMaxWait;
  while (!aState()) {
    BOOST_REQUIRE_MESSAGE(std::chrono::steady_clock::now() < end,
                          "timed out waiting until " << aWhat);
    std::this_thread::sleep_for(kPollInterval);
  }
}

void SystemFixture::CheckInvariants() {
  const json counts = Counts();
  for (const char* name :
       {"over_capacity", "task_in_two_places", "slot_over_commitments",
        "non_idempotent_twice", "resumed_twice", "work_after_leaving"}) {
    BOOST_TEST(counts.at(name).get<int64_t>() == 0, name);
  }
}

}  // namespace bronze

/**
 * @file overload_fixture.cpp Runs bronze-scheduler as a process with low
 * limits.
 */

#include "overload_fixture.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/process/args.hpp>
#include <boost/process/io.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "net/address_func.h"

namespace bronze {

namespace bp = boost::process;
using boost::asio::ip::tcp;

namespace {

/** Limits in the settings of the process, and bounds of the checks. */
constexpr size_t kMemoryMb = 96;
constexpr size_t kMaxDescriptors = 400;

constexpr std::chrono::milliseconds kPollInterval{2};
constexpr uint16_t kCallerPort = 8161;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kPeerPort = 7720;
constexpr uint16_t kMetricsPort = 9464;

/** @return an address of the loopback network that no other test that runs now
 *          uses. */
std::string OwnLoopbackIp() {
  const auto pid = static_cast<unsigned>(::getpid());
  return fmt::format("127.{}.{}.{}", 64 + pid / 65536 % 64, pid / 256 % 256,
                     pid % 256);
}

/** @return the peak of the resident memory of a process, in MB. */
size_t PeakMemoryMb(int aPid) {
  std::ifstream file(fmt::format("/proc/{}/status", aPid));
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) return std::stoul(line.substr(6)) / 1024;
  }
  BOOST_FAIL("the process has no memory figures");
  return 0;
}

size_t CountDescriptors(int aPid) {
  std::error_code error;
  const std::filesystem::directory_iterator list(
      fmt::format("/proc/{}/fd", aPid), error);
  size_t count = 0;
  for (const auto& entry : list) {
    (void)entry;
    ++count;
  }
  return count;
}

}  // namespace

OverloadFixture::OverloadFixture()
    : m_threads(2),
      m_store(m_threads),
      m_runner(m_threads, milliseconds(100)),
      m_context(1),
      m_client(m_context, {0, size_t{1} << 20}),
      m_folder(std::filesystem::temp_directory_path() /
               fmt::format("bronze-overload-{}", ::getpid())),
      m_ip(OwnLoopbackIp()) {
  std::filesystem::create_directories(m_folder);
  m_store.Put("op", "", "config",
              R"({"version":1,"routes":[{"name":"queue","host":"h.example",)"
              R"("path_prefix":"/queue/","service":"pool","priority":0,)"
              R"("max_attempts":3,"stretch":1.5,"target_latency_ms":250}],)"
              R"("services":[{"name":"pool","rejects_overload":true}]})");
  m_store.Put(
      "servers", "", "r1",
      fmt::format(
          R"({{"service":"pool","address":"{}","zone":"z","version":"v1",)"
          R"("slots":8,"state":"ready","born":1,"cold_left_ms":0,)"
          R"("capacity":{{"cpu":16000,)"
          R"("mem_mb":32000}},"labels":["a","rack1"],"sequence":1}})",
          AddressText(m_runner.Listen())));
  WriteSettings();
  m_scheduler =
      bp::child(BRONZE_SCHEDULER,
                bp::args({"--settings", (m_folder / "settings.yaml").string()}),
                (bp::std_out & bp::std_err) > (m_folder / "log").string(),
                bp::std_in < bp::null);
  WaitUntil("the process serves", [this] { return IsReady() && Submits(); });
}

OverloadFixture::~OverloadFixture() {
  std::error_code ignored;
  if (m_scheduler.running(ignored)) m_scheduler.terminate(ignored);
  m_threads.Stop();
  if (std::uncaught_exceptions() > 0) PrintLog();
  std::filesystem::remove_all(m_folder, ignored);
}

void OverloadFixture::PrintLog() {
  constexpr size_t kPrintedLines = 15;
  std::deque<std::string> lines;
  std::ifstream file(m_folder / "log");
  for (std::string line; std::getline(file, line);) {
    lines.push_back(line);
    if (lines.size() > kPrintedLines) lines.pop_front();
  }
  for (const std::string& line : lines) std::cerr << line << "\n";
}

void OverloadFixture::WriteSettings() {
  std::ofstream file(m_folder / "settings.yaml");
  file << fmt::format(
      "node_name: n1\nzone: z\nip: {0}\n"
      "listen: {{front: \"{0}:{1}\", ready: \"{0}:{2}\"}}\n"
      "port_range: [{3}, {3}]\n"
      "platform: {{address: \"{4}\"}}\n"
      "limits: {{memory_mb: {5}, max_fds: {6}}}\n",
      m_ip, kCallerPort, kReadyPort, kPeerPort, AddressText(m_store.Listen()),
      kMemoryMb, kMaxDescriptors);
}

tcp::endpoint OverloadFixture::Callers() const {
  return {boost::asio::ip::make_address(m_ip), kCallerPort};
}

tcp::endpoint OverloadFixture::Ready() const {
  return {boost::asio::ip::make_address(m_ip), kReadyPort};
}

tcp::endpoint OverloadFixture::Metrics() const {
  return {boost::asio::ip::make_address(m_ip), kMetricsPort};
}

void OverloadFixture::WaitUntil(const std::string& aWhat,
                                const std::function<bool()>& aState) {
  const auto end = std::chrono::steady_clock::now() + kMaxWait;
  while (!aState()) {
    CheckRunning();
    SampleDescriptors();
    BOOST_REQUIRE_MESSAGE(std::chrono::steady_clock::now() < end,
                          "timed out waiting until " << aWhat);
    std::this_thread::sleep_for(kPollInterval);
  }
}

void OverloadFixture::CheckRunning() {
  std::error_code ignored;
  BOOST_REQUIRE_MESSAGE(m_scheduler.running(ignored), "the process has ended");
}

void OverloadFixture::SampleDescriptors() {
  m_mostDescriptors =
      std::max(m_mostDescriptors, CountDescriptors(m_scheduler.id()));
}

bool OverloadFixture::HasTakenAll() const {
  // The kernel prints an address as a number in the order of the machine.
  const std::string local = fmt::format(
      "{:08X}:", htonl(boost::asio::ip::make_address_v4(m_ip).to_uint()));
  std::ifstream file("/proc/net/tcp");
  for (std::string line; std::getline(file, line);) {
    std::istringstream fields(line);
    std::string number;
    std::string address;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> number >> address >> remote >> state >> queues;
    // The second one holds bytes to read, or connections to accept.
    if (address.starts_with(local) && !queues.ends_with(":00000000")) {
      return false;
    }
  }
  return true;
}

void OverloadFixture::Run(Crowd& aCrowd) {
  WaitUntil("the process has read all or closed the connections",
            [&] { return aCrowd.SendSome() && HasTakenAll(); });
}

void OverloadFixture::AwaitClosed(Crowd& aCrowd) {
  WaitUntil("all clients are closed", [&] {
    aCrowd.SendSome();
    return aCrowd.CountOpen() == 0;
  });
}

int OverloadFixture::Call(const tcp::endpoint& aAddress,
                          const std::string& aMethod,
                          const std::string& aTarget,
                          const std::string& aBody) {
  HttpCall call;
  call.m_method = aMethod;
  call.m_target = aTarget;
  call.m_headers = {{"Host", "h.example"}, {"X-Deadline-Ms", "3000"}};
  call.m_body = aBody;
  int status = 0;
  const auto exchange = m_client.Call(
      aAddress, call, seconds(5), [&status](const CallOutcome& aOutcome) {
        if (aOutcome.m_stage == CallStage::CompleteReply) {
          status = aOutcome.m_reply.m_status;
        }
      });
  m_context.restart();
  m_context.run();
  return status;
}

bool OverloadFixture::IsReady() {
  return Call(Ready(), "GET", "/bronzeworks/readyz") == 200;
}

bool OverloadFixture::Submits() {
  return Call(Callers(), "POST", fmt::format("/queue/{:016x}", ++m_jobs),
              R"({"spec":"s","steps":[{"count":1,"cpu":1000,"mem_mb":10,)"
              R"("estimate_ms":100}]})") == 200;
}

void OverloadFixture::CheckServes() {
  WaitUntil("an ordinary request is answered", [this] { return Submits(); });
  WaitUntil("the process reports itself ready", [this] { return IsReady(); });
  CheckRunning();
  SampleDescriptors();
  const size_t peakMb = PeakMemoryMb(m_scheduler.id());
  BOOST_TEST_MESSAGE("peak memory " << peakMb << " MB, most descriptors "
                                    << m_mostDescriptors);
  BOOST_TEST(peakMb < kMemoryMb);
  BOOST_TEST(m_mostDescriptors <= kMaxDescriptors);
}

}  // namespace bronze

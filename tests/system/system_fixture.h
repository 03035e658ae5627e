/**
 * @file system_fixture.h Runs the stand-in and daemons as real processes.
 *
 * Tests wait for a state, never for a fixed time. A wait longer than kMaxWait
 * fails the test, so that none hangs. The limit is far longer than any state
 * should take, so that a busy machine does not fail a test.
 */

#ifndef BRONZE_TESTS_SYSTEM_SYSTEM_FIXTURE_H_
#define BRONZE_TESTS_SYSTEM_SYSTEM_FIXTURE_H_

#include <sys/types.h>

#include <boost/process/child.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/http_client.h"

namespace bronze {

inline constexpr std::chrono::seconds kMaxWait{60};

/** Addresses on which a daemon listens. */
struct DaemonAddresses {
  std::string m_callers;
  std::string m_operators;
  std::string m_peers;
};

struct Answer {
  int m_status = 0;  ///< HTTP status; 0: no complete answer.
  std::string m_body;
  std::string m_error;  ///< Why there is no complete answer.

  /** @return the parsed body; fails the test if it is not JSON. */
  [[nodiscard]] nlohmann::json Json() const;
};

class SystemFixture {
 public:
  SystemFixture();
  /** Kills all processes that it has started. After a failure, prints how each
   *  of them is and the end of its log. */
  ~SystemFixture();
  SystemFixture(const SystemFixture&) = delete;
  SystemFixture& operator=(const SystemFixture&) = delete;

  void StartStandin(const std::vector<std::string>& aOptions);

  /** Starts a daemon and adds its addresses to the stand-in's VM list. */
  void StartDaemon(const std::string& aVm, const std::string& aDataCentre);

  /** Starts entry-1 to entry-N, spread over three data centres. */
  void StartDaemons(int aCount);

  /** Pushes a small configuration and waits until all daemons are ready. */
  void PushConfiguration();

  /** Sends a signal to a daemon; after SIGKILL, waits for its exit. */
  void Signal(const std::string& aVm, int aSignal);

  /** Waits until a daemon exits. @return its exit code. */
  int WaitForExit(const std::string& aVm);

  [[nodiscard]] bool IsRunning(const std::string& aVm);

  /** Starts an exited daemon again; its addresses change. */
  void RestartDaemon(const std::string& aVm);

  [[nodiscard]] const DaemonAddresses& Addresses(const std::string& aVm) const;
  [[nodiscard]] const std::string& Platform() const { return m_platform; }

  Answer Call(const std::string& aAddress, const std::string& aMethod,
              const std::string& aTarget, const std::string& aBody = "",
              const HttpHeaders& aHeaders = {});

  /** Starts a call; its handler runs during RunCalls(). */
  void StartCall(const std::string& aAddress, const std::string& aMethod,
                 const std::string& aTarget, const std::string& aBody,
                 const HttpHeaders& aHeaders,
                 std::function<void(Answer)> aDone);

  /** Runs the started calls until all have ended. */
  void RunCalls();

  /** Sends a GET call to the operator interface of a daemon. */
  Answer Operator(const std::string& aVm, const std::string& aTarget);

  /** Switches a fault of the stand-in on or off, or changes it. */
  void SetFault(const nlohmann::json& aFault);

  /** @return the stand-in's counters. */
  [[nodiscard]] nlohmann::json Counts();

  /** Waits until aState returns true; fails the test after kMaxWait. */
  void WaitUntil(const std::string& aWhat, const std::function<bool()>& aState);

  /** Fails the test if the stand-in has counted a violation. */
  void CheckInvariants();

 private:
  struct Process {
    std::unique_ptr<boost::process::child> m_child;
    std::string m_dataCentre;
    std::filesystem::path m_log;
    DaemonAddresses m_addresses;
  };

  void PrintProcesses();
  void Launch(const std::string& aVm);
  void Register(const std::string& aVm);

  std::filesystem::path m_folder;
  boost::asio::io_context m_context;
  HttpClient m_client;
  std::unique_ptr<boost::process::child> m_standin;
  std::string m_platform;
  std::map<std::string, Process> m_daemons;
};

}  // namespace bronze

#endif  // BRONZE_TESTS_SYSTEM_SYSTEM_FIXTURE_H_

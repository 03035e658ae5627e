/**
 * @file overload_fixture.h Runs bronze-scheduler as a process with low limits,
 * beside a stand-in store and runner in the test's own process.
 *
 * The checks depend on no time: a wait longer than kMaxWait fails the test, and
 * is far longer than any state should take.
 */

#ifndef BRONZE_TESTS_OVERLOAD_OVERLOAD_FIXTURE_H_
#define BRONZE_TESTS_OVERLOAD_OVERLOAD_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <boost/process/child.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <string>

#include "crowd.h"
#include "net/http_client.h"
#include "standin/row_store.h"

namespace bronze {

inline constexpr std::chrono::seconds kMaxWait{60};

class OverloadFixture {
 public:
  /** Starts the process and waits until it answers an ordinary request. */
  OverloadFixture();
  /** Kills the process; after a failure, prints the end of its log. */
  ~OverloadFixture();
  OverloadFixture(const OverloadFixture&) = delete;
  OverloadFixture& operator=(const OverloadFixture&) = delete;

  [[nodiscard]] boost::asio::ip::tcp::endpoint Callers() const;
  [[nodiscard]] boost::asio::ip::tcp::endpoint Ready() const;
  [[nodiscard]] boost::asio::ip::tcp::endpoint Metrics() const;

  /** Lets the clients send until each has sent all or is closed, and the
   *  process has read it. */
  void Run(Crowd& aCrowd);
  /** Lets the clients send until the server has closed all connections. */
  void AwaitClosed(Crowd& aCrowd);

  /** Checks that the process lives, that its memory and its descriptors have
   *  stayed within the limits of its settings, and that it answers an ordinary
   *  request and reports itself ready. */
  void CheckServes();

 private:
  void WriteSettings();
  void PrintLog();
  void WaitUntil(const std::string& aWhat, const std::function<bool()>& aState);
  void CheckRunning();
  /** Whether the kernel holds no bytes and no connection that the process has
   *  not taken. */
  [[nodiscard]] bool HasTakenAll() const;
  void SampleDescriptors();
  /** @return the status; 0 if there was no complete answer. */
  int Call(const boost::asio::ip::tcp::endpoint& aAddress,
           const std::string& aMethod, const std::string& aTarget,
           const std::string& aBody = "");
  [[nodiscard]] bool IsReady();
  /** Submits a job, each time another one. @return whether it was accepted. */
  [[nodiscard]] bool Submits();

  ThreadPool m_threads;
  standin::RowStore m_store;
  standin::FakeRunner m_runner;
  boost::asio::io_context m_context;
  HttpClient m_client;
  std::filesystem::path m_folder;
  /** Its own for each process, as the port for metrics is fixed. */
  std::string m_ip;
  boost::process::child m_scheduler;
  size_t m_mostDescriptors = 0;  ///< Of the process, as seen so far.
  uint64_t m_jobs = 0;           ///< Submitted so far.
};

}  // namespace bronze

#endif  // BRONZE_TESTS_OVERLOAD_OVERLOAD_FIXTURE_H_

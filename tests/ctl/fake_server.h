/**
 * @file fake_server.h HTTP server with prepared answers for tests of bronzectl.
 */

#ifndef BRONZE_TESTS_CTL_FAKE_SERVER_H_
#define BRONZE_TESTS_CTL_FAKE_SERVER_H_

#include <filesystem>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include "core/metrics/counter_type.h"
#include "ctl/ctl_run.h"
#include "net/http_server.h"
#include "net/thread_pool.h"

namespace bronze {

/**
 * Answers each "METHOD target" as prepared by the test, and others with
 * unknown_route.
 */
class FakeServer {
 public:
  FakeServer();
  ~FakeServer();
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  void Answer(const std::string& aCall, int aStatus, std::string aBody);
  /** Reads such a call and never answers it. */
  void LeaveUnanswered(const std::string& aCall);
  /** Reads such a call and closes the connection. */
  void CloseConnection(const std::string& aCall);

  [[nodiscard]] const std::string& Address() const { return m_address; }
  /** @return "METHOD target" of all calls so far, in order of arrival. */
  [[nodiscard]] std::vector<std::string> Calls();
  [[nodiscard]] HttpCall LastCall();

 private:
  struct Prepared {
    int m_status = 0;  ///< HTTP status; kUnanswered or kClosed: no answer.
    std::string m_body;
  };
  static constexpr int kUnanswered = 0;
  static constexpr int kClosed = -1;

  void Handle(HttpCall aCall, std::shared_ptr<HttpResponder> aResponder);

  std::mutex m_mutex;  ///< Guards m_answers, m_calls and m_unanswered.
  std::map<std::string, Prepared> m_answers;
  std::vector<HttpCall> m_calls;
  std::vector<std::shared_ptr<HttpResponder>> m_unanswered;
  Counters m_counters;
  ThreadPool m_threads;
  std::unique_ptr<HttpServer> m_server;
  std::string m_address;
};

/** Temporary folder, removed by the destructor. */
class TestFolder {
 public:
  TestFolder();
  ~TestFolder();
  TestFolder(const TestFolder&) = delete;
  TestFolder& operator=(const TestFolder&) = delete;

  void Write(const std::string& aName, const std::string& aText) const;
  [[nodiscard]] std::string Read(const std::string& aName) const;
  [[nodiscard]] std::string Path(const std::string& aName = {}) const;

 private:
  std::filesystem::path m_path;
};

/** Runs a command line with aServer as BRONZE_SERVER and without a token. */
[[nodiscard]] CtlResult RunAgainst(const std::string& aServer,
                                   std::vector<std::string> aArguments);

}  // namespace bronze

#endif  // BRONZE_TESTS_CTL_FAKE_SERVER_H_

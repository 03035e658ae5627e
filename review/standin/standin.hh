/**
 * @file standin.hh A small platform on loopback for the cases of the review: a
 * store of rows, runners, a client, and the processes of the system under test.
 *
 * All of it runs on one thread, in one io_context. It follows the users' pages;
 * where they are silent, it behaves like a sound store, runner or client.
 */

#ifndef REVIEW_STANDIN_H_
#define REVIEW_STANDIN_H_

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using Json = nlohmann::json;
using Request = http::request<http::string_body>;
/** Sends the answer; a call that is never answered stays silent. */
using Respond = std::function<void(int, std::string)>;

/** @return milliseconds since the start of the test. */
int64_t Now();

/** Appends a line to the record of the test. */
void Record(const std::string& aLine);
void OpenRecord(const std::string& aPath);

std::string Encode64(const std::string& aBytes);

asio::awaitable<void> Sleep(int64_t aMs);

/** An HTTP/1.1 server. */
class HttpHost {
 public:
  using Handler = std::function<void(const Request&, Respond)>;
  HttpHost(asio::io_context& aIo, const std::string& aIp, Handler aHandler);
  [[nodiscard]] std::string Address() const;
  /** Closes all connections; new ones are still accepted. */
  void CloseConnections();

 private:
  struct Session;
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(std::shared_ptr<Session> aSession);
  asio::io_context& m_io;
  tcp::acceptor m_acceptor;
  Handler m_handler;
  std::vector<std::weak_ptr<Session>> m_sessions;
};

struct HttpAnswer {
  int m_status = 0;  ///< 0: no complete answer.
  std::string m_body;
  std::string m_problem;
};

/** Makes one call on a new connection. */
asio::awaitable<HttpAnswer> Call(std::string aAddress, std::string aMethod,
                                 std::string aTarget, std::string aHost,
                                 std::string aBody, int64_t aTimeoutMs);

/** The platform's store of rows. */
class Store {
 public:
  Store(asio::io_context& aIo, const std::string& aIp);
  [[nodiscard]] std::string Address() const { return m_host.Address(); }

  void Put(const std::string& aTable, const std::string& aKey,
           const Json& aBody);
  void Remove(const std::string& aTable, const std::string& aKey);

  /** Down: 503 for each call, and nothing is done. */
  bool m_down = false;
  /** Factor of the time that answers take. */
  double m_slow = 1.0;
  /** Called after a transaction was carried out, before its answer. @return
   *  whether the answer is sent. */
  std::function<bool(const Json&)> m_onTransaction;

  uint64_t m_transactions = 0;
  uint64_t m_refusedTransactions = 0;  ///< 400: larger than allowed.

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string m_value;  ///< base64
    uint64_t m_version = 0;
  };
  struct Change {
    uint64_t m_version = 0;
    Key m_key;
    std::string m_value;
    bool m_deleted = false;
    int64_t m_at = 0;
  };
  struct Waiting {
    std::string m_table;
    uint64_t m_after = 0;
    Respond m_respond;
    std::shared_ptr<asio::steady_timer> m_timer;
  };
  void Handle(const Request& aRequest, Respond aRespond);
  void Transact(const Json& aBody, Respond aRespond);
  void ReadRange(const std::map<std::string, std::string>& aQuery,
                 Respond aRespond);
  void Feed(const std::map<std::string, std::string>& aQuery, Respond aRespond);
  bool AnswerFeed(const std::string& aTable, uint64_t aAfter, bool aEmptyToo,
                  const Respond& aRespond);
  void Apply(const Key& aKey, const std::string& aValue, bool aDeleted);
  void WakeFeeds();
  void Later(double aMs, std::function<void()> aDo);

  asio::io_context& m_io;
  HttpHost m_host;
  std::map<Key, Row> m_rows;
  std::deque<Change> m_history;
  uint64_t m_forgotten = 0;  ///< Newest version that the history lacks.
  uint64_t m_version = 100;
  std::map<std::string, int64_t> m_partFreeAt;  ///< In microseconds.
  std::list<Waiting> m_waiting;
};

/** What a task does at a runner, by the job's spec. */
struct Work {
  int64_t m_ms = 1000;
  std::string m_how = "done";
  int64_t m_cpu = 0;
  int64_t m_memory = 0;
  bool m_saves = false;  ///< It makes checkpoints.
  bool m_lasts = false;  ///< It ends only by a stop or with its lease.
};

/** One start of a task that a runner has carried out. */
struct Run {
  std::string m_runner;
  std::string m_task;
  uint64_t m_number = 0;
  Work m_work;
  int64_t m_startedAt = 0;
  int64_t m_endedAt = -1;
  std::string m_how;
  uint64_t m_end = 0;            ///< Number of its end.
  int64_t m_notedAt = -1;        ///< last_seen reached its end.
  bool m_lapsedBetween = false;  ///< The lease ended before that.
};

/** All jobs that the client handed in, and all that runners did. */
struct Book {
  std::map<std::string, Json> m_jobs;  ///< By id.
  std::vector<std::shared_ptr<Run>> m_runs;
  std::map<std::string, std::vector<std::shared_ptr<Run>>> m_byTask;

  /** The spec of a job is "MS how" for each step, separated by commas. */
  [[nodiscard]] Work WorkOf(const std::string& aTask) const;

  /** Rule TWICE: two runs of one task at a time, or a start after a run has
   *  ended done if that end is taken note of then or later. @return one line
   *  for each break. */
  [[nodiscard]] std::vector<std::string> CheckTwice() const;
  /** Rule BUDGET, for steps without speculative. */
  [[nodiscard]] std::vector<std::string> CheckBudget(size_t aAttempts) const;
};

struct RunnerOptions {
  std::string m_id;
  std::string m_rack = "r1";
  std::string m_kind = "a";
  int64_t m_cpu = 64000;
  int64_t m_memory = 256000;
  int64_t m_maxHoldMs = 6000;
  int64_t m_stopMs = 100;
};

/** One runner, with its entry in the store. */
class Runner {
 public:
  Runner(asio::io_context& aIo, const std::string& aIp, Store& aStore,
         Book& aBook, RunnerOptions aOptions);
  void Start();

  /** Cut off from the system and the store: it hears nothing, its answers are
   *  lost, and its entry goes after three heartbeats. What was sent meanwhile
   * on connections from before the cut arrives after it. */
  void SetCut(bool aCut);
  /** Lost for good: its runs end, it says nothing more, and its entry goes
   * after three heartbeats. */
  void Lose();
  [[nodiscard]] size_t Running() const { return m_running.size(); }
  /** Answers each start with 503 and does nothing (unhealthy). */
  bool m_sheds = false;
  uint64_t m_shed = 0;       ///< Starts refused so.
  size_t m_longestList = 0;  ///< Most ends that were not taken note of.

 private:
  struct Waiting {
    uint64_t m_id = 0;
    Respond m_respond;
    std::shared_ptr<asio::steady_timer> m_timer;
  };
  struct End {
    uint64_t m_number = 0;
    std::shared_ptr<Run> m_run;
  };
  asio::awaitable<void> Beat();
  asio::awaitable<void> Watch();
  [[nodiscard]] int64_t ClockMs() const;
  void Handle(const Request& aRequest, Respond aRespond);
  void Execute(const Request& aRequest, const Respond& aRespond);
  void HandleStart(const Json& aBody, const Respond& aRespond);
  void HandleStop(const Json& aBody, const Respond& aRespond);
  void HandleHold(const Json& aBody, const Respond& aRespond);
  void SendLists(const Respond& aRespond);
  void WakeHolds();
  void EndRun(const std::shared_ptr<Run>& aRun, const std::string& aHow);
  void Extend(const Json& aBody);
  [[nodiscard]] Json Base() const;

  asio::io_context& m_io;
  Store& m_store;
  Book& m_book;
  RunnerOptions m_options;
  HttpHost m_host;
  int64_t m_born = 0;
  int64_t m_bornAt = 0;
  uint64_t m_sequence = 0;
  uint64_t m_fence = 0;
  int64_t m_deadline = 0;
  bool m_cut = false;
  int64_t m_cutAt = 0;
  std::vector<Request> m_held;  ///< Calls that arrive after the cut.
  bool m_listed = false;
  std::map<std::string, std::shared_ptr<Run>> m_running;
  std::map<std::string, uint64_t> m_highest;  ///< Stopped or ended there.
  std::deque<End> m_ends;
  uint64_t m_lastEnd = 0;
  int64_t m_lastLapseAt = -1;
  std::list<Waiting> m_waiting;
  uint64_t m_nextWaiting = 0;
};

/** One entry VM of the system under test. */
class Node {
 public:
  Node(std::string aProgram, std::string aFolder, std::string aName,
       std::string aIp, std::string aStoreAddress, Json aBounds,
       double aCpuShare);
  void Start();
  void Kill(int aSignal);
  /** Reaps the process. @return whether it has ended by itself. */
  bool HasEnded();
  [[nodiscard]] std::string Front() const { return m_ip + ":8161"; }
  [[nodiscard]] std::string Ready() const { return m_ip + ":8167"; }
  [[nodiscard]] const std::string& Name() const { return m_name; }
  [[nodiscard]] const std::string& Ip() const { return m_ip; }
  [[nodiscard]] bool IsRunning() const { return m_pid > 0; }
  [[nodiscard]] int LastStatus() const { return m_status; }

 private:
  std::string m_program;
  std::string m_folder;
  std::string m_name;
  std::string m_ip;
  int m_pid = 0;
  int m_status = 0;
};

/** What each case starts with. */
class Deployment {
 public:
  /** With the bounds of one of the users' two small sites. */
  Deployment(asio::io_context& aIo, size_t aNodes, const std::string& aSite);
  ~Deployment();
  /** Starts the processes and waits until all report themselves ready. */
  asio::awaitable<bool> Begin();
  Runner& AddRunner(RunnerOptions aOptions);
  void PutConfig(int aVersion, int aAttempts);
  /** Hands a job in once. */
  asio::awaitable<HttpAnswer> Submit(size_t aNode, std::string aId, Json aJob,
                                     int64_t aTimeoutMs = 3000);
  /** Hands a job in as the pages tell, until it is accepted. */
  asio::awaitable<bool> SubmitUntilAccepted(std::string aId, Json aJob);
  asio::awaitable<HttpAnswer> LookUp(size_t aNode, std::string aId,
                                     int64_t aTimeoutMs = 3000);
  /** @return the node whose process has stored a change of a cell last. */
  [[nodiscard]] Node* NodeAt(const std::string& aName);
  /** Names the owner of the cell by the log lines of the processes. */
  Node* FindOwner();

  asio::io_context& m_io;
  std::string m_base;    ///< First three bytes of all addresses.
  std::string m_folder;  ///< Of settings and logs.
  Book m_book;
  std::unique_ptr<Store> m_store;
  std::vector<std::unique_ptr<Runner>> m_runners;
  std::vector<std::unique_ptr<Node>> m_nodes;
  Json m_bounds;
  double m_cpuShare = 0.25;
  int64_t m_maxHoldMs = 6000;
};

/** Runs the scenario; @return the exit code of the test. */
int RunCase(const std::function<asio::awaitable<int>(asio::io_context&, bool)>&
                aScenario);

}  // namespace review

#endif  // REVIEW_STANDIN_H_

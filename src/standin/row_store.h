/**
 * @file row_store.h Simulates the platform's row store and one of its runners
 * over HTTP on loopback, with faults that tests can inject.
 */

#ifndef BRONZE_STANDIN_ROW_STORE_H_
#define BRONZE_STANDIN_ROW_STORE_H_

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "net/http_server.h"

namespace bronze::standin {

/** Limits of the store, as published. A transaction beyond one is answered with
 *  400, and nothing is written. */
struct RowStoreLimits {
  size_t m_rowBytes = 65536;     ///< Of a value.
  size_t m_nameBytes = 200;      ///< Of a table, a part or a key.
  size_t m_callEntries = 100;    ///< Of a transaction.
  size_t m_callBytes = 1000000;  ///< Of a transaction as sent.
  size_t m_tables = 100;
  size_t m_answerRows = 500;
  size_t m_answerBytes = 1000000;  ///< Of the rows in an answer.
};

/** Faults of the row store that are active. */
struct RowStoreFaults {
  bool m_refusesCalls = false;  ///< Answers every call with 503.
  bool m_losesAnswers = false;  ///< Carries out transactions, but leaves those
                                ///< unanswered that are even-numbered calls.
  bool m_refusesOldVersions =
      false;                    ///< Answers the next read of changes with 410.
  uint64_t m_refusesEach = 0;   ///< Answers each call with this number, and its
                                ///< multiples, with 429; 0: none.
  uint64_t m_refusedInRow = 1;  ///< Calls that m_refusesEach refuses each time.
  int m_refusedServer = -1;  ///< Index of a server that answers 503; -1: none.

  /** Carries out transactions, but answers every other one with this status; 0:
   *  none. */
  int m_gatewayStatus = 0;
  Duration m_commitDelay{};  ///< From a transaction to its answer.
  /** Answers transactions that put a row with this key with 400. */
  std::string m_rejectedKey;
  /** Leaves the first transaction that puts a row with this key unanswered, and
   *  answers its repetitions with 403. */
  std::string m_lostKey;
  Duration m_lostDelay{};  ///< Until that first one is carried out.
  /** Answers reads of this table, and waits for its changes, with 503. */
  std::string m_unreadableTable;
};

/** Faults of the runner that are active. */
struct FakeRunnerFaults {
  bool m_losesStartAnswers = false;  ///< Carries out starts without an answer.
  bool m_failsTasks = false;         ///< Ends tasks as failed.
  bool m_refusesStarts = false;      ///< Answers starts with 503.
  Duration m_startDelay{};           ///< From a start to its answer.
  /** Ends all runs as stopped, with a checkpoint of this length; 0: none. */
  size_t m_stopsWithCheckpoint = 0;
};

/** One run of a task on a FakeRunner; times in ms of its clock. */
struct RunRecord {
  std::string m_task;
  uint64_t m_number = 0;
  int64_t m_startedAt = 0;
  int64_t m_endedAt = INT64_MAX;  ///< INT64_MAX: it runs.
  std::string m_kind;             ///< How it ended; empty: it runs.
  std::string m_checkpoint;       ///< That it began with.
};

/** A row store in memory, with one version counter for all rows. */
class RowStore {
 public:
  explicit RowStore(ThreadPool& aThreads);

  /** Opens a further server, with the next index. @return its address. */
  [[nodiscard]] boost::asio::ip::tcp::endpoint Listen();

  void SetFaults(RowStoreFaults aFaults);

  /** Writes a row directly, as the platform's operators and runners do. */
  void Put(const std::string& aTable, const std::string& aPart,
           const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aPart,
              const std::string& aKey);

  /** @return the row's value; empty if there is no such row. */
  [[nodiscard]] std::string Value(const std::string& aTable,
                                  const std::string& aPart,
                                  const std::string& aKey);
  [[nodiscard]] size_t CountRows(const std::string& aTable);
  /** @return the number of transactions beyond a limit or malformed. */
  [[nodiscard]] uint64_t InvalidTransactions();

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string m_value;
    uint64_t m_version = 0;
    bool m_deleted = false;
  };

  void Handle(int aFront, size_t aThread, const HttpCall& aCall,
              const std::shared_ptr<HttpResponder>& aResponder);
  /** Sets a row, and keeps the change for those that wait for changes. */
  void Write(const Key& aKey, const Row& aRow);
  HttpReply Transact(const HttpCall& aCall);
  /** @return the status of a transaction that the store does not accept,
   *  whatever its rows contain; 0: it does. */
  [[nodiscard]] int RefusalOf(const HttpCall& aCall,
                              const nlohmann::json& aBody) const;
  /** Handles a transaction with a row of m_lostKey. @return whether it did. */
  bool LoseTransaction(size_t aThread, const HttpCall& aCall,
                       const std::shared_ptr<HttpResponder>& aResponder);
  /** Answers a transaction, with the faults of such answers. */
  void ReplyToTransaction(size_t aThread, HttpReply aReply,
                          const std::shared_ptr<HttpResponder>& aResponder);
  HttpReply ReadRange(const HttpCall& aCall);
  /** Answers with all changes since the version in the call, not only with the
   *  newest of each row, up to the limits of an answer. The version in a
   * partial answer is that of its last row, and nothing else marks it.
   *  @return false if no row has changed. */
  bool ReadChanges(const HttpCall& aCall, HttpReply& aReply);
  /** Answers once a row has changed, or after aPollsLeft further polls. */
  void AwaitChanges(size_t aThread, const HttpCall& aCall,
                    const std::shared_ptr<HttpResponder>& aResponder,
                    int aPollsLeft);

  ThreadPool& m_threads;
  Counters m_counters;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
  std::mutex m_mutex;  ///< Guards all below.
  std::map<Key, Row> m_rows;
  std::vector<std::pair<Key, Row>> m_changes;  ///< All, in their order.
  uint64_t m_version = 0;
  RowStoreLimits m_limits;
  uint64_t m_invalidTransactions = 0;
  RowStoreFaults m_faults;
  uint64_t m_calls = 0;
  bool m_lostFirst = false;         ///< The first one of m_lostKey has come.
  uint64_t m_callsWhileLosing = 0;  ///< Calls while m_losesAnswers is set.
  uint64_t m_transactionsWhileGateway = 0;  ///< While m_gatewayStatus is set.
};

/** Simulates one runner, which runs each task for a fixed time. */
class FakeRunner {
 public:
  FakeRunner(ThreadPool& aThreads, Duration aTaskTime);

  [[nodiscard]] boost::asio::ip::tcp::endpoint Listen();
  void SetFaults(FakeRunnerFaults aFaults);

  /** Raises the fence as a later owner would; older owners are refused. */
  void RaiseFence();

  /** @return the number of starts carried out, by task. */
  [[nodiscard]] std::map<std::string, int> Starts();
  /** @return the highest number of concurrent runs of any one task. */
  [[nodiscard]] int MaxConcurrentRuns();
  /** @return all runs, in the order of their starts. */
  [[nodiscard]] std::vector<RunRecord> Runs();
  /** @return the number of the last end that a caller has acknowledged. */
  [[nodiscard]] uint64_t LastAcknowledgedEnd();

 private:
  struct Run {
    uint64_t m_number = 0;
    int64_t m_endsAt = 0;  ///< In ms of its clock.
    size_t m_record = 0;   ///< Index in m_runs.
  };
  /** The end of a run, reported until a caller acknowledges it. */
  struct End {
    uint64_t m_number = 0;
    std::string m_task;
    uint64_t m_run = 0;
    std::string m_kind;
    std::string m_checkpoint;
  };

  HttpReply Handle(const HttpCall& aCall, bool& aLoseAnswer);
  /** Answers a call, with the faults of such answers. */
  void ReplyTo(const HttpCall& aCall, HttpReply aReply,
               const std::shared_ptr<HttpResponder>& aResponder);
  /** Ends the runs whose time is over or whose lease has ended. */
  void Advance();
  void EndRun(const std::string& aTask, const std::string& aKind,
              int64_t aEndedAt, std::string aCheckpoint = "");

  ThreadPool& m_threads;
  Duration m_taskTime;
  Counters m_counters;
  std::unique_ptr<HttpServer> m_server;
  std::mutex m_mutex;  ///< Guards all below.
  FakeRunnerFaults m_faults;
  uint64_t m_fence = 0;    ///< Highest seen; calls with lower ones get 409.
  int64_t m_deadline = 0;  ///< End of the lease, in ms of its clock.
  std::map<std::string, Run> m_running;
  std::map<std::string, uint64_t> m_highestEnded;
  std::deque<End> m_ends;
  uint64_t m_lastEnd = 0;
  uint64_t m_acknowledged = 0;
  std::map<std::string, int> m_starts;
  std::vector<RunRecord> m_runs;  ///< Of all tasks, also those that run.
  int m_maxConcurrentRuns = 0;
};

}  // namespace bronze::standin

#endif  // BRONZE_STANDIN_ROW_STORE_H_

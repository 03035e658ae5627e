/**
 * @file cell_owner.h Schedules one cell while this daemon owns it: commits its
 * state to the store, sends orders and lease renewals to runners, and answers
 * callers once their change is stored.
 *
 * Everything runs on the control thread. Each transaction expects the owner row
 * in the version that the previous one wrote. Once another daemon has claimed
 * the cell by rewriting that row, all later transactions of this owner fail.
 */

#ifndef BRONZE_SCHEDULER_CELL_OWNER_H_
#define BRONZE_SCHEDULER_CELL_OWNER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>

#include "codec/job_cbor.h"
#include "codec/peer_call_cbor.h"
#include "core/metrics/histogram_type.h"
#include "core/sched/commit_cmd.h"
#include "core/sched/live_config_type.h"
#include "platform/advice_client.h"
#include "platform/runner_client.h"
#include "platform/store_client.h"
#include "scheduler/event_log.h"
#include "scheduler/table_watch.h"

namespace bronze {

/** Tables and keys of the scheduler's rows in the store. */
inline constexpr char kOwnerTable[] = "cell";
inline constexpr char kOwnerKey[] = "owner";
inline constexpr char kJobTable[] = "job";
inline constexpr char kStateTable[] = "state";
inline constexpr char kInterferenceTable[] = "harm";
inline constexpr char kInterferenceKey[] = "images";

/** @return the part (partition) of the store that holds the cell's rows. */
[[nodiscard]] std::string PartOf(CellId aCell);

using AnswerHandler = std::function<void(PeerAnswer)>;

class CellOwner : public std::enable_shared_from_this<CellOwner> {
 public:
  CellOwner(boost::asio::io_context& aContext, StoreClient& aStore,
            RunnerClient& aRunners, AdviceClient& aAdvisor, EventLog& aLog,
            CellId aCell, OwnerRow aOwnerRow, RowVersion aOwnerVersion,
            const sched::CellSettings& aSettings,
            std::function<void()> aOnLost);

  /** Loads the stored state, then starts to schedule. */
  void Start();

  void SetSettings(const sched::CellSettings& aSettings);

  /** Applies the configuration in force. */
  void SetConfig(const sched::LiveConfig& aConfig);

  /** Answers the call at once, or when the change it made is stored. */
  void Handle(PeerCall aCall, AnswerHandler aHandler);

  /** Commits all changes, removes this owner from the owner row, then calls
   *  aDone. */
  void Release(std::function<void()> aDone);

  /** Stops without another commit, and fails the calls that still wait. */
  void Abandon();

  [[nodiscard]] const sched::Cell& State() const { return m_cell; }
  [[nodiscard]] const LatencyHistogram& CommitTimes() const {
    return m_commitTimes;
  }
  [[nodiscard]] bool IsScheduling() const { return m_loaded && !m_ended; }

 private:
  /** A call to answer once a version of its job is stored. */
  struct Waiter {
    uint64_t m_version = 0;
    TimePoint m_deadline;
    AnswerHandler m_handler;
  };

  void LoadInterference();
  void OnInterference(const RowsResult& aResult);
  void LoadStates(std::string aFrom);
  void OnStates(RowsResult aResult);
  void LoadJobs(std::string aFrom);
  void OnJobs(RowsResult aResult);
  void RestoreUnresponsive();
  void BeginScheduling();
  void OnRunnerRow(const StoreRow& aRow);

  void RequestPass();
  void RunPass();
  void Tick();
  void SendOrders();
  void SendOrder(const sched::StartOrder& aOrder);
  void SendOrder(const sched::StopOrder& aOrder);
  void SendOrder(const sched::PaceOrder& aOrder);
  void SendOrder(const sched::AdviceOrder& aOrder);
  void SendOrder(const sched::Decision& aDecision);
  void SendRenewals();
  [[nodiscard]] RunnerTarget TargetOf(sched::RunnerIndex aRunner) const;
  [[nodiscard]] bool HasAuthority(TimePoint aNow) const;
  /** Gives up the cell if the runner refused the order because it has seen a
   *  higher fencing token. @return whether it did. */
  bool StepDownIfFenced(const RunnerTarget& aTarget, sched::RunnerIndex aRunner,
                        sched::OrderOutcome aOutcome);

  void StartCommit();
  /** @return the unresponsive runners of m_commit, with their lease ends on the
   *          store's clock. */
  [[nodiscard]] std::vector<UnresponsiveRunnerRow> UnresponsiveRows() const;
  void SendCommit();
  void OnCommitted(TransactionResult aResult);
  void FinishCommit(RowVersion aVersion);
  void AnswerWaiters();
  void FailWaiters(const Error& aError, bool aOnlyExpired);
  /** Withdraws new jobs that were never sent to the store, and tells their
   *  callers that these jobs will not run. */
  void RefuseUnstored(bool aCommitUnderWay);
  void WaitFor(const sched::DurableVersion& aWhen, const PeerCall& aCall,
               AnswerHandler aHandler);
  void LoseCell(std::string_view aReason);

  StoreClient& m_store;
  RunnerClient& m_runners;
  AdviceClient& m_advisor;
  EventLog& m_log;
  CellId m_cellId;
  std::string m_part;
  OwnerRow m_ownerRow;        ///< Owner row as last written.
  RowVersion m_ownerVersion;  ///< Version of m_ownerRow in the store.
  std::function<void()> m_onLost;
  boost::asio::io_context& m_context;
  boost::asio::steady_timer m_tickTimer;
  boost::asio::steady_timer m_commitTimer;
  std::shared_ptr<TableWatch> m_runnerWatch;

  sched::Cell m_cell;
  std::map<JobId, sched::StoredState> m_loadedStates;  ///< While loading.
  size_t m_loadedJobs = 0;
  bool m_loaded = false;
  bool m_ended = false;
  bool m_passRequested = false;

  sched::Commit m_commit;          ///< Changes in m_transaction.
  StoreTransaction m_transaction;  ///< Of m_commit; repeated until settled.
  bool m_commitPending = false;
  bool m_commitOutcomeUnknown = false;  ///< A try got no answer.
  bool m_lastCommitTryFailed = false;   ///< The last try of a commit failed.
  TimePoint m_commitNotBefore;          ///< Next commit after a refused one.
  uint32_t m_commitTries = 0;
  TimePoint m_commitBegunAt;
  TimePoint m_commitSentAt;
  TimePoint m_lastCommitSentAt;    ///< Of the last acknowledged commit.
  LatencyHistogram m_commitTimes;  ///< First try to acknowledgement.
  bool m_authorityLapsed = false;  ///< The loss of authority was logged.
  std::multimap<JobId, Waiter> m_waiters;
  std::function<void()> m_onReleased;  ///< Set once Release was called.
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_CELL_OWNER_H_

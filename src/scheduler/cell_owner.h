/**
 * @file cell_owner.h Runs one cell while this daemon owns it: commits to the
 * store, renewals and orders to runners, and callers that wait for a commit.
 *
 * Everything happens on the control thread. Each transaction expects the owner
 * row in the version that the previous one wrote, so a successor that has
 * rewritten the row shuts out all that is still under way.
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

/** Tables of this project in the store. */
inline constexpr char kOwnerTable[] = "cell";
inline constexpr char kOwnerKey[] = "owner";
inline constexpr char kJobTable[] = "job";
inline constexpr char kStateTable[] = "state";
inline constexpr char kHarmTable[] = "harm";
inline constexpr char kHarmKey[] = "images";

[[nodiscard]] std::string PartOf(CellId aCell);

using AnswerHandler = std::function<void(PeerAnswer)>;

class CellOwner : public std::enable_shared_from_this<CellOwner> {
 public:
  CellOwner(boost::asio::io_context& aContext, StoreClient& aStore,
            RunnerClient& aRunners, AdviceClient& aAdvisor, EventLog& aLog,
            CellId aCell, OwnerRow aOwnerRow, RowVersion aOwnerVersion,
            const sched::CellSettings& aSettings,
            std::function<void()> aOnLost);

  /** Loads the stored jobs, then begins to act. */
  void Start();

  void SetSettings(const sched::CellSettings& aSettings);

  /** A configuration is in force on this VM. */
  void SetConfig(const sched::LiveConfig& aConfig);

  /** Answers the call; at once or when what it needs is durable. */
  void Handle(PeerCall aCall, AnswerHandler aHandler);

  /** Writes what is open, releases the cell, then calls aDone. */
  void Release(std::function<void()> aDone);

  /** Ends without another write: another daemon owns the cell. */
  void Abandon();

  [[nodiscard]] const sched::Cell& State() const { return m_cell; }
  [[nodiscard]] const LatencyHistogram& CommitTimes() const {
    return m_commitTimes;
  }
  [[nodiscard]] bool IsActing() const { return m_loaded && !m_ended; }

 private:
  struct Waiter {
    uint64_t m_version = 0;
    TimePoint m_deadline;
    AnswerHandler m_handler;
  };

  void LoadHarm();
  void OnHarm(const RowsResult& aResult);
  void LoadStates(std::string aFrom);
  void OnStates(RowsResult aResult);
  void LoadJobs(std::string aFrom);
  void OnJobs(RowsResult aResult);
  void RestoreSilent();
  void BeginActing();
  void OnRunnerRow(const StoreRow& aRow);

  void SchedulePump();
  void Pump();
  void Tick();
  void SendOrders();
  void SendOrder(const sched::StartOrder& aOrder);
  void SendOrder(const sched::StopOrder& aOrder);
  void SendOrder(const sched::PaceOrder& aOrder);
  void SendOrder(const sched::AdviceOrder& aOrder);
  void SendOrder(const sched::Decision& aDecision);
  void SendHolds();
  [[nodiscard]] RunnerTarget TargetOf(sched::RunnerIndex aRunner) const;
  [[nodiscard]] bool HasAuthority(TimePoint aNow) const;
  /** @return whether the outcome shows that this daemon is no longer the owner.
   */
  bool StepsDown(const RunnerTarget& aTarget, sched::RunnerIndex aRunner,
                 sched::OrderOutcome aOutcome);

  void StartCommit();
  /** The silent runners of m_commit, by the store's clock. */
  [[nodiscard]] std::vector<SilentRow> SilentRows() const;
  void SendCommit();
  void OnCommitted(TransactionResult aResult);
  void FinishCommit(RowVersion aVersion);
  void AnswerWaiters();
  void FailWaiters(const Error& aError, bool aOnlyExpired);
  /** Tells callers whose jobs were never sent to the store that they never run.
   */
  void RefuseUnstored(bool aCommitUnderWay);
  void WaitFor(const sched::StoredWhen& aWhen, const PeerCall& aCall,
               AnswerHandler aHandler);
  void LoseCell(std::string_view aReason);

  StoreClient& m_store;
  RunnerClient& m_runners;
  AdviceClient& m_advisor;
  EventLog& m_log;
  CellId m_cellId;
  std::string m_part;
  OwnerRow m_ownerRow;        ///< As last written.
  RowVersion m_ownerVersion;  ///< Of that row.
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
  bool m_pumpPending = false;

  sched::Commit m_commit;          ///< Under way.
  StoreTransaction m_transaction;  ///< Of m_commit; sent until it is settled.
  bool m_commitPending = false;
  bool m_commitUnknown = false;  ///< A try of m_transaction had no answer.
  bool m_storeFails = false;     ///< The last try of a commit failed.
  TimePoint m_commitNotBefore;   ///< Pause after a refusal.
  uint32_t m_commitTries = 0;
  TimePoint m_commitBegunAt;
  TimePoint m_commitSentAt;
  TimePoint m_lastCommitSentAt;    ///< Of the last one that was acknowledged.
  LatencyHistogram m_commitTimes;  ///< From the first try to the answer.
  bool m_storeLost = false;
  std::multimap<JobId, Waiter> m_waiters;
  std::function<void()> m_onReleased;  ///< Set while the cell is handed over.
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_CELL_OWNER_H_

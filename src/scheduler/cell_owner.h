/**
 * @file cell_owner.h Schedules one cell while this daemon owns it: commits its
 * state to the store, sends orders and lease renewals to runners, and answers
 * callers once their change is stored.
 *
 * Everything runs on the control thread. Each transaction expects the owner row
 * in the version that the previous one wrote. Once another daemon has claimed
 * the cell by rewriting that row, all later transactions of this owner fail.
 * Starts are sent only with authority, which each acknowledged heartbeat gives
 * for a time (owner_timing.h).
 */

#ifndef BRONZE_SCHEDULER_CELL_OWNER_H_
#define BRONZE_SCHEDULER_CELL_OWNER_H_

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "codec/cell_row_cbor.h"
#include "codec/job_cbor.h"
#include "codec/peer_call_cbor.h"
#include "core/metrics/histogram_type.h"
#include "core/sched/admission_func.h"
#include "core/sched/commit_cmd.h"
#include "core/sched/commit_tries_func.h"
#include "core/sched/handover_func.h"
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
inline constexpr char kLayoutPart[] = "layout";
inline constexpr char kLayoutKey[] = "cells";
inline constexpr char kHeartbeatTable[] = "beat";
inline constexpr char kJobTable[] = "job";
inline constexpr char kStateTable[] = "state";
inline constexpr char kTaskTable[] = "tasks";  ///< Blocks of divided jobs.
inline constexpr char kRouteTable[] = "route";
inline constexpr char kInterferenceTable[] = "harm";
inline constexpr char kInterferenceKey[] = "images";

/** @return the part (partition) of the store that holds the cell's rows. */
[[nodiscard]] std::string PartOf(CellId aCell);

using AnswerHandler = std::function<void(PeerAnswer)>;
/** Sends a call to the owner of its cell. */
using PeerCaller = std::function<void(PeerCall, AnswerHandler)>;

/** How cells changed their owners, for the metrics of this VM. */
struct OwnershipCounts {
  std::map<std::string, uint64_t> m_deferredClaims;  ///< By reason.
  uint64_t m_leftClaims = 0;  ///< Deferred, then claimed by another VM.
  std::map<std::string, uint64_t> m_handovers;  ///< As owner, by result.
  std::map<std::string, uint64_t> m_requests;   ///< As asker, by result.
};

/** What an owner uses to reach other processes. */
struct OwnerLinks {
  StoreClient& m_store;
  RunnerClient& m_runners;
  AdviceClient& m_advisor;
  PeerCaller m_callPeer;
  OwnershipCounts& m_counts;
};

struct OwnerSettings {
  sched::CellSettings m_cell;
  /** Starts are sent only if the list of runners is no older than this, as a
   *  runner may have said that it leaves. */
  Duration m_maxListingAge = milliseconds(1200);
  /** The same for the operators' requests; not set: they are applied as they
   *  come, and their age does not count. */
  std::optional<Duration> m_maxRequestAge;
};

/** What the operators ask for beside the configuration. */
struct OperatorRequests {
  std::set<DataCentreId> m_evacuations;  ///< Data centres to be evacuated.
  /** All requests up to this time are included; zero: none was read yet. */
  TimePoint m_confirmedAt;
};

/** One ownership of a cell, as claimed. */
struct OwnerTerm {
  CellId m_cell;
  sched::CellLayout m_layout;
  OwnerRow m_row;
  RowVersion m_version;           ///< Of m_row in the store.
  RowVersion m_heartbeatVersion;  ///< Of the heartbeat row, as last read.
  TimePoint m_heartbeatReadAt;    ///< When that version was first read.
  OwnerRow m_previousRow;         ///< That the claim replaced.
};

/** A transaction holds at most 100 entries. Two are for the owner row: its
 *  expected version and its new value. */
inline constexpr size_t kMaxRowsPerCommit = 98;

class CellOwner : public std::enable_shared_from_this<CellOwner> {
 public:
  CellOwner(boost::asio::io_context& aContext, OwnerLinks aLinks,
            EventLog& aLog, OwnerTerm aTerm, const OwnerSettings& aSettings,
            std::function<void()> aOnLost);

  /** Loads the stored state, then starts to schedule. */
  void Start();

  void SetSettings(const OwnerSettings& aSettings);

  /** Applies the configuration in force. */
  void SetConfig(const sched::LiveConfig& aConfig);

  /** Applies the operators' requests. */
  void SetRequests(const OperatorRequests& aRequests);

  /** Sets the published loads of all cells, by cell. */
  void SetLoads(std::vector<sched::CellLoad> aLoads);

  /** Answers the call at once, or when the change it made is stored. */
  void Handle(PeerCall aCall, AnswerHandler aHandler);

  /** Commits all changes, removes this owner from the owner row, then calls
   *  aDone. */
  void Release(std::function<void()> aDone);

  /** Stops without another commit, and fails the calls that still wait. */
  void Abandon();

  /** @return the VM that the stored release names; empty: none. */
  [[nodiscard]] const std::string& HandedTo() const { return m_handedTo; }

  [[nodiscard]] const sched::Cell& State() const { return m_cell; }
  [[nodiscard]] CellId Cell() const { return m_cellId; }
  [[nodiscard]] const LatencyHistogram& CommitTimes() const {
    return m_commitTimes;
  }
  /** @return commits whose content the store did not accept. */
  [[nodiscard]] uint64_t RejectedCommits() const { return m_rejectedCommits; }
  /** @return new jobs by the verdict on them. */
  [[nodiscard]] const std::array<uint64_t, sched::kAdmissionVerdicts>&
  Admissions() const {
    return m_admissions;
  }
  /** @return how late the last ticks of the control loop were. */
  [[nodiscard]] Duration LoopLag() const { return m_loopLag; }
  [[nodiscard]] bool IsScheduling() const { return m_loaded && !m_ended; }

 private:
  /** A call to answer once a version of its job, or its route, is stored. */
  struct Waiter {
    bool m_forRoute = false;
    uint64_t m_version = 0;
    TimePoint m_deadline;
    AnswerHandler m_handler;
  };
  using RowsHandler = void (CellOwner::*)(RowsResult);

  // cell_owner_load.cpp
  void LoadInterference();
  void LoadTable(const char* aTable, const std::string& aFrom,
                 RowsHandler aHandler);
  void OnRoutes(RowsResult aResult);
  void OnStates(RowsResult aResult);
  void OnTaskBlocks(RowsResult aResult);
  void OnJobs(RowsResult aResult);
  /** Adds the blocks of a divided job to its state. */
  void AddLoadedBlocks(sched::StoredState& aState, const sched::JobSpec& aSpec);
  /** Deletes blocks that no job refers to: an owner that ended before it did so
   *  has left them. */
  void RemoveLeftoverBlocks();
  void RestoreUnresponsive();
  /** Begins once the rows are loaded and a heartbeat is acknowledged. */
  void BeginWhenReady();
  void OnRunnerRow(const StoreRow& aRow);
  void OnRunnerRemoved(const std::string& aKey);

  // cell_owner.cpp
  void RequestPass();
  void RunPass();
  void Tick();
  void MeasureLag(TimePoint aNow);
  void ExchangeInterference(TimePoint aNow);
  void CheckOldRoute(TimePoint aNow);
  [[nodiscard]] bool HasAuthority(TimePoint aNow) const;
  /** Whether the list of runners is recent enough to start tasks on them. */
  [[nodiscard]] bool IsListingCurrent(TimePoint aNow) const;
  /** Whether the operators' requests are known recently enough to start tasks:
   *  a data centre may be under evacuation. */
  [[nodiscard]] bool AreRequestsCurrent(TimePoint aNow) const;
  /** Logs when the list of runners has been too old for some time, and when it
   *  is so no more. */
  void LogListingAge(TimePoint aNow);
  /** Whether tasks may be started on the runner. */
  [[nodiscard]] bool MayStart(sched::RunnerIndex aRunner, TimePoint aNow) const;

  // cell_owner_orders.cpp
  void SendOrders();
  void SendOrder(const sched::StartOrder& aOrder);
  void SendOrder(const sched::StopOrder& aOrder);
  void SendOrder(const sched::PaceOrder& aOrder);
  void SendOrder(const sched::AdviceOrder& aOrder);
  void SendOrder(const sched::Decision& aDecision);
  void SendRenewals();
  [[nodiscard]] RunnerTarget TargetOf(sched::RunnerIndex aRunner) const;
  /** @return what the answer from the target's address proves; logs one that
   *  proves nothing. */
  [[nodiscard]] sched::OrderOutcome ProvenOutcome(const RunnerTarget& aTarget,
                                                  sched::RunnerIndex aRunner,
                                                  sched::OrderOutcome aOutcome);
  /** Gives up the cell if the runner refused the order because it has seen a
   *  higher fencing token. @return whether it did. */
  bool StepDownIfFenced(const RunnerTarget& aTarget, sched::RunnerIndex aRunner,
                        sched::OrderOutcome aOutcome);

  // cell_owner_calls.cpp
  /** Handles calls about jobs that another cell schedules. @return whether it
   *  did. */
  bool HandleRouted(const PeerCall& aCall, AnswerHandler& aHandler);
  [[nodiscard]] sched::CommitFailures Failures(TimePoint aNow) const;
  [[nodiscard]] bool IsStoreAway(TimePoint aNow) const;
  [[nodiscard]] sched::AdmissionInput AdmissionInputOf(const PeerCall& aCall,
                                                       TimePoint aNow) const;
  /** Whether a new job can be accepted in time. */
  [[nodiscard]] sched::Admission Admit(const PeerCall& aCall,
                                       TimePoint aNow) const;
  void Submit(PeerCall aCall, AnswerHandler aHandler);
  void RefuseNewJob(const PeerCall& aCall, const sched::Admission& aAdmission,
                    TimePoint aNow, const AnswerHandler& aHandler);
  /** Takes over a job from another cell. */
  void Adopt(PeerCall aCall, AnswerHandler aHandler);
  /** Sends the jobs that move to the owners of their new cells. */
  void SendMoves(TimePoint aNow);
  void WaitFor(const sched::DurableVersion& aWhen, const PeerCall& aCall,
               AnswerHandler aHandler);
  void WaitForRoute(const PeerCall& aCall, AnswerHandler aHandler);
  /** @return whether the waiter's change is durable; then sets aAnswer. */
  [[nodiscard]] bool IsAnswered(JobId aJob, const Waiter& aWaiter,
                                PeerAnswer& aAnswer) const;
  void AnswerWaiters();
  void FailWaiters(const Error& aError);
  /** Answers the calls whose deadline has come. Their new jobs are withdrawn
   *  if they were never sent to the store; else the outcome is unknown. */
  void FailExpiredWaiters(TimePoint aNow);
  /** @return the jobs and routes in the commit that may be stored. */
  [[nodiscard]] std::set<JobId> JobsInCommit() const;
  /** Withdraws new jobs that were never sent to the store, and tells their
   *  callers that these jobs will not run. */
  void RefuseUnstored();
  /** The same if the store is away, rather than slow. */
  void RefuseUnstoredIfAway(TimePoint aNow);
  /** Answers the callers of withdrawn jobs. */
  void RefuseWithdrawn(const std::vector<JobId>& aJobs, const Error& aError);

  // cell_owner_handover.cpp
  /** Hands the cell over to the sender, or tells why not. */
  void HandleRequest(const PeerCall& aCall, AnswerHandler aHandler);
  void NoteAsker(const sched::HandoverRequest& aRequest);
  [[nodiscard]] sched::HandoverView ViewForHandover(TimePoint aNow) const;
  /** @return the capability of the largest VM that has lately asked. */
  [[nodiscard]] sched::VmCapability RecentAsker(TimePoint aNow) const;
  /** Continues as owner if the release does not get to the store in time. */
  void CheckHandover(TimePoint aNow);
  /** Takes the release back if nothing of it has been sent. */
  void WithdrawHandover(std::string_view aReason);
  /** The cell is released or lost. */
  void EndHandover(std::string_view aResult);

  // cell_owner_commit.cpp
  void StartCommit();
  /** @return the unresponsive runners of m_commit, with their lease ends on the
   *          store's clock. */
  [[nodiscard]] std::vector<UnresponsiveRunnerRow> UnresponsiveRows() const;
  void AddCommitRows();
  void SendCommit();
  void OnCommitted(TransactionResult aResult);
  /** @return how a try of the commit ended. */
  [[nodiscard]] sched::TryEnd TryEndOf(const TransactionResult& aResult) const;
  /** Replaces the transaction, which the store does not accept any more, by one
   *  that settles whether an earlier try of it was stored. */
  void SettleCommit();
  /** Nothing of the commit was written: gives its rows back and refuses the
   *  calls that need not wait for another one. */
  void GiveUpCommit(sched::TryEnd aEnd);
  void NoteFailedTry(const TransactionResult& aResult);
  void RepeatCommit();
  /** The store has the owner row as last sent. */
  void NoteOwnerRowStored(RowVersion aVersion);
  void LogRejection();
  void FinishCommit(RowVersion aVersion);
  /** Nothing of the commit was written: its rows go into a later one. */
  void AbandonCommit();
  /** The store does not accept the commit's content: narrows the next commits,
   *  and in the end leaves out the jobs that are in all of those. */
  void NarrowCommits();
  void LoseCell(std::string_view aReason);

  // cell_owner_heartbeat.cpp
  void SendHeartbeat(TimePoint aNow);
  void OnHeartbeat(TimePoint aSentAt, const TransactionResult& aResult);
  /** Sends it again later; before scheduling begins, no tick does. */
  void RepeatFirstHeartbeat();
  /** Another try was stored, or an earlier owner's late one. @return whether
   *  this owner may go on from the row. */
  bool AdoptHeartbeat(const TransactionResult& aResult);
  /** Tells the other daemons that the cell has no owner, then calls aDone. */
  void SendLastHeartbeat(int aTriesLeft, std::function<void()> aDone);

  OwnerLinks m_links;
  StoreClient& m_store;
  EventLog& m_log;
  CellId m_cellId;
  sched::CellLayout m_layout;
  std::string m_part;
  std::string m_vm;           ///< Name of this VM.
  OwnerRow m_ownerRow;        ///< Owner row as last written.
  RowVersion m_ownerVersion;  ///< Version of m_ownerRow in the store.
  std::function<void()> m_onLost;
  boost::asio::io_context& m_context;
  boost::asio::steady_timer m_tickTimer;
  boost::asio::steady_timer m_commitTimer;
  std::shared_ptr<TableWatch> m_runnerWatch;
  /** Runners of other cells; their entries need no decoding. */
  std::set<std::string> m_otherRunners;
  Duration m_maxListingAge{};
  std::optional<Duration> m_maxRequestAge;
  TimePoint m_requestsConfirmedAt;  ///< See OperatorRequests::m_confirmedAt.
  bool m_staleListingLogged = false;

  sched::Cell m_cell;
  // While loading.
  std::map<JobId, sched::StoredState> m_loadedStates;
  std::map<sched::TaskBlockKey, sched::StoredTaskBlock> m_loadedBlocks;
  /** Some row could not be read, so that it is not known which blocks belong to
   *  no job. */
  bool m_hasUnreadRows = false;
  size_t m_loadedJobs = 0;
  bool m_rowsLoaded = false;
  bool m_loaded = false;  ///< The rows are loaded, and scheduling has begun.
  bool m_ended = false;
  bool m_passRequested = false;
  TimePoint m_tickDueAt;
  Duration m_loopLag{};  ///< Decaying maximum of the delay of ticks.
  bool m_lagLogged = false;

  sched::Commit m_commit;          ///< Changes in m_transaction.
  StoreTransaction m_transaction;  ///< Of m_commit; repeated until settled.
  bool m_commitPending = false;
  sched::CommitTries m_tries;  ///< Of m_commit.
  /** Owner row of the commit that is being settled; empty: none is. */
  std::optional<OwnerRow> m_doubtedRow;
  /** Of the last try of a commit. */
  sched::CommitFailure m_commitFailure = sched::CommitFailure::None;
  /** When the first failed try since the last success was sent. */
  TimePoint m_commitFailingSince;
  TimePoint m_commitNotBefore;  ///< Next commit after a refused one.
  size_t m_commitRows;          ///< Limit, below the store's after rejections.
  uint64_t m_rejectedCommits = 0;
  uint32_t m_commitTries = 0;
  TimePoint m_commitBegunAt;
  TimePoint m_commitSentAt;
  TimePoint m_lastCommitSentAt;  ///< Of the last acknowledged commit.
  sched::RecentCommits m_recentCommits;
  LatencyHistogram m_commitTimes;  ///< First try to acknowledgement.

  std::array<uint64_t, sched::kAdmissionVerdicts> m_admissions{};

  uint64_t m_heartbeatSequence = 0;
  RowVersion m_heartbeatVersion;  ///< Of the heartbeat row, as last known.
  bool m_heartbeatPending = false;
  TimePoint m_nextHeartbeatAt;
  /** When the last acknowledged heartbeat was sent; zero: none was. */
  TimePoint m_authorityFrom;
  /** Time from a heartbeat to the horizon of leases that it permits. It follows
   *  from the longest lease in the owner row as claimed, so that a successor
   *  knows it whatever settings this owner gets. */
  Duration m_leaseReach;
  /** No earlier owner sent a heartbeat later than this that the store holds:
   *  one of this owner replaces the last version that was read then. */
  TimePoint m_earlierHeartbeatsEnd;
  bool m_authorityLapsed = false;  ///< The loss of authority was logged.

  std::vector<sched::CellLoad> m_loads;  ///< By cell.
  TimePoint m_nextExchangeAt;
  uint32_t m_exchangeCell = 0;  ///< Cell whose interference is read next.
  std::map<CellId, sched::StoredInterference> m_sharedInterference;
  TimePoint m_nextRouteCheckAt;

  std::multimap<JobId, Waiter> m_waiters;
  /** Release that another VM has asked for. */
  struct Handover {
    std::string m_to;
    sched::VmCapability m_capability;  ///< Of m_to.
    TimePoint m_begunAt;
    AnswerHandler m_handler;
    bool m_mayWithdraw = true;  ///< False once the process is to end.
  };
  struct Asker {
    sched::VmCapability m_capability;
    TimePoint m_askedAt;
  };
  OwnerRow m_previousRow;        ///< That the claim of this term replaced.
  TimePoint m_schedulingSince;   ///< Valid if m_loaded.
  std::optional<Asker> m_asker;  ///< Largest VM that has asked.
  std::optional<Handover> m_handover;
  std::string m_handedTo;
  std::function<void()> m_onReleased;  ///< Set once Release was called.
  /** The owner row without an owner is on its way: nothing may start. */
  bool m_releaseSent = false;
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_CELL_OWNER_H_

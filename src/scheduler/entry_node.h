/**
 * @file entry_node.h The control loop of one entry VM: takes callers' requests
 * from the traffic threads and passes them to the owner of the job's cell, in
 * this process or on another VM.
 */

#ifndef BRONZE_SCHEDULER_ENTRY_NODE_H_
#define BRONZE_SCHEDULER_ENTRY_NODE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/metrics/histogram_type.h"
#include "core/sched/call_fate_func.h"
#include "net/http_server.h"
#include "platform/caller_wire.h"
#include "platform/node_config.h"
#include "scheduler/cell_directory.h"
#include "scheduler/layout_keeper.h"
#include "scheduler/owner_election.h"

namespace bronze {

/** Returns the text of the settings file. */
using SettingsReader = std::function<Result<std::string>()>;

/** Target of the calls between daemons. */
inline constexpr char kPeerPath[] = "/peer/call";

struct EntryOptions {
  /** Runners that one cell should have; 0: by the VM's link. */
  size_t m_runnersPerCell = 0;
  /** Of the HTTP servers, for metrics and the log; null: there are none. */
  const Counters* m_counters = nullptr;
};

class EntryNode {
 public:
  /** @param aTraffic loop of a traffic thread. The configuration is read there,
   *  so that it is in force in time even if the control loop is behind. */
  EntryNode(boost::asio::io_context& aTraffic, const NodeConfig& aConfig,
            uint64_t aIncarnation, SettingsReader aReadSettings,
            EntryOptions aOptions = {});

  /** Runs the control loop until the drain after SIGTERM is over. */
  void Run();

  /** Handles a request of a caller. Callable from any thread. */
  void HandleCaller(HttpCall aCall, std::shared_ptr<HttpResponder> aResponder);
  /** Handles a call of another daemon. Callable from any thread. */
  void HandlePeer(HttpCall aCall, std::shared_ptr<HttpResponder> aResponder);
  /** Answers requests for readiness or metrics. Callable from any thread. */
  void HandleHealth(const HttpCall& aCall,
                    const std::shared_ptr<HttpResponder>& aResponder);

  /** Sets what is to be done when the drain is about to end, such as to accept
   *  no more connections. To be called before Run. */
  void SetOnLastCalls(std::function<void()> aOnLastCalls) {
    m_onLastCalls = std::move(aOnLastCalls);
  }

  /** Starts the drain after SIGTERM. Callable from any thread. */
  void PostDrain();
  /** Reloads the settings after SIGHUP. Callable from any thread. */
  void PostReload();

 private:
  using SharedResponder = std::shared_ptr<HttpResponder>;

  /** A call to the owner of a cell; it may take several attempts. */
  struct OwnerCall {
    OwnerCall(boost::asio::io_context& aContext, PeerCall aCall,
              std::optional<int> aHops, AnswerHandler aHandler);
    PeerCall m_call;
    TimePoint m_deadline;  ///< No copy waits for longer than until then.
    sched::CallFate m_fate;
    /** Routes that may still be followed; not set: none is. */
    std::optional<int> m_hopsLeft;
    AnswerHandler m_handler;    ///< Null once the call is answered.
    Duration m_handoverWait{};  ///< Spent on waiting for a successor.
    boost::asio::steady_timer m_deadlineTimer;
    /** To be reported once all copies have ended, unless one of them has made
     *  the change; set when no further attempt follows. */
    std::optional<PeerAnswer> m_lastAnswer;
  };
  using SharedCall = std::shared_ptr<OwnerCall>;

  /** A call on its way to an owner on another VM. */
  struct RemoteAttempt {
    RemoteAttempt(boost::asio::io_context& aContext, SharedCall aCall,
                  std::string aOwner, boost::asio::ip::tcp::endpoint aAddress)
        : m_call(std::move(aCall)),
          m_owner(std::move(aOwner)),
          m_address(std::move(aAddress)),
          m_timer(aContext) {}
    SharedCall m_call;
    std::string m_owner;  ///< Its address as the directory has it.
    boost::asio::ip::tcp::endpoint m_address;
    size_t m_openCopies = 0;
    boost::asio::steady_timer m_timer;  ///< Next look for another owner.
    /** Answered, or given up for another owner. Its copies may still answer the
     *  call. */
    bool m_ended = false;
  };

  // Called on the traffic thread.
  void OnOperatorRow(const StoreRow& aRow);
  void OnOperatorRowRemoved(const std::string& aKey);
  void OnConfigRow(const StoreRow& aRow);
  /** Passes the operators' requests as read to the control loop. */
  void PostRequests();

  void ApplyConfig(std::shared_ptr<const sched::LiveConfig> aConfig);
  void ApplyRequests(std::shared_ptr<const OperatorRequests> aRequests);
  void BeginCells(sched::CellLayout aLayout);
  void OnDirectoryRead();
  void Serve(CallerRequest aRequest, const SharedResponder& aResponder);
  /** Passes the call to the job's cell, along its routes. */
  void ServeCall(PeerCall aCall, AnswerHandler aHandler);
  /** Passes the call to the owner of its cell.
   *  @param aHops routes that it may follow; not set: none. */
  void CallOwner(PeerCall aCall, std::optional<int> aHops,
                 AnswerHandler aHandler);
  /** Answers the call shortly after its deadline, whatever is still open. */
  void AwaitDeadline(const SharedCall& aCall);
  /** Calls the owner of the cell, in this process or on another VM. */
  void Attempt(const SharedCall& aCall);
  void CallLocalOwner(const SharedCall& aCall, CellOwner& aOwner);
  /** The only place that sends a call to another VM. */
  void SendCopy(const std::shared_ptr<RemoteAttempt>& aAttempt,
                bool aOnNewConnection);
  void OnCopyEnd(RemoteAttempt& aAttempt, sched::CopyNumber aCopy,
                 const CallOutcome& aOutcome);
  void EndAttempt(RemoteAttempt& aAttempt, PeerAnswer aAnswer);
  /** Looks for another owner after aPause, and from then on at intervals. */
  void AwaitSuccessor(const std::shared_ptr<RemoteAttempt>& aAttempt,
                      Duration aPause);
  /** Sends the call once more on a new connection: the first one may have gone
   *  silent for good while new ones work. A job that is submitted or cancelled
   *  again is the same. */
  void RepeatAttempt(const std::shared_ptr<RemoteAttempt>& aAttempt);
  [[nodiscard]] bool HasOtherOwner(CellId aCell,
                                   const std::string& aTried) const;
  /** @param aTried address of the owner that was called. */
  void OnAttempt(const SharedCall& aCall, const std::string& aTried,
                 PeerAnswer aAnswer);
  /** Calls the owner of the cell that the answer names. */
  void FollowRoute(const SharedCall& aCall, PeerAnswer aAnswer);
  /** Whether the cell has been handed over and has a successor soon. */
  [[nodiscard]] bool IsHandedOver(CellId aCell) const;
  /** Whether the call asks for a change of a job. */
  [[nodiscard]] static bool ChangesJob(PeerVerb aVerb);
  /** Whether the call may be made again after the error. */
  [[nodiscard]] static bool MayRepeat(const OwnerCall& aCall,
                                      const Error& aError);
  /** Makes another attempt once there may be an owner that can answer, or
   *  reports the last error when the time is over. */
  void RetryLater(const SharedCall& aCall, const std::string& aTried,
                  PeerAnswer aLast);
  /** No attempt follows: reports the answer, an error only once no copy that is
   *  still open can tell more. */
  static void Finish(OwnerCall& aCall, PeerAnswer aAnswer);
  /** The only place that calls the handler of aCall. */
  static void Report(OwnerCall& aCall, PeerAnswer aAnswer);
  /** Adds up the counts of all cells. */
  void CountPending(const PeerCall& aCall, const AnswerHandler& aHandler);
  void AnswerCaller(const CallerRequest& aRequest, const PeerAnswer& aAnswer,
                    const SharedResponder& aResponder, TimePoint aBegunAt);
  [[nodiscard]] std::shared_ptr<const sched::LiveConfig> Config() const;
  [[nodiscard]] std::string Metrics();
  void Drain();
  /** Ends the process once all calls in progress are answered. */
  void AwaitLastAnswers();
  [[nodiscard]] Duration ShareOfGrace(double aShare) const;

  /** Once a second: writes out the log and checks the settings for changes. */
  void Housekeep();
  /** Logs how many connections and calls were refused, if that has changed. */
  void LogRefusals();
  /** @param aAsked whether SIGHUP asked for it; if so, an unreadable or
   *  unchanged file is logged as well. */
  void Reload(bool aAsked);
  void ApplySettings(const NodeConfig& aConfig);

  boost::asio::io_context& m_traffic;
  NodeConfig m_config;  ///< In force; an invalid file does not change it.
  SettingsReader m_readSettings;
  std::string m_settingsText;  ///< Settings file as last read.
  boost::asio::io_context m_context;
  EventLog m_log;
  std::shared_ptr<ReplyBudget> m_replyBudget;
  StoreClient m_store;
  RunnerClient m_runners;
  AdviceClient m_advisor;
  HttpClient m_peers;
  CellDirectory m_directory;
  OwnershipCounts m_ownershipCounts;
  sched::CellLayout m_layout;
  std::shared_ptr<LayoutKeeper> m_layoutKeeper;
  std::vector<std::shared_ptr<OwnerElection>> m_elections;  ///< By CellId.
  StoreClient m_configStore;  ///< Used on the traffic thread.
  std::shared_ptr<TableWatch> m_operatorWatch;
  std::set<DataCentreId> m_readEvacuations;  ///< Used on the traffic thread.
  boost::asio::steady_timer m_drainTimer;
  boost::asio::steady_timer m_housekeepingTimer;

  /** Cells of jobs that are not scheduled by their home cell. */
  std::unordered_map<JobId, CellId> m_knownRoutes;
  struct KnownCount {
    uint64_t m_count = 0;
    /** When it was asked for. The owner had authority when it answered, so the
     *  count was true at some later time. */
    TimePoint m_at;
  };
  /** Pending jobs of a queue in one cell, as last answered. */
  std::map<std::pair<sched::QueueId, CellId>, KnownCount> m_counts;

  mutable std::mutex
      m_configMutex;  ///< Guards m_liveConfig, read by traffic threads.
  std::shared_ptr<const sched::LiveConfig> m_liveConfig;
  bool m_hasConfig = false;  ///< Some configuration is in force.
  std::shared_ptr<const OperatorRequests> m_requests;  ///< Null: none read yet.
  std::atomic<bool> m_ready = false;
  bool m_draining = false;
  TimePoint m_drainBegunAt;
  TimePoint m_idleSince;      ///< Since when no caller waits, while draining.
  size_t m_openRequests = 0;  ///< Callers' requests without an answer.
  std::function<void()> m_onLastCalls;
  uint64_t m_incarnation;
  const Counters* m_counters;      ///< Of the HTTP servers; null: none.
  std::string m_loggedRefusals;    ///< As last logged.
  LatencyHistogram m_answerTimes;  ///< Time to answer callers' requests.
  std::map<std::string, uint64_t> m_answers;  ///< Count by verb and result.
  std::map<std::string, uint64_t> m_reloads;  ///< Count by result.
  /** Fields of the settings file in force that are not used as they stand. */
  size_t m_correctedSettings = 0;
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_ENTRY_NODE_H_

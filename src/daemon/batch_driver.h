/**
 * @file batch_driver.h Connects the scheduling of jobs and tasks to I/O.
 *
 * The core decides; this driver makes the calls to workers, peers and the table
 * service, and passes their results back to the core.
 */

#ifndef BRONZE_DAEMON_BATCH_DRIVER_H_
#define BRONZE_DAEMON_BATCH_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/batch/rack_cmd.h"
#include "core/batch/team_cmd.h"
#include "daemon/commit_driver.h"
#include "daemon/forward_table.h"
#include "net/http_server.h"
#include "tableservice/worker_client.h"

namespace bronze {

/** Every function is called on the control thread. */
class BatchDriver {
 public:
  BatchDriver(HttpClient& aClient, PeerHub& aHub, TableClient& aTable,
              CoordinationDriver& aCoordination, CommitDriver& aCommits,
              Counters& aCounters);

  void UseSettings(const SystemSettings& aSettings);
  void UseVmList(const std::vector<VmInfo>& aVms);
  void OnEpochAdopted();
  void OnUnit(const UnitId& aUnit, bool aAcquired);
  void OnDigests(const VmId& aFrom, const std::vector<RackDigest>& aRacks);
  /** @return false when another driver handles this kind of message. */
  bool OnMessage(const PeerMessage& aMessage);
  /** The control loop calls this every 50 ms. */
  void Tick();

  [[nodiscard]] std::vector<RackDigest> OwnDigests() const;

  /** Handles the HTTP calls under /v1/jobs, of callers and operators. */
  void HandleJobCall(HttpCall aCall, std::shared_ptr<HttpResponder> aResponder);
  /** Handles the operators' HTTP calls under /v1/workers. */
  void HandleWorkerCall(const HttpCall& aCall,
                        const std::shared_ptr<HttpResponder>& aResponder);

  /** Adds to aBody how many workers and jobs this daemon owns. */
  void AddStatus(nlohmann::json& aBody) const;

 private:
  /** Which core state decided: the rack owner's or the team owner's. */
  enum class Part : uint8_t { Rack, Team };
  using Endpoint = boost::asio::ip::tcp::endpoint;
  /** Receives the reply to an operation that runs here or at another VM. */
  using ReplyHandler = std::function<void(HttpReply aReply)>;

  void HandleOperation(const std::string& aMethod, const std::string& aTarget,
                       const std::string& aBody, ReplyHandler aReply);
  void SubmitLocally(const std::string& aBody, ReplyHandler aReply);
  void CancelLocally(JobId aJob, ReplyHandler aReply);
  void AnswerPendingCall(const AnswerJob& aEffect);
  void Gather(const HttpCall& aCall, const char* aList,
              std::shared_ptr<HttpResponder> aResponder);
  void Forward(const VmId& aOwner, const HttpCall& aCall,
               const std::shared_ptr<HttpResponder>& aResponder);
  [[nodiscard]] nlohmann::json OwnWorkers() const;

  /** Passes the digests of all racks, own and reported, to the team state. */
  void MergeDigests();
  void CarryOut(Part aPart, BatchEffects& aEffects);
  void Submit(Part aPart, const SubmitChange& aEffect);
  void StartTask(const StartOnWorker& aEffect);
  void StopTask(const StopOnWorker& aEffect);
  void CheckpointTask(const CheckpointOnWorker& aEffect);
  void ThrottleTask(const ThrottleOnWorker& aEffect);
  void RenewLease(const RenewWorkerLease& aEffect);
  void ReadReport(const WorkerId& aWorker);
  void ReadTask(Part aPart, TaskId aTask);
  void ReadJob(JobId aJob);
  void Scan(std::string aPrefix, std::string aAfter,
            std::shared_ptr<std::vector<TableRow>> aRows,
            std::function<void()> aDone, std::function<bool()> aStillOwned);
  void ScanRackRows(const RackId& aRack);
  void ScanShardRows(TeamShard aShard);
  [[nodiscard]] const Endpoint* AddressOf(const WorkerId& aWorker) const;
  [[nodiscard]] bool MayActFor(const WorkerId& aWorker) const;
  [[nodiscard]] VmId OwnerOfShard(TeamShard aShard) const;

  PeerHub& m_hub;
  TableClient& m_table;
  CoordinationDriver& m_coordination;
  CommitDriver& m_commits;
  Counters& m_counters;
  WorkerClient m_workers;
  RackOwnerState m_racks;
  TeamOwnerState m_teams;
  std::vector<VmInfo> m_workerList;  ///< Workers in the platform's VM list.
  std::map<WorkerId, Endpoint> m_addresses;
  /** Digests of the racks that other members own, by member. */
  std::map<VmId, std::vector<RackDigest>> m_digests;
  /** Calls that an AnswerJob effect will answer, by call number. */
  std::map<uint64_t, ReplyHandler> m_pendingCalls;
  uint64_t m_lastCall = 0;  ///< Last number given to a call in this map.
  ForwardTable m_forwards;
  TimePoint m_nextTeamTick;
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_BATCH_DRIVER_H_

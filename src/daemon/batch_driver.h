/**
 * @file batch_driver.h Carries out the decisions about jobs and tasks.
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
  /** @return false when the message is not for this part. */
  bool OnMessage(const PeerMessage& aMessage);
  /** To be called every 50 ms. */
  void Tick();

  [[nodiscard]] std::vector<RackDigest> OwnDigests() const;

  /** Calls below /v1/jobs. */
  void HandleJobCall(HttpCall aCall, std::shared_ptr<HttpResponder> aResponder);
  /** Calls below /v1/workers. */
  void HandleWorkerCall(const HttpCall& aCall,
                        const std::shared_ptr<HttpResponder>& aResponder);

  /** Adds the numbers of workers and jobs that this daemon owns. */
  void AddStatus(nlohmann::json& aBody) const;

 private:
  enum class Part : uint8_t { Rack, Team };
  using Endpoint = boost::asio::ip::tcp::endpoint;
  /** Gets the answer to an operation, local or forwarded. */
  using ReplyHandler = std::function<void(HttpReply aReply)>;

  void HandleOperation(const std::string& aMethod, const std::string& aTarget,
                       const std::string& aBody, ReplyHandler aReply);
  void SubmitHere(const std::string& aBody, ReplyHandler aReply);
  void CancelHere(JobId aJob, ReplyHandler aReply);
  void AnswerWaiting(const AnswerJob& aEffect);
  void Gather(const HttpCall& aCall, const char* aList,
              std::shared_ptr<HttpResponder> aResponder);
  void Forward(const VmId& aOwner, const HttpCall& aCall,
               const std::shared_ptr<HttpResponder>& aResponder);
  [[nodiscard]] nlohmann::json OwnWorkers() const;

  /** Gives the digests of all racks to the team part. */
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
  std::vector<VmInfo> m_workerList;  ///< Workers of the platform's list.
  std::map<WorkerId, Endpoint> m_addresses;
  std::map<VmId, std::vector<RackDigest>> m_digests;  ///< Of the other members.
  std::map<uint64_t, ReplyHandler> m_waiting;  ///< For AnswerJob, by call.
  uint64_t m_lastCall = 0;
  ForwardTable m_forwards;
  TimePoint m_nextTeamTick;
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_BATCH_DRIVER_H_

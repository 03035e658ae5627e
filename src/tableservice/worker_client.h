/**
 * @file worker_client.h Client of the platform's workers.
 */

#ifndef BRONZE_TABLESERVICE_WORKER_CLIENT_H_
#define BRONZE_TABLESERVICE_WORKER_CLIENT_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "codec/worker_json.h"
#include "core/batch/batch_type.h"
#include "net/http_client.h"

namespace bronze {

/** Handlers run on the event loop of the HTTP client. */
class WorkerClient {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using EndHandler = std::function<void(WorkerCallEnd aEnd)>;
  using StopHandler =
      std::function<void(WorkerCallEnd aEnd, WorkerStopAnswer aAnswer)>;
  using LeaseHandler =
      std::function<void(WorkerCallEnd aEnd, std::vector<TaskId> aUnknown)>;
  using ReportHandler = std::function<void(Result<WorkerReport> aReport)>;

  explicit WorkerClient(HttpClient& aClient) : m_client(aClient) {}

  void Start(const Endpoint& aWorker, const WorkerStart& aCall,
             EndHandler aHandler);
  void Stop(const Endpoint& aWorker, const TaskWithToken& aCall,
            StopHandler aHandler);
  void Checkpoint(const Endpoint& aWorker, const TaskWithToken& aCall,
                  StopHandler aHandler);
  void Throttle(const Endpoint& aWorker, const WorkerThrottle& aCall);
  void RenewLease(const Endpoint& aWorker, const WorkerLeaseCall& aCall,
                  LeaseHandler aHandler);
  void ReadReport(const Endpoint& aWorker, ReportHandler aHandler);

 private:
  void Post(const Endpoint& aWorker, const char* aTarget, std::string aBody,
            std::function<void(WorkerCallEnd, std::string)> aHandler);

  HttpClient& m_client;
};

}  // namespace bronze

#endif  // BRONZE_TABLESERVICE_WORKER_CLIENT_H_

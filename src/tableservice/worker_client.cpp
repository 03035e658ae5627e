/**
 * @file worker_client.cpp Client of the platform's workers.
 */

#include "tableservice/worker_client.h"

namespace bronze {

namespace {

constexpr Duration kWorkerTimeout = seconds(2);
constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusNoCapacity = 422;

WorkerCallEnd ToCallEnd(const CallOutcome& aOutcome) {
  if (aOutcome.m_stage == CallStage::NotConnected) {
    return WorkerCallEnd::NotSent;
  }
  if (aOutcome.m_stage != CallStage::WholeAnswer) return WorkerCallEnd::Lost;
  switch (aOutcome.m_reply.m_status) {
    case kStatusOk:
      return WorkerCallEnd::Answered;
    case kStatusConflict:
      return WorkerCallEnd::StaleToken;
    case kStatusNoCapacity:
      return WorkerCallEnd::Refused;
    default:
      // Any other status leaves open whether the worker has acted.
      return WorkerCallEnd::Lost;
  }
}

void PassStopAnswer(WorkerCallEnd aEnd, const std::string& aBody,
                    const WorkerClient::StopHandler& aHandler) {
  if (aEnd != WorkerCallEnd::Answered) {
    aHandler(aEnd, {});
    return;
  }
  const auto answer = DecodeStopAnswer(aBody);
  if (answer) {
    aHandler(aEnd, answer.value());
  } else {
    aHandler(WorkerCallEnd::Lost, {});
  }
}

}  // namespace

void WorkerClient::Start(const Endpoint& aWorker, const WorkerStart& aCall,
                         EndHandler aHandler) {
  Post(aWorker, "/tasks/start", EncodeWorkerStart(aCall),
       [handler = std::move(aHandler)](WorkerCallEnd aEnd, const std::string&) {
         handler(aEnd);
       });
}

void WorkerClient::Stop(const Endpoint& aWorker, const TaskWithToken& aCall,
                        StopHandler aHandler) {
  Post(aWorker, "/tasks/stop", EncodeTaskWithToken(aCall),
       [handler = std::move(aHandler)](WorkerCallEnd aEnd,
                                       const std::string& aBody) {
         PassStopAnswer(aEnd, aBody, handler);
       });
}

void WorkerClient::Checkpoint(const Endpoint& aWorker,
                              const TaskWithToken& aCall,
                              StopHandler aHandler) {
  HttpCall call;
  call.m_method = "POST";
  call.m_target = "/tasks/checkpoint";
  call.m_body = EncodeTaskWithToken(aCall);
  m_client.Call(
      aWorker, call, kWorkerTimeout,
      [handler = std::move(aHandler)](const CallOutcome& aOutcome) {
        const bool whole = aOutcome.m_stage == CallStage::WholeAnswer;
        const int status = aOutcome.m_reply.m_status;
        // A worker that cannot write a checkpoint keeps running the task.
        if (whole && status != kStatusOk && status != kStatusConflict) {
          handler(WorkerCallEnd::Refused, {});
          return;
        }
        PassStopAnswer(ToCallEnd(aOutcome), aOutcome.m_reply.m_body, handler);
      });
}

void WorkerClient::Throttle(const Endpoint& aWorker,
                            const WorkerThrottle& aCall) {
  // A lost call needs no retry: it is made again if the next report shows the
  // same use.
  Post(aWorker, "/tasks/throttle", EncodeWorkerThrottle(aCall),
       [](WorkerCallEnd, const std::string&) {});
}

void WorkerClient::RenewLease(const Endpoint& aWorker,
                              const WorkerLeaseCall& aCall,
                              LeaseHandler aHandler) {
  Post(aWorker, "/lease", EncodeWorkerLease(aCall),
       [handler = std::move(aHandler)](WorkerCallEnd aEnd,
                                       const std::string& aBody) {
         if (aEnd != WorkerCallEnd::Answered) {
           handler(aEnd, {});
           return;
         }
         const auto unknown = DecodeLeaseAnswer(aBody);
         if (unknown) {
           handler(aEnd, unknown.value());
         } else {
           handler(WorkerCallEnd::Lost, {});
         }
       });
}

void WorkerClient::ReadReport(const Endpoint& aWorker, ReportHandler aHandler) {
  HttpCall call;
  call.m_method = "GET";
  call.m_target = "/report";
  m_client.Call(aWorker, call, kWorkerTimeout,
                [handler = std::move(aHandler)](const CallOutcome& aOutcome) {
                  if (ToCallEnd(aOutcome) != WorkerCallEnd::Answered) {
                    handler(MakeError(ErrorKind::ConnectionFailed,
                                      "cannot read the report of the worker: " +
                                          aOutcome.m_error));
                    return;
                  }
                  handler(DecodeWorkerReport(aOutcome.m_reply.m_body));
                });
}

void WorkerClient::Post(
    const Endpoint& aWorker, const char* aTarget, std::string aBody,
    std::function<void(WorkerCallEnd, std::string)> aHandler) {
  HttpCall call;
  call.m_method = "POST";
  call.m_target = aTarget;
  call.m_body = std::move(aBody);
  m_client.Call(aWorker, call, kWorkerTimeout,
                [handler = std::move(aHandler)](CallOutcome aOutcome) {
                  handler(ToCallEnd(aOutcome),
                          std::move(aOutcome.m_reply.m_body));
                });
}

}  // namespace bronze

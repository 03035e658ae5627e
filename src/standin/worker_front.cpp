/**
 * @file worker_front.cpp HTTP front end and timers of the simulated workers.
 */

#include "standin/worker_front.h"

#include "net/error_reply.h"
#include "standin/clock.h"
#include "standin/worker_func.h"
#include "standin/worker_json.h"

namespace bronze {

namespace {

constexpr int kStatusUnprocessable = 422;

/** Workers answer 422 for lack of capacity, unlike the callers' interface. */
HttpReply RefusalReply(const Error& aError) {
  HttpReply reply = ErrorReply(aError);
  if (aError.m_kind == ErrorKind::NoCapacity) {
    reply.m_status = kStatusUnprocessable;
  }
  return reply;
}

HttpReply DoneReply(const std::optional<Error>& aError) {
  return aError ? RefusalReply(*aError) : JsonReply("{}");
}

HttpReply RenewReply(StandinState& aState, WorkerState& aWorker,
                     const LeaseRenewal& aLease) {
  const auto unknown =
      RenewLeases(aState, aWorker, aLease.m_tasks, aLease.m_lease, ReadClock());
  ForgetTasks(aWorker, aLease.m_forget);
  return JsonReply(EncodeUnknown(unknown));
}

HttpReply StopReply(StandinState& aState, WorkerState& aWorker,
                    const TaskRef& aTask) {
  const auto stopped = StopTask(aState, aWorker, aTask, ReadClock());
  return stopped ? JsonReply(EncodeState(stopped.value()))
                 : RefusalReply(stopped.error());
}

HttpReply CheckpointReply(StandinState& aState, WorkerState& aWorker,
                          const TaskRef& aTask) {
  const auto ended = CheckpointTask(aState, aWorker, aTask, ReadClock());
  return ended ? JsonReply(EncodeCheckpointed(ended.value()))
               : RefusalReply(ended.error());
}

/** Runs the command if its body could be decoded; else reports the error. */
template <class Command, class Function>
HttpReply RunDecoded(const Result<Command>& aCommand, Function aFunction) {
  return aCommand ? aFunction(aCommand.value()) : ErrorReply(aCommand.error());
}

}  // namespace

void WorkerFront::Handle(const WorkerId& aWorker, const HttpCall& aCall,
                         const ResponderPtr& aResponder) {
  WorkerState& worker = m_context.m_state.m_workers.at(aWorker);
  if (aCall.m_target == "/report") {
    if (!CheckMethod(aCall, "GET", aResponder)) return;
    AdvanceWorker(m_context.m_state, worker, ReadClock());
    aResponder->Reply(JsonReply(
        EncodeReport(ReportOf(m_context.m_state, worker, ReadClock()))));
    return;
  }
  if (!CheckMethod(aCall, "POST", aResponder)) return;
  aResponder->Reply(Run(worker, aCall));
  Schedule(aWorker);
}

HttpReply WorkerFront::Run(WorkerState& aWorker, const HttpCall& aCall) {
  StandinState& state = m_context.m_state;
  const std::string& path = aCall.m_target;
  const std::string& body = aCall.m_body;
  if (path == "/tasks/start") {
    return RunDecoded(DecodeStart(body), [&](const WorkerStart& aStart) {
      return DoneReply(StartTask(state, aWorker, aStart, ReadClock()));
    });
  }
  if (path == "/tasks/stop") {
    return RunDecoded(DecodeTaskRef(body), [&](const TaskRef& aTask) {
      return StopReply(state, aWorker, aTask);
    });
  }
  if (path == "/tasks/checkpoint") {
    return RunDecoded(DecodeTaskRef(body), [&](const TaskRef& aTask) {
      return CheckpointReply(state, aWorker, aTask);
    });
  }
  if (path == "/tasks/throttle") {
    return RunDecoded(
        DecodeThrottle(body), [&](const ThrottleCommand& aThrottle) {
          return DoneReply(ThrottleTask(state, aWorker, aThrottle.m_task,
                                        aThrottle.m_cores, ReadClock()));
        });
  }
  if (path == "/lease") {
    return RunDecoded(DecodeLease(body), [&](const LeaseRenewal& aLease) {
      return RenewReply(state, aWorker, aLease);
    });
  }
  return ErrorReply(MakeError(ErrorKind::UnknownRoute, "no such path"));
}

void WorkerFront::Schedule(const WorkerId& aWorker) {
  WorkerState& worker = m_context.m_state.m_workers.at(aWorker);
  auto& timer =
      m_timers.try_emplace(aWorker, m_context.m_control).first->second;
  const auto next = NextWorkerEvent(worker);
  if (!next) {
    timer.cancel();
    return;
  }
  timer.expires_after(std::max(*next - ReadClock(), Duration::zero()));
  timer.async_wait([this, aWorker](boost::system::error_code aError) {
    if (aError) return;
    AdvanceWorker(m_context.m_state, m_context.m_state.m_workers.at(aWorker),
                  ReadClock());
    Schedule(aWorker);
  });
}

}  // namespace bronze

/**
 * @file runner_client.cpp Client of the runners' HTTP interface.
 */

#include "platform/runner_client.h"

#include <boost/asio/post.hpp>

#include "core/sched/name_func.h"
#include "net/address_func.h"
#include "platform/json_reader.h"
#include "platform/wire_decode.h"

namespace bronze {

namespace {

namespace json = boost::json;
using sched::OrderOutcome;

/** One for the lease renewal that waits at the runner, the rest for orders.
 *  Further orders wait in turn. */
constexpr size_t kConnectionsPerRunner = 4;
constexpr size_t kMaxAnswerBytes = size_t{1} << 20;
/** Orders are normally answered in a few milliseconds. After this time the
 *  answer counts as lost. */
constexpr Duration kOrderTimeout = milliseconds(600);
/** Added to the wait that a lease renewal asks for. */
constexpr Duration kRenewalMargin = milliseconds(700);

/** Lease renewals, stops and paces go before starts: they protect work that is
 *  running. */
const CallOptions kUrgent{true, {}, false};
/** The answer to a stop and a report that lacks a run decide whether the task
 *  is started elsewhere. */
const CallOptions kUrgentAndCertain{true, {}, true};

std::optional<sched::RunnerMillis> ClockOf(const CallOutcome& aOutcome) {
  const auto clock = aOutcome.m_origin.m_clock;
  if (aOutcome.m_stage != CallStage::CompleteReply || !clock) return {};
  return sched::RunnerMillis(clock->Value());
}

OrderOutcome OutcomeOf(const CallOutcome& aOutcome) {
  if (aOutcome.m_stage == CallStage::NotConnected) {
    return OrderOutcome::NotSent;
  }
  if (aOutcome.m_stage != CallStage::CompleteReply)
    return OrderOutcome::Unknown;
  // Every answer with a body tells the clock, so without it the answer is not
  // whole or not a runner's.
  const bool isWhole = ClockOf(aOutcome).has_value();
  switch (aOutcome.m_reply.m_status) {
    case 200:
      return isWhole ? OrderOutcome::Applied : OrderOutcome::Unknown;
    case 421:
      return OrderOutcome::WrongInstance;
    case 400:
    case 429:
    case 503:
      return OrderOutcome::RefusedOther;
    case 409:
      break;
    default:
      return OrderOutcome::Unknown;
  }
  const auto body = ParseJson(aOutcome.m_reply.m_body);
  if (!isWhole || !body) return OrderOutcome::Unknown;
  JsonReader reader(body.value());
  const std::string reason = reader.Text("reason");
  if (reason == "fence") return OrderOutcome::RefusedFence;
  if (reason == "old") return OrderOutcome::RefusedOld;
  if (reason == "late") return OrderOutcome::RefusedLate;
  if (reason == "room") return OrderOutcome::RefusedRoom;
  if (reason == "ticket") return OrderOutcome::RefusedTicket;
  return OrderOutcome::RefusedOther;
}

/** On a kept connection, a refusal may be that of an earlier order, so that
 *  this one may have been carried out. */
OrderOutcome CertainOutcomeOf(const CallOutcome& aOutcome) {
  const OrderOutcome outcome = OutcomeOf(aOutcome);
  if (aOutcome.m_origin.m_earlierReplies == 0) return outcome;
  switch (outcome) {
    case OrderOutcome::RefusedOld:
    case OrderOutcome::RefusedLate:
    case OrderOutcome::RefusedRoom:
    case OrderOutcome::RefusedTicket:
    case OrderOutcome::RefusedOther:
    case OrderOutcome::WrongInstance:
      return OrderOutcome::Unknown;
    case OrderOutcome::RefusedFence:
      // The owner gives up the cell, which is safe.
    case OrderOutcome::Applied:
    case OrderOutcome::WrongAddress:
    case OrderOutcome::NotSent:
    case OrderOutcome::Unknown:
    case OrderOutcome::Withdrawn:
      return outcome;
  }
  return outcome;
}

std::string ErrorOf(const CallOutcome& aOutcome) {
  if (aOutcome.m_stage == CallStage::CompleteReply) {
    return std::to_string(aOutcome.m_reply.m_status);
  }
  return aOutcome.m_error;
}

auto OrderHandler(std::function<void(OrderAnswer)> aHandler) {
  return [handler = std::move(aHandler)](CallOutcome aOutcome) {
    handler({OutcomeOf(aOutcome), {}, ErrorOf(aOutcome), aOutcome.m_origin});
  };
}

}  // namespace

RunnerClient::RunnerClient(boost::asio::io_context& aContext,
                           std::shared_ptr<ReplyBudget> aBudget)
    : m_client(aContext,
               {kConnectionsPerRunner, kMaxAnswerBytes, kConnectionsPerRunner,
                std::move(aBudget)},
               ReadRunnerClock) {}

void RunnerClient::Post(const RunnerTarget& aTarget, std::string aPath,
                        std::string aBody, Duration aTimeout,
                        std::function<void(CallOutcome)> aHandler,
                        CallOptions aOptions) {
  const auto address = ParseAddress(aTarget.m_address);
  if (!address) {
    CallOutcome outcome;
    outcome.m_error = address.error().m_message;
    aHandler(std::move(outcome));
    return;
  }
  HttpCall call;
  call.m_method = "POST";
  call.m_target = std::move(aPath);
  call.m_headers = {{"Content-Type", "application/json"},
                    {"X-Expect-Instance", aTarget.m_id.Value()}};
  call.m_body = std::move(aBody);
  m_client.Call(address.value(), call, aTimeout, std::move(aHandler),
                std::move(aOptions));
}

void RunnerClient::Start(const RunnerTarget& aTarget,
                         const sched::StartOrder& aOrder,
                         const std::string& aPayload,
                         sched::RunnerMillis aDeadline,
                         std::function<bool()> aMayBegin,
                         std::function<void(OrderAnswer)> aHandler) {
  json::object body{{"task", sched::TaskText(aOrder.m_task)},
                    {"run", aOrder.m_run.Value()},
                    {"spec", aPayload},
                    {"deadline_ms", aDeadline.Value()},
                    {"fence", aTarget.m_fence.Value()}};
  if (!aOrder.m_checkpoint.empty()) body["checkpoint"] = aOrder.m_checkpoint;
  if (!aOrder.m_ticket.empty()) body["ticket"] = aOrder.m_ticket;
  Post(aTarget, "/bronzeworks/run-start", json::serialize(body), kOrderTimeout,
       [handler = std::move(aHandler)](CallOutcome aOutcome) {
         handler({CertainOutcomeOf(aOutcome), ClockOf(aOutcome),
                  ErrorOf(aOutcome), aOutcome.m_origin});
       },
       {false, std::move(aMayBegin), false});
}

void RunnerClient::Stop(const RunnerTarget& aTarget,
                        const sched::StopOrder& aOrder,
                        std::function<void(OrderAnswer)> aHandler) {
  const json::object body{{"task", sched::TaskText(aOrder.m_task)},
                          {"run", aOrder.m_run.Value()},
                          {"fence", aTarget.m_fence.Value()}};
  Post(aTarget, "/bronzeworks/run-stop", json::serialize(body), kOrderTimeout,
       OrderHandler(std::move(aHandler)), kUrgentAndCertain);
}

void RunnerClient::Pace(const RunnerTarget& aTarget,
                        const sched::PaceOrder& aOrder,
                        std::function<void(OrderAnswer)> aHandler) {
  const json::object body{{"task", sched::TaskText(aOrder.m_task)},
                          {"run", aOrder.m_run.Value()},
                          {"percent", aOrder.m_percent},
                          {"fence", aTarget.m_fence.Value()}};
  Post(aTarget, "/bronzeworks/pace", json::serialize(body), kOrderTimeout,
       OrderHandler(std::move(aHandler)), kUrgent);
}

void RunnerClient::RenewLease(const sched::RenewalOrder& aOrder,
                              std::function<void(RenewalAnswer)> aHandler) {
  json::object body{{"fence", aOrder.m_fence.Value()},
                    {"last_seen", aOrder.m_lastSeen.Value()}};
  if (aOrder.m_deadline.Value() > 0) {
    body["deadline_ms"] = aOrder.m_deadline.Value();
  }
  const auto wait =
      std::chrono::duration_cast<milliseconds>(aOrder.m_wait).count();
  if (wait > 0) body["wait_ms"] = wait;
  Post(
      {aOrder.m_address, aOrder.m_id, aOrder.m_fence}, "/bronzeworks/hold",
      json::serialize(body), aOrder.m_wait + kRenewalMargin,
      [handler = std::move(aHandler),
       address = aOrder.m_address](CallOutcome aOutcome) {
        RenewalAnswer answer;
        answer.m_outcome = CertainOutcomeOf(aOutcome);
        answer.m_error = ErrorOf(aOutcome);
        answer.m_origin = aOutcome.m_origin;
        if (answer.m_outcome == OrderOutcome::Applied) {
          auto report = DecodeRunnerReport(aOutcome.m_reply.m_body);
          if (report) {
            answer.m_report = std::move(report.value());
            answer.m_report.m_address = address;
            answer.m_report.m_onKeptConnection =
                answer.m_origin.m_earlierReplies > 0;
          } else {
            answer.m_outcome = OrderOutcome::Unknown;
            answer.m_error = report.error().m_message;
          }
        }
        handler(std::move(answer));
      },
      aOrder.m_newConnection ? kUrgentAndCertain : kUrgent);
}

}  // namespace bronze

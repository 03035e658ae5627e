/**
 * @file runner_front.cpp HTTP front end of the simulated runners.
 */

#include "standin/runner_front.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "net/error_reply.h"
#include "standin/clock.h"
#include "standin/fault_func.h"
#include "standin/runner_answer.h"

namespace bronze {

namespace {

constexpr std::string_view kRunPrefix = "/run/";
constexpr char kRequestIdHeader[] = "Bronze-Request-Id";
/** A held answer is sent to its own request if no other comes in this time. */
constexpr Duration kCrossingTimeout = milliseconds(500);

HttpReply AnswerTo(const HttpCall& aCall, const RunnerId& aRunner,
                   const KindId& aKind) {
  const std::string id = aCall.Header(kRequestIdHeader);
  HttpReply reply;
  if (!id.empty()) reply.m_headers.emplace_back(kRequestIdHeader, id);
  reply.m_body = EncodeRunnerAnswer(
      {id, aRunner, aKind, DigestOf(aCall.m_body), aCall.m_body});
  return reply;
}

}  // namespace

void RunnerFront::Handle(const RunnerId& aRunner, HttpCall aCall,
                         ResponderPtr aResponder) {
  if (!aCall.m_target.starts_with(kRunPrefix)) {
    ReplyUnknownRoute(aResponder);
    return;
  }
  if (!CheckMethod(aCall, "POST", aResponder)) return;
  const KindId kind(aCall.m_target.substr(kRunPrefix.size()));
  const RunNumber number = ++m_lastNumber;
  Running& running = m_running[number];
  running.m_runner = aRunner;
  running.m_run = BeginRequest(
      m_context.m_state, m_context.m_state.m_runners.at(aRunner),
      {kind, aCall.Header("Idempotency-Key"), MarkerOf(aCall.m_body)},
      ReadClock());
  running.m_reply = AnswerTo(aCall, aRunner, kind);
  running.m_responder = aResponder;
  running.m_timer = std::make_unique<boost::asio::steady_timer>(
      m_context.m_control, running.m_run.m_runTime);
  running.m_timer->async_wait([this, number](boost::system::error_code aError) {
    if (!aError) OnRunEnd(number);
  });
  aResponder->OnSenderGone([this, number] {
    boost::asio::post(m_context.m_control,
                      [this, number] { OnSenderGone(number); });
  });
}

void RunnerFront::Crash(const RunnerId& aRunner) {
  for (auto it = m_running.begin(); it != m_running.end();) {
    if (it->second.m_runner != aRunner) {
      ++it;
      continue;
    }
    EndRequest(m_context.m_state, m_context.m_state.m_runners.at(aRunner),
               it->second.m_run, ReadClock());
    it->second.m_responder->Abort();
    it = m_running.erase(it);
  }
  const auto held = m_heldAnswers.find(aRunner);
  if (held == m_heldAnswers.end()) return;
  held->second.m_responder->Abort();
  m_heldAnswers.erase(held);
}

void RunnerFront::OnRunEnd(RunNumber aNumber) {
  auto node = m_running.extract(aNumber);
  // The timer may have expired just before a crash removed the run.
  if (node.empty()) return;
  Running& running = node.mapped();
  StandinState& state = m_context.m_state;
  const RunnerId runner = running.m_runner;
  // The slot is freed first, as the next request may follow the answer at once.
  EndRequest(state, state.m_runners.at(runner), running.m_run, ReadClock());
  const Fault* const crossed =
      FindFault(state.m_faults, FaultKind::RunnerCrossed, runner.Value());
  if (crossed != nullptr && Occurs(state, *crossed)) {
    AnswerCrossed(*crossed, std::move(running), aNumber);
    return;
  }
  Answer(runner, std::move(running.m_reply), running.m_responder);
}

void RunnerFront::OnSenderGone(RunNumber aNumber) {
  const auto found = m_running.find(aNumber);
  if (found == m_running.end()) return;
  EndRequest(m_context.m_state,
             m_context.m_state.m_runners.at(found->second.m_runner),
             found->second.m_run, ReadClock());
  m_running.erase(found);
}

void RunnerFront::Answer(const RunnerId& aRunner, HttpReply aReply,
                         const ResponderPtr& aResponder) {
  StandinState& state = m_context.m_state;
  const Fault* const cut =
      FindFault(state.m_faults, FaultKind::RunnerCut, aRunner.Value());
  if (cut != nullptr && Occurs(state, *cut)) {
    aReply.m_cutAfter = aReply.m_body.size() / 2;
  }
  aResponder->Reply(std::move(aReply));
}

void RunnerFront::AnswerCrossed(const Fault& aFault, Running aRunning,
                                RunNumber aNumber) {
  const RunnerId runner = aRunning.m_runner;
  // Without the request id in a header, only the body shows the swap.
  if (!aFault.m_echo) aRunning.m_reply.m_headers.clear();
  const auto found = m_heldAnswers.find(runner);
  if (found != m_heldAnswers.end()) {
    const HeldAnswer other = std::move(found->second);
    m_heldAnswers.erase(found);
    Answer(runner, other.m_reply, aRunning.m_responder);
    Answer(runner, std::move(aRunning.m_reply), other.m_responder);
    return;
  }
  m_heldAnswers[runner] = {aNumber, std::move(aRunning.m_reply),
                           std::move(aRunning.m_responder)};
  RunAfter(m_context.m_control, kCrossingTimeout, [this, runner, aNumber] {
    const auto held = m_heldAnswers.find(runner);
    if (held == m_heldAnswers.end() || held->second.m_number != aNumber) {
      return;
    }
    const HeldAnswer unpaired = std::move(held->second);
    m_heldAnswers.erase(held);
    Answer(runner, unpaired.m_reply, unpaired.m_responder);
  });
}

}  // namespace bronze

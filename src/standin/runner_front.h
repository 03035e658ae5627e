/**
 * @file runner_front.h HTTP front end of the simulated runners.
 */

#ifndef BRONZE_STANDIN_RUNNER_FRONT_H_
#define BRONZE_STANDIN_RUNNER_FRONT_H_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "standin/front_func.h"
#include "standin/runner_func.h"

namespace bronze {

/** Owns the running requests from their arrival until they are answered. */
class RunnerFront {
 public:
  explicit RunnerFront(FrontContext aContext) : m_context(aContext) {}

  void Handle(const RunnerId& aRunner, HttpCall aCall, ResponderPtr aResponder);
  /** Aborts all requests running on the runner. */
  void Crash(const RunnerId& aRunner);

 private:
  using RunNumber = uint64_t;
  struct Running {
    RunnerId m_runner;
    RequestRun m_run;
    HttpReply m_reply;
    ResponderPtr m_responder;
    std::unique_ptr<boost::asio::steady_timer> m_timer;
  };
  /** An answer held back until another one can be swapped with it. */
  struct HeldAnswer {
    uint64_t m_number = 0;
    HttpReply m_reply;
    ResponderPtr m_responder;
  };

  void OnRunEnd(RunNumber aNumber);
  void OnSenderGone(RunNumber aNumber);
  void Answer(const RunnerId& aRunner, HttpReply aReply,
              const ResponderPtr& aResponder);
  /** Swaps the answer with the one held back, or holds it back. */
  void AnswerCrossed(const Fault& aFault, Running aRunning, RunNumber aNumber);

  FrontContext m_context;
  std::map<RunNumber, Running> m_running;
  std::map<RunnerId, HeldAnswer> m_heldAnswers;
  RunNumber m_lastNumber = 0;
};

}  // namespace bronze

#endif  // BRONZE_STANDIN_RUNNER_FRONT_H_

/**
 * @file worker_front.h HTTP front end and timers of the simulated workers.
 */

#ifndef BRONZE_STANDIN_WORKER_FRONT_H_
#define BRONZE_STANDIN_WORKER_FRONT_H_

#include <boost/asio/steady_timer.hpp>
#include <map>

#include "standin/front_func.h"

namespace bronze {

class WorkerFront {
 public:
  explicit WorkerFront(FrontContext aContext) : m_context(aContext) {}

  void Handle(const WorkerId& aWorker, const HttpCall& aCall,
              const ResponderPtr& aResponder);

  /** Sets the worker's timer to its next event, if there is one. */
  void Schedule(const WorkerId& aWorker);

 private:
  [[nodiscard]] HttpReply Run(WorkerState& aWorker, const HttpCall& aCall);

  FrontContext m_context;
  std::map<WorkerId, boost::asio::steady_timer> m_timers;
};

}  // namespace bronze

#endif  // BRONZE_STANDIN_WORKER_FRONT_H_

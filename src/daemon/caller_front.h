/**
 * @file caller_front.h HTTP interface for callers.
 *
 * Translates between HTTP and the core's events; the core makes all decisions.
 */

#ifndef BRONZE_DAEMON_CALLER_FRONT_H_
#define BRONZE_DAEMON_CALLER_FRONT_H_

#include <memory>

#include "daemon/control_loop.h"
#include "net/http_server.h"

namespace bronze {

class CallerFront {
 public:
  CallerFront(ControlLoop& aControl, Counters& aCounters);

  /** Handles one call; runs on the traffic thread of its connection. */
  void Handle(size_t aThread, HttpCall aCall,
              std::shared_ptr<HttpResponder> aResponder);

 private:
  ControlLoop& m_control;
  Counters& m_counters;
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_CALLER_FRONT_H_

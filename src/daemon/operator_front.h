/**
 * @file operator_front.h HTTP interface for operators.
 *
 * Checks the token, selects the route and turns JSON into calls of the drivers,
 * which make all other decisions.
 */

#ifndef BRONZE_DAEMON_OPERATOR_FRONT_H_
#define BRONZE_DAEMON_OPERATOR_FRONT_H_

#include <memory>
#include <string>

#include "daemon/control_loop.h"
#include "net/http_server.h"

namespace bronze {

class OperatorFront {
 public:
  /** @param aToken empty: operators need no token. */
  OperatorFront(ControlLoop& aControl, Counters& aCounters, std::string aToken);

  /** Handles one call; runs on the traffic thread of its connection. */
  void Handle(HttpCall aCall, std::shared_ptr<HttpResponder> aResponder);

 private:
  void Refuse(const Error& aError, HttpResponder& aResponder);
  /** Serves /healthz, /readyz and /metrics, which need no token. */
  bool HandleHealth(const HttpCall& aCall,
                    const std::shared_ptr<HttpResponder>& aResponder);
  void HandleOnControl(const HttpCall& aCall,
                       const std::shared_ptr<HttpResponder>& aResponder);
  void HandleConfig(const HttpCall& aCall,
                    const std::shared_ptr<HttpResponder>& aResponder);
  void CheckConfig(const HttpCall& aCall, HttpResponder& aResponder);
  void ChangeConfig(const HttpCall& aCall,
                    const std::shared_ptr<HttpResponder>& aResponder);
  void ShowVms(HttpResponder& aResponder);
  void ShowStatus(HttpResponder& aResponder);

  ControlLoop& m_control;
  Counters& m_counters;
  std::string m_token;
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_OPERATOR_FRONT_H_

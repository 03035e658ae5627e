/**
 * @file caller_call.h A caller's request and the connection to answer on.
 */

#ifndef BRONZE_DAEMON_CALLER_CALL_H_
#define BRONZE_DAEMON_CALLER_CALL_H_

#include <memory>
#include <string>

#include "core/base/id_type.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace bronze {

/**
 * Created on a traffic thread and passed to the control thread, which passes it
 * to a traffic thread for each attempt. Only one thread uses it at a time, so
 * it needs no lock.
 */
struct CallerCall {
  RequestId m_request;
  KindId m_kind;
  std::string m_body;
  std::string m_key;  ///< Idempotency key, sent to the runner; empty: none.
  TimePoint m_arrived;
  size_t m_thread = 0;  ///< Index of the connection's traffic thread.
  std::shared_ptr<HttpResponder> m_responder;
  HttpReply m_answer;  ///< Of the last attempt; complete if it was answered.
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_CALLER_CALL_H_

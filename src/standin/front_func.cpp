/**
 * @file front_func.cpp Helpers of all HTTP front ends of the stand-in.
 */

#include "standin/front_func.h"

#include <boost/asio/steady_timer.hpp>

#include "net/error_reply.h"

namespace bronze {

HttpReply JsonReply(std::string aBody, int aStatus) {
  HttpReply reply;
  reply.m_status = aStatus;
  reply.m_body = std::move(aBody);
  return reply;
}

bool CheckMethod(const HttpCall& aCall, std::string_view aMethod,
                 const ResponderPtr& aResponder) {
  if (aCall.m_method == aMethod) return true;
  aResponder->Reply(ErrorReply(MakeError(
      ErrorKind::MethodNotAllowed, "this path does not support the method")));
  return false;
}

void ReplyUnknownRoute(const ResponderPtr& aResponder) {
  aResponder->Reply(
      ErrorReply(MakeError(ErrorKind::UnknownRoute, "no such path")));
}

void RunAfter(boost::asio::io_context& aControl, Duration aDelay,
              std::function<void()> aAction) {
  if (aDelay <= Duration::zero()) {
    aAction();
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(aControl, aDelay);
  timer->async_wait(
      [timer, action = std::move(aAction)](boost::system::error_code aError) {
        if (!aError) action();
      });
}

}  // namespace bronze

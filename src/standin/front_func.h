/**
 * @file front_func.h Helpers of all HTTP front ends of the stand-in.
 */

#ifndef BRONZE_STANDIN_FRONT_FUNC_H_
#define BRONZE_STANDIN_FRONT_FUNC_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "net/http_server.h"
#include "standin/standin_base.h"

namespace bronze {

using ResponderPtr = std::shared_ptr<HttpResponder>;

/** State that all front ends share; they run on the control thread. */
struct FrontContext {
  boost::asio::io_context& m_control;
  StandinState& m_state;
};

[[nodiscard]] HttpReply JsonReply(std::string aBody, int aStatus = 200);

/** @return whether the call has the method; if not, answers 405. */
[[nodiscard]] bool CheckMethod(const HttpCall& aCall, std::string_view aMethod,
                               const ResponderPtr& aResponder);

void ReplyUnknownRoute(const ResponderPtr& aResponder);

/** Runs aAction on the control thread after the delay; at once if it is 0. */
void RunAfter(boost::asio::io_context& aControl, Duration aDelay,
              std::function<void()> aAction);

}  // namespace bronze

#endif  // BRONZE_STANDIN_FRONT_FUNC_H_

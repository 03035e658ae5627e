/**
 * @file json_reply.h Replies of the simulated row store and runner.
 */

#ifndef BRONZE_STANDIN_JSON_REPLY_H_
#define BRONZE_STANDIN_JSON_REPLY_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "core/base/time_type.h"
#include "net/http_type.h"

namespace bronze::standin {

/** @return the clock of stores and runners. */
inline int64_t NowMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline HttpReply JsonReply(int aStatus, const nlohmann::json& aBody) {
  HttpReply reply;
  reply.m_status = aStatus;
  reply.m_body = aBody.dump();
  return reply;
}

}  // namespace bronze::standin

#endif  // BRONZE_STANDIN_JSON_REPLY_H_

/**
 * @file load_type.h Options and requests of the load generator.
 */

#ifndef BRONZE_LOAD_LOAD_TYPE_H_
#define BRONZE_LOAD_LOAD_TYPE_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace bronze {

/** A kind of request and its share of all requests. */
struct KindShare {
  KindId m_kind;
  double m_share = 0.0;  ///< Relative to the sum of all shares.
};

/** Period in which the rate is multiplied by a factor (option --swing). */
struct Swing {
  double m_factor = 1.0;
  Duration m_start = Duration::zero();   ///< Since the start of the run.
  Duration m_length = Duration::zero();  ///< Zero: no swing.
};

struct LoadOptions {
  std::vector<boost::asio::ip::tcp::endpoint> m_targets;
  double m_rate = 100.0;  ///< Requests per second, in [0, kMaxRate].
  Duration m_duration = seconds(10);
  uint64_t m_seed = 1;
  std::vector<KindShare> m_mix;
  Swing m_swing;
  int64_t m_jobs = 0;  ///< Number of jobs to submit.
  int64_t m_tasksPerJob = 4;
  KindId m_batchKind{"batch"};
  Duration m_window = seconds(5);  ///< Time to answer one request.
  int64_t m_connections = 2000;    ///< Limit of requests in flight at once.
  std::string m_json;   ///< File to write the result to; empty for none.
  std::string m_nonce;  ///< Prefix that makes markers unique across runs.
};

/** One request; all its attempts have the same marker and key. */
struct LoadRequest {
  KindId m_kind;
  std::string m_marker;  ///< Unique ID of the request; part of the body.
  std::string m_key;     ///< Idempotency key; empty for idempotent kinds.
  std::string m_body;
  TimePoint m_scheduled;  ///< Arrival; latencies count from here (open loop).
  TimePoint m_deadline;
  bool m_inSwing = false;
  std::vector<size_t> m_tried;  ///< Indices of the targets used so far.
};

/** How a request, or one attempt of it, ended. */
enum class RequestOutcome : uint8_t {
  Answered,      ///< Complete answer to this request.
  Refused,       ///< An error reply says that the request was not run.
  Unknown,       ///< An error reply says that it has run or may have run.
  NotConnected,  ///< No byte was sent.
  Broken,        ///< The connection failed after bytes were sent.
  Lost,          ///< No answer within the window plus a grace period.
  Malformed,     ///< A complete HTTP reply, but not a valid answer or error.
  Misdelivered,  ///< The answer to another request.
  Duplicate,     ///< An answer that has been received before.
};

inline constexpr size_t kRequestOutcomeCount =
    static_cast<size_t>(RequestOutcome::Duplicate) + 1;

[[nodiscard]] inline bool IsIdempotent(const KindId& aKind) {
  return aKind.Value() != "commit";
}

/**
 * Whether requests of this kind stay open for long (class "standing" in the
 * settings) and need a longer window than the other kinds.
 */
[[nodiscard]] inline bool IsStanding(const KindId& aKind) {
  return aKind.Value() == "watch";
}

}  // namespace bronze

#endif  // BRONZE_LOAD_LOAD_TYPE_H_

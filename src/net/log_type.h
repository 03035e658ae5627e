/**
 * @file log_type.h Components of the programs that write log lines.
 */

#ifndef BRONZE_NET_LOG_TYPE_H_
#define BRONZE_NET_LOG_TYPE_H_

#include <cstddef>
#include <cstdint>

namespace bronze {

/** Component that writes a log line; table/log_prefix.h has its prefix. */
enum class LogPart : uint8_t {
  Main,
  Control,
  Callers,
  Runners,
  Peers,
  Store,
  Members,
  Owners,
  Config,
  Batch,
  Workers,
  Standin,
  Load,
};

inline constexpr size_t kLogPartCount = static_cast<size_t>(LogPart::Load) + 1;

}  // namespace bronze

#endif  // BRONZE_NET_LOG_TYPE_H_

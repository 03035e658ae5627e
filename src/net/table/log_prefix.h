/**
 * @file log_prefix.h Prefixes of log lines, in the order of LogPart.
 */

#ifndef BRONZE_NET_TABLE_LOG_PREFIX_H_
#define BRONZE_NET_TABLE_LOG_PREFIX_H_

#include <array>
#include <string_view>

#include "net/log_type.h"

namespace bronze {

inline constexpr std::array<std::string_view, kLogPartCount> kLogPrefixes = {
    "[main]",   "[control]", "[callers]", "[runners]", "[peers]",
    "[store]",  "[members]", "[owners]",  "[config]",  "[batch]",
    "[worker]", "[standin]", "[load]",
};

}  // namespace bronze

#endif  // BRONZE_NET_TABLE_LOG_PREFIX_H_

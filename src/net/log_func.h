/**
 * @file log_func.h Writes log lines to standard error.
 *
 * A line is formatted only if its level is enabled. All functions may be called
 * from any thread.
 */

#ifndef BRONZE_NET_LOG_FUNC_H_
#define BRONZE_NET_LOG_FUNC_H_

#include <fmt/format.h>

#include <string_view>

#include "core/config/settings_type.h"
#include "net/log_type.h"

namespace bronze {

void SetLogLevel(LogLevel aLevel);

[[nodiscard]] bool IsLogged(LogLevel aLevel);

/** Writes one line, whatever the log level in force. */
void WriteLog(LogLevel aLevel, LogPart aPart, std::string_view aText);

template <class... Args>
void Log(LogLevel aLevel, LogPart aPart, fmt::format_string<Args...> aFormat,
         Args&&... aArgs) {
  if (!IsLogged(aLevel)) return;
  WriteLog(aLevel, aPart, fmt::format(aFormat, std::forward<Args>(aArgs)...));
}

}  // namespace bronze

#endif  // BRONZE_NET_LOG_FUNC_H_

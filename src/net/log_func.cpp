/**
 * @file log_func.cpp Writes log lines to standard error.
 */

#include "net/log_func.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>

#include "net/table/log_prefix.h"

namespace bronze {

namespace {

std::atomic<LogLevel> sLevel = LogLevel::Info;

std::string_view LevelName(LogLevel aLevel) {
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warn:
      return "warn";
    case LogLevel::Error:
      return "error";
  }
  return "error";
}

}  // namespace

void SetLogLevel(LogLevel aLevel) { sLevel = aLevel; }

bool IsLogged(LogLevel aLevel) {
  return aLevel >= sLevel.load(std::memory_order_relaxed);
}

void WriteLog(LogLevel aLevel, LogPart aPart, std::string_view aText) {
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto millis = now.time_since_epoch().count() % 1000;
  // One write per line, so that lines of several threads do not interleave.
  const std::string line = fmt::format(
      "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {}\n",
      fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis,
      LevelName(aLevel), kLogPrefixes[static_cast<size_t>(aPart)], aText);
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace bronze

/**
 * @file event_log.cpp Log lines with key=value fields on standard output.
 */

#include "scheduler/event_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

#include "scheduler/boot_clock.h"

namespace bronze {

namespace {

constexpr size_t kMaxBufferBytes = size_t{512} << 10;
/** A pipe that poll() reports as writable takes this many bytes (PIPE_BUF)
 *  without blocking. */
constexpr size_t kPipeWriteBytes = 4096;

bool IsWritable(int aDescriptor) {
  pollfd entry{aDescriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

EventLog::EventLog(int aDescriptor, std::string aVm)
    : m_descriptor(aDescriptor), m_vm(std::move(aVm)) {}

void EventLog::WriteLine(std::string_view aPrefix, std::string_view aText) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  AppendLine(aPrefix, aText);
}

uint64_t EventLog::Dropped() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_dropped;
}

void EventLog::AppendLine(std::string_view aPrefix, std::string_view aText) {
  const size_t needed = aPrefix.size() + aText.size() + m_vm.size() + 40;
  if (m_buffer.size() + needed > kMaxBufferBytes) {
    ++m_dropped;
    return;
  }
  fmt::format_to(std::back_inserter(m_buffer), "{} {} vm={} {}\n", aPrefix,
                 UnixNow().Value(), m_vm, aText);
}

void EventLog::Flush() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_dropped > m_reportedDrops && m_buffer.size() < kMaxBufferBytes / 2) {
    const uint64_t lost = m_dropped - m_reportedDrops;
    m_reportedDrops = m_dropped;
    AppendLine("[log]",
               fmt::format("output buffer full, dropped lines={}", lost));
  }
  size_t at = 0;
  while (at < m_buffer.size() && IsWritable(m_descriptor)) {
    const size_t count = std::min(kPipeWriteBytes, m_buffer.size() - at);
    const ssize_t written = write(m_descriptor, m_buffer.data() + at, count);
    if (written <= 0) break;
    at += static_cast<size_t>(written);
  }
  m_buffer.erase(0, at);
}

std::string OriginFields(const ReplyOrigin& aOrigin) {
  const std::string clock =
      aOrigin.m_clock ? std::to_string(aOrigin.m_clock->Value()) : "none";
  return fmt::format("connection={} earlier_replies={} clock_ms={}",
                     aOrigin.m_connection.Value(), aOrigin.m_earlierReplies,
                     clock);
}

}  // namespace bronze

/**
 * @file event_log.h Log lines with key=value fields on standard output.
 *
 * Lines are buffered and written out only as far as that does not block. Lines
 * that do not fit into the bounded buffer are dropped and counted.
 */

#ifndef BRONZE_SCHEDULER_EVENT_LOG_H_
#define BRONZE_SCHEDULER_EVENT_LOG_H_

#include <fmt/format.h>

#include <mutex>
#include <string>
#include <string_view>

#include "core/message/reply_match_type.h"

namespace bronze {

/** May be used on any thread. */
class EventLog {
 public:
  /** @param aVm name of this VM, added to each line. */
  EventLog(int aDescriptor, std::string aVm);

  /** @param aPrefix subsystem that writes the line, such as "[cell]". */
  template <class... Args>
  void Write(std::string_view aPrefix, fmt::format_string<Args...> aFormat,
             Args&&... aArgs) {
    WriteLine(aPrefix, fmt::format(aFormat, std::forward<Args>(aArgs)...));
  }
  void WriteLine(std::string_view aPrefix, std::string_view aText);

  /** Writes as much of the buffer as is possible without blocking. */
  void Flush();

  [[nodiscard]] uint64_t Dropped();

 private:
  /** @pre m_mutex is held. */
  void AppendLine(std::string_view aPrefix, std::string_view aText);

  int m_descriptor;
  std::string m_vm;
  std::mutex m_mutex;            ///< Guards all below.
  std::string m_buffer;          ///< Lines to write; at most kMaxBufferBytes.
  uint64_t m_dropped = 0;        ///< Lines dropped since the start.
  uint64_t m_reportedDrops = 0;  ///< m_dropped when last logged.
};

/** @return where an answer came from, as fields of a log line. */
[[nodiscard]] std::string OriginFields(const ReplyOrigin& aOrigin);

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_EVENT_LOG_H_

/**
 * @file event_log.h Structured lines on standard output, one per decision.
 *
 * Lines wait in a bounded buffer and are written only when the reader takes
 * them without blocking; what does not fit is dropped and counted.
 */

#ifndef BRONZE_SCHEDULER_EVENT_LOG_H_
#define BRONZE_SCHEDULER_EVENT_LOG_H_

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace bronze {

class EventLog {
 public:
  /** @param aVm is part of each line. */
  EventLog(int aDescriptor, std::string aVm);

  /** @param aPart fixed prefix of the part that decides, such as "[cell]". */
  template <class... Args>
  void Write(std::string_view aPart, fmt::format_string<Args...> aFormat,
             Args&&... aArgs) {
    Line(aPart, fmt::format(aFormat, std::forward<Args>(aArgs)...));
  }
  void Line(std::string_view aPart, std::string_view aText);

  /** Writes what the reader takes at once. */
  void Flush();

  [[nodiscard]] uint64_t Dropped() const { return m_dropped; }

 private:
  int m_descriptor;
  std::string m_vm;
  std::string m_buffer;     ///< At most kMaxBuffer bytes, whole lines.
  uint64_t m_dropped = 0;   ///< Lines lost since the start.
  uint64_t m_reported = 0;  ///< Part of m_dropped that a line has told.
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_EVENT_LOG_H_

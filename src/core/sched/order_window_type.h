/**
 * @file order_window_type.h Limit on the starts that a cell's owner has chosen
 * and that no runner has answered yet.
 *
 * The VM's link and processor are shared by starts, lease renewals and callers.
 * Without a limit, a burst of starts delays the renewals behind it, so that
 * orders time out, are repeated and delay the rest further.
 */

#ifndef BRONZE_CORE_SCHED_ORDER_WINDOW_TYPE_H_
#define BRONZE_CORE_SCHED_ORDER_WINDOW_TYPE_H_

#include <cstdint>

#include "core/base/time_type.h"

namespace bronze::sched {

struct OrderWindow {
  /** Starts that may be pending; a fraction, as it grows in small steps. */
  double m_limit = 256.0;
  uint32_t m_intended = 0;  ///< Tasks in TaskPhase::Intended.
  uint32_t m_inFlight = 0;  ///< Starts ordered and not answered.
  bool m_wasFull = false;   ///< A pass ended early since the last answer.
  Duration m_answerTime{};  ///< Moving average of the time to an answer.
  TimePoint m_cutAt;        ///< When m_limit was last lowered.
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_ORDER_WINDOW_TYPE_H_

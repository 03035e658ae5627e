/**
 * @file order_window_func.cpp Adapts the limit on pending starts.
 */

#include "core/sched/order_window_func.h"

#include <algorithm>

namespace bronze::sched {

namespace {

constexpr double kMinLimit = 16.0;
constexpr double kMaxLimit = 4096.0;
/** Answers normally take a few milliseconds. */
constexpr Duration kQuickAnswer = milliseconds(120);
/** Two thirds of the time after which an order counts as unanswered. */
constexpr Duration kSlowAnswer = milliseconds(400);
constexpr double kCutFactor = 0.7;
/** Answers that arrive within this time after a cut belong to orders from
 *  before it. */
constexpr Duration kCutPause = milliseconds(300);
/** Weight of the newest answer in the average. */
constexpr double kAnswerWeight = 0.05;
constexpr Duration kMaxSpacing = milliseconds(600);

void Cut(OrderWindow& aWindow, TimePoint aNow) {
  if (aNow - aWindow.m_cutAt < kCutPause) return;
  aWindow.m_cutAt = aNow;
  aWindow.m_limit = std::max(kMinLimit, aWindow.m_limit * kCutFactor);
}

}  // namespace

bool HasRoom(const OrderWindow& aWindow) {
  return static_cast<double>(aWindow.m_intended + aWindow.m_inFlight) <
         aWindow.m_limit;
}

void NoteAnswer(OrderWindow& aWindow, Duration aTook, TimePoint aNow) {
  const double difference =
      static_cast<double>((aTook - aWindow.m_answerTime).count());
  aWindow.m_answerTime +=
      Duration(static_cast<int64_t>(difference * kAnswerWeight));
  if (aTook > kSlowAnswer) {
    Cut(aWindow, aNow);
  } else if (aTook < kQuickAnswer) {
    aWindow.m_limit = std::min(kMaxLimit, aWindow.m_limit + 1.0);
  }
}

Duration RenewalSpacing(const OrderWindow& aWindow) {
  if (aWindow.m_answerTime < kQuickAnswer) return Duration::zero();
  return std::min(kMaxSpacing, aWindow.m_answerTime);
}

}  // namespace bronze::sched

/**
 * @file handover_func.cpp Decides on requests for a cell.
 */

#include "core/sched/handover_func.h"

#include "core/sched/claim_func.h"

namespace bronze::sched {

namespace {

/** Reads of the directory take place each 0.45 s, so that these take 1.4 s at
 *  least: a store that refuses the VM at times shows within them. */
constexpr uint32_t kMinGoodReads = 4;
constexpr Duration kAskPause = seconds(1);
/** After a request without an answer: an owner of an earlier build cannot
 *  read it, and one that is behind is not helped by more of them. */
constexpr Duration kUnansweredPause = seconds(10);
/** A VM that has just lost a cell without releasing it may lose it again, even
 *  if it reaches the store by now. */
constexpr Duration kLossPause = seconds(10);
/** An owner renews all leases and reads all runners in its first seconds. */
constexpr Duration kMinTerm = seconds(2);
/** Least time between two handovers of one cell. */
constexpr Duration kMinTermAfterHandover = seconds(10);

}  // namespace

bool ShouldAsk(const AskView& aView, TimePoint aNow) {
  if (!ShouldPrefer(aView.m_own, aView.m_owner)) return false;
  if (aView.m_goodReads < kMinGoodReads || aNow < aView.m_notBefore) {
    return false;
  }
  return !aView.m_lostAt || aNow - *aView.m_lostAt >= kLossPause;
}

TimePoint NextAskTime(bool aAnswered, TimePoint aNow) {
  return aNow + (aAnswered ? kAskPause : kUnansweredPause);
}

HandoverAnswer DecideHandover(const HandoverView& aView,
                              const HandoverRequest& aRequest, TimePoint aNow) {
  if (!IsMuchSmaller(aView.m_own, aRequest.m_capability)) {
    return HandoverAnswer::GainTooSmall;
  }
  if (aView.m_isReleasing) return HandoverAnswer::Releasing;
  if (!aView.m_schedulingSince) return HandoverAnswer::Loading;
  if (!aView.m_storeResponds) return HandoverAnswer::StoreUnavailable;
  const Duration age = aNow - *aView.m_schedulingSince;
  const bool hasLostIt = aRequest.m_vm == aView.m_lostBy &&
                         aRequest.m_incarnation == aView.m_lostByIncarnation;
  if (hasLostIt && age < kLossPause) return HandoverAnswer::LostItLately;
  const Duration minTerm =
      aView.m_wasHandedOver ? kMinTermAfterHandover : kMinTerm;
  if (age < minTerm) return HandoverAnswer::TermTooShort;
  return HandoverAnswer::Accepted;
}

std::string_view NameOf(HandoverAnswer aAnswer) {
  switch (aAnswer) {
    case HandoverAnswer::Accepted:
      return "accepted";
    case HandoverAnswer::GainTooSmall:
      return "gain_too_small";
    case HandoverAnswer::Loading:
      return "loading";
    case HandoverAnswer::Releasing:
      return "releasing";
    case HandoverAnswer::TermTooShort:
      return "term_too_short";
    case HandoverAnswer::StoreUnavailable:
      return "store_unavailable";
    case HandoverAnswer::LostItLately:
      return "lost_it_lately";
  }
  return "gain_too_small";
}

}  // namespace bronze::sched

/**
 * @file reply_match_func.cpp Whether a reply is that of the call for which it
 * was read.
 */

#include "core/message/reply_match_func.h"

#include <algorithm>

namespace bronze {

namespace {

/** A clock that counts whole milliseconds and is at most 2 % slow shows a
 *  higher value after this time. */
constexpr Duration kClockStep = milliseconds(2);
/** Lowest rate of a server's clock. */
constexpr int64_t kLeastRatePercent = 98;

}  // namespace

ReplyMatch MatchReply(const ReplyHistory& aHistory, CallNumber aCall,
                      const ReplyMark& aMark) {
  if (aMark.m_call) {
    return *aMark.m_call == aCall ? ReplyMatch::Matches : ReplyMatch::Repeated;
  }
  if (aMark.m_clock) {
    const bool isNewer =
        !aHistory.m_newestClock || *aMark.m_clock > *aHistory.m_newestClock;
    if (!isNewer) return ReplyMatch::Repeated;
    const bool isTooEarly =
        aHistory.m_clockAtSend && *aMark.m_clock < *aHistory.m_clockAtSend;
    return isTooEarly ? ReplyMatch::TooEarly : ReplyMatch::Matches;
  }
  // All earlier replies on a kept connection had a mark, so this one repeats
  // none of them. But a part of an earlier one, followed by a whole one, would
  // make a body without a mark.
  const bool isFirst = aHistory.m_replies == 0;
  return isFirst || !aMark.m_hasBody ? ReplyMatch::Matches
                                     : ReplyMatch::Unmarked;
}

bool NoteReply(ReplyHistory& aHistory, const ReplyMark& aMark, TimePoint aNow) {
  ++aHistory.m_replies;
  aHistory.m_lastReplyAt = aNow;
  if (aMark.m_clock) {
    aHistory.m_newestClock = std::max(
        aHistory.m_newestClock.value_or(*aMark.m_clock), *aMark.m_clock);
  }
  return aMark.m_call || aMark.m_clock;
}

void NoteCall(ReplyHistory& aHistory, TimePoint aNow) {
  if (!aHistory.m_newestClock) return;
  // The clock that a reply tells was read before the reply arrived.
  const auto elapsed = std::chrono::duration_cast<milliseconds>(
      (aNow - aHistory.m_lastReplyAt) * kLeastRatePercent / 100);
  aHistory.m_clockAtSend =
      *aHistory.m_newestClock + ServerMillis(elapsed.count());
}

TimePoint NextCallAt(const ReplyHistory& aHistory) {
  return aHistory.m_newestClock ? aHistory.m_lastReplyAt + kClockStep
                                : TimePoint();
}

}  // namespace bronze

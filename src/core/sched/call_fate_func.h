/**
 * @file call_fate_func.h What is known of a change that a caller asked for,
 * after copies of the call were sent to owners of cells.
 *
 * A caller may only be told that nothing was done if that is known of each copy
 * that was ever sent. A copy tells it by its own end and by nothing else: the
 * refusal of one copy, the silence of an owner or the arrival of its successor
 * prove nothing about another copy, which may still be read and carried out.
 */

#ifndef BRONZE_CORE_SCHED_CALL_FATE_FUNC_H_
#define BRONZE_CORE_SCHED_CALL_FATE_FUNC_H_

#include <optional>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/error/error_type.h"

namespace bronze::sched {

/** Number of a copy of one call, in the order in which they were sent. */
using CopyNumber = NumberId<struct CopyNumberTag, uint32_t>;

/** What is known of one copy. */
enum class CopyState : uint8_t {
  Open,      ///< It was sent, or will be, and has not ended.
  NotSent,   ///< It ended before its first byte was sent.
  Declined,  ///< Its owner answered that this copy did nothing.
  Lost,      ///< It ended without an answer that tells what was done.
  Done,      ///< Its owner answered that the change is made.
};

/** All copies of one call. */
struct CallFate {
  bool m_changesJob = false;  ///< Else no copy has an effect.
  /** Every copy has an entry from before its first byte is sent, by its number.
   *  Its state changes once, from Open to how the copy itself ended. */
  std::vector<CopyState> m_copies;
};

/** To be called before a copy is sent. */
[[nodiscard]] CopyNumber BeginCopy(CallFate& aFate);

/** @param aState the way in which the copy ended. */
void EndCopy(CallFate& aFate, CopyNumber aCopy, CopyState aState);

/** @return the state of a copy that got an answer.
 *  @param aError of the answer, if it has one. */
[[nodiscard]] CopyState StateOfAnswered(const std::optional<Error>& aError);

/** @return whether a copy may have made the change or may still make it. */
[[nodiscard]] bool MayBeDone(const CallFate& aFate);

/** @return whether the call can be answered with the error now; if not, the end
 *          of a copy that is still open may tell more. */
[[nodiscard]] bool IsSettled(const CallFate& aFate, const Error& aError);

/** @return the error to report if the last answer was aLast. */
[[nodiscard]] Error FinalError(const CallFate& aFate, Error aLast);

/** @return the states of all copies for the log, such as "lost,declined*3". */
[[nodiscard]] std::string CopiesText(const CallFate& aFate);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_CALL_FATE_FUNC_H_

/**
 * @file reply_match_func.h Whether a reply is that of the call for which it was
 * read.
 *
 * HTTP/1.1 assigns replies to calls only by their order on the connection. A
 * server that sends a reply twice, or a part of one, makes the second look like
 * the reply to the next call, and each later one is off by one. So the order
 * alone shows nothing once a connection has carried a reply: a later one with a
 * body also needs a mark that no earlier one on this connection had. One
 * without a body cannot repeat the earlier ones, as they had marks in their
 * bodies.
 */

#ifndef BRONZE_CORE_MESSAGE_REPLY_MATCH_FUNC_H_
#define BRONZE_CORE_MESSAGE_REPLY_MATCH_FUNC_H_

#include "core/message/reply_match_type.h"

namespace bronze {

[[nodiscard]] ReplyMatch MatchReply(const ReplyHistory& aHistory,
                                    CallNumber aCall, const ReplyMark& aMark);

/** Records a reply that matches its call.
 *  @return whether the connection may carry another call: without a mark, the
 *          repetition of this reply could not be told from the next reply. */
bool NoteReply(ReplyHistory& aHistory, const ReplyMark& aMark, TimePoint aNow);

/** Records that the next call is being sent. */
void NoteCall(ReplyHistory& aHistory, TimePoint aNow);

/** @return the earliest time of the next call: before it, the clock in its
 *          reply may be the same as in the last one. */
[[nodiscard]] TimePoint NextCallAt(const ReplyHistory& aHistory);

}  // namespace bronze

#endif  // BRONZE_CORE_MESSAGE_REPLY_MATCH_FUNC_H_

/**
 * @file error_reply.h The HTTP reply for an error.
 */

#ifndef BRONZE_NET_ERROR_REPLY_H_
#define BRONZE_NET_ERROR_REPLY_H_

#include "core/error/error_type.h"
#include "net/http_type.h"

namespace bronze {

/**
 * @return a JSON reply with the HTTP status and fields that the table of error
 *         answers has for this kind of error.
 */
[[nodiscard]] HttpReply ErrorReply(const Error& aError);

}  // namespace bronze

#endif  // BRONZE_NET_ERROR_REPLY_H_

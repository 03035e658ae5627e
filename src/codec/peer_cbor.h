/**
 * @file peer_cbor.h CBOR form of messages between daemons.
 *
 * A message is an array [version, from, incarnation, epoch, type, body]. Bodies
 * are arrays of the members of a struct without their names, which keeps
 * heartbeats small. A receiver ignores further elements at the end of an array.
 */

#ifndef BRONZE_CODEC_PEER_CBOR_H_
#define BRONZE_CODEC_PEER_CBOR_H_

#include <string>
#include <string_view>

#include "core/message/peer_message_type.h"

namespace bronze {

[[nodiscard]] std::string EncodePeerMessage(const PeerMessage& aMessage);

/** Fails with ErrorKind::PeerMalformed on invalid input. */
[[nodiscard]] Result<PeerMessage> DecodePeerMessage(std::string_view aBytes);

}  // namespace bronze

#endif  // BRONZE_CODEC_PEER_CBOR_H_

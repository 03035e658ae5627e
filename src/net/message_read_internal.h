/**
 * @file message_read_internal.h Reads HTTP messages of bounded size. Internal
 * to net.
 *
 * Boost.Beast's own read operations go on until a head is complete. Its limit
 * on the head counts only what follows the last complete line if a read ends
 * within two bytes after it, and there is none on trailers and chunk heads.
 * Here, each read is followed by a check.
 */

#ifndef BRONZE_NET_MESSAGE_READ_INTERNAL_H_
#define BRONZE_NET_MESSAGE_READ_INTERNAL_H_

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <iterator>

namespace bronze {

/** Limits on one message. */
struct MessageLimits {
  size_t m_headerBytes = 0;
  size_t m_headerFields = 0;
  size_t m_bodyBytes = 0;
};

/** @return the largest size of the buffer for such messages. The parser has to
 *          see more than the longest head in order to refuse it. */
inline size_t BufferBytes(const MessageLimits& aLimits) {
  constexpr size_t kSlack = 1024;
  return aLimits.m_headerBytes + kSlack;
}

template <class Parser>
void SetLimits(Parser& aParser, const MessageLimits& aLimits) {
  aParser.eager(true);
  aParser.header_limit(static_cast<std::uint32_t>(aLimits.m_headerBytes));
  aParser.body_limit(aLimits.m_bodyBytes);
}

/** @return the size of the next read; 0 if the buffer has its largest size, so
 *          that a chunk head or the trailers are too long. */
inline size_t NextReadBytes(const boost::beast::flat_buffer& aBuffer) {
  constexpr size_t kMinRead = 512;
  return std::min(std::max(kMinRead, aBuffer.capacity() - aBuffer.size()),
                  aBuffer.max_size() - aBuffer.size());
}

template <class Parser>
size_t CountFields(const Parser& aParser) {
  return static_cast<size_t>(
      std::distance(aParser.get().begin(), aParser.get().end()));
}

/** Parses what the buffer holds.
 *  @param aBytes of the message so far; the parsed ones are added.
 *  @return the error if the message is invalid or exceeds a limit. */
template <class Parser>
boost::beast::error_code ParseSome(Parser& aParser,
                                   boost::beast::flat_buffer& aBuffer,
                                   const MessageLimits& aLimits,
                                   size_t& aBytes) {
  namespace http = boost::beast::http;
  boost::beast::error_code error;
  while (aBuffer.size() > 0 && !aParser.is_done() && !error) {
    const size_t used = aParser.put(aBuffer.data(), error);
    aBuffer.consume(used);
    aBytes += used;
  }
  if (error && error != http::error::need_more) return error;
  if (aParser.is_done()) return {};
  if (NextReadBytes(aBuffer) == 0) return http::error::header_limit;
  if (CountFields(aParser) > aLimits.m_headerFields) {
    return http::error::header_limit;
  }
  if (!aParser.is_header_done()) {
    if (aBytes > aLimits.m_headerBytes) return http::error::header_limit;
  } else if (aBytes > 2 * (aLimits.m_headerBytes + aLimits.m_bodyBytes)) {
    // Chunk heads may be as long as the body altogether.
    return http::error::body_limit;
  }
  return {};
}

/** @return the memory that a message holds which is not complete. */
template <class Parser>
size_t HeldBytes(const Parser& aParser,
                 const boost::beast::flat_buffer& aBuffer) {
  // Beside its text, a field needs a node with pointers and lengths. Of the
  // text, a field of ordinary length is counted.
  constexpr size_t kFieldBytes = 128;
  return aBuffer.capacity() + aParser.get().body().capacity() +
         CountFields(aParser) * kFieldBytes;
}

}  // namespace bronze

#endif  // BRONZE_NET_MESSAGE_READ_INTERNAL_H_

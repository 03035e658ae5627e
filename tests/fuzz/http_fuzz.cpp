/**
 * @file http_fuzz.cpp libFuzzer target of the reader of HTTP messages.
 *
 * http_replay_test runs the seeds in corpus/http.
 */

#include "http_fuzz.h"

#include <boost/asio/buffer.hpp>
#include <cstdlib>
#include <string>

#include "net/message_read_internal.h"

namespace bronze {

namespace {

namespace http = boost::beast::http;

constexpr size_t kHeaderBytes = 2048;
constexpr size_t kBodyBytes = 4096;
constexpr MessageLimits kLimits{kHeaderBytes, 64, kBodyBytes};
/** All limits at once, and each byte of the head a field. */
constexpr size_t kMaxHeldBytes =
    2 * (kHeaderBytes + kBodyBytes) + 1024 + kHeaderBytes * 128;
/** Beyond each of the limits on what is read. */
constexpr size_t kMaxReadBytes = 8 * (kHeaderBytes + kBodyBytes);

/** @return 1 if the message is complete, 0 if it is refused. */
template <class Parser>
int ReadInParts(std::string_view aInput, size_t aPart) {
  const size_t line = aInput.rfind('\n', aInput.size() - 2);
  const std::string_view tail =
      line == std::string_view::npos ? aInput : aInput.substr(line + 1);
  std::string input(aInput);
  while (input.size() < kMaxReadBytes) input += tail;
  Parser parser;
  SetLimits(parser, kLimits);
  boost::beast::flat_buffer buffer(BufferBytes(kLimits));
  size_t bytes = 0;
  size_t at = 0;
  while (at < input.size()) {
    const size_t size =
        std::min({NextReadBytes(buffer), aPart, input.size() - at});
    const size_t copied = boost::asio::buffer_copy(
        buffer.prepare(size), boost::asio::buffer(input.data() + at, size));
    buffer.commit(copied);
    at += copied;
    if (ParseSome(parser, buffer, kLimits, bytes)) return 0;
    if (HeldBytes(parser, buffer) > kMaxHeldBytes) std::abort();
    if (parser.is_done()) return 1;
  }
  // A reply without a length ends with its connection.
  if (!parser.is_header_done() || !parser.need_eof()) std::abort();
  return 0;
}

}  // namespace

int ReadFuzzedHttp(std::string_view aInput) {
  if (aInput.size() < 2) return 0;
  int complete = 0;
  for (const size_t part : {1U, 64U, 512U, 4096U}) {
    complete +=
        ReadInParts<http::request_parser<http::string_body>>(aInput, part);
    complete +=
        ReadInParts<http::response_parser<http::string_body>>(aInput, part);
  }
  return complete;
}

}  // namespace bronze

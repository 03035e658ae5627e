/**
 * @file http_fuzz.h Runs the bounded reader of HTTP messages on arbitrary
 * bytes.
 */

#ifndef BRONZE_TESTS_FUZZ_HTTP_FUZZ_H_
#define BRONZE_TESTS_FUZZ_HTTP_FUZZ_H_

#include <string_view>

namespace bronze {

/**
 * Reads the input as a request and as a reply, in reads of several sizes. The
 * last line goes on without end. Aborts if a message holds more than its
 * limits allow, or is neither complete nor refused after several times as many
 * bytes.
 * @return the number of complete messages.
 */
int ReadFuzzedHttp(std::string_view aInput);

}  // namespace bronze

#endif  // BRONZE_TESTS_FUZZ_HTTP_FUZZ_H_

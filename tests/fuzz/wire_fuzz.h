/**
 * @file wire_fuzz.h Runs the decoders of messages and stored rows on arbitrary
 * bytes.
 */

#ifndef BRONZE_TESTS_FUZZ_WIRE_FUZZ_H_
#define BRONZE_TESTS_FUZZ_WIRE_FUZZ_H_

#include <string_view>

namespace bronze {

/**
 * Passes the input to each decoder of the scheduler: entries and reports of
 * runners, the configuration, callers' bodies, rows and calls between daemons.
 * Aborts if a refused input has no error text, or if an accepted runner has an
 * address that cannot be called.
 * @return the number of decoders that accepted the input.
 */
int DecodeFuzzedMessage(std::string_view aInput);

}  // namespace bronze

#endif  // BRONZE_TESTS_FUZZ_WIRE_FUZZ_H_

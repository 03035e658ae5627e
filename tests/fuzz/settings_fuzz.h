/**
 * @file settings_fuzz.h Runs the settings loader on arbitrary bytes.
 */

#ifndef BRONZE_TESTS_FUZZ_SETTINGS_FUZZ_H_
#define BRONZE_TESTS_FUZZ_SETTINGS_FUZZ_H_

#include <string_view>

namespace bronze {

/**
 * Parses the input and aborts if a rule is broken: rejected input must have a
 * problem with a text, and accepted settings must be equal after they are
 * written and parsed again.
 * @return whether the input was accepted as system settings.
 */
bool LoadFuzzedSettings(std::string_view aInput);

}  // namespace bronze

#endif  // BRONZE_TESTS_FUZZ_SETTINGS_FUZZ_H_

/**
 * @file http_fuzz_main.cpp Entry point for libFuzzer.
 */

#include <cstddef>
#include <cstdint>

#include "http_fuzz.h"

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize) {
  bronze::ReadFuzzedHttp({reinterpret_cast<const char*>(aData), aSize});
  return 0;
}

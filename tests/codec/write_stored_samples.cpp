/**
 * @file write_stored_samples.cpp Prints all samples as lines "NAME HEX", the
 * format of stored_samples.txt.
 */

#include <cstdio>

#include "stored_samples.h"

int main() {
  for (const bronze::StoredSample& sample : bronze::StoredSamples()) {
    std::printf("%s %s\n", sample.m_name.c_str(),
                bronze::ToHex(sample.m_bytes).c_str());
  }
  return 0;
}

/**
 * @file stored_samples.h One encoded sample of each stored row and of each
 * message between daemons, for comparing the formats of two builds.
 */

#ifndef BRONZE_TESTS_CODEC_STORED_SAMPLES_H_
#define BRONZE_TESTS_CODEC_STORED_SAMPLES_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace bronze {

struct StoredSample {
  std::string m_name;
  std::string m_bytes;  ///< Encoding by this build.
  /** Decodes and encodes again; empty if the bytes cannot be decoded. */
  std::function<std::string(std::string_view)> m_recode;
};

/** All samples, always in the same order. */
[[nodiscard]] std::vector<StoredSample> StoredSamples();

/** Bytes as lower-case hexadecimal digits. */
[[nodiscard]] std::string ToHex(std::string_view aBytes);

}  // namespace bronze

#endif  // BRONZE_TESTS_CODEC_STORED_SAMPLES_H_

/**
 * @file seed_replay.h Runs the seeds of a fuzz target in a test.
 */

#ifndef BRONZE_TESTS_FUZZ_SEED_REPLAY_H_
#define BRONZE_TESTS_FUZZ_SEED_REPLAY_H_

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace bronze {

/** Seeds of a corpus by what the target says of them. */
struct SeedCounts {
  size_t m_accepted = 0;
  size_t m_refused = 0;
};

/** @param aAccepts runs the target on the text of a seed. */
template <class Accepts>
SeedCounts ReplaySeeds(const std::filesystem::path& aFolder, Accepts aAccepts) {
  SeedCounts counts;
  for (const auto& entry : std::filesystem::directory_iterator(aFolder)) {
    BOOST_TEST_CHECKPOINT(entry.path().filename().string());
    std::ostringstream text;
    text << std::ifstream(entry.path(), std::ios::binary).rdbuf();
    ++(aAccepts(text.str()) ? counts.m_accepted : counts.m_refused);
  }
  return counts;
}

}  // namespace bronze

#endif  // BRONZE_TESTS_FUZZ_SEED_REPLAY_H_

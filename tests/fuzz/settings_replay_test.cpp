/**
 * @file settings_replay_test.cpp Runs the seeds of the fuzz target.
 */

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "settings_fuzz.h"

namespace bronze {

// Guards against inputs that once crashed the loader, and against seeds that
// are no longer both accepted and rejected.
BOOST_AUTO_TEST_CASE(EverySeedIsLoaded) {
  size_t accepted = 0;
  size_t refused = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(BRONZE_SEED_FOLDER)) {
    BOOST_TEST_CHECKPOINT(entry.path().filename().string());
    std::ostringstream text;
    text << std::ifstream(entry.path(), std::ios::binary).rdbuf();
    ++(LoadFuzzedSettings(text.str()) ? accepted : refused);
  }
  BOOST_TEST(accepted >= 3U);
  BOOST_TEST(refused >= 5U);
}

}  // namespace bronze

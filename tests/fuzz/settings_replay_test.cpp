/**
 * @file settings_replay_test.cpp Runs the seeds of the fuzz target.
 */

#include <boost/test/unit_test.hpp>

#include "seed_replay.h"
#include "settings_fuzz.h"

namespace bronze {

// Guards against inputs that once crashed the loader, and against seeds that
// are no longer both accepted and rejected.
BOOST_AUTO_TEST_CASE(EverySeedIsLoaded) {
  const SeedCounts seeds = ReplaySeeds(
      BRONZE_SEED_FOLDER,
      [](const std::string& aText) { return LoadFuzzedSettings(aText); });
  BOOST_TEST(seeds.m_accepted >= 3U);
  BOOST_TEST(seeds.m_refused >= 5U);
}

}  // namespace bronze

/**
 * @file http_replay_test.cpp Runs the seeds of the fuzz target of the reader of
 * HTTP messages.
 */

#include <boost/test/unit_test.hpp>

#include "http_fuzz.h"
#include "seed_replay.h"

namespace bronze {

BOOST_AUTO_TEST_SUITE(HttpReplaySuite)

/** Guards against messages without end that are read without bound, and against
 *  seeds that are no longer both accepted and refused. */
BOOST_AUTO_TEST_CASE(EverySeedIsRead) {
  const SeedCounts seeds = ReplaySeeds(
      BRONZE_SEED_FOLDER,
      [](const std::string& aText) { return ReadFuzzedHttp(aText) > 0; });
  BOOST_TEST(seeds.m_accepted >= 4U);
  BOOST_TEST(seeds.m_refused >= 7U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze

/**
 * @file http_replay_test.cpp Runs the seeds of the fuzz target of the reader of
 * HTTP messages.
 */

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "http_fuzz.h"

namespace bronze {

BOOST_AUTO_TEST_SUITE(HttpReplaySuite)

/** Guards against messages without end that are read without bound, and against
 *  seeds that are no longer both accepted and refused. */
BOOST_AUTO_TEST_CASE(EverySeedIsRead) {
  size_t complete = 0;
  size_t refused = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(BRONZE_SEED_FOLDER)) {
    BOOST_TEST_CHECKPOINT(entry.path().filename().string());
    std::ostringstream text;
    text << std::ifstream(entry.path(), std::ios::binary).rdbuf();
    ++(ReadFuzzedHttp(text.str()) > 0 ? complete : refused);
  }
  BOOST_TEST(complete >= 4U);
  BOOST_TEST(refused >= 7U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze

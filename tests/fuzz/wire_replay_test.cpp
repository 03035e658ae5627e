/**
 * @file wire_replay_test.cpp Runs the seeds of the fuzz target of the decoders,
 * and inputs that are too large to be kept as files.
 */

#include <boost/test/unit_test.hpp>
#include <string>

#include "seed_replay.h"
#include "wire_fuzz.h"

namespace bronze {

namespace {

std::string Repeated(std::string_view aText, size_t aTimes) {
  std::string text;
  for (size_t i = 0; i < aTimes; ++i) text += aText;
  return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(WireReplaySuite)

/** Guards against inputs that crash a decoder, and against seeds that are no
 *  longer both accepted and refused. */
BOOST_AUTO_TEST_CASE(EverySeedIsDecoded) {
  const SeedCounts seeds = ReplaySeeds(
      BRONZE_SEED_FOLDER,
      [](const std::string& aText) { return DecodeFuzzedMessage(aText) > 0; });
  BOOST_TEST(seeds.m_accepted >= 4U);
  BOOST_TEST(seeds.m_refused >= 10U);
}

/** Guards against a stack overflow: decoders of the JSON libraries recurse once
 *  per level. */
BOOST_AUTO_TEST_CASE(DeepNestingIsRefused) {
  constexpr size_t kDepth = 200'000;
  BOOST_TEST(DecodeFuzzedMessage(Repeated("[", kDepth)) == 0);
  BOOST_TEST(DecodeFuzzedMessage(Repeated("{\"a\":", kDepth)) == 0);
  // In CBOR, 0x81 starts an array of one element and 0xa1 0x61 0x61 a map with
  // the key "a".
  BOOST_TEST(DecodeFuzzedMessage(Repeated("\x81", kDepth)) == 0);
  BOOST_TEST(DecodeFuzzedMessage(Repeated("\xa1\x61\x61", kDepth)) == 0);
}

/** Guards against memory that is reserved for an announced length before the
 *  elements have been read. */
BOOST_AUTO_TEST_CASE(HugeAnnouncedLengthIsRefused) {
  const std::string array("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9);
  const std::string text("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", 9);
  BOOST_TEST(DecodeFuzzedMessage(array) == 0);
  BOOST_TEST(DecodeFuzzedMessage(text) == 0);
}

/** Guards against an entry of 1 MB that is decoded field by field. */
BOOST_AUTO_TEST_CASE(LargeEntryIsDecoded) {
  const std::string labels = Repeated("\"x\",", 250'000);
  const std::string entry =
      R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready",)"
      R"("version":"v1","slots":8,"cold_left_ms":0,"sequence":1,)"
      R"("capacity":{"cpu":5},"labels":[)" +
      labels + "\"y\"]}";
  BOOST_TEST(DecodeFuzzedMessage(entry) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze

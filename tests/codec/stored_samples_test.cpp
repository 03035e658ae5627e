/**
 * @file stored_samples_test.cpp Compares the formats of rows and messages with
 * those of an earlier build.
 *
 * stored_samples.txt is the output of write_stored_samples at the commit that
 * its first line names. Regenerate it only for an intended change of a format.
 */

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>

#include "stored_samples.h"

namespace bronze {

namespace {

/** Hexadecimal text of each sample in the file, by name. */
std::map<std::string, std::string> ReadSamples() {
  std::ifstream file(BRONZE_STORED_SAMPLES);
  std::map<std::string, std::string> samples;
  std::string name;
  std::string hex;
  std::string comment;
  std::getline(file, comment);
  while (file >> name >> hex) samples[name] = hex;
  return samples;
}

std::string FromHex(const std::string& aHex) {
  std::string bytes;
  for (size_t at = 0; at + 1 < aHex.size(); at += 2) {
    bytes += static_cast<char>(std::stoi(aHex.substr(at, 2), nullptr, 16));
  }
  return bytes;
}

}  // namespace

// Guards against a build that cannot decode the rows or messages of an earlier
// one, or encodes them differently. While VMs are updated one by one, both
// builds run together and share the stored rows.
BOOST_AUTO_TEST_CASE(FormatsOfEarlierBuildAreKept) {
  const auto written = ReadSamples();
  const auto samples = StoredSamples();
  BOOST_TEST(written.size() == samples.size());
  for (const StoredSample& sample : samples) {
    const auto found = written.find(sample.m_name);
    BOOST_REQUIRE_MESSAGE(found != written.end(), sample.m_name);
    BOOST_TEST(ToHex(sample.m_bytes) == found->second, sample.m_name);
    const std::string recoded = sample.m_recode(FromHex(found->second));
    BOOST_TEST(ToHex(recoded) == found->second, sample.m_name);
  }
}

}  // namespace bronze

/**
 * @file stored_samples_test.cpp Rows and messages that an earlier build wrote.
 *
 * stored_samples.txt is the output of write_stored_samples at the commit that
 * its first line names. It is written anew only when a format changes on
 * purpose.
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

// Guards against a build that misreads rows or messages of the build before it,
// or writes them in another form: both happen when VMs are updated one by one.
BOOST_AUTO_TEST_CASE(EarlierBuildIsUnderstood) {
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

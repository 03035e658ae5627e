/**
 * @file overload_test.cpp Clients outside the limits neither end a process nor
 * keep it from serving others (issue 46).
 *
 * Each case is a ctest entry of its own, and runs apart from other tests.
 */

#include <boost/test/unit_test.hpp>

#include "overload_fixture.h"

namespace bronze {

namespace {

constexpr size_t kPartBytes = size_t{64} << 10;
constexpr size_t kSenders = 16;
/** Several times the memory limit, in total. */
constexpr size_t kBytesPerSender = size_t{16} << 20;

constexpr char kChunked[] =
    "POST /queue/00000000000000aa HTTP/1.1\r\nHost: h.example\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

/** @return lines of 64 bytes, kPartBytes in total. */
std::string TrailerLines() {
  std::string lines;
  while (lines.size() < kPartBytes) {
    lines += "X-Trailer: " + std::string(51, 'a') + "\r\n";
  }
  return lines;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(overload, OverloadFixture)

// The buffer of a connection grew by each trailer, until memory ran out.
BOOST_AUTO_TEST_CASE(TrailersWithoutEnd) {
  Crowd crowd(Callers(), {kSenders, std::string(kChunked) + "1\r\nx\r\n0\r\n",
                          TrailerLines(), kBytesPerSender});
  Run(crowd);
  CheckServes();
}

// The same with a single line.
BOOST_AUTO_TEST_CASE(TrailerLineWithoutEnd) {
  Crowd crowd(Callers(),
              {kSenders, std::string(kChunked) + "1\r\nx\r\n0\r\nX-Trailer: ",
               std::string(kPartBytes, 'a'), kBytesPerSender});
  Run(crowd);
  CheckServes();
}

// The same with the head of a chunk.
BOOST_AUTO_TEST_CASE(ChunkExtensionWithoutEnd) {
  Crowd crowd(Callers(), {kSenders, std::string(kChunked) + "1;name=",
                          std::string(kPartBytes, 'a'), kBytesPerSender});
  Run(crowd);
  CheckServes();
}

// The parser takes each line that is complete, and applies its limit only to
// the rest. Reads that end a byte after a line escape that limit.
BOOST_AUTO_TEST_CASE(HeaderLinesWithoutEnd) {
  // All parts are multiples of a line, and the process reads 512 bytes at once.
  constexpr size_t kLineBytes = 64;
  constexpr size_t kReadBytes = 512;
  const std::string begin = "GET /queue/";
  const std::string end = " HTTP/1.1\r\nX";
  const size_t padding = kLineBytes - begin.size() - end.size();
  std::string lines;
  while (lines.size() < kReadBytes) {
    lines += "-Header: " + std::string(kLineBytes - 12, 'a') + "\r\nX";
  }
  Crowd crowd(Callers(), {kSenders, begin + std::string(padding, 'a') + end,
                          lines, kBytesPerSender});
  Run(crowd);
  CheckServes();
}

// Each body is within its limit, but all of them exceeded the memory.
BOOST_AUTO_TEST_CASE(UnfinishedBodies) {
  Crowd crowd(Callers(), {150,
                          "POST /queue/00000000000000aa HTTP/1.1\r\n"
                          "Host: h.example\r\nContent-Length: 1000000\r\n\r\n",
                          std::string(kPartBytes, 'a'), 990'000});
  Run(crowd);
  CheckServes();
}

// Answers that nobody reads must not collect, nor their connections stay.
BOOST_AUTO_TEST_CASE(UnreadAnswers) {
  const std::string call = "GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n";
  std::string calls;
  while (calls.size() < kPartBytes) calls += call;
  Crowd metrics(Metrics(), {60, "", calls, 4 * kPartBytes});
  Crowd ready(Ready(), {60, "", calls, 4 * kPartBytes});
  // These answers are shorter, so that it takes more of them until the kernel
  // takes no more.
  Crowd callers(Callers(), {8, "", calls, 20 * kPartBytes});
  for (Crowd* crowd : {&metrics, &ready, &callers}) AwaitClosed(*crowd);
  CheckServes();
}

// Connections took all descriptors, and kept others from connecting.
BOOST_AUTO_TEST_CASE(HalfOpenConnections) {
  Crowd silent(Callers(), {300, "", "", 0});
  Crowd begun(Callers(), {300, "GET /queue/00000000000000aa HT", "", 0});
  Crowd health(Ready(), {100, "", "", 0});
  Run(silent);
  Run(begun);
  Run(health);
  CheckServes();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze

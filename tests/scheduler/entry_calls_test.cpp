/**
 * @file entry_calls_test.cpp Tests what an entry node answers its callers while
 * the owner of the cell is another daemon, which this test plays.
 */

#include <boost/test/unit_test.hpp>

#include "codec/peer_call_cbor.h"
#include "node_fixture.h"
#include "scheduler/boot_clock.h"

namespace bronze {

namespace {

/** A daemon that others believe to own cell 0. */
class PlayedOwner {
 public:
  using Script = std::function<void(const std::shared_ptr<HttpResponder>&)>;

  PlayedOwner(ThreadPool& aThreads, Counters& aCounters, Script aScript)
      : m_script(std::move(aScript)),
        m_server(aThreads, HttpLimits(), aCounters,
                 [this](size_t, const HttpCall&, auto aResponder) {
                   ++m_calls;
                   m_script(aResponder);
                 }) {
    m_address = AddressText(
        m_server.Listen({boost::asio::ip::address_v4::loopback(), 0}).value());
  }

  /** Writes the heartbeat of its term. */
  void Beat(standin::RowStore& aStore, uint64_t aTerm,
            Millicores aCpu = Millicores(1000)) {
    HeartbeatRow row;
    row.m_vm = "played-" + std::to_string(aTerm);
    row.m_incarnation = 1;
    row.m_address = m_address;
    row.m_sequence = ++m_sequence;
    row.m_capability.m_cpu = aCpu;
    row.m_term = FencingToken(aTerm);
    aStore.Put("beat", "", "0", EncodeHeartbeatRow(row));
  }

  [[nodiscard]] int Calls() const { return m_calls; }

 private:
  Script m_script;
  std::atomic<int> m_calls = 0;
  uint64_t m_sequence = 0;
  std::string m_address;
  HttpServer m_server;
};

void Answer(const std::shared_ptr<HttpResponder>& aResponder,
            const PeerAnswer& aAnswer) {
  HttpReply reply;
  reply.m_contentType = "application/cbor";
  reply.m_body = EncodePeerAnswer(aAnswer);
  aResponder->Reply(std::move(reply));
}

void Refuse(const std::shared_ptr<HttpResponder>& aResponder, ErrorKind aKind) {
  PeerAnswer answer;
  answer.m_error = MakeError(aKind, "refused");
  Answer(aResponder, answer);
}

struct EntryCallsFixture : NodeFixture {
  /** Submits a job again and again until it has been passed to the owner: the
   *  node refuses calls until it has read its configuration. @return the last
   *  reply. */
  HttpReply SubmitTo(PlayedOwner& aOwner, uint64_t aTerm,
                     const RunningNode& aNode, TimePoint& aBegunAt) {
    HttpReply reply;
    BOOST_REQUIRE(Eventually([&] {
      aOwner.Beat(m_store, aTerm);
      aBegunAt = BootNow();
      reply = Submit(aNode, "00000000000000a2");
      return aOwner.Calls() > 0;
    }));
    return reply;
  }
  HttpReply SubmitTo(PlayedOwner& aOwner, uint64_t aTerm,
                     const RunningNode& aNode) {
    TimePoint ignored;
    return SubmitTo(aOwner, aTerm, aNode, ignored);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EntryCallsSuite, EntryCallsFixture)

/** Guards against 503, "never runs", for a job that was stored: its owner ended
 *  before it answered, and the successor refused the second attempt as it was
 *  still loading the cell (review/4). */
BOOST_AUTO_TEST_CASE(SuccessorThatLoadsDoesNotSettleALostAnswer) {
  constexpr uint64_t kTerm = 2;
  Counters counters;
  PlayedOwner successor(m_platformThreads, counters,
                        [&](const std::shared_ptr<HttpResponder>& aResponder) {
                          successor.Beat(m_store, kTerm + 1);
                          Refuse(aResponder, ErrorKind::NotOwner);
                        });
  PlayedOwner owner(m_platformThreads, counters,
                    [&](const std::shared_ptr<HttpResponder>& aResponder) {
                      successor.Beat(m_store, kTerm + 1);
                      aResponder->Abort();
                    });
  RunningNode& node = AddNode("n1");
  const HttpReply reply = SubmitTo(owner, kTerm, node);
  BOOST_TEST(reply.m_status == 504);
  BOOST_TEST(successor.Calls() > 1);
  m_nodes.clear();
}

/** Guards against callers that wait for their deadline although no attempt can
 *  have stored their job. */
BOOST_AUTO_TEST_CASE(RefusedCallIsAnsweredAtOnce) {
  constexpr uint64_t kTerm = 2;
  Counters counters;
  PlayedOwner owner(m_platformThreads, counters,
                    [&](const std::shared_ptr<HttpResponder>& aResponder) {
                      owner.Beat(m_store, kTerm);
                      Refuse(aResponder, ErrorKind::NotOwner);
                    });
  RunningNode& node = AddNode("n1");
  TimePoint begunAt;
  const HttpReply reply = SubmitTo(owner, kTerm, node, begunAt);
  BOOST_TEST(reply.m_status == 503);
  BOOST_TEST(!reply.Header("Retry-After").empty());
  BOOST_TEST((BootNow() - begunAt < seconds(2)));
  m_nodes.clear();
}

/** Guards against callers that wait for their deadline on a connection to the
 *  owner which has gone silent, although new connections work. */
BOOST_AUTO_TEST_CASE(SilentConnectionToTheOwnerIsReplaced) {
  constexpr uint64_t kTerm = 2;
  Counters counters;
  // Kept, so that the connection of the first call stays open.
  std::vector<std::shared_ptr<HttpResponder>> unanswered;
  PlayedOwner owner(m_platformThreads, counters,
                    [&](const std::shared_ptr<HttpResponder>& aResponder) {
                      owner.Beat(m_store, kTerm);
                      if (unanswered.empty()) {
                        unanswered.push_back(aResponder);
                        return;
                      }
                      Answer(aResponder, PeerAnswer());
                    });
  RunningNode& node = AddNode("n1");
  const HttpReply reply = SubmitTo(owner, kTerm, node);
  BOOST_TEST(reply.m_status == 200);
  BOOST_TEST(owner.Calls() == 2);
  m_nodes.clear();
  unanswered.clear();
}

/** Guards against an owner of an earlier build, which cannot read a request for
 *  its cell, that is asked again and again. */
BOOST_AUTO_TEST_CASE(OwnerOfAnEarlierBuildIsAskedRarely) {
  constexpr uint64_t kTerm = 2;
  Counters counters;
  PlayedOwner owner(m_platformThreads, counters,
                    [](const std::shared_ptr<HttpResponder>& aResponder) {
                      HttpReply reply;
                      reply.m_status = 400;
                      reply.m_body = R"({"error":"bad_request"})";
                      aResponder->Reply(std::move(reply));
                    });
  RunningNode& node = AddNode("n1");
  const TimePoint begunAt = BootNow();
  while (BootNow() - begunAt < seconds(7)) {
    owner.Beat(m_store, kTerm, Millicores(120));
    std::this_thread::sleep_for(milliseconds(200));
  }
  BOOST_TEST(owner.Calls() == 1);
  BOOST_TEST(
      node.Metrics().find("handover_requests_total{result=\"unanswered\"} 1") !=
      std::string::npos);
  m_nodes.clear();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze

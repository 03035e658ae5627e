/**
 * @file entry_calls_test.cpp Tests what an entry node answers its callers while
 * the owner of the cell is another daemon, which this test plays.
 */

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "codec/peer_call_cbor.h"
#include "node_fixture.h"
#include "scheduler/boot_clock.h"

namespace bronze {

namespace {

/** Writes the heartbeat of an owner of cell 0. */
void WriteHeartbeat(standin::RowStore& aStore, const std::string& aAddress,
                    uint64_t aTerm, uint64_t aSequence,
                    Millicores aCpu = Millicores(1000)) {
  HeartbeatRow row;
  row.m_vm = "played-" + std::to_string(aTerm);
  row.m_incarnation = 1;
  row.m_address = aAddress;
  row.m_sequence = aSequence;
  row.m_capability.m_cpu = aCpu;
  row.m_term = FencingToken(aTerm);
  aStore.Put("beat", "", "0", EncodeHeartbeatRow(row));
}

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
    WriteHeartbeat(aStore, m_address, aTerm, ++m_sequence, aCpu);
  }

  [[nodiscard]] int Calls() const { return m_calls; }
  [[nodiscard]] const std::string& Address() const { return m_address; }

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

/** A listening socket whose queue of new connections holds one, so that the
 *  next ones get no answer, as across a cut link. */
class FullListener {
 public:
  FullListener()
      : m_acceptor(m_context), m_filler(m_context), m_accepted(m_context) {
    const boost::asio::ip::tcp::endpoint any(
        boost::asio::ip::address_v4::loopback(), 0);
    m_acceptor.open(any.protocol());
    m_acceptor.bind(any);
    m_acceptor.listen(0);
    m_filler.connect(m_acceptor.local_endpoint());
  }
  /** Makes room for one connection. */
  void MakeRoom() { m_acceptor.accept(m_accepted); }
  [[nodiscard]] std::string Address() const {
    return AddressText(m_acceptor.local_endpoint());
  }

 private:
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::ip::tcp::socket m_filler;
  boost::asio::ip::tcp::socket m_accepted;
};

/** Writes the heartbeat of an owner at the address until it goes away. */
class Beater {
 public:
  Beater(standin::RowStore& aStore, const std::string& aAddress)
      : m_thread([this, &aStore, aAddress] {
          constexpr uint64_t kTerm = 2;
          for (uint64_t sequence = 1; !m_stopped; ++sequence) {
            WriteHeartbeat(aStore, aAddress, kTerm, sequence);
            std::this_thread::sleep_for(milliseconds(200));
          }
        }) {}
  ~Beater() {
    m_stopped = true;
    m_thread.join();
  }
  Beater(const Beater&) = delete;
  Beater& operator=(const Beater&) = delete;

 private:
  std::atomic<bool> m_stopped = false;
  std::thread m_thread;
};

struct EntryCallsFixture : NodeFixture {
  /** Submits a job to an owner that takes no connections, again and again until
   *  the node has tried to connect: before that it knows no owner and refuses
   *  at once. @param aAfter called some time after each call has begun.
   *  @return the last reply. */
  HttpReply SubmitToSilentOwner(const RunningNode& aNode, TimePoint& aBegunAt,
                                Duration aTime,
                                const std::function<void()>& aAfter) {
    HttpReply reply;
    BOOST_REQUIRE(Eventually([&] {
      aBegunAt = BootNow();
      auto pending = std::async(std::launch::async, [&] {
        return Submit(aNode, "00000000000000a2");
      });
      const bool waits = pending.wait_for(aTime) != std::future_status::ready;
      if (waits) aAfter();
      reply = pending.get();
      return waits;
    }));
    return reply;
  }

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

/** Guards against 503, "never runs", for a job that a second copy of the call
 *  stores: the first copy cannot connect until the caller's time is over, while
 *  the second one has been read but not answered (review/11). */
BOOST_AUTO_TEST_CASE(CopyThatCannotConnectDoesNotSettleTheSecond) {
  FullListener owner;
  const Beater beater(m_store, owner.Address());
  RunningNode& node = AddNode("n1");
  TimePoint begunAt;
  // The second copy connects at 1.3 s and takes the room; the first one tries
  // again at whole seconds.
  const HttpReply reply = SubmitToSilentOwner(node, begunAt, milliseconds(1150),
                                              [&] { owner.MakeRoom(); });
  BOOST_TEST(reply.m_status == 504);
  BOOST_TEST((BootNow() - begunAt < milliseconds(3000)));
  m_nodes.clear();
}

/** Guards against an unknown outcome where no copy was sent, which would leave
 *  callers without a time to come back. */
BOOST_AUTO_TEST_CASE(CopiesThatCannotConnectAreRefused) {
  FullListener owner;
  const Beater beater(m_store, owner.Address());
  RunningNode& node = AddNode("n1");
  TimePoint begunAt;
  const HttpReply reply =
      SubmitToSilentOwner(node, begunAt, milliseconds(1500), [] {});
  BOOST_TEST(reply.m_status == 503);
  BOOST_TEST(!reply.Header("Retry-After").empty());
  BOOST_TEST((BootNow() - begunAt < milliseconds(3000)));
  m_nodes.clear();
}

namespace {

/** Answers the first call with a refusal once the second one has come; keeps
 *  the second and all later ones. */
class OwnerThatRefusesTheFirst {
 public:
  void operator()(const std::shared_ptr<HttpResponder>& aResponder) {
    m_calls.push_back(aResponder);
    if (m_calls.size() == 2) Refuse(m_calls.front(), ErrorKind::NotReady);
  }
  std::vector<std::shared_ptr<HttpResponder>> m_calls;
};

}  // namespace

/** Guards against 503, "never runs", for a job that a second copy of the call
 *  stores: the owner refused the first copy, as it was behind, and has read the
 *  second one but not answered it. */
BOOST_AUTO_TEST_CASE(RefusalOfTheFirstCopyDoesNotSettleTheSecond) {
  Counters counters;
  OwnerThatRefusesTheFirst script;
  PlayedOwner owner(m_platformThreads, counters,
                    [&](const auto& aResponder) { script(aResponder); });
  RunningNode& node = AddNode("n1");
  constexpr uint64_t kTerm = 2;
  const Beater beater(m_store, owner.Address());
  const HttpReply reply = SubmitTo(owner, kTerm, node);
  BOOST_TEST(reply.m_status == 504);
  BOOST_TEST(owner.Calls() >= 2);
  m_nodes.clear();
  script.m_calls.clear();
}

/** Guards against an answer of a copy that comes after the refusal of another
 *  one and is ignored: the job is accepted, and its caller would not know. */
BOOST_AUTO_TEST_CASE(LateAnswerOfTheSecondCopyCounts) {
  Counters counters;
  OwnerThatRefusesTheFirst script;
  std::thread late;
  PlayedOwner owner(m_platformThreads, counters, [&](const auto& aResponder) {
    script(aResponder);
    if (script.m_calls.size() != 2) return;
    late = std::thread([second = script.m_calls.back()] {
      std::this_thread::sleep_for(milliseconds(400));
      Answer(second, PeerAnswer());
    });
  });
  RunningNode& node = AddNode("n1");
  constexpr uint64_t kTerm = 2;
  const Beater beater(m_store, owner.Address());
  const HttpReply reply = SubmitTo(owner, kTerm, node);
  BOOST_TEST(reply.m_status == 200);
  if (late.joinable()) late.join();
  m_nodes.clear();
  script.m_calls.clear();
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

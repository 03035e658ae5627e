/**
 * @file reply_wholeness_test.cpp Calls to a server whose replies arrive too
 * early, too late, in parts, or beside others.
 */

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"

namespace bronze {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr size_t kMaxAnswer = size_t{1} << 20;
/** More than the buffers of both sockets hold. */
constexpr size_t kLargeBody = size_t{32} << 20;
constexpr Duration kTimeout = seconds(60);
constexpr char kClockHeader[] = "Clock";

/** One connection of the server. */
struct Peer {
  explicit Peer(tcp::socket aSocket) : m_socket(std::move(aSocket)) {}

  void Send(const std::string& aBytes) {
    boost::system::error_code ignored;  // The client may have closed it.
    asio::write(m_socket, asio::buffer(aBytes), ignored);
  }
  void Close() { m_socket.close(); }

  tcp::socket m_socket;
  std::array<char, 65536> m_buffer{};
  std::string m_input;
  size_t m_calls = 0;  ///< Read so far.
};

/** A call that the server has read. */
struct ReadCall {
  std::string m_target;
  std::string m_number;  ///< Empty: it has none.

  /** @return the whole reply to this call; aMark is a header line. */
  [[nodiscard]] std::string Reply(const std::string& aMark) const {
    return "HTTP/1.1 200 OK\r\n" + aMark +
           "Content-Length: " + std::to_string(m_target.size()) + "\r\n\r\n" +
           m_target;
  }
  [[nodiscard]] std::string Reply() const {
    return Reply(std::string(kCallNumberHeader) + ": " + m_number + "\r\n");
  }
};

using PeerPointer = std::shared_ptr<Peer>;

/** A server on the test's own loop; the test decides what it sends. */
class ScriptedServer {
 public:
  explicit ScriptedServer(asio::io_context& aContext)
      : m_acceptor(aContext, {asio::ip::address_v4::loopback(), 0}) {}

  void Start() {
    m_acceptor.async_accept(
        [this](boost::system::error_code aError, tcp::socket aSocket) {
          if (aError) return;
          ++m_accepted;
          // Two replies in turn would wait for the client's acknowledgement.
          aSocket.set_option(tcp::no_delay(true));
          Read(std::make_shared<Peer>(std::move(aSocket)));
          Start();
        });
  }

  /** Waits for a connection without running the loop. */
  PeerPointer AcceptNow() {
    return std::make_shared<Peer>(m_acceptor.accept());
  }

  [[nodiscard]] tcp::endpoint Address() const {
    return m_acceptor.local_endpoint();
  }

  std::function<void(const PeerPointer&, const ReadCall&)> m_onCall;
  /** Runs when the head of a call was read, but not its body. */
  std::function<void(const PeerPointer&)> m_onPart;
  std::function<void()> m_onClosed;  ///< The client has closed a connection.
  size_t m_accepted = 0;

 private:
  void Read(const PeerPointer& aPeer) {
    aPeer->m_socket.async_read_some(
        asio::buffer(aPeer->m_buffer),
        [this, aPeer](boost::system::error_code aError, size_t aCount) {
          if (aError) {
            if (m_onClosed) m_onClosed();
            return;
          }
          aPeer->m_input.append(aPeer->m_buffer.data(), aCount);
          TakeCalls(aPeer);
          if (aPeer->m_socket.is_open()) Read(aPeer);
        });
  }

  void TakeCalls(const PeerPointer& aPeer) {
    std::string& input = aPeer->m_input;
    size_t headEnd = 0;
    while ((headEnd = input.find("\r\n\r\n")) != std::string::npos) {
      const std::string head = input.substr(0, headEnd + 2);
      const std::string length = Field(head, "Content-Length");
      const size_t size =
          headEnd + 4 + (length.empty() ? 0 : std::stoul(length));
      if (input.size() < size) {
        if (m_onPart) std::exchange(m_onPart, nullptr)(aPeer);
        return;
      }
      input.erase(0, size);
      const size_t begin = head.find(' ') + 1;
      ++aPeer->m_calls;
      m_onCall(aPeer, {head.substr(begin, head.find(' ', begin) - begin),
                       Field(head, kCallNumberHeader)});
    }
  }

  static std::string Field(const std::string& aHead, const std::string& aName) {
    const size_t begin = aHead.find("\r\n" + aName + ": ");
    if (begin == std::string::npos) return {};
    const size_t value = begin + aName.size() + 4;
    return aHead.substr(value, aHead.find('\r', value) - value);
  }

  tcp::acceptor m_acceptor;
};

std::optional<ServerMillis> ReadHeaderClock(const HttpReply& aReply) {
  const std::string text = aReply.Header(kClockHeader);
  if (text.empty()) return {};
  return ServerMillis(std::stoll(text));
}

/** @return a header line with the server's clock, in whole milliseconds. */
std::string ClockLine() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::string(kClockHeader) + ": " +
         std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(now)
                 .count()) +
         "\r\n";
}

struct Fixture {
  Fixture() { m_server.Start(); }

  std::shared_ptr<HttpExchange> Begin(HttpClient& aClient,
                                      const std::string& aTarget,
                                      CallHandler aHandler,
                                      Duration aTimeout = kTimeout,
                                      std::string aBody = {}) {
    return aClient.Call(m_server.Address(),
                        {"POST", aTarget, {}, std::move(aBody), {}}, aTimeout,
                        std::move(aHandler));
  }

  /** Makes a call and runs the loop until it has ended. */
  CallOutcome Call(HttpClient& aClient, const std::string& aTarget,
                   Duration aTimeout = kTimeout, std::string aBody = {}) {
    CallOutcome outcome;
    Begin(
        aClient, aTarget,
        [&](CallOutcome aOutcome) {
          outcome = std::move(aOutcome);
          m_context.stop();
        },
        aTimeout, std::move(aBody));
    Run();
    return outcome;
  }

  void Run() {
    m_context.restart();
    m_context.run();
  }

  asio::io_context m_context;
  ScriptedServer m_server{m_context};
  HttpClient m_client{m_context, {2, kMaxAnswer}};
};

bool IsReplyTo(const CallOutcome& aOutcome, const std::string& aTarget) {
  return aOutcome.m_stage == CallStage::CompleteReply &&
         aOutcome.m_reply.m_status == 200 && aOutcome.m_reply.m_body == aTarget;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReplyWholenessSuite, Fixture)

/** Guards against an interim reply that ends its call, after which the final
 *  one is taken for the reply to the next. */
BOOST_AUTO_TEST_CASE(InterimRepliesDoNotEndACall) {
  m_server.m_onCall = [](const PeerPointer& aPeer, const ReadCall& aCall) {
    const std::string interim =
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    aPeer->Send(interim + aCall.Reply());
  };
  for (const auto* target : {"/first", "/second", "/third"}) {
    BOOST_TEST(IsReplyTo(Call(m_client, target), target), target);
  }
  BOOST_TEST(m_server.m_accepted == 1U);
  BOOST_TEST(m_client.MismatchedReplies() == 0U);
}

/** Guards against an interim reply that is all that came, but counts as the
 *  reply. */
BOOST_AUTO_TEST_CASE(InterimReplyAloneIsNone) {
  m_server.m_onCall = [](const PeerPointer& aPeer, const ReadCall&) {
    aPeer->Send("HTTP/1.1 100 Continue\r\n\r\n");
    aPeer->Close();
  };
  BOOST_TEST((Call(m_client, "/").m_stage != CallStage::CompleteReply));
}

/** Guards against a cut body that counts as whole, as only the end of the
 *  connection ends it. */
BOOST_AUTO_TEST_CASE(ReplyWithoutALengthIsNone) {
  m_server.m_onCall = [](const PeerPointer& aPeer, const ReadCall& aCall) {
    aPeer->Send("HTTP/1.1 200 OK\r\n\r\n" + aCall.m_target);
    aPeer->Close();
  };
  BOOST_TEST((Call(m_client, "/").m_stage == CallStage::PartlyRead));
}

/** Guards against a reply that was sent before its call, such as one that a
 *  server sends to each new connection. */
BOOST_AUTO_TEST_CASE(ReplyBeforeTheCallIsNone) {
  ScriptedServer server(m_context);  // It does not accept on the loop.
  CallOutcome outcome;
  m_client.Call(server.Address(), {"GET", "/", {}, {}, {}}, kTimeout,
                [&](CallOutcome aOutcome) {
                  outcome = std::move(aOutcome);
                  m_context.stop();
                });
  const PeerPointer peer = server.AcceptNow();
  peer->Send(ReadCall{"/other", "1"}.Reply());
  Run();
  BOOST_TEST((outcome.m_stage == CallStage::NotConnected));
  BOOST_TEST(m_client.MismatchedReplies() == 1U);
  // The connection ends without a byte of the call.
  boost::system::error_code error;
  BOOST_TEST(peer->m_socket.read_some(asio::buffer(peer->m_buffer), error) ==
             0U);
}

/** Guards against a server that closes each new connection and is reported as
 *  one that sends replies to other calls. */
BOOST_AUTO_TEST_CASE(ClosedConnectionIsNoMismatch) {
  ScriptedServer server(m_context);
  CallOutcome outcome;
  m_client.Call(server.Address(), {"GET", "/", {}, {}, {}}, kTimeout,
                [&](CallOutcome aOutcome) {
                  outcome = std::move(aOutcome);
                  m_context.stop();
                });
  server.AcceptNow()->Close();
  Run();
  BOOST_TEST((outcome.m_stage == CallStage::NotConnected));
  BOOST_TEST(m_client.MismatchedReplies() == 0U);
}

/** Guards against the repetition of a reply that arrives while the next call is
 *  being sent and is taken for the reply to it. */
BOOST_AUTO_TEST_CASE(RepetitionArrivesWhileACallIsSent) {
  std::string first;
  m_server.m_onCall = [&](const PeerPointer& aPeer, const ReadCall& aCall) {
    if (first.empty()) first = aCall.Reply();
    aPeer->Send(aCall.Reply());
  };
  BOOST_TEST(IsReplyTo(Call(m_client, "/first"), "/first"));
  m_server.m_onPart = [&](const PeerPointer& aPeer) { aPeer->Send(first); };
  const CallOutcome second =
      Call(m_client, "/second", kTimeout, std::string(kLargeBody, 'x'));
  BOOST_TEST(IsReplyTo(second, "/second"));
  BOOST_TEST(second.m_reused);
  BOOST_TEST(m_client.MismatchedReplies() == 1U);
}

/** Guards against a call that counts as not sent, as its connection ended
 *  during the sending, after a reply. */
BOOST_AUTO_TEST_CASE(ServerRefusesWhileACallIsSent) {
  m_server.m_onCall = [](const PeerPointer&, const ReadCall&) {};
  m_server.m_onPart = [](const PeerPointer& aPeer) {
    aPeer->Send(ReadCall{"/", "1"}.Reply());
    aPeer->Close();
  };
  const CallOutcome outcome =
      Call(m_client, "/", kTimeout, std::string(kLargeBody, 'x'));
  BOOST_TEST((outcome.m_stage == CallStage::PartlySent));
}

/** Guards against the reply to a cancelled call that is taken for the reply to
 *  the next one. */
BOOST_AUTO_TEST_CASE(ReplyToACancelledCallIsOnItsWay) {
  std::shared_ptr<HttpExchange> exchange;
  bool isCancelledAfterReply = false;
  m_server.m_onCall = [&](const PeerPointer& aPeer, const ReadCall& aCall) {
    const bool isFirst = aCall.m_target == "/first";
    if (isFirst && !isCancelledAfterReply) exchange->Cancel();
    aPeer->Send(aCall.Reply());
    if (isFirst && isCancelledAfterReply) exchange->Cancel();
  };
  for (const bool isAfter : {false, true}) {
    isCancelledAfterReply = isAfter;
    int ended = 0;
    exchange = Begin(m_client, "/first", [&](const CallOutcome&) {
      ++ended;
      m_context.stop();
    });
    Run();
    for (const auto* target : {"/second", "/third"}) {
      BOOST_TEST(IsReplyTo(Call(m_client, target), target), target);
    }
    BOOST_TEST(ended == 1);
  }
}

/** Guards against a reply after the time-out of its call that is taken for the
 *  reply to the next one. */
BOOST_AUTO_TEST_CASE(ReplyArrivesAfterTheTimeOut) {
  PeerPointer firstPeer;
  std::string first;
  m_server.m_onCall = [&](const PeerPointer& aPeer, const ReadCall& aCall) {
    if (aCall.m_target == "/first") {
      firstPeer = aPeer;
      first = aCall.Reply();
      return;
    }
    if (firstPeer) firstPeer->Send(first);
    aPeer->Send(aCall.Reply());
  };
  BOOST_TEST(Call(m_client, "/first", milliseconds(100)).m_timedOut);
  for (const auto* target : {"/second", "/third"}) {
    BOOST_TEST(IsReplyTo(Call(m_client, target), target), target);
  }
}

/** Guards against a repetition that arrives after the time-out of its call,
 *  which must not end a later call on the connection either. */
BOOST_AUTO_TEST_CASE(RepetitionArrivesAfterTheTimeOut) {
  constexpr Duration kFirstTimeout = seconds(1);
  asio::steady_timer timer(m_context);
  std::string first;
  m_server.m_onCall = [&](const PeerPointer& aPeer, const ReadCall& aCall) {
    if (first.empty()) {
      first = aCall.Reply();
      aPeer->Send(first);
      return;
    }
    timer.expires_after(kFirstTimeout + milliseconds(100));
    timer.async_wait([&first, aPeer, aCall](boost::system::error_code) {
      aPeer->Send(first);
      aPeer->Send(aCall.Reply());
    });
  };
  BOOST_TEST(IsReplyTo(Call(m_client, "/first", kFirstTimeout), "/first"));
  const CallOutcome second = Call(m_client, "/second");
  BOOST_TEST(IsReplyTo(second, "/second"));
  BOOST_TEST(second.m_reused);
}

/** Guards against the second of two replies in one segment that is taken for
 *  the reply to the next call. */
BOOST_AUTO_TEST_CASE(TwoRepliesInOneSegment) {
  m_server.m_onCall = [](const PeerPointer& aPeer, const ReadCall& aCall) {
    aPeer->Send(aCall.Reply() + aCall.Reply());
  };
  for (const auto* target : {"/first", "/second", "/third"}) {
    BOOST_TEST(IsReplyTo(Call(m_client, target), target), target);
  }
}

/** Guards against a repetition that is told apart by the server's clock only,
 *  and against a true reply that is dropped since its clock is that of the one
 *  before it. */
BOOST_AUTO_TEST_CASE(RepetitionHasTheSameClock) {
  HttpClient client(m_context, {1, kMaxAnswer}, ReadHeaderClock);
  std::string last;
  m_server.m_onCall = [&](const PeerPointer& aPeer, const ReadCall& aCall) {
    // The repetition arrives after the next call was sent.
    if (aPeer->m_calls > 1) aPeer->Send(last);
    last = aCall.Reply(ClockLine());
    aPeer->Send(last);
  };
  constexpr uint64_t kCalls = 100;
  for (uint64_t call = 0; call < kCalls; ++call) {
    const std::string target = "/" + std::to_string(call);
    BOOST_TEST(IsReplyTo(Call(client, target), target), target);
  }
  BOOST_TEST(m_server.m_accepted == 1U);
  BOOST_TEST(client.MismatchedReplies() == kCalls - 1);
}

/** Guards against a clock that stands still, with which each reply looks like a
 *  repetition: the call may not take it. */
BOOST_AUTO_TEST_CASE(ReplyWithAnEqualClockIsNone) {
  HttpClient client(m_context, {1, kMaxAnswer}, ReadHeaderClock);
  m_server.m_onCall = [](const PeerPointer& aPeer, const ReadCall& aCall) {
    aPeer->Send(aCall.Reply(std::string(kClockHeader) + ": 7\r\n"));
  };
  BOOST_TEST(IsReplyTo(Call(client, "/first"), "/first"));
  const CallOutcome second = Call(client, "/second", milliseconds(100));
  BOOST_TEST((second.m_stage != CallStage::CompleteReply));
}

/** Guards against a second call on a connection to a server whose replies have
 *  no mark, and against connections to it that stay open. */
BOOST_AUTO_TEST_CASE(ServerWithoutAMarkGetsOneCallAConnection) {
  m_server.m_onCall = [](const PeerPointer& aPeer, const ReadCall& aCall) {
    BOOST_TEST(aPeer->m_calls == 1U);
    aPeer->Send(aCall.Reply(""));
  };
  for (const auto* target : {"/first", "/second", "/third"}) {
    BOOST_TEST(IsReplyTo(Call(m_client, target), target), target);
  }
  BOOST_TEST(m_server.m_accepted == 3U);
}

/** Guards against connections that stay open at the server for as long as the
 *  caller keeps the ended call. */
BOOST_AUTO_TEST_CASE(ConnectionThatIsNotKeptIsClosed) {
  m_server.m_onCall = [](const PeerPointer& aPeer, const ReadCall& aCall) {
    aPeer->Send(aCall.Reply(""));
  };
  bool isAnswered = false;
  bool isClosed = false;
  asio::steady_timer limit(m_context, kTimeout);
  limit.async_wait([&](boost::system::error_code aError) {
    if (!aError) m_context.stop();
  });
  m_server.m_onClosed = [&] {
    isClosed = true;
    m_context.stop();
  };
  const auto exchange =
      Begin(m_client, "/", [&](const CallOutcome&) { isAnswered = true; });
  Run();
  BOOST_TEST(isAnswered);
  BOOST_TEST(isClosed);
}

/** Guards against the reply to another call in the outcome of one that got
 *  none. */
BOOST_AUTO_TEST_CASE(DroppedReplyIsNotPassedOn) {
  std::string first;
  std::function<void(const PeerPointer&, const ReadCall&)> answerSecond;
  m_server.m_onCall = [&](const PeerPointer& aPeer, const ReadCall& aCall) {
    if (aPeer->m_calls > 1) {
      answerSecond(aPeer, aCall);
      return;
    }
    first = aCall.Reply();
    aPeer->Send(first);
  };
  const auto checkSecond = [&] {
    BOOST_TEST(IsReplyTo(Call(m_client, "/first"), "/first"));
    const CallOutcome second = Call(m_client, "/second");
    BOOST_TEST(second.m_reused);
    BOOST_TEST((second.m_stage != CallStage::CompleteReply));
    BOOST_TEST(second.m_reply.m_body.empty());
    BOOST_TEST(second.m_reply.m_headers.empty());
  };
  answerSecond = [&](const PeerPointer& aPeer, const ReadCall&) {
    aPeer->Send(first);
    aPeer->Close();
  };
  checkSecond();
  answerSecond = [](const PeerPointer& aPeer, const ReadCall& aCall) {
    aPeer->Send(aCall.Reply(""));
  };
  checkSecond();
}

/** Guards against a cut repetition and the true reply that are read as one
 *  whole reply. */
BOOST_AUTO_TEST_CASE(HeadThatHoldsAnotherIsNone) {
  m_server.m_onCall = [](const PeerPointer& aPeer, const ReadCall& aCall) {
    if (aPeer->m_calls > 1) aPeer->Send("HTTP/1.1 409 Conflict\r\nServer: a");
    aPeer->Send(aCall.Reply());
  };
  BOOST_TEST(IsReplyTo(Call(m_client, "/first"), "/first"));
  const CallOutcome second = Call(m_client, "/second");
  BOOST_TEST(second.m_reused);
  BOOST_TEST((second.m_stage == CallStage::PartlyRead));
  BOOST_TEST(IsReplyTo(Call(m_client, "/third"), "/third"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze

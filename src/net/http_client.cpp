/**
 * @file http_client.cpp HTTP client with a pool of idle connections.
 */

#include "net/http_client.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <map>
#include <optional>

#include "core/message/reply_match_func.h"

namespace bronze {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

struct Connection {
  explicit Connection(asio::io_context& aContext) : m_stream(aContext) {}
  beast::tcp_stream m_stream;
  ConnectionNumber m_number;
  ReplyHistory m_history;
};

/** @return the time of the clock that does not jump. */
TimePoint SteadyNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/** Limit of connections that carry a call to an address whose last call timed
 *  out: one for a call that waits at the server, and one for another. */
constexpr size_t kSuspectConnections = 2;

/** Longest time from a call to the end of its reply. */
constexpr Duration kMaxReplyTime = seconds(12);

/** A call that waits for its turn. */
class WaitingCall {
 public:
  virtual ~WaitingCall() = default;
  virtual void Begin() = 0;
};

}  // namespace

struct HttpClient::Pool {
  /** Connections to one address. */
  struct Address {
    /** Open connections without a call in progress. */
    std::vector<std::unique_ptr<Connection>> m_idle;
    size_t m_busy = 0;       ///< Calls that have begun and have not ended.
    bool m_suspect = false;  ///< The last call timed out.
    std::deque<std::shared_ptr<WaitingCall>> m_urgent;
    std::deque<std::shared_ptr<WaitingCall>> m_waiting;
  };

  Pool(asio::io_context& aContext, HttpClientLimits aLimits, ReplyClock aClock)
      : m_context(aContext), m_limits(aLimits), m_clock(aClock) {}

  [[nodiscard]] bool MayBegin(const Address& aAddress) const {
    const size_t limit =
        aAddress.m_suspect
            ? std::min(m_limits.m_busyPerAddress, kSuspectConnections)
            : m_limits.m_busyPerAddress;
    return aAddress.m_busy < limit;
  }

  /** A call has ended: begins those that waited for it. */
  void EndCall(const tcp::endpoint& aAddress) {
    Address& address = m_addresses[aAddress];
    --address.m_busy;
    while (MayBegin(address)) {
      auto& queue =
          address.m_urgent.empty() ? address.m_waiting : address.m_urgent;
      if (queue.empty()) break;
      const std::shared_ptr<WaitingCall> next = std::move(queue.front());
      queue.pop_front();
      next->Begin();
    }
    // Runners come and go under new addresses.
    if (address.m_busy == 0 && address.m_idle.empty()) {
      m_addresses.erase(aAddress);
    }
  }

  asio::io_context& m_context;
  HttpClientLimits m_limits;
  ReplyClock m_clock;  ///< Null: calls are numbered.
  CallNumber m_lastCall;
  // Read by the thread that serves metrics.
  std::atomic<uint64_t> m_connections = 0;  ///< Opened so far.
  std::atomic<uint64_t> m_mismatched = 0;   ///< Replies that were dropped.
  std::map<tcp::endpoint, Address> m_addresses;
};

namespace {

/** Whether the head holds the begin of another one: an answer that was cut,
 *  followed by a whole one, can be parsed as one reply. */
template <class Message>
bool HoldsAnotherHead(const Message& aMessage) {
  constexpr std::string_view kBegin = "HTTP/1.";
  const auto holds = [&](beast::string_view aText) {
    return aText.find({kBegin.data(), kBegin.size()}) !=
           beast::string_view::npos;
  };
  return holds(aMessage.reason()) ||
         std::any_of(aMessage.begin(), aMessage.end(),
                     [&](const auto& aField) { return holds(aField.value()); });
}

std::optional<CallNumber> ReadCallNumber(std::string_view aText) {
  uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [at, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || at != end) return {};
  return CallNumber(number);
}

/** @return would_block if the server has neither sent bytes nor closed the
 *          connection; no error if it has sent some. */
beast::error_code PeekError(tcp::socket& aSocket) {
  beast::error_code error;
  aSocket.non_blocking(true, error);
  char byte = 0;
  aSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error;
}

/**
 * Whether the server has closed an idle connection or has sent unexpected bytes
 * on it.
 */
bool IsStale(tcp::socket& aSocket) {
  return PeekError(aSocket) != asio::error::would_block;
}

template <class PoolState>
class Exchange : public HttpExchange,
                 public WaitingCall,
                 public std::enable_shared_from_this<Exchange<PoolState>> {
 public:
  Exchange(std::shared_ptr<PoolState> aPool, const tcp::endpoint& aAddress,
           const HttpCall& aCall, Duration aTimeout, CallHandler aHandler,
           CallOptions aOptions)
      : m_pool(std::move(aPool)),
        m_address(aAddress),
        m_timeout(aTimeout),
        m_handler(std::move(aHandler)),
        m_options(std::move(aOptions)) {
    m_request.method_string(aCall.m_method);
    m_request.target(aCall.m_target);
    m_request.version(11);
    m_request.set(http::field::host, m_address.address().to_string());
    for (const auto& [name, value] : aCall.m_headers) {
      m_request.set(name, value);
    }
    if (m_pool->m_clock == nullptr) {
      m_number = m_pool->m_lastCall = m_pool->m_lastCall.Next();
      m_request.set(kCallNumberHeader, std::to_string(m_number.Value()));
    }
    m_request.body() = aCall.m_body;
    m_request.prepare_payload();
  }

  void Start() {
    m_madeAt = std::chrono::steady_clock::now();
    auto& address = m_pool->m_addresses[m_address];
    if (m_pool->MayBegin(address)) {
      Begin();
      return;
    }
    auto& queue = m_options.m_urgent ? address.m_urgent : address.m_waiting;
    queue.push_back(this->shared_from_this());
    m_waitTimer.emplace(m_pool->m_context, m_timeout);
    m_waitTimer->async_wait(
        [weak = this->weak_from_this()](beast::error_code aError) {
          const auto self = weak.lock();
          if (!aError && self) self->GiveUpWaiting();
        });
  }

  void Begin() override {
    // A call that was given up stays in its queue.
    if (!m_handler) return;
    m_begun = true;
    m_waitTimer.reset();
    ++m_pool->m_addresses[m_address].m_busy;
    if (!m_options.m_newConnection) TakeIdle();
    const Duration rest =
        m_connection ? NextCallAt(m_connection->m_history) - SteadyNow()
                     : Duration::zero();
    if (rest <= Duration::zero()) {
      Proceed();
      return;
    }
    m_waitTimer.emplace(m_pool->m_context, rest);
    m_waitTimer->async_wait([self = this->shared_from_this()](
                                beast::error_code) { self->Proceed(); });
  }

  void Cancel() override {
    m_cancelled = true;
    if (m_connection) Stream().close();
  }

 private:
  void GiveUpWaiting() {
    // The timer may have expired before its cancellation.
    if (m_begun) return;
    m_outcome.m_timedOut = true;
    m_outcome.m_error = "no connection became free in time";
    auto handler = std::move(m_handler);
    m_handler = nullptr;
    handler(std::move(m_outcome));
  }

  /** Takes the idle connection that was used last among those that can carry
   *  a call now, or else the one that can do so first. */
  void TakeIdle() {
    auto& idle = m_pool->m_addresses[m_address].m_idle;
    std::erase_if(idle, [](const auto& aConnection) {
      return IsStale(aConnection->m_stream.socket());
    });
    if (idle.empty()) return;
    const TimePoint now = SteadyNow();
    auto chosen = std::find_if(
        idle.rbegin(), idle.rend(), [now](const auto& aConnection) {
          return NextCallAt(aConnection->m_history) <= now;
        });
    if (chosen == idle.rend()) chosen = std::prev(idle.rend());
    m_connection = std::move(*chosen);
    idle.erase(std::next(chosen).base());
  }

  /** Sends the call, on a new connection if there is none yet. */
  void Proceed() {
    m_waitTimer.reset();
    if (m_cancelled || (m_options.m_mayBegin && !m_options.m_mayBegin())) {
      m_outcome.m_error = "the call was withdrawn before it was sent";
      if (m_connection && !m_cancelled) KeepConnection();
      asio::post(m_pool->m_context,
                 [self = this->shared_from_this()] { self->Finish(); });
      return;
    }
    // Nothing that has arrived by now can be the reply to this call.
    if (m_connection && IsStale(Stream().socket())) m_connection.reset();
    if (m_connection) {
      m_outcome.m_reused = true;
      Stream().expires_after(m_timeout);
      Send();
      return;
    }
    m_connection = std::make_unique<Connection>(m_pool->m_context);
    m_connection->m_number = ConnectionNumber(++m_pool->m_connections);
    Stream().expires_after(m_timeout);
    Stream().async_connect(
        m_address, [self = this->shared_from_this()](beast::error_code aError) {
          if (aError) {
            self->Fail(aError);
            return;
          }
          beast::error_code ignored;
          self->Stream().socket().set_option(tcp::no_delay(true), ignored);
          const beast::error_code found = PeekError(self->Stream().socket());
          if (!found) {
            self->Drop("the server sent a reply before the call");
          } else if (found != asio::error::would_block) {
            self->Fail(found);
          } else {
            self->Send();
          }
        });
  }

  beast::tcp_stream& Stream() { return m_connection->m_stream; }

  void Send() {
    m_outcome.m_stage = CallStage::PartlySent;
    m_outcome.m_origin = {
        m_connection->m_number, m_connection->m_history.m_replies, {}};
    NoteCall(m_connection->m_history, SteadyNow());
    http::async_write(
        Stream(), m_request,
        [self = this->shared_from_this()](beast::error_code aError, size_t) {
          if (aError) {
            self->Fail(aError);
            return;
          }
          self->m_outcome.m_stage = CallStage::Sent;
          self->Read();
        });
  }

  void Read() {
    m_parser.emplace();
    m_parser->body_limit(m_pool->m_limits.m_maxAnswerBytes);
    ReadMore();
  }

  /** A large reply may take long on a narrow link, so the timeout starts again
   *  with each part that arrives. */
  void ReadMore() {
    http::async_read_some(
        Stream(), m_buffer, *m_parser,
        [self = this->shared_from_this()](beast::error_code aError, size_t) {
          const auto now = std::chrono::steady_clock::now();
          if (aError || self->m_parser->is_done() ||
              now - self->m_madeAt > kMaxReplyTime) {
            self->OnRead(aError ? aError
                         : self->m_parser->is_done()
                             ? beast::error_code()
                             : beast::error_code(beast::error::timeout));
            return;
          }
          self->Stream().expires_after(self->m_timeout);
          self->ReadMore();
        });
  }

  void OnRead(beast::error_code aError) {
    if (m_parser->got_some()) m_outcome.m_stage = CallStage::PartlyRead;
    if (aError) {
      Fail(aError);
      return;
    }
    if (m_parser->get().result_int() / 100 == 1) {
      // An interim reply; the final one follows.
      ReadOn();
      return;
    }
    if (m_parser->need_eof()) {
      Drop("the reply has no length and may not be whole");
      return;
    }
    const bool keepAlive = m_parser->keep_alive();
    auto message = m_parser->release();
    if (m_outcome.m_reused && HoldsAnotherHead(message)) {
      Drop("the reply consists of parts of two");
      return;
    }
    TakeReply(std::move(message));
    const ReplyMark mark = MarkOfReply();
    switch (MatchReply(m_connection->m_history, m_number, mark)) {
      case ReplyMatch::Repeated:
        // It was made for an earlier call; the one to this call follows.
        ForgetReply();
        ReadOn();
        return;
      case ReplyMatch::TooEarly:
      case ReplyMatch::Unmarked:
        Drop("the reply may belong to an earlier call");
        return;
      case ReplyMatch::Matches:
        break;
    }
    m_outcome.m_stage = CallStage::CompleteReply;
    const bool isMarked = NoteReply(m_connection->m_history, mark, SteadyNow());
    ReturnToPool(keepAlive && isMarked && IsSuccess());
    Finish();
  }

  template <class Message>
  void TakeReply(Message aMessage) {
    HttpReply& reply = m_outcome.m_reply;
    reply.m_status = static_cast<int>(aMessage.result_int());
    reply.m_contentType = std::string(aMessage[http::field::content_type]);
    reply.m_headers.clear();
    for (const auto& field : aMessage) {
      reply.m_headers.emplace_back(std::string(field.name_string()),
                                   std::string(field.value()));
    }
    reply.m_body = std::move(aMessage.body());
  }

  ReplyMark MarkOfReply() {
    const HttpReply& reply = m_outcome.m_reply;
    ReplyMark mark;
    mark.m_hasBody = !reply.m_body.empty();
    if (m_pool->m_clock != nullptr) {
      mark.m_clock = m_pool->m_clock(reply);
      m_outcome.m_origin.m_clock = mark.m_clock;
    } else {
      mark.m_call = ReadCallNumber(reply.Header(kCallNumberHeader));
    }
    return mark;
  }

  /** The connection of a refusal is not used again: if the server sent that
   *  twice, it would stand for the refusal of another call. */
  [[nodiscard]] bool IsSuccess() const {
    return m_outcome.m_reply.m_status / 100 == 2;
  }

  /** Reads the next reply on the connection. */
  void ReadOn() {
    m_outcome.m_stage = CallStage::Sent;
    Read();
  }

  /** The reply was made for another call, or for none. */
  void ForgetReply() {
    ++m_pool->m_mismatched;
    m_outcome.m_reply = {};
    m_outcome.m_origin.m_clock.reset();
  }

  /** The reply counts for no call, and neither does any later one on this
   *  connection. */
  void Drop(std::string aError) {
    ForgetReply();
    if (m_outcome.m_stage != CallStage::NotConnected) {
      m_outcome.m_stage = CallStage::PartlyRead;
    }
    m_outcome.m_error = std::move(aError);
    Stream().close();
    Finish();
  }

  void ReturnToPool(bool aKeepAlive) {
    auto& address = m_pool->m_addresses[m_address];
    address.m_suspect = false;
    auto& idle = address.m_idle;
    if (!aKeepAlive || m_buffer.size() > 0 ||
        idle.size() >= m_pool->m_limits.m_idlePerAddress) {
      // The caller may keep this object for long after the call.
      Stream().close();
      return;
    }
    Stream().expires_never();
    KeepConnection();
  }

  void KeepConnection() {
    m_pool->m_addresses[m_address].m_idle.push_back(std::move(m_connection));
  }

  void Fail(beast::error_code aError) {
    m_outcome.m_timedOut = aError == beast::error::timeout;
    // A connection can stop carrying data without a reset. The idle connections
    // to the same address may be affected too, so they are dropped.
    if (m_outcome.m_timedOut) {
      auto& address = m_pool->m_addresses[m_address];
      address.m_idle.clear();
      address.m_suspect = true;
    }
    m_outcome.m_error = aError.message();
    Stream().close();
    Finish();
  }

  void Finish() {
    auto handler = std::move(m_handler);
    m_handler = nullptr;
    handler(std::move(m_outcome));
    m_pool->EndCall(m_address);
  }

  std::shared_ptr<PoolState> m_pool;
  tcp::endpoint m_address;
  Duration m_timeout;
  CallHandler m_handler;
  CallOptions m_options;
  std::chrono::steady_clock::time_point m_madeAt;
  std::optional<asio::steady_timer> m_waitTimer;  ///< Set while it waits.
  bool m_begun = false;  ///< It has a connection, or is about to end.
  bool m_cancelled = false;
  http::request<http::string_body> m_request;
  std::unique_ptr<Connection> m_connection;
  beast::flat_buffer m_buffer;
  std::optional<http::response_parser<http::string_body>> m_parser;
  CallNumber m_number;  ///< 0: not numbered.
  CallOutcome m_outcome;
};

bool EqualsNoCase(std::string_view aLeft, std::string_view aRight) {
  return beast::iequals({aLeft.data(), aLeft.size()},
                        {aRight.data(), aRight.size()});
}

std::string FindHeader(const HttpHeaders& aHeaders, std::string_view aName) {
  const auto found = std::find_if(aHeaders.begin(), aHeaders.end(),
                                  [aName](const auto& aHeader) {
                                    return EqualsNoCase(aHeader.first, aName);
                                  });
  return found == aHeaders.end() ? std::string() : found->second;
}

}  // namespace

std::string HttpCall::Header(std::string_view aName) const {
  return FindHeader(m_headers, aName);
}

std::string HttpReply::Header(std::string_view aName) const {
  return FindHeader(m_headers, aName);
}

HttpClient::HttpClient(asio::io_context& aContext, HttpClientLimits aLimits,
                       ReplyClock aClock)
    : m_pool(std::make_shared<Pool>(aContext, aLimits, aClock)) {}

HttpClient::~HttpClient() {
  // A waiting call keeps the pool alive, and the pool keeps the call.
  for (auto& [address, state] : m_pool->m_addresses) {
    state.m_urgent.clear();
    state.m_waiting.clear();
  }
}

std::shared_ptr<HttpExchange> HttpClient::Call(const tcp::endpoint& aAddress,
                                               const HttpCall& aCall,
                                               Duration aTimeout,
                                               CallHandler aHandler,
                                               CallOptions aOptions) {
  auto exchange = std::make_shared<Exchange<Pool>>(
      m_pool, aAddress, aCall, aTimeout, std::move(aHandler),
      std::move(aOptions));
  exchange->Start();
  return exchange;
}

uint64_t HttpClient::Connections() const { return m_pool->m_connections; }

uint64_t HttpClient::MismatchedReplies() const { return m_pool->m_mismatched; }

}  // namespace bronze

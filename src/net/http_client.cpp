/**
 * @file http_client.cpp HTTP client with a pool of idle connections.
 */

#include "net/http_client.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/http_client_internal.h"
#include "net/message_read_internal.h"

namespace bronze {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

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
        m_options(std::move(aOptions)),
        m_buffer(BufferBytes(Limits())),
        m_share(m_pool->m_limits.m_budget) {
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
    m_replyBytes = 0;
    SetLimits(*m_parser, Limits());
    if (m_buffer.size() == 0) {
      ReadMore();
      return;
    }
    asio::post(m_pool->m_context,
               [self = this->shared_from_this()] { self->Parse(); });
  }

  [[nodiscard]] MessageLimits Limits() const {
    return {kMaxReplyHeaderBytes, kMaxReplyHeaderFields,
            m_pool->m_limits.m_maxAnswerBytes};
  }

  /** A large reply may take long on a narrow link, so the timeout starts again
   *  with each part that arrives. */
  void ReadMore() {
    Stream().async_read_some(m_buffer.prepare(NextReadBytes(m_buffer)),
                             [self = this->shared_from_this()](
                                 beast::error_code aError, size_t aCount) {
                               self->OnBytes(aError, aCount);
                             });
  }

  void OnBytes(beast::error_code aError, size_t aCount) {
    m_buffer.commit(aCount);
    if (aError == asio::error::eof) {
      beast::error_code error = http::error::end_of_stream;
      if (m_parser->got_some()) m_parser->put_eof(error);
      OnRead(error);
    } else if (aError) {
      OnRead(aError);
    } else {
      Parse();
    }
  }

  void Parse() {
    beast::error_code error =
        ParseSome(*m_parser, m_buffer, Limits(), m_replyBytes);
    const bool isDone = m_parser->is_done();
    const bool hasRoom = isDone || m_share.Set(HeldBytes(*m_parser, m_buffer));
    if (!hasRoom) error = http::error::buffer_overflow;
    if (error == http::error::buffer_overflow ||
        error == http::error::header_limit ||
        error == http::error::body_limit) {
      m_share.CountRefused();
    }
    const auto now = std::chrono::steady_clock::now();
    if (!error && !isDone && now - m_madeAt > kMaxReplyTime) {
      error = beast::error::timeout;
    }
    if (error || isDone) {
      OnRead(error);
      return;
    }
    if (m_parser->is_header_done()) Stream().expires_after(m_timeout);
    ReadMore();
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
    m_share.Set(0);
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
  size_t m_replyBytes = 0;  ///< Of the reply, as parsed so far.
  ReplyShare m_share;
  CallNumber m_number;  ///< 0: not numbered.
  CallOutcome m_outcome;
};

}  // namespace

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

/**
 * @file http_session.cpp One connection of the HTTP server.
 */

#include <algorithm>
#include <boost/asio/post.hpp>

#include "core/error/error_func.h"
#include "core/metrics/counter_func.h"
#include "net/error_reply.h"
#include "net/http_session_internal.h"
#include "net/message_read_internal.h"

namespace bronze {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

/** Limits on what is read and discarded before a connection is closed. */
constexpr Duration kLingerTime = seconds(2);
constexpr size_t kLingerBytes = size_t{16} << 20;
/** Size of one read while discarding. */
constexpr size_t kDiscardBytes = size_t{16} << 10;
/** A larger buffer is given back between two calls. */
constexpr size_t kIdleBufferBytes = 4096;
/** @return the number that the client has given to the call; empty if there is
 *          none. Other texts are not sent back. */
template <class Message>
std::string CallNumberOf(const Message& aMessage) {
  constexpr size_t kMaxDigits = 20;
  const auto text = aMessage[kCallNumberHeader];
  const bool valid = text.size() <= kMaxDigits &&
                     std::all_of(text.begin(), text.end(), [](char aDigit) {
                       return aDigit >= '0' && aDigit <= '9';
                     });
  return valid ? std::string(text) : std::string();
}

MessageLimits LimitsOf(const HttpLimits& aLimits) {
  return {aLimits.m_headerBytes, aLimits.m_headerFields, aLimits.m_bodyBytes};
}

class SessionResponder : public HttpResponder {
 public:
  SessionResponder(std::shared_ptr<HttpSession> aSession, uint64_t aCall)
      : m_session(std::move(aSession)), m_call(aCall) {}
  ~SessionResponder() override { Abort(); }
  SessionResponder(const SessionResponder&) = delete;
  SessionResponder& operator=(const SessionResponder&) = delete;

  void Reply(HttpReply aReply) override {
    asio::post(m_session->Executor(), [session = m_session, call = m_call,
                                       reply = std::move(aReply)]() mutable {
      session->Answer(call, std::move(reply));
    });
  }
  void Abort() override {
    asio::post(m_session->Executor(), [session = m_session, call = m_call] {
      session->CloseUnanswered(call);
    });
  }
  void OnClientDisconnect(std::function<void()> aNotify) override {
    asio::post(m_session->Executor(), [session = m_session, call = m_call,
                                       notify = std::move(aNotify)]() mutable {
      session->WatchDisconnect(call, std::move(notify));
    });
  }
  bool Reserve(size_t aBytes) override {
    return m_session->Reserve(m_call, aBytes);
  }

 private:
  std::shared_ptr<HttpSession> m_session;
  uint64_t m_call;
};

}  // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServerState> aShared,
                         size_t aThread, tcp::socket aSocket,
                         std::string aRemote,
                         std::unique_ptr<ConnectionTicket> aTicket)
    : m_shared(std::move(aShared)),
      m_ticket(std::move(aTicket)),
      m_thread(aThread),
      m_stream(std::move(aSocket)),
      m_remote(std::move(aRemote)),
      m_buffer(BufferBytes(LimitsOf(m_shared->m_limits))) {
  m_shared->m_connections.fetch_add(1);
}

HttpSession::~HttpSession() { m_shared->m_connections.fetch_sub(1); }

void HttpSession::Start() {
  m_ticket->SetConnection(weak_from_this());
  beast::error_code ignored;
  m_stream.socket().set_option(tcp::no_delay(true), ignored);
  ReadNext();
}

void HttpSession::Answer(uint64_t aCall, HttpReply aReply) {
  if (aCall != m_call || !m_inProgress) return;
  Write(std::move(aReply));
}

void HttpSession::CloseUnanswered(uint64_t aCall) {
  if (aCall != m_call || !m_inProgress) return;
  Close();
}

void HttpSession::WatchDisconnect(uint64_t aCall,
                                  std::function<void()> aNotify) {
  if (aCall != m_call || !m_inProgress) return;
  m_onDisconnect = std::move(aNotify);
  if (m_watchingDisconnect) return;
  m_watchingDisconnect = true;
  m_stream.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](beast::error_code aError) {
        self->m_watchingDisconnect = false;
        if (!aError) self->OnReadable();
      });
}

bool HttpSession::Reserve(uint64_t aCall, size_t aBytes) {
  if (aCall != m_call || !m_inProgress) return false;
  return m_ticket->Note(ConnectionStage::InProgress, aBytes);
}

void HttpSession::PostClose() {
  asio::post(Executor(), [self = shared_from_this()] { self->Close(); });
}

void HttpSession::ReadNext() {
  m_parser.emplace();
  SetLimits(*m_parser, LimitsOf(m_shared->m_limits));
  m_callBytes = 0;
  // The idle timeout covers the wait for the first byte and the read timeout
  // the rest, so that a slow sender cannot occupy a connection for long.
  const bool started = m_buffer.size() > 0;
  m_stream.expires_after(started ? m_shared->m_limits.m_readTimeout
                                 : m_shared->m_limits.m_idleTimeout);
  if (started) {
    Parse();
    return;
  }
  if (m_buffer.capacity() > kIdleBufferBytes) {
    m_buffer.clear();
    m_buffer.shrink_to_fit();
  }
  if (!m_ticket->Note(ConnectionStage::Idle, m_buffer.capacity())) {
    Close();
    return;
  }
  ReadMore();
}

void HttpSession::ReadMore() {
  m_stream.async_read_some(
      m_buffer.prepare(NextReadBytes(m_buffer)),
      [self = shared_from_this()](beast::error_code aError, size_t aCount) {
        self->OnBytes(aError, aCount);
      });
}

void HttpSession::OnBytes(beast::error_code aError, size_t aCount) {
  const bool isFirst = !m_parser->got_some() && m_buffer.size() == 0;
  m_buffer.commit(aCount);
  if (aError) {
    OnRead(aError != asio::error::eof ? aError
           : isFirst                  ? http::error::end_of_stream
                                      : http::error::partial_message);
    return;
  }
  if (isFirst) m_stream.expires_after(m_shared->m_limits.m_readTimeout);
  Parse();
}

void HttpSession::Parse() {
  const beast::error_code error =
      ParseSome(*m_parser, m_buffer, LimitsOf(m_shared->m_limits), m_callBytes);
  if (error || m_parser->is_done()) {
    OnRead(error);
  } else if (m_ticket->Note(ConnectionStage::Reading,
                            HeldBytes(*m_parser, m_buffer))) {
    ReadMore();
  } else {
    Close();
  }
}

void HttpSession::OnRead(beast::error_code aError) {
  if (aError == http::error::end_of_stream ||
      aError == asio::error::operation_aborted) {
    Close();
    return;
  }
  m_inProgress = true;
  ++m_call;
  if (aError) {
    RejectInput(aError);
    return;
  }
  Handle();
}

void HttpSession::RejectInput(beast::error_code aError) {
  ErrorKind kind = ErrorKind::BadRequest;
  if (aError == http::error::header_limit) kind = ErrorKind::HeaderTooLarge;
  if (aError == http::error::body_limit) kind = ErrorKind::BodyTooLarge;
  if (aError == beast::error::timeout) kind = ErrorKind::SlowSender;
  Count(m_shared->m_counters, RefusalCounter(kind));
  if (aError == beast::error::timeout ||
      aError.category() !=
          http::make_error_code(http::error::end_of_stream).category()) {
    Close();
    return;
  }
  m_parser.reset();
  m_keepAlive = false;
  m_callNumber.clear();
  m_isHead = false;
  m_unread = true;
  Write(ErrorReply(MakeError(kind, aError.message())));
}

void HttpSession::Handle() {
  auto message = m_parser->release();
  m_parser.reset();
  m_keepAlive = message.keep_alive();
  m_callNumber = CallNumberOf(message);
  m_isHead = message.method() == http::verb::head;
  m_stream.expires_never();
  if (!m_ticket->Note(ConnectionStage::InProgress,
                      message.body().capacity() + m_buffer.capacity())) {
    Count(m_shared->m_counters, RefusalCounter(ErrorKind::Overloaded));
    Write(ErrorReply(MakeError(ErrorKind::Overloaded,
                               "the memory for calls in progress is used up")));
    return;
  }
  HttpCall call;
  call.m_method = std::string(message.method_string());
  call.m_target = std::string(message.target());
  for (const auto& field : message) {
    call.m_headers.emplace_back(std::string(field.name_string()),
                                std::string(field.value()));
  }
  call.m_body = std::move(message.body());
  call.m_remote = m_remote;
  m_shared->m_handler(
      m_thread, std::move(call),
      std::make_shared<SessionResponder>(shared_from_this(), m_call));
}

void HttpSession::OnReadable() {
  if (!m_inProgress || !m_onDisconnect) return;
  char byte = 0;
  beast::error_code error;
  m_stream.socket().non_blocking(true, error);
  const size_t count = m_stream.socket().receive(
      asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (count > 0 || error == asio::error::would_block) return;
  auto notify = std::move(m_onDisconnect);
  m_onDisconnect = nullptr;
  Close();
  notify();
}

void HttpSession::Write(HttpReply aReply) {
  m_inProgress = false;
  m_onDisconnect = nullptr;
  if (m_shared->m_draining.load()) m_keepAlive = false;
  m_response.emplace(static_cast<http::status>(aReply.m_status), 11);
  m_response->set(http::field::content_type, aReply.m_contentType);
  for (const auto& [name, value] : aReply.m_headers) {
    m_response->set(name, value);
  }
  if (!m_callNumber.empty()) m_response->set(kCallNumberHeader, m_callNumber);
  if (aReply.m_truncateAfter) m_keepAlive = false;
  m_response->keep_alive(m_keepAlive);
  m_response->body() = std::move(aReply.m_body);
  m_response->prepare_payload();
  // Content-Length still counts the whole body, so the receiver detects the
  // truncation.
  if (aReply.m_truncateAfter)
    m_response->body().resize(*aReply.m_truncateAfter);
  // The client would read a body as the begin of the next reply.
  if (m_isHead) m_response->body().clear();
  // A reply that is ready is sent even if the memory is short: the table closes
  // the connection if the reply is among the largest that nobody reads.
  (void)m_ticket->Note(ConnectionStage::Replying,
                       m_response->body().capacity() + m_buffer.capacity());
  m_stream.expires_after(m_shared->m_limits.m_readTimeout);
  http::async_write(
      m_stream, *m_response,
      [self = shared_from_this()](beast::error_code aError, size_t) {
        self->OnWritten(aError);
      });
}

void HttpSession::OnWritten(beast::error_code aError) {
  m_response.reset();
  if (!aError && m_unread) {
    Linger();
    return;
  }
  if (aError == beast::error::timeout) {
    Count(m_shared->m_counters, CounterId::ConnectionsClosedUnread);
  }
  if (aError || !m_keepAlive) {
    Close();
    return;
  }
  ReadNext();
}

void HttpSession::Linger() {
  beast::error_code ignored;
  m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  m_stream.expires_after(kLingerTime);
  DiscardNext(kLingerBytes);
}

void HttpSession::DiscardNext(size_t aLimit) {
  m_buffer.clear();
  m_stream.async_read_some(
      m_buffer.prepare(std::min(kDiscardBytes, m_buffer.max_size())),
      [self = shared_from_this(), aLimit](beast::error_code aError,
                                          size_t aCount) {
        if (aError || aCount >= aLimit) {
          self->Close();
          return;
        }
        self->DiscardNext(aLimit - aCount);
      });
}

void HttpSession::Close() {
  m_inProgress = false;
  m_onDisconnect = nullptr;
  beast::error_code ignored;
  m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  m_stream.close();
}

}  // namespace bronze

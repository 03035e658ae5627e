/**
 * @file http_server.cpp HTTP server that runs on the traffic threads.
 *
 * Each connection is a Session on one traffic thread. The handlers of its
 * pending operations own it, so it is destroyed when none is left.
 */

#include "net/http_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "core/error/error_func.h"
#include "core/metrics/counter_func.h"
#include "net/error_reply.h"
#include "net/log_func.h"

namespace bronze {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

struct HttpServer::Shared {
  Shared(ThreadPool& aThreads, HttpLimits aLimits, Counters& aCounters,
         HttpHandler aHandler)
      : m_threads(aThreads),
        m_limits(aLimits),
        m_counters(aCounters),
        m_handler(std::move(aHandler)) {}

  ThreadPool& m_threads;
  HttpLimits m_limits;
  Counters& m_counters;
  HttpHandler m_handler;
  std::atomic<bool> m_draining = false;
  std::atomic<size_t> m_connections = 0;
  std::shared_ptr<tcp::acceptor> m_acceptor;
};

namespace {

/** Limits on what is read and discarded before a connection is closed. */
constexpr Duration kLingerTime = seconds(2);
constexpr size_t kLingerBytes = size_t{16} << 20;
/** Size of one read while discarding. */
constexpr size_t kDiscardBytes = size_t{64} << 10;

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

template <class SharedState>
class Session : public std::enable_shared_from_this<Session<SharedState>> {
 public:
  Session(std::shared_ptr<SharedState> aShared, size_t aThread,
          tcp::socket aSocket)
      : m_shared(std::move(aShared)),
        m_thread(aThread),
        m_stream(std::move(aSocket)) {
    m_shared->m_connections.fetch_add(1);
  }
  ~Session() { m_shared->m_connections.fetch_sub(1); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start() {
    beast::error_code ignored;
    const auto remote = m_stream.socket().remote_endpoint(ignored);
    m_remote = remote.address().to_string();
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    ReadNext();
  }

  /** Replies to the call with this number, unless it has ended already. */
  void Answer(uint64_t aCall, HttpReply aReply) {
    if (aCall != m_call || !m_inProgress) return;
    Write(std::move(aReply));
  }

  /** Closes the connection if this call is still unanswered. */
  void CloseUnanswered(uint64_t aCall) {
    if (aCall != m_call || !m_inProgress) return;
    Close();
  }

  void WatchDisconnect(uint64_t aCall, std::function<void()> aNotify) {
    if (aCall != m_call || !m_inProgress) return;
    m_onDisconnect = std::move(aNotify);
    if (m_watchingDisconnect) return;
    m_watchingDisconnect = true;
    m_stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this()](beast::error_code aError) {
          self->m_watchingDisconnect = false;
          if (!aError) self->OnReadable();
        });
  }

  auto Executor() { return m_stream.get_executor(); }

 private:
  class Responder;

  void ReadNext() {
    m_parser.emplace();
    m_parser->header_limit(
        static_cast<std::uint32_t>(m_shared->m_limits.m_headerBytes));
    m_parser->body_limit(m_shared->m_limits.m_bodyBytes);
    // The idle timeout covers the wait for the first byte and the read timeout
    // the rest, so that a slow sender cannot occupy a connection for long.
    const bool started = m_buffer.size() > 0;
    m_stream.expires_after(started ? m_shared->m_limits.m_readTimeout
                                   : m_shared->m_limits.m_idleTimeout);
    http::async_read_some(
        m_stream, m_buffer, *m_parser,
        [self = this->shared_from_this()](beast::error_code aError, size_t) {
          self->OnFirstBytes(aError);
        });
  }

  void OnFirstBytes(beast::error_code aError) {
    if (aError || m_parser->is_done()) {
      OnRead(aError);
      return;
    }
    m_stream.expires_after(m_shared->m_limits.m_readTimeout);
    http::async_read(
        m_stream, m_buffer, *m_parser,
        [self = this->shared_from_this()](beast::error_code aError2, size_t) {
          self->OnRead(aError2);
        });
  }

  void OnRead(beast::error_code aError) {
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

  void RejectInput(beast::error_code aError) {
    m_keepAlive = false;
    m_callNumber.clear();
    m_isHead = false;
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
    m_unread = true;
    Write(ErrorReply(MakeError(kind, aError.message())));
  }

  void Handle();

  void OnReadable() {
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

  void Write(HttpReply aReply) {
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
    m_stream.expires_after(m_shared->m_limits.m_readTimeout);
    http::async_write(
        m_stream, *m_response,
        [self = this->shared_from_this()](beast::error_code aError, size_t) {
          self->OnWritten(aError);
        });
  }

  void OnWritten(beast::error_code aError) {
    m_response.reset();
    if (!aError && m_unread) {
      Linger();
      return;
    }
    if (aError || !m_keepAlive) {
      Close();
      return;
    }
    ReadNext();
  }

  /**
   * Reads and discards what the client still sends. Closing a socket with
   * unread bytes resets the connection, and the client could lose the error
   * reply.
   */
  void Linger() {
    beast::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(kLingerTime);
    DiscardNext(kLingerBytes);
  }

  void DiscardNext(size_t aLimit) {
    m_buffer.clear();
    m_stream.async_read_some(m_buffer.prepare(kDiscardBytes),
                             [self = this->shared_from_this(), aLimit](
                                 beast::error_code aError, size_t aCount) {
                               if (aError || aCount >= aLimit) {
                                 self->Close();
                                 return;
                               }
                               self->DiscardNext(aLimit - aCount);
                             });
  }

  void Close() {
    m_inProgress = false;
    m_onDisconnect = nullptr;
    beast::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    m_stream.close();
  }

  std::shared_ptr<SharedState> m_shared;
  size_t m_thread;
  beast::tcp_stream m_stream;
  std::string m_remote;
  beast::flat_buffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::optional<http::response<http::string_body>> m_response;
  std::function<void()> m_onDisconnect;
  uint64_t m_call = 0;        ///< Number of the current call.
  std::string m_callNumber;   ///< Sent back; empty: the call has none.
  bool m_inProgress = false;  ///< The current call has no reply yet.
  bool m_isHead = false;      ///< The current call's method is HEAD.
  bool m_keepAlive = true;
  bool m_unread = false;  ///< The current call was rejected before its end.
  bool m_watchingDisconnect = false;  ///< An async_wait is pending.
};

template <class SharedState>
class Session<SharedState>::Responder : public HttpResponder {
 public:
  Responder(std::shared_ptr<Session> aSession, uint64_t aCall)
      : m_session(std::move(aSession)), m_call(aCall) {}
  ~Responder() override { Abort(); }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

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

 private:
  std::shared_ptr<Session> m_session;
  uint64_t m_call;
};

template <class SharedState>
void Session<SharedState>::Handle() {
  auto message = m_parser->release();
  m_parser.reset();
  m_keepAlive = message.keep_alive();
  m_callNumber = CallNumberOf(message);
  m_isHead = message.method() == http::verb::head;
  m_stream.expires_never();
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
      std::make_shared<Responder>(this->shared_from_this(), m_call));
}

template <class SharedState>
void AcceptNext(const std::shared_ptr<SharedState>& aShared,
                std::shared_ptr<tcp::acceptor> aAcceptor, size_t aThread) {
  auto& acceptor = *aAcceptor;
  acceptor.async_accept(
      aShared->m_threads.Context(aThread),
      [aShared, acceptorKept = std::move(aAcceptor), aThread](
          beast::error_code aError, tcp::socket aSocket) mutable {
        if (aError == asio::error::operation_aborted ||
            !acceptorKept->is_open()) {
          return;
        }
        const size_t next = (aThread + 1) % aShared->m_threads.Size();
        if (!aError) {
          if (aShared->m_connections.load() >=
              aShared->m_limits.m_connections) {
            Count(aShared->m_counters,
                  RefusalCounter(ErrorKind::TooManyConnections));
          } else {
            auto session = std::make_shared<Session<SharedState>>(
                aShared, aThread, std::move(aSocket));
            asio::post(session->Executor(), [session] { session->Start(); });
          }
        }
        AcceptNext(aShared, std::move(acceptorKept), next);
      });
}

}  // namespace

HttpServer::HttpServer(ThreadPool& aThreads, HttpLimits aLimits,
                       Counters& aCounters, HttpHandler aHandler)
    : m_shared(std::make_shared<Shared>(aThreads, aLimits, aCounters,
                                        std::move(aHandler))) {}

HttpServer::~HttpServer() {
  Drain();
  // The acceptor belongs to the event loop of thread 0. A session can outlive
  // that loop and must not be the last owner of the acceptor.
  m_shared->m_acceptor.reset();
}

Result<tcp::endpoint> HttpServer::Listen(const tcp::endpoint& aEndpoint) {
  auto acceptor =
      std::make_shared<tcp::acceptor>(m_shared->m_threads.Context(0));
  beast::error_code error;
  acceptor->open(aEndpoint.protocol(), error);
  if (!error) acceptor->set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor->bind(aEndpoint, error);
  if (!error)
    acceptor->listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return MakeError(ErrorKind::ConnectionFailed,
                     fmt::format("cannot listen on {}:{}: {}",
                                 aEndpoint.address().to_string(),
                                 aEndpoint.port(), error.message()));
  }
  m_shared->m_acceptor = acceptor;
  const auto bound = acceptor->local_endpoint(error);
  AcceptNext(m_shared, std::move(acceptor), 0);
  return bound;
}

void HttpServer::Drain() {
  m_shared->m_draining = true;
  if (!m_shared->m_acceptor) return;
  asio::post(m_shared->m_acceptor->get_executor(),
             [acceptor = m_shared->m_acceptor] {
               beast::error_code ignored;
               acceptor->close(ignored);
             });
}

size_t HttpServer::OpenConnections() const {
  return m_shared->m_connections.load();
}

}  // namespace bronze

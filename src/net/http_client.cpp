/**
 * @file http_client.cpp HTTP client with a pool of idle connections.
 */

#include "net/http_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>

namespace bronze {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

struct HttpClient::Pool {
  Pool(asio::io_context& aContext, size_t aIdlePerAddress, size_t aMaxAnswer)
      : m_context(aContext),
        m_idlePerAddress(aIdlePerAddress),
        m_maxAnswerBytes(aMaxAnswer) {}

  asio::io_context& m_context;
  size_t m_idlePerAddress;
  size_t m_maxAnswerBytes;
  std::map<tcp::endpoint, std::vector<std::unique_ptr<beast::tcp_stream>>>
      m_idle;  ///< Open connections without a call in progress.
};

namespace {

/**
 * Whether the server has closed an idle connection or has sent unexpected bytes
 * on it.
 */
bool IsStale(tcp::socket& aSocket) {
  beast::error_code error;
  aSocket.non_blocking(true, error);
  char byte = 0;
  aSocket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

template <class PoolState>
class Exchange : public HttpExchange,
                 public std::enable_shared_from_this<Exchange<PoolState>> {
 public:
  Exchange(std::shared_ptr<PoolState> aPool, const tcp::endpoint& aAddress,
           const HttpCall& aCall, CallHandler aHandler)
      : m_pool(std::move(aPool)),
        m_address(aAddress),
        m_handler(std::move(aHandler)) {
    m_request.method_string(aCall.m_method);
    m_request.target(aCall.m_target);
    m_request.version(11);
    m_request.set(http::field::host, m_address.address().to_string());
    for (const auto& [name, value] : aCall.m_headers) {
      m_request.set(name, value);
    }
    m_request.body() = aCall.m_body;
    m_request.prepare_payload();
  }

  void Start(Duration aTimeout) {
    TakeIdle();
    if (m_stream) {
      m_outcome.m_reused = true;
      m_stream->expires_after(aTimeout);
      Send();
      return;
    }
    m_stream = std::make_unique<beast::tcp_stream>(m_pool->m_context);
    m_stream->expires_after(aTimeout);
    m_stream->async_connect(
        m_address, [self = this->shared_from_this()](beast::error_code aError) {
          if (aError) {
            self->Fail(aError);
            return;
          }
          beast::error_code ignored;
          self->m_stream->socket().set_option(tcp::no_delay(true), ignored);
          self->Send();
        });
  }

  void Cancel() override {
    if (m_stream) m_stream->close();
  }

 private:
  void TakeIdle() {
    auto& idle = m_pool->m_idle[m_address];
    while (!idle.empty() && !m_stream) {
      auto stream = std::move(idle.back());
      idle.pop_back();
      if (!IsStale(stream->socket())) m_stream = std::move(stream);
    }
  }

  void Send() {
    m_outcome.m_stage = CallStage::PartlySent;
    http::async_write(
        *m_stream, m_request,
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
    m_parser->body_limit(m_pool->m_maxAnswerBytes);
    http::async_read(
        *m_stream, m_buffer, *m_parser,
        [self = this->shared_from_this()](beast::error_code aError, size_t) {
          self->OnRead(aError);
        });
  }

  void OnRead(beast::error_code aError) {
    if (m_parser->got_some()) m_outcome.m_stage = CallStage::PartlyRead;
    if (aError) {
      Fail(aError);
      return;
    }
    m_outcome.m_stage = CallStage::WholeAnswer;
    auto message = m_parser->release();
    auto& reply = m_outcome.m_reply;
    reply.m_status = static_cast<int>(message.result_int());
    reply.m_contentType = std::string(message[http::field::content_type]);
    for (const auto& field : message) {
      reply.m_headers.emplace_back(std::string(field.name_string()),
                                   std::string(field.value()));
    }
    reply.m_body = std::move(message.body());
    ReturnToPool(message.keep_alive());
    Finish();
  }

  void ReturnToPool(bool aKeepAlive) {
    auto& idle = m_pool->m_idle[m_address];
    if (!aKeepAlive || m_buffer.size() > 0 ||
        idle.size() >= m_pool->m_idlePerAddress) {
      return;
    }
    m_stream->expires_never();
    idle.push_back(std::move(m_stream));
  }

  void Fail(beast::error_code aError) {
    m_outcome.m_timedOut = aError == beast::error::timeout;
    // A connection can stop carrying data without a reset. The idle connections
    // to the same address may be affected too, so they are dropped.
    if (m_outcome.m_timedOut) m_pool->m_idle.erase(m_address);
    m_outcome.m_error = aError.message();
    m_stream->close();
    Finish();
  }

  void Finish() {
    auto handler = std::move(m_handler);
    m_handler = nullptr;
    handler(std::move(m_outcome));
  }

  std::shared_ptr<PoolState> m_pool;
  tcp::endpoint m_address;
  CallHandler m_handler;
  http::request<http::string_body> m_request;
  std::unique_ptr<beast::tcp_stream> m_stream;
  beast::flat_buffer m_buffer;
  std::optional<http::response_parser<http::string_body>> m_parser;
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

HttpClient::HttpClient(asio::io_context& aContext, size_t aIdlePerAddress,
                       size_t aMaxAnswerBytes)
    : m_pool(
          std::make_shared<Pool>(aContext, aIdlePerAddress, aMaxAnswerBytes)) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpExchange> HttpClient::Call(const tcp::endpoint& aAddress,
                                               const HttpCall& aCall,
                                               Duration aTimeout,
                                               CallHandler aHandler) {
  auto exchange = std::make_shared<Exchange<Pool>>(m_pool, aAddress, aCall,
                                                   std::move(aHandler));
  exchange->Start(aTimeout);
  return exchange;
}

}  // namespace bronze

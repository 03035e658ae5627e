/**
 * @file http_server.cpp HTTP server that runs on the traffic threads.
 */

#include "net/http_server.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/metrics/counter_func.h"
#include "net/http_session_internal.h"

namespace bronze {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

/** Pause after a connection could not be accepted: the lack of descriptors that
 *  causes this lasts, and the next try would fail at once. */
constexpr Duration kAcceptPause = milliseconds(100);
/** Bytes that all connections may hold if no table is shared. */
constexpr ByteCount kOwnTableBytes{int64_t{256} << 20};

std::shared_ptr<ConnectionTable> OwnTable(const HttpLimits& aLimits,
                                          Counters& aCounters) {
  TrafficLimits limits;
  limits.m_callBytes = kOwnTableBytes;
  limits.m_connections.fill(aLimits.m_connections);
  return std::make_shared<ConnectionTable>(limits, aCounters);
}

void BeginSession(const std::shared_ptr<HttpServerState>& aShared,
                  size_t aThread, tcp::socket aSocket) {
  beast::error_code ignored;
  std::string remote = aSocket.remote_endpoint(ignored).address().to_string();
  auto ticket = aShared->m_place.m_table->Admit(aShared->m_place.m_role,
                                                ClientAddress(remote));
  if (!ticket) {
    Count(aShared->m_counters, RefusalCounter(ErrorKind::TooManyConnections));
    return;
  }
  auto session =
      std::make_shared<HttpSession>(aShared, aThread, std::move(aSocket),
                                    std::move(remote), std::move(ticket));
  asio::post(session->Executor(), [session] { session->Start(); });
}

void AcceptNext(const std::shared_ptr<HttpServerState>& aShared,
                std::shared_ptr<tcp::acceptor> aAcceptor, size_t aThread);

void AcceptLater(const std::shared_ptr<HttpServerState>& aShared,
                 std::shared_ptr<tcp::acceptor> aAcceptor, size_t aThread) {
  auto timer = std::make_shared<asio::steady_timer>(aAcceptor->get_executor(),
                                                    kAcceptPause);
  timer->async_wait([aShared, timer, acceptorKept = std::move(aAcceptor),
                     aThread](beast::error_code) mutable {
    if (!acceptorKept->is_open()) return;
    AcceptNext(aShared, std::move(acceptorKept), aThread);
  });
}

void AcceptNext(const std::shared_ptr<HttpServerState>& aShared,
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
        if (aError) {
          Count(aShared->m_counters, CounterId::AcceptsFailed);
          AcceptLater(aShared, std::move(acceptorKept), next);
          return;
        }
        BeginSession(aShared, aThread, std::move(aSocket));
        AcceptNext(aShared, std::move(acceptorKept), next);
      });
}

}  // namespace

HttpServer::HttpServer(ThreadPool& aThreads, HttpLimits aLimits,
                       Counters& aCounters, HttpHandler aHandler,
                       HttpServerPlace aPlace) {
  if (!aPlace.m_table) aPlace.m_table = OwnTable(aLimits, aCounters);
  m_shared = std::make_shared<HttpServerState>(
      aThreads, aLimits, aCounters, std::move(aHandler), std::move(aPlace));
}

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

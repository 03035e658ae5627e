/**
 * @file http_server.h HTTP server that runs on the traffic threads.
 */

#ifndef BRONZE_NET_HTTP_SERVER_H_
#define BRONZE_NET_HTTP_SERVER_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "core/error/error_type.h"
#include "core/metrics/counter_type.h"
#include "net/connection_table.h"
#include "net/http_type.h"
#include "net/thread_pool.h"

namespace bronze {

/**
 * Replies to one call. May be used from any thread; only the first reply is
 * sent. If the last reference goes away without a reply, the connection is
 * closed.
 */
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  virtual void Reply(HttpReply aReply) = 0;
  /** Closes the connection without a reply. */
  virtual void Abort() = 0;
  /**
   * Runs aNotify on the traffic thread if the client closes the connection
   * before the reply.
   */
  virtual void OnClientDisconnect(std::function<void()> aNotify) = 0;
  /**
   * Notes that the handler holds this many bytes until the reply. To be called
   * within the handler, if the call holds much more than its body.
   * @return false if the memory for it is missing: the call has to be refused.
   */
  [[nodiscard]] virtual bool Reserve(size_t /*aBytes*/) { return true; }
};

using HttpHandler = std::function<void(
    size_t aThread, HttpCall aCall, std::shared_ptr<HttpResponder> aResponder)>;

/** Where the connections of a server are counted. */
struct HttpServerPlace {
  /** Shared by the servers of a process; null: HttpLimits alone apply. */
  std::shared_ptr<ConnectionTable> m_table;
  ConnectionRole m_role = ConnectionRole::Caller;
};

struct HttpServerState;

class HttpServer {
 public:
  /** The handler runs on the traffic thread of the connection. */
  HttpServer(ThreadPool& aThreads, HttpLimits aLimits, Counters& aCounters,
             HttpHandler aHandler, HttpServerPlace aPlace = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /**
   * Starts to accept connections.
   * @return the bound address; for port 0, with the port that the kernel chose.
   */
  [[nodiscard]] Result<boost::asio::ip::tcp::endpoint> Listen(
      const boost::asio::ip::tcp::endpoint& aEndpoint);

  /**
   * Stops accepting connections. Calls on open connections are still answered,
   * and their replies carry "Connection: close".
   */
  void Drain();

  [[nodiscard]] size_t OpenConnections() const;

 private:
  std::shared_ptr<HttpServerState> m_shared;
};

}  // namespace bronze

#endif  // BRONZE_NET_HTTP_SERVER_H_

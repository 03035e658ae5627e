/**
 * @file http_session_internal.h One connection of the HTTP server. Internal to
 * net.
 *
 * A session runs on one traffic thread. The handlers of its pending operations
 * own it, so it is destroyed when none is left.
 */

#ifndef BRONZE_NET_HTTP_SESSION_INTERNAL_H_
#define BRONZE_NET_HTTP_SESSION_INTERNAL_H_

#include <atomic>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>

#include "net/connection_table.h"
#include "net/http_server.h"

namespace bronze {

/** State of one HttpServer that its sessions share. */
struct HttpServerState {
  HttpServerState(ThreadPool& aThreads, HttpLimits aLimits, Counters& aCounters,
                  HttpHandler aHandler, HttpServerPlace aPlace)
      : m_threads(aThreads),
        m_limits(aLimits),
        m_counters(aCounters),
        m_handler(std::move(aHandler)),
        m_place(std::move(aPlace)) {}

  ThreadPool& m_threads;
  HttpLimits m_limits;
  Counters& m_counters;
  HttpHandler m_handler;
  HttpServerPlace m_place;
  std::atomic<bool> m_draining = false;
  std::atomic<size_t> m_connections = 0;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
};

class HttpSession : public ClosableConnection,
                    public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(std::shared_ptr<HttpServerState> aShared, size_t aThread,
              boost::asio::ip::tcp::socket aSocket, std::string aRemote,
              std::unique_ptr<ConnectionTicket> aTicket);
  ~HttpSession() override;
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void Start();

  /** Replies to the call with this number, unless it has ended already. */
  void Answer(uint64_t aCall, HttpReply aReply);
  /** Closes the connection if this call is still unanswered. */
  void CloseUnanswered(uint64_t aCall);
  void WatchDisconnect(uint64_t aCall, std::function<void()> aNotify);
  /** @return whether the call may hold this much until its reply. */
  [[nodiscard]] bool Reserve(uint64_t aCall, size_t aBytes);

  void PostClose() override;

  auto Executor() { return m_stream.get_executor(); }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  void ReadNext();
  void ReadMore();
  void OnBytes(boost::beast::error_code aError, size_t aCount);
  /** Parses the bytes in the buffer, and reads on or ends the reading. */
  void Parse();
  void OnRead(boost::beast::error_code aError);
  void RejectInput(boost::beast::error_code aError);
  void Handle();
  void OnReadable();
  void Write(HttpReply aReply);
  void OnWritten(boost::beast::error_code aError);
  /** Reads and discards what the client still sends. Closing a socket with
   *  unread bytes resets the connection, and the client could lose the error
   *  reply. */
  void Linger();
  void DiscardNext(size_t aLimit);
  void Close();

  std::shared_ptr<HttpServerState> m_shared;
  std::unique_ptr<ConnectionTicket> m_ticket;
  size_t m_thread;
  boost::beast::tcp_stream m_stream;
  std::string m_remote;
  boost::beast::flat_buffer m_buffer;  ///< Its largest size is a limit.
  std::optional<Parser> m_parser;
  std::optional<Response> m_response;
  std::function<void()> m_onDisconnect;
  uint64_t m_call = 0;        ///< Number of the current call.
  size_t m_callBytes = 0;     ///< Of the call that is read, as parsed so far.
  std::string m_callNumber;   ///< Sent back; empty: the call has none.
  bool m_inProgress = false;  ///< The current call has no reply yet.
  bool m_isHead = false;      ///< The current call's method is HEAD.
  bool m_keepAlive = true;
  bool m_unread = false;  ///< The current call was rejected before its end.
  bool m_watchingDisconnect = false;  ///< An async_wait is pending.
};

}  // namespace bronze

#endif  // BRONZE_NET_HTTP_SESSION_INTERNAL_H_

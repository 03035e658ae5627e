/**
 * @file http_client.h HTTP client with a pool of idle connections.
 *
 * A reply counts only for the call that it was made for (reply_match_func.h):
 * the server copies the number of the call into the reply, or the reply tells
 * the time on the server's clock. A connection to a server that does neither
 * carries one call. The clock shows a second reply only if that is the same as
 * the first; a call whose reply decides something for good, whatever the server
 * sends, asks for a new connection.
 */

#ifndef BRONZE_NET_HTTP_CLIENT_H_
#define BRONZE_NET_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "core/base/time_type.h"
#include "core/error/error_type.h"
#include "core/message/reply_match_type.h"
#include "net/http_type.h"
#include "net/reply_budget.h"

namespace bronze {

/** How far a call got before it ended. */
enum class CallStage : uint8_t {
  NotConnected,   ///< No byte was sent.
  PartlySent,     ///< Some bytes may have been sent.
  Sent,           ///< The whole call was sent; no byte of the reply was read.
  PartlyRead,     ///< Only a part of the reply was read.
  CompleteReply,  ///< The complete reply was read.
};

struct CallOutcome {
  CallStage m_stage = CallStage::NotConnected;
  bool m_timedOut = false;
  bool m_reused = false;  ///< The connection came from the pool.
  ReplyOrigin m_origin;   ///< For logs.
  HttpReply m_reply;      ///< Valid only at CallStage::CompleteReply.
  std::string m_error;    ///< Empty if m_stage is CompleteReply.
};

using CallHandler = std::function<void(CallOutcome aOutcome)>;

/** Reads the time on the server's clock from a reply. Empty: it tells none, or
 *  its body is not whole. */
using ReplyClock = std::optional<ServerMillis> (*)(const HttpReply& aReply);

/** Limits on the connections and replies of one client. */
struct HttpClientLimits {
  size_t m_idlePerAddress = 0;  ///< Idle connections to one address.
  size_t m_maxAnswerBytes = 0;
  /** Connections to one address that carry a call; calls beyond it wait. */
  size_t m_busyPerAddress = SIZE_MAX;
  /** Bound on the replies of all clients together; null: none. */
  std::shared_ptr<ReplyBudget> m_budget = nullptr;
};

/** How a call is treated beside others to the same address. */
struct CallOptions {
  bool m_urgent = false;  ///< Goes before waiting calls that are not urgent.
  /** Asked right before the call is sent, which may be some time after it was
   *  made. If it returns false, nothing is sent. */
  std::function<bool()> m_mayBegin;
  /** No other call went before it on its connection, so that the reply is its
   *  own also if the server makes second replies anew. */
  bool m_newConnection = false;
};

/** A call in progress. */
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  /** Closes the connection; the handler then gets the stage reached so far. */
  virtual void Cancel() = 0;
};

/**
 * Makes HTTP calls on one event loop. All functions must be called on the
 * thread of that loop. A connection carries one call at a time and returns to
 * the pool only after a complete reply.
 *
 * Calls to an address beyond its limit of connections wait in turn. After a
 * time-out the limit is lower until a call is answered, so that an address that
 * is slow to answer does not get a new connection for each call.
 */
class HttpClient {
 public:
  /** @param aClock for servers whose replies tell the time of their steady
   *  clock; null: the client numbers its calls instead. */
  HttpClient(boost::asio::io_context& aContext, HttpClientLimits aLimits,
             ReplyClock aClock = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** The handler runs exactly once, on the event loop's thread.
   *  @param aTimeout limits the wait for a connection, and then the call. */
  std::shared_ptr<HttpExchange> Call(
      const boost::asio::ip::tcp::endpoint& aAddress, const HttpCall& aCall,
      Duration aTimeout, CallHandler aHandler, CallOptions aOptions = {});

  /** @return the number of connections that were opened. */
  [[nodiscard]] uint64_t Connections() const;
  /** @return the number of replies that were dropped since they did not match
   *  their call. */
  [[nodiscard]] uint64_t MismatchedReplies() const;

 private:
  struct Pool;
  std::shared_ptr<Pool> m_pool;
};

}  // namespace bronze

#endif  // BRONZE_NET_HTTP_CLIENT_H_

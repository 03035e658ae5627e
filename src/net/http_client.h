/**
 * @file http_client.h HTTP client with a pool of idle connections.
 */

#ifndef BRONZE_NET_HTTP_CLIENT_H_
#define BRONZE_NET_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "core/base/time_type.h"
#include "core/error/error_type.h"
#include "core/message/reply_match_type.h"
#include "net/http_type.h"

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
  ReplyOrigin m_origin;   ///< For logs; without the clock.
  HttpReply m_reply;      ///< Valid only at CallStage::CompleteReply.
  std::string m_error;    ///< Empty if m_stage is CompleteReply.
};

using CallHandler = std::function<void(CallOutcome aOutcome)>;

/** How a call is treated beside others to the same address. */
struct CallOptions {
  bool m_urgent = false;  ///< Goes before waiting calls that are not urgent.
  /** Asked right before the call is sent, which may be some time after it was
   *  made. If it returns false, nothing is sent. */
  std::function<bool()> m_mayBegin;
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
  /** @param aIdlePerAddress limit of idle connections to one address.
   *  @param aBusyPerAddress limit of connections to one address that carry a
   *  call; calls beyond it wait. */
  HttpClient(boost::asio::io_context& aContext, size_t aIdlePerAddress,
             size_t aMaxAnswerBytes, size_t aBusyPerAddress = SIZE_MAX);
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

 private:
  struct Pool;
  std::shared_ptr<Pool> m_pool;
};

}  // namespace bronze

#endif  // BRONZE_NET_HTTP_CLIENT_H_

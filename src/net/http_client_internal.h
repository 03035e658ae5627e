/**
 * @file http_client_internal.h Connections of the HTTP client, and what it
 * finds in replies. Internal to net.
 */

#ifndef BRONZE_NET_HTTP_CLIENT_INTERNAL_H_
#define BRONZE_NET_HTTP_CLIENT_INTERNAL_H_

#include <algorithm>
#include <atomic>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <map>
#include <optional>

#include "core/message/reply_match_func.h"
#include "net/http_client.h"

namespace bronze {

struct Connection {
  explicit Connection(boost::asio::io_context& aContext) : m_stream(aContext) {}
  boost::beast::tcp_stream m_stream;
  ConnectionNumber m_number;
  ReplyHistory m_history;
};

/** @return the time of the clock that does not jump. */
inline TimePoint SteadyNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/** Limit of connections that carry a call to an address whose last call timed
 *  out: one for a call that waits at the server, and one for another. */
inline constexpr size_t kSuspectConnections = 2;

/** Longest time from a call to the end of its reply. */
inline constexpr Duration kMaxReplyTime = seconds(12);

/** Limits on the head and the trailers of a reply. */
inline constexpr size_t kMaxReplyHeaderBytes = size_t{16} << 10;
inline constexpr size_t kMaxReplyHeaderFields = 256;

/** A call that waits for its turn. */
class WaitingCall {
 public:
  virtual ~WaitingCall() = default;
  virtual void Begin() = 0;
};

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

  Pool(boost::asio::io_context& aContext, HttpClientLimits aLimits,
       ReplyClock aClock)
      : m_context(aContext), m_limits(aLimits), m_clock(aClock) {}

  [[nodiscard]] bool MayBegin(const Address& aAddress) const {
    const size_t limit =
        aAddress.m_suspect
            ? std::min(m_limits.m_busyPerAddress, kSuspectConnections)
            : m_limits.m_busyPerAddress;
    return aAddress.m_busy < limit;
  }

  /** A call has ended: begins those that waited for it. */
  void EndCall(const boost::asio::ip::tcp::endpoint& aAddress) {
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

  boost::asio::io_context& m_context;
  HttpClientLimits m_limits;
  ReplyClock m_clock;  ///< Null: calls are numbered.
  CallNumber m_lastCall;
  // Read by the thread that serves metrics.
  std::atomic<uint64_t> m_connections = 0;  ///< Opened so far.
  std::atomic<uint64_t> m_mismatched = 0;   ///< Replies that were dropped.
  std::map<boost::asio::ip::tcp::endpoint, Address> m_addresses;
};

/** Whether the head holds the begin of another one: an answer that was cut,
 *  followed by a whole one, can be parsed as one reply. */
template <class Message>
bool HoldsAnotherHead(const Message& aMessage) {
  constexpr std::string_view kBegin = "HTTP/1.";
  const auto holds = [&](boost::beast::string_view aText) {
    return aText.find({kBegin.data(), kBegin.size()}) !=
           boost::beast::string_view::npos;
  };
  return holds(aMessage.reason()) ||
         std::any_of(aMessage.begin(), aMessage.end(),
                     [&](const auto& aField) { return holds(aField.value()); });
}

inline std::optional<CallNumber> ReadCallNumber(std::string_view aText) {
  uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [at, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || at != end) return {};
  return CallNumber(number);
}

/** @return would_block if the server has neither sent bytes nor closed the
 *          connection; no error if it has sent some. */
inline boost::beast::error_code PeekError(
    boost::asio::ip::tcp::socket& aSocket) {
  boost::beast::error_code error;
  aSocket.non_blocking(true, error);
  char byte = 0;
  aSocket.receive(boost::asio::buffer(&byte, 1),
                  boost::asio::ip::tcp::socket::message_peek, error);
  return error;
}

/**
 * Whether the server has closed an idle connection or has sent unexpected bytes
 * on it.
 */
inline bool IsStale(boost::asio::ip::tcp::socket& aSocket) {
  return PeekError(aSocket) != boost::asio::error::would_block;
}

}  // namespace bronze

#endif  // BRONZE_NET_HTTP_CLIENT_INTERNAL_H_

/**
 * @file repeating_proxy.h A TCP proxy that sends some answers of a server
 * twice.
 */

#ifndef BRONZE_TESTS_NET_REPEATING_PROXY_H_
#define BRONZE_TESTS_NET_REPEATING_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "core/base/time_type.h"

namespace bronze {

/** Which answers are sent twice, and when. */
struct Repetition {
  double m_share = 0.0;  ///< Of the answers that m_applies accepts.
  Duration m_shortestDelay{};
  Duration m_longestDelay{};
  size_t m_bytes = SIZE_MAX;  ///< The second answer is cut after these.
  /** Gets the bytes of an answer; empty: accepts all. */
  std::function<bool(std::string_view aAnswer)> m_applies;
  /** The second answer is made anew: it tells a later time on the server's
   *  clock. The rest of it stays. */
  bool m_madeAnew = false;
};

/** All members may be used on any thread. A connection is served by the thread
 *  of aContext. */
class RepeatingProxy {
 public:
  /** @param aSeed of the choice of answers and delays. */
  RepeatingProxy(boost::asio::io_context& aContext,
                 const boost::asio::ip::tcp::endpoint& aServer, uint64_t aSeed);
  ~RepeatingProxy();
  RepeatingProxy(const RepeatingProxy&) = delete;
  RepeatingProxy& operator=(const RepeatingProxy&) = delete;

  [[nodiscard]] boost::asio::ip::tcp::endpoint Address() const;
  void SetRepetition(Repetition aRepetition);
  /** @return the number of answers that were sent twice. */
  [[nodiscard]] size_t Repeated() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace bronze

#endif  // BRONZE_TESTS_NET_REPEATING_PROXY_H_

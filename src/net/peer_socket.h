/**
 * @file peer_socket.h Message sockets between daemons, using nng.
 *
 * nng runs its callbacks on its own threads. The callbacks only post to the
 * event loop that owns the socket.
 */

#ifndef BRONZE_NET_PEER_SOCKET_H_
#define BRONZE_NET_PEER_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/error/error_type.h"

namespace bronze {

/** Receives the messages of all peers. */
class PeerListener {
 public:
  using Handler = std::function<void(std::string aBytes)>;

  /** aHandler runs on aContext, once per message. */
  PeerListener(boost::asio::io_context& aContext, Handler aHandler);
  ~PeerListener();
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;

  /** @return the bound address; for port 0, with the port that was chosen. */
  [[nodiscard]] Result<boost::asio::ip::tcp::endpoint> Listen(
      const boost::asio::ip::tcp::endpoint& aEndpoint);

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

/** Sends messages to one peer; reconnects automatically. */
class PeerLink {
 public:
  explicit PeerLink(const boost::asio::ip::tcp::endpoint& aPeer);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /** Never blocks. @return false if the message was dropped. */
  [[nodiscard]] bool Send(std::string_view aBytes);

  [[nodiscard]] const boost::asio::ip::tcp::endpoint& Address() const {
    return m_address;
  }

 private:
  struct State;
  boost::asio::ip::tcp::endpoint m_address;
  std::unique_ptr<State> m_state;
};

}  // namespace bronze

#endif  // BRONZE_NET_PEER_SOCKET_H_

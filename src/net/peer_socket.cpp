/**
 * @file peer_socket.cpp Message sockets between daemons, using nng.
 */

#include "net/peer_socket.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <boost/asio/post.hpp>

#include "net/address_func.h"

namespace bronze {

namespace {

using tcp = boost::asio::ip::tcp;

// In bytes. The receiving socket rejects larger messages.
constexpr size_t kMaxPeerMessage = size_t{4} << 20;
// Messages buffered for a peer that is not connected. With a larger buffer,
// messages would be outdated when the peer gets them.
constexpr int kSendBuffer = 64;
constexpr int kReceiveBuffer = 1024;
constexpr nng_duration kReconnectMin = 50;    // Milliseconds.
constexpr nng_duration kReconnectMax = 1000;  // Milliseconds.

std::string Url(const tcp::endpoint& aEndpoint) {
  return "tcp://" + AddressText(aEndpoint);
}

/** Owns an nng socket. */
class Socket {
 public:
  Socket() = default;
  ~Socket() { nng_close(m_socket); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  nng_socket m_socket = NNG_SOCKET_INITIALIZER;
};

/** Owns an nng message. */
struct MessageDeleter {
  void operator()(nng_msg* aMessage) const { nng_msg_free(aMessage); }
};
using Message = std::unique_ptr<nng_msg, MessageDeleter>;

}  // namespace

struct PeerListener::State {
  State(boost::asio::io_context& aContext, Handler aHandler)
      : m_context(aContext), m_handler(std::move(aHandler)) {}
  ~State() {
    // Aborts the pending receive and waits for its callback, which uses the
    // members.
    nng_aio_stop(m_aio);
    nng_aio_free(m_aio);
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void ReceiveNext() { nng_recv_aio(m_socket.m_socket, m_aio); }

  void OnReceive() {
    if (nng_aio_result(m_aio) != 0) return;
    const Message message(nng_aio_get_msg(m_aio));
    std::string bytes(static_cast<const char*>(nng_msg_body(message.get())),
                      nng_msg_len(message.get()));
    boost::asio::post(m_context, [this, received = std::move(bytes)]() mutable {
      m_handler(std::move(received));
    });
    ReceiveNext();
  }

  boost::asio::io_context& m_context;
  Handler m_handler;
  Socket m_socket;
  nng_aio* m_aio = nullptr;
};

PeerListener::PeerListener(boost::asio::io_context& aContext, Handler aHandler)
    : m_state(std::make_unique<State>(aContext, std::move(aHandler))) {}

PeerListener::~PeerListener() = default;

Result<tcp::endpoint> PeerListener::Listen(const tcp::endpoint& aEndpoint) {
  const auto failed = [&aEndpoint](int aError) {
    return MakeError(ErrorKind::ConnectionFailed,
                     "cannot listen for peers on " + AddressText(aEndpoint) +
                         ": " + nng_strerror(aError));
  };
  int error = nng_pull0_open(&m_state->m_socket.m_socket);
  if (error != 0) return failed(error);
  const nng_socket socket = m_state->m_socket.m_socket;
  nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, kMaxPeerMessage);
  nng_socket_set_int(socket, NNG_OPT_RECVBUF, kReceiveBuffer);
  nng_listener listener;
  error = nng_listen(socket, Url(aEndpoint).c_str(), &listener, 0);
  if (error != 0) return failed(error);
  int port = aEndpoint.port();
  if (port == 0) {
    error = nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    if (error != 0) return failed(error);
  }
  error = nng_aio_alloc(
      &m_state->m_aio,
      [](void* aState) { static_cast<State*>(aState)->OnReceive(); },
      m_state.get());
  if (error != 0) return failed(error);
  m_state->ReceiveNext();
  return tcp::endpoint(aEndpoint.address(), static_cast<uint16_t>(port));
}

struct PeerLink::State {
  Socket m_socket;
};

PeerLink::PeerLink(const tcp::endpoint& aPeer)
    : m_address(aPeer), m_state(std::make_unique<State>()) {
  auto& socket = m_state->m_socket.m_socket;
  if (nng_push0_open(&socket) != 0) return;
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendBuffer);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kReconnectMin);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kReconnectMax);
  // Does not block: nng retries in the background while the peer is down.
  nng_dial(socket, Url(aPeer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

PeerLink::~PeerLink() = default;

bool PeerLink::Send(std::string_view aBytes) {
  nng_msg* raw = nullptr;
  if (nng_msg_alloc(&raw, 0) != 0) return false;
  Message message(raw);
  if (nng_msg_append(message.get(), aBytes.data(), aBytes.size()) != 0) {
    return false;
  }
  const int error =
      nng_sendmsg(m_state->m_socket.m_socket, message.get(), NNG_FLAG_NONBLOCK);
  if (error != 0) return false;
  (void)message.release();  // nng owns the message after a successful send.
  return true;
}

}  // namespace bronze

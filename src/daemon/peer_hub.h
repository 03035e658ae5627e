/**
 * @file peer_hub.h Sends and receives messages between daemons.
 */

#ifndef BRONZE_DAEMON_PEER_HUB_H_
#define BRONZE_DAEMON_PEER_HUB_H_

#include <functional>
#include <map>
#include <memory>

#include "core/message/peer_message_type.h"
#include "core/metrics/counter_type.h"
#include "net/peer_socket.h"

namespace bronze {

/** Every function is called on the control thread. */
class PeerHub {
 public:
  using Handler = std::function<void(const PeerMessage& aMessage)>;

  PeerHub(boost::asio::io_context& aContext, const VmId& aSelf,
          Incarnation aIncarnation, Counters& aCounters);

  [[nodiscard]] Result<boost::asio::ip::tcp::endpoint> Listen(
      const boost::asio::ip::tcp::endpoint& aEndpoint);

  /** The handler gets all messages of known peers and of this VM itself. */
  void SetHandler(Handler aHandler) { m_handler = std::move(aHandler); }

  /** Sets the epoch in the header of all later messages. */
  void SetEpoch(Epoch aEpoch) { m_epoch = aEpoch; }

  /** Connects to exactly these peers; reconnects where an address changed. */
  void SetPeers(const std::map<VmId, boost::asio::ip::tcp::endpoint>& aPeers);

  /** A message to this VM itself is posted to the event loop. */
  void Send(const VmId& aTo, PeerBody aBody);

  [[nodiscard]] const VmId& Self() const { return m_self; }

 private:
  void OnBytes(const std::string& aBytes);

  boost::asio::io_context& m_context;
  VmId m_self;
  Incarnation m_incarnation;
  Counters& m_counters;
  Epoch m_epoch;
  Handler m_handler;
  PeerListener m_listener;
  std::map<VmId, std::unique_ptr<PeerLink>> m_links;  ///< Without this VM.
};

}  // namespace bronze

#endif  // BRONZE_DAEMON_PEER_HUB_H_

/**
 * @file peer_hub.cpp Sends and receives messages between daemons.
 */

#include "daemon/peer_hub.h"

#include <boost/asio/post.hpp>

#include "codec/peer_cbor.h"
#include "core/metrics/counter_func.h"
#include "net/log_func.h"

namespace bronze {

PeerHub::PeerHub(boost::asio::io_context& aContext, const VmId& aSelf,
                 Incarnation aIncarnation, Counters& aCounters)
    : m_context(aContext),
      m_self(aSelf),
      m_incarnation(aIncarnation),
      m_counters(aCounters),
      m_listener(aContext,
                 [this](const std::string& aBytes) { OnBytes(aBytes); }) {}

Result<boost::asio::ip::tcp::endpoint> PeerHub::Listen(
    const boost::asio::ip::tcp::endpoint& aEndpoint) {
  return m_listener.Listen(aEndpoint);
}

void PeerHub::SetPeers(
    const std::map<VmId, boost::asio::ip::tcp::endpoint>& aPeers) {
  std::erase_if(m_links, [&aPeers](const auto& aLink) {
    const auto found = aPeers.find(aLink.first);
    return found == aPeers.end() || found->second != aLink.second->Address();
  });
  for (const auto& [vm, address] : aPeers) {
    if (vm == m_self || m_links.contains(vm)) continue;
    m_links.emplace(vm, std::make_unique<PeerLink>(address));
  }
}

void PeerHub::Send(const VmId& aTo, PeerBody aBody) {
  PeerMessage message{m_self, m_incarnation, m_epoch, std::move(aBody)};
  if (aTo == m_self) {
    boost::asio::post(m_context, [this, own = std::move(message)] {
      if (m_handler) m_handler(own);
    });
    return;
  }
  const auto link = m_links.find(aTo);
  if (link == m_links.end()) {
    Count(m_counters, CounterId::PeerDroppedUnknown);
    return;
  }
  const std::string bytes = EncodePeerMessage(message);
  if (!link->second->Send(bytes)) {
    Count(m_counters, CounterId::PeerDroppedSendFull);
    return;
  }
  Count(m_counters, CounterId::PeerMessagesSent);
  Count(m_counters, CounterId::PeerBytesSent, bytes.size());
}

void PeerHub::OnBytes(const std::string& aBytes) {
  Count(m_counters, CounterId::PeerMessagesReceived);
  Count(m_counters, CounterId::PeerBytesReceived, aBytes.size());
  const auto message = DecodePeerMessage(aBytes);
  if (!message) {
    Count(m_counters, CounterId::PeerDroppedMalformed);
    Log(LogLevel::Warn, LogPart::Peers,
        "malformed peer message dropped error=\"{}\"",
        message.error().m_message);
    return;
  }
  if (!m_links.contains(message.value().m_from)) {
    Count(m_counters, CounterId::PeerDroppedUnknown);
    return;
  }
  if (m_handler) m_handler(message.value());
}

}  // namespace bronze

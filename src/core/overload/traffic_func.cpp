/**
 * @file traffic_func.cpp Decides how much connections may hold, and which are
 * closed first.
 */

#include "core/overload/traffic_func.h"

#include <algorithm>
#include <map>
#include <queue>

namespace bronze {

namespace {

constexpr int64_t kMebibyte = int64_t{1} << 20;
/** Descriptors that the platform keeps for files. */
constexpr size_t kFileDescriptors = 200;
/** Memory of a connection: its session (some 2.4 KB) and kUncountedBytes. */
constexpr int64_t kConnectionBytes = 8192;
/** Of the sockets, in sixteenths; the rest is for outgoing connections, such
 *  as those to runners, and for the connections that are being closed. */
constexpr size_t kCallerSixteenths = 6;
constexpr size_t kPeerSixteenths = 4;
constexpr size_t kHealthSixteenths = 1;
constexpr size_t kMaxCallers = 3000;
constexpr size_t kMaxHealth = 32;
/** The largest reply of the store fits twice. */
constexpr int64_t kMinReplyBytes = 8 * kMebibyte;

bool MayBeClosed(const ConnectionUse& aUse) {
  return aUse.m_stage != ConnectionStage::InProgress;
}

/** @return the given part of the memory, in connections. */
size_t ConnectionsIn(int64_t aBytes) {
  return static_cast<size_t>(std::max<int64_t>(aBytes / kConnectionBytes, 1));
}

}  // namespace

TrafficLimits TrafficLimitsOf(const ProcessLimits& aLimits) {
  const int64_t memory = aLimits.m_memory.Value() * kMebibyte;
  const size_t descriptors = aLimits.m_descriptors;
  const size_t sockets =
      descriptors - std::min(kFileDescriptors, descriptors - descriptors / 2);
  const size_t health =
      std::clamp<size_t>(sockets * kHealthSixteenths / 16, 1, kMaxHealth);
  TrafficLimits limits;
  limits.m_callBytes = ByteCount(memory / 4);
  limits.m_replyBytes = ByteCount(std::max(memory / 8, kMinReplyBytes));
  const auto set = [&limits](ConnectionRole aRole, size_t aCount) {
    limits.m_connections[static_cast<size_t>(aRole)] =
        std::max<size_t>(aCount, 1);
  };
  set(ConnectionRole::Caller,
      std::min({sockets * kCallerSixteenths / 16, ConnectionsIn(memory / 8),
                kMaxCallers}));
  set(ConnectionRole::Peer,
      std::min(sockets * kPeerSixteenths / 16, ConnectionsIn(memory / 16)));
  set(ConnectionRole::Ready, health);
  set(ConnectionRole::Metrics, health);
  return limits;
}

ByteCount CountedBytes(ByteCount aBytes) {
  return aBytes > kUncountedBytes ? aBytes : ByteCount();
}

std::vector<ConnectionId> ChooseForBytes(std::vector<ConnectionUse> aUses,
                                         ByteCount aExcess) {
  std::erase_if(aUses, [](const ConnectionUse& aUse) {
    return !MayBeClosed(aUse) || CountedBytes(aUse.m_bytes) == ByteCount();
  });
  std::sort(aUses.begin(), aUses.end(),
            [](const ConnectionUse& aLeft, const ConnectionUse& aRight) {
              return aLeft.m_bytes > aRight.m_bytes;
            });
  std::vector<ConnectionId> chosen;
  for (const ConnectionUse& use : aUses) {
    if (aExcess <= ByteCount()) break;
    chosen.push_back(use.m_id);
    aExcess -= use.m_bytes;
  }
  return chosen;
}

std::vector<ConnectionId> ChooseForRoom(const std::vector<ConnectionUse>& aUses,
                                        size_t aCount) {
  struct Client {
    size_t m_connections = 0;
    /** That may be closed; the one without progress for longest comes last. */
    std::vector<const ConnectionUse*> m_closable;
  };
  std::map<ClientAddress, Client> clients;
  for (const ConnectionUse& use : aUses) {
    Client& client = clients[use.m_client];
    ++client.m_connections;
    if (MayBeClosed(use)) client.m_closable.push_back(&use);
  }
  const auto later = [](const ConnectionUse* aLeft,
                        const ConnectionUse* aRight) {
    return aLeft->m_lastActivity > aRight->m_lastActivity;
  };
  // Of two addresses with as many connections, the one whose next connection
  // made no progress for longer goes first.
  const auto goesLater = [](const Client* aLeft, const Client* aRight) {
    if (aLeft->m_connections != aRight->m_connections) {
      return aLeft->m_connections < aRight->m_connections;
    }
    return aLeft->m_closable.back()->m_lastActivity >
           aRight->m_closable.back()->m_lastActivity;
  };
  std::priority_queue<Client*, std::vector<Client*>, decltype(goesLater)> queue(
      goesLater);
  for (auto& [address, client] : clients) {
    std::sort(client.m_closable.begin(), client.m_closable.end(), later);
    if (!client.m_closable.empty()) queue.push(&client);
  }
  std::vector<ConnectionId> chosen;
  while (chosen.size() < aCount && !queue.empty()) {
    Client* client = queue.top();
    queue.pop();
    chosen.push_back(client->m_closable.back()->m_id);
    client->m_closable.pop_back();
    --client->m_connections;
    if (!client->m_closable.empty()) queue.push(client);
  }
  return chosen;
}

bool MayHoldReply(ByteCount aOwn, ByteCount aTotal, size_t aReplies,
                  ByteCount aLimit) {
  if (aTotal <= aLimit) return true;
  const auto replies = static_cast<int64_t>(std::max<size_t>(aReplies, 1));
  return aOwn.Value() <= aLimit.Value() / replies;
}

}  // namespace bronze

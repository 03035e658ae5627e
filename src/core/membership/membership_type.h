/**
 * @file membership_type.h Effects of the membership part.
 */

#ifndef BRONZE_CORE_MEMBERSHIP_MEMBERSHIP_TYPE_H_
#define BRONZE_CORE_MEMBERSHIP_MEMBERSHIP_TYPE_H_

#include <string>
#include <variant>
#include <vector>

#include "core/message/peer_message_type.h"

namespace bronze {

/** Send the message to this peer. */
struct SendToPeer {
  VmId m_to;
  PeerMessage m_message;
};

/** Connect to an entry VM that is newly listed or has a new address. */
struct ConnectPeer {
  VmId m_peer;
  std::string m_address;  ///< IP:PORT.
};

/** Close the connection: the platform reports that the VM is gone for good. */
struct DisconnectPeer {
  VmId m_peer;
};

/** This daemon started or stopped suspecting a peer. Send heartbeats at once:
 * the other members count this daemon's suspicion, and waiting for the next
 * interval would delay a takeover by up to 1 s. */
struct SuspicionChanged {
  VmId m_peer;
  bool m_suspected = false;
};

/** The platform reports that this VM is leaving: start the drain. */
struct SelfLeaving {};

/** A peer has adopted a later epoch: read the epoch row from the table. */
struct ReadEpochRow {
  Epoch m_atLeast;
};

using MembershipEffect =
    std::variant<SendToPeer, ConnectPeer, DisconnectPeer, SuspicionChanged,
                 SelfLeaving, ReadEpochRow>;
using MembershipEffects = std::vector<MembershipEffect>;

/** Status of one entry VM, as shown to operators. */
enum class VmStatus : uint8_t { Member, Suspected, Joining, Leaving, Gone };

}  // namespace bronze

#endif  // BRONZE_CORE_MEMBERSHIP_MEMBERSHIP_TYPE_H_

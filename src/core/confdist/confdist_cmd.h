/**
 * @file confdist_cmd.h Commands on the distribution of the configuration.
 *
 * A daemon *holds* a version once it has its text, and puts it *in force* once
 * a majority of the epoch's members hold it. Every majority therefore has a
 * member that knows each version that was in force anywhere, and a daemon that
 * restarts while the table is down cannot return to an earlier one.
 *
 * A daemon that has joined the epoch is sure to know such a version only after
 * it has read config/head as a member. Before that it is not *current*, and a
 * restarting daemon does not count it. spec/config.pml models this rule and the
 * fault that occurs without it.
 */

#ifndef BRONZE_CORE_CONFDIST_CONFDIST_CMD_H_
#define BRONZE_CORE_CONFDIST_CONFDIST_CMD_H_

#include "core/confdist/confdist_base.h"
#include "core/message/peer_message_type.h"
#include "core/metrics/counter_func.h"

namespace bronze {

/** Sets the members of a newly adopted epoch. If this daemon has become a
 * member, the caller reads config/head next. */
void SetConfigMembers(ConfdistState& aState,
                      const std::vector<Member>& aMembers, TimePoint aNow,
                      ConfdistEffects& aEffects);

/**
 * This daemon committed a version to the table. It is held and pushed to all
 * members, and the operator is answered when a majority has it in force, or
 * after 1 s.
 */
void ConfigCommitted(ConfdistState& aState, OperatorCallId aCall,
                     ConfigVersion aVersion, std::string aText, TimePoint aNow,
                     Counters& aCounters, ConfdistEffects& aEffects);

/** The table answered a read of config/head; version 0: the row does not exist.
 */
void ConfigHeadRead(ConfdistState& aState, ConfigVersion aHead, TimePoint aNow,
                    ConfdistEffects& aEffects);

/** The text of a version arrived, from the table or from a peer. */
void ConfigReceived(ConfdistState& aState, ConfigVersion aVersion,
                    std::string aText, TimePoint aNow,
                    ConfdistEffects& aEffects);

/** A heartbeat that ReceiveHeartbeat() accepted. */
void ConfigHeartbeat(ConfdistState& aState, const PeerMessage& aMessage,
                     TimePoint aNow, Counters& aCounters,
                     ConfdistEffects& aEffects);

/** Another VM's lease row was read from the table. */
void ConfigLeaseRow(ConfdistState& aState, const LeaseRow& aRow, TimePoint aNow,
                    ConfdistEffects& aEffects);

/** A peer asks for the held version. */
void ConfigPulledBy(const ConfdistState& aState, const VmId& aPeer,
                    const ConfigPull& aPull, Counters& aCounters,
                    ConfdistEffects& aEffects);

/** Repeats fetches and pushes, and answers operators who have waited for 1 s.
 */
void TickConfdist(ConfdistState& aState, TimePoint aNow, Counters& aCounters,
                  ConfdistEffects& aEffects);

/** @return whether this daemon holds the version that it read from config/head
 * after it became a member, or a later one. */
[[nodiscard]] bool IsConfigCurrent(const ConfdistState& aState);

/** @return the version in force on this VM and on each VM that has sent a
 * heartbeat. */
[[nodiscard]] std::vector<ConfigStatus> ConfigStatuses(
    const ConfdistState& aState, TimePoint aNow);

/** @return how many members, including this one, hold aVersion or a later one.
 */
[[nodiscard]] size_t CountHolders(const ConfdistState& aState,
                                  ConfigVersion aVersion);

}  // namespace bronze

#endif  // BRONZE_CORE_CONFDIST_CONFDIST_CMD_H_

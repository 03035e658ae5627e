/**
 * @file peer_message_type.h Messages between daemons, as plain structs.
 *
 * Any message may be lost, delayed or repeated. The encoding is in src/codec.
 */

#ifndef BRONZE_CORE_MESSAGE_PEER_MESSAGE_TYPE_H_
#define BRONZE_CORE_MESSAGE_PEER_MESSAGE_TYPE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"
#include "core/error/error_type.h"
#include "core/message/epoch_type.h"

namespace bronze {

/** Free capacity of one rack, from which the rack for a task is chosen. */
struct RackSummary {
  RackId m_rack;
  Resources m_free;         ///< Sum over the rack's workers.
  Resources m_largestFree;  ///< On the worker with the most free cores.
};

struct Heartbeat {
  HeartbeatSequence m_sequence;
  HeartbeatSequence m_echo;       ///< Highest sequence seen from the receiver.
  Incarnation m_echoIncarnation;  ///< Receiver's incarnation that sent m_echo.
  ConfigVersion m_configInForce;
  ConfigVersion m_configHeld;  ///< At least m_configInForce.
  /** The sender holds the version that it read from config/head after it became
   * a member. */
  bool m_configCurrent = false;
  std::vector<VmId> m_suspects;  ///< VMs that the sender suspects to be down.
  bool m_draining = false;
  std::vector<RackSummary> m_racks;
};

/** Slots that an entry VM requests in total from the runners of one slot owner.
 */
struct SlotDemand {
  Slots m_short;
  Slots m_long;
};

struct SlotGrantItem {
  RunnerId m_runner;
  Slots m_slots;  ///< Total granted on this runner, not a difference.
  /** Counted from the time the demand was sent. */
  Duration m_validFor = Duration::zero();
};

/** All slots that one owner grants to one entry VM. Slots that are not listed
 * are withdrawn. */
struct SlotGrant {
  GrantSequence m_sequence;            ///< Higher in each grant of the owner.
  HeartbeatSequence m_demandSequence;  ///< Latest report that it answers.
  std::vector<SlotGrantItem> m_items;
};

struct SlotUse {
  RunnerId m_runner;
  Slots m_held;  ///< Granted and not returned.
  Slots m_busy;  ///< In use; exceeds m_held only after a grant has expired.
};

/** Slots that an entry VM holds and requests. Each report renews the demand. */
struct SlotReport {
  HeartbeatSequence m_sequence;
  GrantSequence m_grantSeen;  ///< Last grant of the receiver that was applied.
  Incarnation
      m_grantSeenIncarnation;  ///< Receiver's incarnation that sent that grant.
  SlotDemand m_demand;
  std::vector<SlotUse> m_uses;
};

struct KeyClaim {
  IdempotencyKey m_key;
  RequestId m_request;
  Duration m_window = Duration::zero();
};

enum class KeyState : uint8_t {
  Granted,     ///< The claiming VM may dispatch the request.
  InProgress,  ///< Another request with this key is running.
  Finished,    ///< A request with this key has run; only its caller got the
               ///< answer.
  InDoubt,     ///< The owner cannot know: answer "outcome unknown".
};

struct KeyAnswer {
  IdempotencyKey m_key;
  RequestId m_request;
  KeyState m_state = KeyState::InDoubt;
};

/** Tells the key owner how a claimed request ended. */
struct KeyOutcome {
  IdempotencyKey m_key;
  RequestId m_request;
  RunState m_runState = RunState::Unknown;
};

/** Keys whose requests an entry VM dispatched, sent to the new owner of the
 * keys. */
struct KeyReport {
  bool m_isRequest =
      false;  ///< Asks the receiver for its report; m_keys is empty.
  std::vector<IdempotencyKey> m_keys;
};

struct ConfigPush {
  ConfigVersion m_version;
  std::string m_text;  ///< All configuration files, as committed to the table.
};

struct ConfigPull {
  ConfigVersion m_atLeast;
};

struct TaskOffer {
  TaskId m_task;
  TeamId m_team;
  KindId m_kind;
  Resources m_resources;
  int32_t m_priority = 0;
  bool m_urgent = false;
  RowVersion m_rowVersion;  ///< Of the task's row; the start is committed only
                            ///< if the row still has this version.
  FencingToken m_token;     ///< Highest token issued so far.
  ObjectName m_input;
  ObjectName m_checkpoint;
  Duration m_waited = Duration::zero();  ///< Time in the queue so far.
  Resources m_measured;                  ///< As in TaskRow.
  int32_t m_attempts = 0;  ///< Failures counted against the task so far.
  WorkerId m_failedOn;     ///< Worker of the last counted failure.
  double m_share = 0.0;    ///< Weighted dominant share of the team; of all
                           ///< waiting offers the lowest is placed first.
};

struct TaskOffers {
  RackId m_rack;
  std::vector<TaskOffer> m_offers;
};

enum class TaskEvent : uint8_t {
  Refused,  ///< Not enough free capacity; the offer is no longer valid.
  Started,
  Finished,
  Failed,
  Evicted,  ///< Back in the queue.
  Stopped,  ///< After a cancellation.
};

struct TaskUpdate {
  TaskId m_task;
  TaskEvent m_event = TaskEvent::Refused;
  WorkerId m_worker;
  FencingToken m_token;
  RowVersion m_rowVersion;
  ObjectName m_checkpoint;
  std::string m_message;
  RackId m_rack;
  int32_t m_attempts = 0;
  WorkerId m_failedOn;
  Resources m_measured;  ///< As in TaskRow.
  Resources m_reserved;  ///< As in TaskRow.
};

struct TaskUpdates {
  std::vector<TaskUpdate> m_updates;
};

/** Asks the rack owner to stop a cancelled task. */
struct TaskCancel {
  TaskId m_task;
  RackId m_rack;
};

/** An HTTP call that operates on jobs, forwarded to the owner of the team. */
struct JobForward {
  uint64_t m_call = 0;  ///< Unique within the sender's incarnation.
  std::string m_method;
  std::string m_target;
  std::string m_body;
};

struct JobReply {
  uint64_t m_call = 0;
  int32_t m_status = 0;
  std::string m_body;
};

/** Units that the sender no longer acts for, named as in ownership_type.h. */
struct Release {
  std::vector<std::string> m_units;
};

/** The committed epoch row, sent to a peer that reports an earlier epoch. */
struct EpochNotice {
  EpochRow m_row;
  RowVersion m_rowVersion;
};

using PeerBody = std::variant<Heartbeat, SlotReport, SlotGrant, KeyClaim,
                              KeyAnswer, KeyOutcome, KeyReport, ConfigPush,
                              ConfigPull, TaskOffers, TaskUpdates, TaskCancel,
                              JobForward, JobReply, Release, EpochNotice>;

struct PeerMessage {
  VmId m_from;
  Incarnation m_incarnation;
  Epoch m_epoch;  ///< The epoch that the sender has adopted.
  PeerBody m_body;
};

}  // namespace bronze

#endif  // BRONZE_CORE_MESSAGE_PEER_MESSAGE_TYPE_H_

/**
 * @file request_type.h Input events and output effects of request handling.
 *
 * The daemon turns socket and timer activity into these events, passes them to
 * the functions in request_cmd.h, and carries out the effects they return.
 */

#ifndef BRONZE_CORE_REQUEST_REQUEST_TYPE_H_
#define BRONZE_CORE_REQUEST_REQUEST_TYPE_H_

#include <map>
#include <variant>
#include <vector>

#include "core/message/peer_message_type.h"

namespace bronze {

/** A request as it arrives from a caller. */
struct Arrival {
  RequestId m_request;
  KindId m_kind;
  CallerId m_caller;
  IdempotencyKey m_key;                  ///< Invalid when the caller sent none.
  Duration m_window = Duration::zero();  ///< Time to answer; zero: the default.
};

/** How one attempt to run a request on a runner ended. */
enum class AttemptEnd : uint8_t {
  Answered,         ///< A complete answer was read.
  ConnectFailed,    ///< No byte was sent.
  SendFailed,       ///< Some bytes were sent; no answer came.
  AnswerLost,       ///< All was sent; the answer is missing or cut.
  RunnerBusy,       ///< The runner refused without running it.
  DeadlineReached,  ///< The connection was closed at the deadline.
};

struct AttemptResult {
  RequestId m_request;
  RunnerId m_runner;
  AttemptEnd m_end = AttemptEnd::AnswerLost;
  Duration m_runTime = Duration::zero();  ///< From dispatch to the end.
};

/** Sender of a peer message, taken from the message header. */
struct PeerSender {
  VmId m_vm;
  Incarnation m_incarnation;
  Epoch m_epoch;  ///< In force at the sender when it sent the message.
};

using KeyShard = uint32_t;  ///< Hash partition of the idempotency keys.
inline constexpr KeyShard kKeyShards = 256;

/**
 * Owners of runners and key shards (together: units) in the epoch in force. The
 * daemon replaces it as a whole.
 */
struct UnitOwners {
  Epoch m_epoch;
  std::map<RunnerId, VmId> m_runners;
  std::vector<VmId> m_keyShards;  ///< By KeyShard; empty when not known.
  std::map<VmId, Incarnation> m_members;  ///< Of the epoch.
};

/** Send the request to this runner now. */
struct DispatchRequest {
  RequestId m_request;
  RunnerId m_runner;
  TimePoint m_deadline;
};

/** Pass the runner's answer on to the caller. */
struct DeliverAnswer {
  RequestId m_request;
};

/** Answer the caller with an error. */
struct RefuseRequest {
  RequestId m_request;
  Error m_error;
};

/**
 * Close the connection to the runner, because the caller of a standing request
 * has closed its own.
 */
struct AbortAttempt {
  RequestId m_request;
};

/** Messages to another daemon, or to the own one when m_to is this VM. */
struct SendSlotReport {
  VmId m_to;
  SlotReport m_report;
};
struct SendKeyClaim {
  VmId m_to;
  KeyClaim m_claim;
};
struct SendKeyOutcome {
  VmId m_to;
  KeyOutcome m_outcome;
};
struct SendKeyReport {
  VmId m_to;
  KeyReport m_report;
};

using RequestEffect =
    std::variant<DispatchRequest, DeliverAnswer, RefuseRequest, AbortAttempt,
                 SendSlotReport, SendKeyClaim, SendKeyOutcome, SendKeyReport>;
using RequestEffects = std::vector<RequestEffect>;

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_REQUEST_TYPE_H_

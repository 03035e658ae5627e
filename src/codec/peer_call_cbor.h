/**
 * @file peer_call_cbor.h CBOR form of calls between daemons. The daemon that a
 * caller is connected to passes the call on to the owner of the job's cell.
 */

#ifndef BRONZE_CODEC_PEER_CALL_CBOR_H_
#define BRONZE_CODEC_PEER_CALL_CBOR_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/error/error_type.h"
#include "core/sched/claim_type.h"
#include "core/sched/commit_cmd.h"
#include "core/sched/job_cmd.h"

namespace bronze {

enum class PeerVerb : uint8_t {
  Submit,
  LookUp,
  Cancel,
  CountPending,
  Adopt,     ///< Takes over a job from another cell.
  HandOver,  ///< Asks the owner of a cell to hand it over to the sender.
};

struct PeerCall {
  PeerVerb m_verb = PeerVerb::LookUp;
  CellId m_cell;
  /** The job's home cell has a route to m_cell, which thus handles the job
   *  itself. */
  bool m_routed = false;
  JobId m_job;
  sched::QueueId m_queue;
  Duration m_window{};         ///< How long the sender waits for an answer.
  sched::JobSpec m_spec;       ///< For Submit and Adopt only.
  sched::StoredState m_state;  ///< For Adopt only.
  sched::HandoverRequest m_handover;  ///< For HandOver only.
};

struct PeerAnswer {
  std::optional<Error> m_error;
  /** With m_error: when the call may succeed; zero: not known. */
  Duration m_retryAfter{};
  sched::JobState m_state = sched::JobState::Queued;  ///< For LookUp.
  uint64_t m_count = 0;                               ///< For CountPending.
  /** Nothing was done: the call belongs to this cell. */
  std::optional<CellId> m_routedTo;
  /** With m_error: the cell is being handed over to a named successor, which
   *  can answer soon. */
  bool m_handedOver = false;
};

[[nodiscard]] std::string EncodePeerCall(const PeerCall& aCall);
[[nodiscard]] Result<PeerCall> DecodePeerCall(std::string_view aBytes);
[[nodiscard]] std::string EncodePeerAnswer(const PeerAnswer& aAnswer);
[[nodiscard]] Result<PeerAnswer> DecodePeerAnswer(std::string_view aBytes);

}  // namespace bronze

#endif  // BRONZE_CODEC_PEER_CALL_CBOR_H_

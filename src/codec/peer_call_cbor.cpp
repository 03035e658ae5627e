/**
 * @file peer_call_cbor.cpp CBOR form of calls between daemons.
 */

#include "codec/peer_call_cbor.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "codec/bounded_json.h"
#include "codec/job_cbor.h"
#include "core/error/error_func.h"

namespace bronze {

namespace {

using Json = nlohmann::json;

std::string ToBytes(const Json& aJson) {
  std::string bytes;
  Json::to_cbor(aJson, bytes);
  return bytes;
}

/** Positions in the array of a call. */
constexpr size_t kSpec = 5;
constexpr size_t kRouted = 6;
constexpr size_t kState = 7;
constexpr size_t kHandover = 6;  ///< Of HandOver only.
/** Positions in the array of an answer with an error. */
constexpr size_t kHandedOver = 2;
constexpr size_t kRetryAfter = 3;
constexpr Duration kMaxRetryAfter = seconds(60);

std::string_view BytesOf(const Json& aJson) {
  const auto& bytes = aJson.get_binary();
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

sched::HandoverRequest HandoverFromJson(const Json& aJson) {
  return {VmId(aJson.at(0).get<std::string>()),
          Incarnation(aJson.at(1).get<uint64_t>()),
          {Millicores(aJson.at(2).get<int64_t>()),
           sched::KilobitsPerSecond(aJson.at(3).get<int64_t>())}};
}

Error Malformed(const Json::exception& aError) {
  return MakeError(
      ErrorKind::PeerMalformed,
      fmt::format("malformed message from a peer: {}", aError.what()));
}

}  // namespace

std::string EncodePeerCall(const PeerCall& aCall) {
  const bool adopts = aCall.m_verb == PeerVerb::Adopt;
  const bool hasSpec = adopts || aCall.m_verb == PeerVerb::Submit;
  const std::string spec = hasSpec ? EncodeJobSpec(aCall.m_spec) : "";
  const std::string state = adopts ? EncodeJobState(aCall.m_state) : "";
  Json call = Json::array({static_cast<int>(aCall.m_verb), aCall.m_cell.Value(),
                           aCall.m_job.Value(), aCall.m_queue.Value(),
                           aCall.m_window.count(),
                           Json::binary({spec.begin(), spec.end()})});
  // Other calls keep the format of earlier builds.
  if (aCall.m_routed || adopts) {
    call.push_back(aCall.m_routed);
    call.push_back(Json::binary({state.begin(), state.end()}));
  }
  // Earlier builds refuse the verb.
  if (aCall.m_verb == PeerVerb::HandOver) {
    const sched::HandoverRequest& request = aCall.m_handover;
    call.push_back(
        Json::array({request.m_vm.Value(), request.m_incarnation.Value(),
                     request.m_capability.m_cpu.Value(),
                     request.m_capability.m_link.Value()}));
  }
  return ToBytes(call);
}

Result<PeerCall> DecodePeerCall(std::string_view aBytes) {
  const auto parsed = ParseBoundedCbor(aBytes);
  if (!parsed) return parsed.error();
  try {
    const Json& json = parsed.value();
    PeerCall call;
    const int verb = json.at(0).get<int>();
    if (verb < 0 || verb > static_cast<int>(PeerVerb::HandOver)) {
      return MakeError(ErrorKind::PeerMalformed,
                       "unknown verb in a call from a peer");
    }
    call.m_verb = static_cast<PeerVerb>(verb);
    call.m_cell = CellId(json.at(1).get<uint32_t>());
    call.m_job = JobId(json.at(2).get<uint64_t>());
    call.m_queue = sched::QueueId(json.at(3).get<std::string>());
    call.m_window = Duration(json.at(4).get<int64_t>());
    if (call.m_verb == PeerVerb::HandOver) {
      call.m_handover = HandoverFromJson(json.at(kHandover));
      return call;
    }
    call.m_routed = json.size() > kRouted && json.at(kRouted).get<bool>();
    const bool adopts = call.m_verb == PeerVerb::Adopt;
    if (!adopts && call.m_verb != PeerVerb::Submit) return call;
    auto spec = DecodeJobSpec(BytesOf(json.at(kSpec)));
    if (!spec) return spec.error();
    call.m_spec = std::move(spec.value());
    if (!adopts) return call;
    auto state = DecodeJobState(BytesOf(json.at(kState)));
    if (!state) return state.error();
    call.m_state = std::move(state.value());
    return call;
  } catch (const Json::exception& error) {
    return Malformed(error);
  }
}

std::string EncodePeerAnswer(const PeerAnswer& aAnswer) {
  if (aAnswer.m_error) {
    Json refusal =
        Json::array({std::string(AnswerFor(aAnswer.m_error->m_kind).m_name),
                     aAnswer.m_error->m_message});
    const bool hasRetryAfter = aAnswer.m_retryAfter > Duration::zero();
    if (aAnswer.m_handedOver || hasRetryAfter) {
      refusal.push_back(aAnswer.m_handedOver);
    }
    if (hasRetryAfter) refusal.push_back(aAnswer.m_retryAfter.count());
    return ToBytes(refusal);
  }
  Json answer =
      Json::array({"", static_cast<int>(aAnswer.m_state), aAnswer.m_count});
  if (aAnswer.m_routedTo) answer.push_back(aAnswer.m_routedTo->Value());
  return ToBytes(answer);
}

Result<PeerAnswer> DecodePeerAnswer(std::string_view aBytes) {
  const auto parsed = ParseBoundedCbor(aBytes);
  if (!parsed) return parsed.error();
  try {
    const Json& json = parsed.value();
    PeerAnswer answer;
    const auto name = json.at(0).get<std::string>();
    if (!name.empty()) {
      answer.m_error =
          MakeError(ErrorKindFromName(name), json.at(1).get<std::string>());
      answer.m_handedOver =
          json.size() > kHandedOver && json.at(kHandedOver).get<bool>();
      if (json.size() > kRetryAfter) {
        answer.m_retryAfter = Duration(std::clamp<int64_t>(
            json.at(kRetryAfter).get<int64_t>(), 0, kMaxRetryAfter.count()));
      }
      return answer;
    }
    const int state = json.at(1).get<int>();
    if (state < 0 || state > static_cast<int>(sched::JobState::Cancelled)) {
      return MakeError(ErrorKind::PeerMalformed,
                       "unknown state in an answer from a peer");
    }
    answer.m_state = static_cast<sched::JobState>(state);
    answer.m_count = json.at(2).get<uint64_t>();
    constexpr size_t kRoutedTo = 3;
    if (json.size() > kRoutedTo) {
      answer.m_routedTo = CellId(json.at(kRoutedTo).get<uint32_t>());
    }
    return answer;
  } catch (const Json::exception& error) {
    return Malformed(error);
  }
}

}  // namespace bronze

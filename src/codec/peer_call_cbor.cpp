/**
 * @file peer_call_cbor.cpp CBOR form of calls between daemons.
 */

#include "codec/peer_call_cbor.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

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

Error Malformed(const Json::exception& aError) {
  return MakeError(
      ErrorKind::PeerMalformed,
      fmt::format("malformed message from a peer: {}", aError.what()));
}

}  // namespace

std::string EncodePeerCall(const PeerCall& aCall) {
  const bool submits = aCall.m_verb == PeerVerb::Submit;
  const std::string spec = submits ? EncodeJobSpec(aCall.m_spec) : "";
  return ToBytes(Json::array({static_cast<int>(aCall.m_verb),
                              aCall.m_cell.Value(), aCall.m_job.Value(),
                              aCall.m_queue.Value(), aCall.m_window.count(),
                              Json::binary({spec.begin(), spec.end()})}));
}

Result<PeerCall> DecodePeerCall(std::string_view aBytes) {
  try {
    const Json json = Json::from_cbor(aBytes.begin(), aBytes.end());
    PeerCall call;
    const int verb = json.at(0).get<int>();
    if (verb < 0 || verb > static_cast<int>(PeerVerb::CountPending)) {
      return MakeError(ErrorKind::PeerMalformed,
                       "unknown verb in a call from a peer");
    }
    call.m_verb = static_cast<PeerVerb>(verb);
    call.m_cell = CellId(json.at(1).get<uint32_t>());
    call.m_job = JobId(json.at(2).get<uint64_t>());
    call.m_queue = sched::QueueId(json.at(3).get<std::string>());
    call.m_window = Duration(json.at(4).get<int64_t>());
    if (call.m_verb != PeerVerb::Submit) return call;
    const auto& bytes = json.at(5).get_binary();
    auto spec = DecodeJobSpec(
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    if (!spec) return spec.error();
    call.m_spec = std::move(spec.value());
    return call;
  } catch (const Json::exception& error) {
    return Malformed(error);
  }
}

std::string EncodePeerAnswer(const PeerAnswer& aAnswer) {
  if (aAnswer.m_error) {
    return ToBytes(
        Json::array({std::string(AnswerFor(aAnswer.m_error->m_kind).m_name),
                     aAnswer.m_error->m_message}));
  }
  return ToBytes(
      Json::array({"", static_cast<int>(aAnswer.m_state), aAnswer.m_count}));
}

Result<PeerAnswer> DecodePeerAnswer(std::string_view aBytes) {
  try {
    const Json json = Json::from_cbor(aBytes.begin(), aBytes.end());
    PeerAnswer answer;
    const auto name = json.at(0).get<std::string>();
    if (!name.empty()) {
      answer.m_error =
          MakeError(ErrorKindFromName(name), json.at(1).get<std::string>());
      return answer;
    }
    answer.m_state = static_cast<sched::JobState>(json.at(1).get<int>());
    answer.m_count = json.at(2).get<uint64_t>();
    return answer;
  } catch (const Json::exception& error) {
    return Malformed(error);
  }
}

}  // namespace bronze

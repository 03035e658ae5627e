/**
 * @file peer_cbor.cpp CBOR form of messages between daemons.
 */

#include "codec/peer_cbor.h"

#include "codec/bounded_json.h"
#include "codec/struct_json_internal.h"

namespace bronze {

using codec_internal::Read;
using codec_internal::Write;
using nlohmann::json;

namespace {

constexpr int kFormatVersion = 1;

/** Decodes the body whose type has the index aType in PeerBody. */
template <size_t... kIndexes>
PeerBody ReadBody(size_t aType, const json& aJson,
                  std::index_sequence<kIndexes...>) {
  PeerBody body;
  const auto readOne = [&]<size_t kIndex>() {
    if (aType == kIndex) Read(aJson, body.emplace<kIndex>());
  };
  (readOne.template operator()<kIndexes>(), ...);
  return body;
}

PeerMessage ReadMessage(const json& aJson) {
  constexpr size_t kTypes = std::variant_size_v<PeerBody>;
  const auto& list = aJson.get_ref<const json::array_t&>();
  int version = 0;
  Read(list.at(0), version);
  if (version != kFormatVersion) {
    throw std::out_of_range("unsupported format version " +
                            std::to_string(version));
  }
  PeerMessage message;
  Read(list.at(1), message.m_from);
  Read(list.at(2), message.m_incarnation);
  Read(list.at(3), message.m_epoch);
  size_t type = 0;
  Read(list.at(4), type);
  if (type >= kTypes) throw std::out_of_range("unknown message type");
  message.m_body =
      ReadBody(type, list.at(5), std::make_index_sequence<kTypes>());
  if (!message.m_from.IsValid()) throw std::out_of_range("sender id is empty");
  return message;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& aMessage) {
  json message = json::array();
  message.push_back(kFormatVersion);
  message.push_back(Write(aMessage.m_from));
  message.push_back(Write(aMessage.m_incarnation));
  message.push_back(Write(aMessage.m_epoch));
  message.push_back(aMessage.m_body.index());
  message.push_back(std::visit([](const auto& aBody) { return Write(aBody); },
                               aMessage.m_body));
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

Result<PeerMessage> DecodePeerMessage(std::string_view aBytes) {
  const auto parsed = ParseBoundedCbor(aBytes);
  if (!parsed) {
    return MakeError(ErrorKind::PeerMalformed, parsed.error().m_message);
  }
  try {
    return ReadMessage(parsed.value());
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::PeerMalformed,
                     std::string("malformed peer message: ") + error.what());
  }
}

}  // namespace bronze

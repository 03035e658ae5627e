/**
 * @file struct_json_internal.h Structs of messages and rows as JSON arrays.
 *
 * Members() lists the members of each struct once. Write() and Read() both use
 * that list, so that encoding and decoding agree. An array holds the members in
 * the order of the list; Read() ignores further elements at its end, which a
 * later version may add. On invalid input Read() throws an exception of the
 * standard library or of the JSON library; the including source file turns it
 * into an Error.
 */

#ifndef BRONZE_CODEC_STRUCT_JSON_INTERNAL_H_
#define BRONZE_CODEC_STRUCT_JSON_INTERNAL_H_

#include <concepts>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

#include "core/message/peer_message_type.h"
#include "core/request/key_owner_base.h"

namespace bronze::codec_internal {

using nlohmann::json;

template <class T>
concept Enumeration = std::is_enum_v<T>;

// Members() of each struct, for const and non-const values.

template <class T, class U>
concept Is = std::is_same_v<std::remove_const_t<T>, U>;

template <Is<Resources> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_cores, aValue.m_memory, aValue.m_accelerators);
}
template <Is<TaskId> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_job, aValue.m_index);
}
template <Is<RackDigest> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_rack, aValue.m_free, aValue.m_largestFree);
}
template <Is<Heartbeat> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_sequence, aValue.m_echo, aValue.m_echoOf,
                  aValue.m_configInForce, aValue.m_configHeld,
                  aValue.m_configCurrent, aValue.m_suspects, aValue.m_draining,
                  aValue.m_racks);
}
template <Is<SlotDemand> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_short, aValue.m_long);
}
template <Is<SlotUse> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_runner, aValue.m_held, aValue.m_busy);
}
template <Is<SlotReport> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_sequence, aValue.m_grantSeen, aValue.m_grantSeenOf,
                  aValue.m_demand, aValue.m_uses);
}
template <Is<SlotGrantItem> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_runner, aValue.m_slots, aValue.m_validFor);
}
template <Is<SlotGrant> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_sequence, aValue.m_demandSequence, aValue.m_items);
}
template <Is<KeyClaim> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_key, aValue.m_request, aValue.m_window);
}
template <Is<KeyAnswer> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_key, aValue.m_request, aValue.m_state);
}
template <Is<KeyOutcome> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_key, aValue.m_request, aValue.m_runState);
}
template <Is<KeyReport> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_ask, aValue.m_keys);
}
template <Is<ConfigPush> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_version, aValue.m_text);
}
template <Is<ConfigPull> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_atLeast);
}
template <Is<TaskOffer> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_task, aValue.m_team, aValue.m_kind,
                  aValue.m_resources, aValue.m_priority, aValue.m_urgent,
                  aValue.m_rowVersion, aValue.m_token, aValue.m_input,
                  aValue.m_checkpoint, aValue.m_waited, aValue.m_measured,
                  aValue.m_attempts, aValue.m_failedOn, aValue.m_share);
}
template <Is<TaskOffers> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_rack, aValue.m_offers);
}
template <Is<TaskUpdate> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_task, aValue.m_event, aValue.m_worker,
                  aValue.m_token, aValue.m_rowVersion, aValue.m_checkpoint,
                  aValue.m_message, aValue.m_rack, aValue.m_attempts,
                  aValue.m_failedOn, aValue.m_measured, aValue.m_reserved);
}
template <Is<TaskUpdates> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_updates);
}
template <Is<TaskCancel> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_task, aValue.m_rack);
}
template <Is<JobForward> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_call, aValue.m_method, aValue.m_target,
                  aValue.m_body);
}
template <Is<JobReply> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_call, aValue.m_status, aValue.m_body);
}
template <Is<Release> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_units);
}
template <Is<Member> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_vm, aValue.m_incarnation, aValue.m_dataCentre);
}
template <Is<EpochTimes> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_lease, aValue.m_confirmation);
}
template <Is<EarlierEpoch> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_epoch, aValue.m_members, aValue.m_times);
}
template <Is<EpochRow> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_epoch, aValue.m_members, aValue.m_times,
                  aValue.m_unsettled);
}
template <Is<KeyRow> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_key, aValue.m_request, aValue.m_claimer,
                  aValue.m_state);
}
template <Is<LeaseRow> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_vm, aValue.m_incarnation, aValue.m_epoch,
                  aValue.m_sequence, aValue.m_configHeld,
                  aValue.m_releasedThrough);
}
template <Is<EpochNotice> T>
auto Members(T& aValue) {
  return std::tie(aValue.m_row, aValue.m_rowVersion);
}

/** Last enumerator of each enum that is decoded; larger numbers are invalid. */
template <Enumeration T>
constexpr T kLastEnumerator = T{};
template <>
constexpr KeyState kLastEnumerator<KeyState> = KeyState::InDoubt;
template <>
constexpr RunState kLastEnumerator<RunState> = RunState::Run;
template <>
constexpr TaskEvent kLastEnumerator<TaskEvent> = TaskEvent::Stopped;

// Encoding.

inline json Write(bool aValue) { return aValue; }
inline json Write(int32_t aValue) { return aValue; }
inline json Write(uint32_t aValue) { return aValue; }
inline json Write(double aValue) { return aValue; }
inline json Write(uint64_t aValue) { return aValue; }
inline json Write(const std::string& aValue) { return aValue; }
inline json Write(Duration aValue) { return aValue.count(); }
template <Enumeration T>
json Write(T aValue) {
  return static_cast<int>(aValue);
}
template <class Tag, class Rep>
json Write(const NumberId<Tag, Rep>& aValue) {
  return aValue.Value();
}
template <class Tag>
json Write(const NameId<Tag>& aValue) {
  return aValue.Value();
}
template <class Tag, class Rep>
json Write(const Quantity<Tag, Rep>& aValue) {
  return aValue.Value();
}
template <class Tag>
json Write(const Sequence<Tag>& aValue) {
  return aValue.Value();
}
template <class T>
requires requires(const T& aValue) { Members(aValue); }
json Write(const T& aValue);
template <class T>
json Write(const std::vector<T>& aValues) {
  json list = json::array();
  for (const T& value : aValues) list.push_back(Write(value));
  return list;
}
template <class T>
requires requires(const T& aValue) { Members(aValue); }
json Write(const T& aValue) {
  json list = json::array();
  std::apply(
      [&list](const auto&... aMembers) {
        (list.push_back(Write(aMembers)), ...);
      },
      Members(aValue));
  return list;
}

// Decoding.

inline void Read(const json& aJson, bool& aValue) {
  aValue = aJson.get<bool>();
}
inline void Read(const json& aJson, double& aValue) {
  if (!aJson.is_number()) throw std::out_of_range("not a number");
  aValue = aJson.get<double>();
}
inline void Read(const json& aJson, std::string& aValue) {
  aValue = aJson.get_ref<const std::string&>();
}
template <std::integral T>
void Read(const json& aJson, T& aValue) {
  if (!aJson.is_number_integer()) throw std::out_of_range("not an integer");
  if (aJson.is_number_unsigned()) {
    const auto value = aJson.get<uint64_t>();
    if (!std::in_range<T>(value)) throw std::out_of_range("number overflows");
    aValue = static_cast<T>(value);
    return;
  }
  const auto value = aJson.get<int64_t>();
  if (!std::in_range<T>(value)) throw std::out_of_range("number overflows");
  aValue = static_cast<T>(value);
}
inline void Read(const json& aJson, Duration& aValue) {
  Duration::rep count = 0;
  Read(aJson, count);
  aValue = Duration(count);
}
template <Enumeration T>
void Read(const json& aJson, T& aValue) {
  uint8_t number = 0;
  Read(aJson, number);
  if (number > static_cast<uint8_t>(kLastEnumerator<T>)) {
    throw std::out_of_range("unknown enumerator number");
  }
  aValue = static_cast<T>(number);
}
template <class Tag, class Rep>
void Read(const json& aJson, NumberId<Tag, Rep>& aValue) {
  Rep number = 0;
  Read(aJson, number);
  aValue = NumberId<Tag, Rep>(number);
}
template <class Tag>
void Read(const json& aJson, NameId<Tag>& aValue) {
  aValue = NameId<Tag>(aJson.get<std::string>());
}
template <class Tag, class Rep>
void Read(const json& aJson, Quantity<Tag, Rep>& aValue) {
  Rep number = 0;
  Read(aJson, number);
  aValue = Quantity<Tag, Rep>(number);
}
template <class Tag>
void Read(const json& aJson, Sequence<Tag>& aValue) {
  uint64_t number = 0;
  Read(aJson, number);
  aValue = Sequence<Tag>(number);
}
template <class T>
requires requires(T& aValue) { Members(aValue); }
void Read(const json& aJson, T& aValue);
template <class T>
void Read(const json& aJson, std::vector<T>& aValues) {
  for (const json& item : aJson.get_ref<const json::array_t&>()) {
    Read(item, aValues.emplace_back());
  }
}
template <class T>
requires requires(T& aValue) { Members(aValue); }
void Read(const json& aJson, T& aValue) {
  const auto& list = aJson.get_ref<const json::array_t&>();
  size_t next = 0;
  std::apply([&](auto&... aMembers) { (Read(list.at(next++), aMembers), ...); },
             Members(aValue));
}

}  // namespace bronze::codec_internal

#endif  // BRONZE_CODEC_STRUCT_JSON_INTERNAL_H_

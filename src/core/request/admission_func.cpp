/**
 * @file admission_func.cpp Admission control for arriving requests.
 */

#include "core/request/admission_func.h"

#include <algorithm>

#include "core/request/kind_func.h"
#include "core/request/queue_func.h"

namespace bronze {

namespace {

/**
 * Slots that this entry VM can count on: those granted, or its equal share of
 * all slots, which the slot owners grant on demand.
 */
int64_t UsableSlotTotal(const RequestState& aState) {
  int64_t capacity = 0;
  for (const auto& [owner, link] : aState.m_slots.m_owners) {
    capacity += link.m_capacity.Value();
  }
  const auto members = static_cast<int64_t>(
      std::max<size_t>(1, aState.m_owners.m_members.size()));
  return std::max(
      {int64_t{1}, aState.m_slots.m_grantedTotal.Value(), capacity / members});
}

std::optional<Error> CheckQueue(const RequestState& aState,
                                const Arrival& aArrival,
                                const KindSettings& aKind) {
  const auto limit = static_cast<double>(aState.m_settings.m_queueLimit);
  if (static_cast<double>(QueuedCount(aState.m_queue)) >= limit) {
    return MakeError(ErrorKind::QueueFull,
                     "the request queue of this entry VM is full");
  }
  const auto& loads = aState.m_queue.m_callerLoad;
  const auto load = loads.find(aArrival.m_caller);
  if (load == loads.end()) return std::nullopt;
  const auto share =
      static_cast<double>(aState.m_settings.m_callerSharePercent) / 100.0;
  const auto weight = static_cast<double>(std::max<int64_t>(1, aKind.m_weight));
  if (load->second + 1.0 / weight > limit * share) {
    return MakeError(
        ErrorKind::CallerOverShare,
        "the caller's waiting requests exceed its share of the queue");
  }
  return std::nullopt;
}

/** Whether a request may test if its slow kind has become faster. */
bool MayProbe(const RequestState& aState, const KindId& aKind, TimePoint aNow) {
  const auto found = aState.m_kinds.find(aKind);
  return found == aState.m_kinds.end() || found->second.m_nextProbe <= aNow;
}

std::optional<Error> CheckWindow(const RequestState& aState,
                                 const Arrival& aArrival, TimePoint aNow) {
  if (aState.m_settings.m_queuePolicy == QueuePolicy::Fifo) return std::nullopt;
  const KindClass kindClass = ClassOf(aState, aArrival.m_kind);
  if (kindClass == KindClass::Standing) return std::nullopt;
  const Duration window = WindowOf(aState.m_settings, aArrival);
  const Duration run = ExpectedRun(aState, aArrival.m_kind);
  if (run > window && !MayProbe(aState, aArrival.m_kind, aNow)) {
    return MakeError(
        ErrorKind::DeadlineUnreachable,
        "the expected run time of this request kind exceeds the window");
  }
  if (run <= window && ExpectedWait(aState, kindClass) + run > window) {
    return MakeError(ErrorKind::DeadlineUnreachable,
                     "the expected wait plus run time exceeds the window");
  }
  return std::nullopt;
}

}  // namespace

void NoteProbe(RequestState& aState, const PendingRequest& aPending,
               TimePoint aNow) {
  if (aNow + ExpectedRun(aState, aPending.m_kind) <= aPending.m_deadline)
    return;
  const auto found = aState.m_kinds.find(aPending.m_kind);
  if (found == aState.m_kinds.end()) return;
  // A probe closed at its deadline keeps its slot busy for the longest window.
  KindState& kind = found->second;
  kind.m_nextProbe = aNow + kind.m_probeInterval;
  kind.m_probeInterval =
      std::min(2 * kind.m_probeInterval, aState.m_settings.m_maxWindow);
}

Duration WindowOf(const RequestSettings& aSettings, const Arrival& aArrival) {
  const Duration asked = aArrival.m_window > Duration::zero()
                             ? aArrival.m_window
                             : aSettings.m_defaultWindow;
  return std::min(asked, aSettings.m_maxWindow);
}

Duration ExpectedWait(const RequestState& aState, KindClass aClass) {
  const ClassQueue& queue = QueueOf(aState.m_queue, aClass);
  if (queue.m_size == 0) return Duration::zero();
  const int64_t total = UsableSlotTotal(aState);
  const int64_t reserve =
      (total * aState.m_settings.m_shortReservePercent + 99) / 100;
  int64_t slots = total - reserve;
  if (aClass == KindClass::Short) {
    const int64_t used = aState.m_running.m_long.Value();
    slots = std::max(reserve, total - used);
  }
  return queue.m_work / std::max<int64_t>(1, slots);
}

Result<KindSettings> CheckAdmission(const RequestState& aState,
                                    const Arrival& aArrival, TimePoint aNow) {
  if (aState.m_draining) {
    return MakeError(ErrorKind::Draining,
                     "this entry VM is draining and takes no new requests");
  }
  const auto kind = aState.m_settings.m_kinds.find(aArrival.m_kind);
  if (kind == aState.m_settings.m_kinds.end()) {
    return MakeError(
        ErrorKind::UnknownKind,
        "request kind \"" + aArrival.m_kind.Value() + "\" is not configured");
  }
  if (!kind->second.m_idempotent && !aArrival.m_key.IsValid()) {
    return MakeError(
        ErrorKind::MissingIdempotencyKey,
        "request kind \"" + aArrival.m_kind.Value() +
            "\" is not idempotent and needs the header Idempotency-Key");
  }
  if (aState.m_runners.m_index.empty()) {
    return MakeError(ErrorKind::NoBackend,
                     "no backend server is known to this entry VM");
  }
  if (auto error = CheckQueue(aState, aArrival, kind->second)) return *error;
  if (auto error = CheckWindow(aState, aArrival, aNow)) return *error;
  return kind->second;
}

}  // namespace bronze

/**
 * @file request_fixture.h One entry VM; the test grants its slots.
 */

#ifndef BRONZE_TESTS_CORE_REQUEST_FIXTURE_H_
#define BRONZE_TESTS_CORE_REQUEST_FIXTURE_H_

#include <utility>
#include <vector>

#include "core/request/request_cmd.h"

namespace bronze {

inline const VmId kSelf{"e1"};
inline const VmId kOwner{"e2"};  ///< Owns all runners and keys.
inline const KindId kCheck{"check"};
inline const KindId kPlan{"plan"};
inline const KindId kCommit{"commit"};
inline const KindId kWatch{"watch"};

/** @return the effects of one type, in their order. */
template <class T>
std::vector<T> EffectsOf(const RequestEffects& aEffects) {
  std::vector<T> found;
  for (const RequestEffect& effect : aEffects) {
    if (const T* match = std::get_if<T>(&effect)) found.push_back(*match);
  }
  return found;
}

struct RequestFixture {
  RequestFixture() {
    auto& kinds = m_state.m_settings.m_kinds;
    kinds[kCheck] = {};
    kinds[kPlan].m_class = KindClass::Long;
    kinds[kPlan].m_expectedRunTime = seconds(2);
    kinds[kCommit].m_idempotent = false;
    kinds[kWatch].m_class = KindClass::Standing;
    m_state.m_self = kSelf;
    m_state.m_authorityUntil = m_now + seconds(3600);
  }

  /** Adds runners r1, r2, ..., all owned by kOwner. */
  void SetRunners(int aCount, Slots aSlots) {
    UnitOwners owners;
    owners.m_epoch = Epoch(1);
    owners.m_members = {{kSelf, Incarnation(1)}, {kOwner, Incarnation(1)}};
    owners.m_keyShards.assign(kKeyShards, kOwner);
    for (int i = 1; i <= aCount; ++i) {
      const RunnerId runner("r" + std::to_string(i));
      SetRunner(m_state, runner, aSlots, false);
      owners.m_runners[runner] = kOwner;
    }
    RequestEffects effects;
    SetUnitOwners(m_state, owners, m_now, m_counters, effects);
  }

  /** Grants aSlots of each runner, as an answer to the last report. */
  RequestEffects Grant(Slots aSlots, Duration aValidFor = seconds(2)) {
    SlotGrant grant;
    grant.m_sequence = m_grants = m_grants.Next();
    grant.m_demandSequence = m_state.m_slots.m_owners.at(kOwner).m_reportSent;
    for (const auto& [runner, owner] : m_state.m_owners.m_runners) {
      grant.m_items.push_back({runner, aSlots, aValidFor});
    }
    RequestEffects effects;
    HandleSlotGrant(m_state, {kOwner, Incarnation(1), Epoch(1)}, grant, m_now,
                    m_counters, effects);
    return effects;
  }

  RequestEffects ArriveOne(uint64_t aId, const KindId& aKind,
                           Duration aWindow = {},
                           const std::string& aCaller = "c") {
    RequestEffects effects;
    HandleArrival(m_state,
                  {RequestId(aId), aKind, CallerId(aCaller),
                   IdempotencyKey("k"), aWindow},
                  m_now, m_counters, effects);
    return effects;
  }

  RequestEffects EndOne(uint64_t aId, const RunnerId& aRunner, AttemptEnd aEnd,
                        Duration aRunTime = milliseconds(5)) {
    RequestEffects effects;
    EndAttempt(m_state, {RequestId(aId), aRunner, aEnd, aRunTime}, m_now,
               m_counters, effects);
    return effects;
  }

  RequestEffects AnswerKey(uint64_t aId, KeyState aKeyState) {
    RequestEffects effects;
    HandleKeyAnswer(m_state, {kOwner, Incarnation(1), Epoch(1)},
                    {IdempotencyKey("k"), RequestId(aId), aKeyState}, m_now,
                    m_counters, effects);
    return effects;
  }

  RequestEffects Advance(Duration aTime) {
    m_now += aTime;
    RequestEffects effects;
    AdvanceRequests(m_state, m_now, m_counters, effects);
    return effects;
  }

  [[nodiscard]] const RunnerState& Runner(const RunnerId& aRunner) const {
    return m_state.m_runners.m_rows[m_state.m_runners.m_index.at(aRunner)];
  }

  RequestState m_state;
  Counters m_counters;
  TimePoint m_now{seconds(100)};
  GrantSequence m_grants;
};

/** @return the runner of the first dispatch among the effects. */
inline RunnerId RunnerOf(const RequestEffects& aEffects) {
  return EffectsOf<DispatchRequest>(aEffects).at(0).m_runner;
}

}  // namespace bronze

#endif  // BRONZE_TESTS_CORE_REQUEST_FIXTURE_H_

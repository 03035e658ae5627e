/**
 * @file key_claim_cmd.cpp Idempotency keys, on the side of the claiming VM.
 */

#include "core/request/key_shard_func.h"
#include "core/request/kind_func.h"
#include "core/request/request_cmd.h"
#include "core/request/request_internal.h"

namespace bronze {

namespace {

constexpr Duration kClaimInterval = milliseconds(100);
constexpr Duration kOutcomeRepeatDelay = milliseconds(500);

/**
 * @return the VM that keeps a copy of a claim which this VM makes at itself,
 * since the claim would otherwise be lost with this VM: the next member by id.
 */
VmId WitnessFor(const RequestState& aState, const VmId& aOwner) {
  const auto& members = aState.m_owners.m_members;
  if (aOwner != aState.m_self || members.size() < 2) return {};
  const auto next = members.upper_bound(aState.m_self);
  return next == members.end() ? members.begin()->first : next->first;
}

Incarnation IncarnationOf(const RequestState& aState, const VmId& aVm) {
  const auto found = aState.m_owners.m_members.find(aVm);
  return found == aState.m_owners.m_members.end() ? Incarnation()
                                                  : found->second;
}

/** Sets owner and witness by the owners in force and clears the grants. */
void ResetClaim(const RequestState& aState, const IdempotencyKey& aKey,
                OpenClaim& aClaim) {
  aClaim.m_owner = KeyOwnerOf(aState.m_owners, aKey);
  aClaim.m_ownerIncarnation = IncarnationOf(aState, aClaim.m_owner);
  aClaim.m_witness = WitnessFor(aState, aClaim.m_owner);
  aClaim.m_ownerGranted = false;
  aClaim.m_witnessGranted = false;
}

/** Whether the claim was made at the current owner and witness. */
bool IsCurrent(const RequestState& aState, const IdempotencyKey& aKey,
               const OpenClaim& aClaim) {
  const VmId owner = KeyOwnerOf(aState.m_owners, aKey);
  return aClaim.m_owner == owner &&
         aClaim.m_ownerIncarnation == IncarnationOf(aState, owner) &&
         aClaim.m_witness == WitnessFor(aState, owner);
}

bool IsComplete(const OpenClaim& aClaim) {
  return aClaim.m_ownerGranted &&
         (aClaim.m_witnessGranted || !aClaim.m_witness.IsValid());
}

void SetTimer(KeyClaimState& aClaims, const IdempotencyKey& aKey,
              OpenClaim& aClaim, TimePoint aAt) {
  aClaims.m_timers.erase({aClaim.m_nextSend, aKey});
  aClaim.m_nextSend = aAt;
  aClaims.m_timers.insert({aAt, aKey});
}

void SendClaim(const RequestState& aState, const IdempotencyKey& aKey,
               const OpenClaim& aClaim, TimePoint aNow,
               RequestEffects& aEffects) {
  const PendingRequest& pending = aState.m_pending.at(aClaim.m_request);
  const KeyClaim claim{aKey, aClaim.m_request, pending.m_deadline - aNow};
  if (aClaim.m_owner.IsValid() && !aClaim.m_ownerGranted) {
    aEffects.emplace_back(SendKeyClaim{aClaim.m_owner, claim});
  }
  if (aClaim.m_witness.IsValid() && !aClaim.m_witnessGranted) {
    aEffects.emplace_back(SendKeyClaim{aClaim.m_witness, claim});
  }
}

using KeyRecords = std::unordered_map<IdempotencyKey, DispatchedKey>;

void RecordKey(RequestState& aState, KeyRecords& aRecords, RequestId aRequest,
               const IdempotencyKey& aKey, TimePoint aNow) {
  const TimePoint until = aNow + KeyRetention(aState.m_settings.m_maxWindow);
  aRecords[aKey] = {aRequest, until};
  aState.m_claims.m_expirations.emplace_back(until, aKey);
}

void EraseIfExpired(KeyRecords& aRecords, const IdempotencyKey& aKey,
                    TimePoint aNow) {
  const auto found = aRecords.find(aKey);
  if (found != aRecords.end() && found->second.m_expiresAt <= aNow) {
    aRecords.erase(found);
  }
}

void SendOutcome(RequestState& aState, const KeyOutcome& aOutcome,
                 RequestEffects& aEffects) {
  const VmId owner = KeyOwnerOf(aState.m_owners, aOutcome.m_key);
  if (owner.IsValid()) aEffects.emplace_back(SendKeyOutcome{owner, aOutcome});
}

void AppendOutcome(RequestState& aState, const KeyOutcome& aOutcome,
                   TimePoint aNow, RequestEffects& aEffects) {
  SendOutcome(aState, aOutcome, aEffects);
  aState.m_claims.m_outcomes.push_back({aNow + kOutcomeRepeatDelay, aOutcome});
}

Error RefusalFor(KeyState aState) {
  switch (aState) {
    case KeyState::InProgress:
      return MakeError(
          ErrorKind::DuplicateInProgress,
          "another request with this idempotency key is in progress");
    case KeyState::Finished:
      return MakeError(ErrorKind::AlreadyRun,
                       "a request with this idempotency key has already run");
    case KeyState::Granted:
    case KeyState::InDoubt:
      break;
  }
  return MakeError(ErrorKind::OutcomeUnknown,
                   "a request with this idempotency key may have run");
}

/** Releases the claim of a request that ended before its grant arrived. */
void ReleaseLateGrant(RequestState& aState, const KeyAnswer& aAnswer,
                      TimePoint aNow, RequestEffects& aEffects) {
  const auto ran = aState.m_claims.m_dispatched.find(aAnswer.m_key);
  const bool dispatched = ran != aState.m_claims.m_dispatched.end() &&
                          ran->second.m_request == aAnswer.m_request;
  if (aAnswer.m_state != KeyState::Granted || dispatched) return;
  AppendOutcome(aState, {aAnswer.m_key, aAnswer.m_request, RunState::NotRun},
                aNow, aEffects);
}

void EraseExpiredKeys(KeyClaimState& aClaims, TimePoint aNow) {
  while (!aClaims.m_expirations.empty() &&
         aClaims.m_expirations.front().first <= aNow) {
    const IdempotencyKey& key = aClaims.m_expirations.front().second;
    EraseIfExpired(aClaims.m_dispatched, key, aNow);
    EraseIfExpired(aClaims.m_witnessed, key, aNow);
    aClaims.m_expirations.pop_front();
  }
}

}  // namespace

void StartClaim(RequestState& aState, RequestId aRequest, TimePoint aNow,
                Counters& aCounters, RequestEffects& aEffects) {
  PendingRequest& pending = aState.m_pending.at(aRequest);
  pending.m_stage = RequestStage::Claiming;
  const IdempotencyKey key = pending.m_key;
  KeyClaimState& claims = aState.m_claims;
  const auto [entry, isNew] = claims.m_open.try_emplace(key);
  OpenClaim& claim = entry->second;
  if (!isNew && claim.m_request != aRequest) {
    EndWithError(aState, aRequest, RefusalFor(KeyState::InProgress), aNow,
                 aCounters, aEffects);
    return;
  }
  claim.m_request = aRequest;
  ResetClaim(aState, key, claim);
  claim.m_giveUpAt = pending.m_deadline - ExpectedRun(aState, pending.m_kind);
  if (claim.m_giveUpAt < aNow) claim.m_giveUpAt = pending.m_deadline;
  // Without authority the request may not be dispatched, so the claim waits for
  // its timer.
  if (aNow < aState.m_authorityUntil) {
    SendClaim(aState, key, claim, aNow, aEffects);
  }
  SetTimer(claims, key, claim, aNow + kClaimInterval);
}

bool IsClaimGranted(const RequestState& aState, const PendingRequest& aPending,
                    TimePoint aNow) {
  if (aNow >= aState.m_authorityUntil) return false;
  const auto found = aState.m_claims.m_open.find(aPending.m_key);
  return found != aState.m_claims.m_open.end() && IsComplete(found->second);
}

void NoteKeyDispatch(RequestState& aState, RequestId aRequest,
                     const IdempotencyKey& aKey, TimePoint aNow) {
  RecordKey(aState, aState.m_claims.m_dispatched, aRequest, aKey, aNow);
}

void EraseKeyDispatch(RequestState& aState, RequestId aRequest,
                      const IdempotencyKey& aKey) {
  const auto found = aState.m_claims.m_dispatched.find(aKey);
  if (found == aState.m_claims.m_dispatched.end()) return;
  if (found->second.m_request != aRequest) return;
  aState.m_claims.m_dispatched.erase(found);
}

void EndClaim(RequestState& aState, RequestId aRequest,
              const IdempotencyKey& aKey, RunState aRunState, TimePoint aNow,
              RequestEffects& aEffects) {
  KeyClaimState& claims = aState.m_claims;
  const auto found = claims.m_open.find(aKey);
  if (found == claims.m_open.end()) return;
  if (found->second.m_request != aRequest) return;
  claims.m_timers.erase({found->second.m_nextSend, aKey});
  claims.m_open.erase(found);
  if (aRunState == RunState::NotRun) {
    EraseKeyDispatch(aState, aRequest, aKey);
  }
  AppendOutcome(aState, {aKey, aRequest, aRunState}, aNow, aEffects);
}

void RenewClaims(RequestState& aState, TimePoint aNow,
                 RequestEffects& aEffects) {
  for (auto& [key, claim] : aState.m_claims.m_open) {
    const auto pending = aState.m_pending.find(claim.m_request);
    if (pending == aState.m_pending.end()) continue;
    if (IsCurrent(aState, key, claim)) continue;
    // A queued request claims again when it is about to be dispatched.
    ResetClaim(aState, key, claim);
    if (pending->second.m_stage != RequestStage::Claiming) continue;
    SendClaim(aState, key, claim, aNow, aEffects);
    SetTimer(aState.m_claims, key, claim, aNow + kClaimInterval);
  }
}

void AdvanceClaims(RequestState& aState, TimePoint aNow, Counters& aCounters,
                   RequestEffects& aEffects) {
  KeyClaimState& claims = aState.m_claims;
  while (!claims.m_timers.empty() && claims.m_timers.begin()->first <= aNow) {
    const IdempotencyKey key = claims.m_timers.begin()->second;
    OpenClaim& claim = claims.m_open.at(key);
    if (claim.m_giveUpAt <= aNow) {
      // The claim was not granted, so the request was not dispatched.
      EndWithError(aState, claim.m_request,
                   MakeError(ErrorKind::NotOwner,
                             "the idempotency key could not be claimed within "
                             "the window"),
                   aNow, aCounters, aEffects);
      continue;
    }
    SendClaim(aState, key, claim, aNow, aEffects);
    SetTimer(claims, key, claim, aNow + kClaimInterval);
  }
  while (!claims.m_outcomes.empty() &&
         claims.m_outcomes.front().m_sendAt <= aNow) {
    SendOutcome(aState, claims.m_outcomes.front().m_outcome, aEffects);
    claims.m_outcomes.pop_front();
  }
  EraseExpiredKeys(claims, aNow);
}

void HandleKeyAnswer(RequestState& aState, const PeerSender& aFrom,
                     const KeyAnswer& aAnswer, TimePoint aNow,
                     Counters& aCounters, RequestEffects& aEffects) {
  if (aFrom.m_epoch != aState.m_owners.m_epoch) {
    Count(aCounters, CounterId::PeerDroppedEpoch);
    return;
  }
  KeyClaimState& claims = aState.m_claims;
  const auto found = claims.m_open.find(aAnswer.m_key);
  if (found == claims.m_open.end() ||
      found->second.m_request != aAnswer.m_request) {
    ReleaseLateGrant(aState, aAnswer, aNow, aEffects);
    return;
  }
  OpenClaim& claim = found->second;
  const auto pending = aState.m_pending.find(aAnswer.m_request);
  if (pending == aState.m_pending.end() ||
      pending->second.m_stage != RequestStage::Claiming) {
    return;  // A duplicate answer; the request has been queued or dispatched.
  }
  if (aAnswer.m_state != KeyState::Granted) {
    if (aFrom.m_vm != claim.m_owner) return;
    EndWithError(aState, aAnswer.m_request, RefusalFor(aAnswer.m_state), aNow,
                 aCounters, aEffects);
    return;
  }
  if (aFrom.m_vm == claim.m_owner) claim.m_ownerGranted = true;
  if (aFrom.m_vm == claim.m_witness) claim.m_witnessGranted = true;
  if (!IsComplete(claim)) return;
  claims.m_timers.erase({claim.m_nextSend, aAnswer.m_key});
  QueueOrDispatch(aState, aAnswer.m_request, aNow, aCounters, aEffects);
  DispatchQueued(aState, aNow, aCounters, aEffects);
}

std::optional<KeyAnswer> WitnessKeyClaim(RequestState& aState,
                                         const PeerSender& aFrom,
                                         const KeyClaim& aClaim,
                                         TimePoint aNow) {
  if (aFrom.m_epoch != aState.m_owners.m_epoch) return std::nullopt;
  if (aFrom.m_vm == aState.m_self) return std::nullopt;
  if (KeyOwnerOf(aState.m_owners, aClaim.m_key) != aFrom.m_vm) {
    return std::nullopt;
  }
  RecordKey(aState, aState.m_claims.m_witnessed, aClaim.m_request, aClaim.m_key,
            aNow);
  return KeyAnswer{aClaim.m_key, aClaim.m_request, KeyState::Granted};
}

void HandleKeyReportRequest(RequestState& aState, const PeerSender& aFrom,
                            TimePoint aNow, RequestEffects& aEffects) {
  if (aFrom.m_epoch != aState.m_owners.m_epoch) return;
  EraseExpiredKeys(aState.m_claims, aNow);
  KeyReport report;
  for (const auto* records :
       {&aState.m_claims.m_dispatched, &aState.m_claims.m_witnessed}) {
    for (const auto& [key, record] : *records) {
      if (KeyOwnerOf(aState.m_owners, key) != aFrom.m_vm) continue;
      report.m_keys.push_back(key);
    }
  }
  aEffects.emplace_back(SendKeyReport{aFrom.m_vm, std::move(report)});
}

}  // namespace bronze

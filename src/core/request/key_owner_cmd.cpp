/**
 * @file key_owner_cmd.cpp Commands on the state of a key owner.
 */

#include "core/request/key_owner_cmd.h"

#include <algorithm>
#include <optional>

#include "core/request/key_shard_func.h"

namespace bronze {

namespace {

constexpr Duration kAskInterval = seconds(1);
/** Time after the window in which the outcome of a request may arrive. */
constexpr Duration kOutcomeGrace = seconds(2);

TimePoint TimerOf(const ClaimedKey& aClaim) {
  return aClaim.m_state == KeyState::InProgress
             ? std::min(aClaim.m_inDoubtAt, aClaim.m_expiresAt)
             : aClaim.m_expiresAt;
}

/** Changes the claim of a key and updates its timer; adds an unknown key. */
template <class Change>
ClaimedKey& ChangeKey(KeyOwnerState& aState, KeyShardState& aShard,
                      const IdempotencyKey& aKey, Change aChange) {
  ClaimedKey& claim = aShard.m_keys[aKey];
  aState.m_timers.erase({TimerOf(claim), aKey});
  aChange(claim);
  aState.m_timers.insert({TimerOf(claim), aKey});
  return claim;
}

void EraseKey(KeyOwnerState& aState, KeyShardState& aShard,
              const IdempotencyKey& aKey) {
  const auto found = aShard.m_keys.find(aKey);
  aState.m_timers.erase({TimerOf(found->second), aKey});
  aShard.m_keys.erase(found);
}

void Store(const IdempotencyKey& aKey, const ClaimedKey& aClaim,
           KeyOwnerEffects& aEffects) {
  aEffects.emplace_back(
      StoreKeyRow{KeyShardOf(aKey),
                  {aKey, aClaim.m_request, aClaim.m_claimer, aClaim.m_state}});
}

bool IsTakeoverComplete(const KeyShardState& aShard) {
  return aShard.m_rowsRead && aShard.m_unreported.empty();
}

void GrantNewClaim(KeyOwnerState& aState, KeyShardState& aShard,
                   const VmId& aFrom, const KeyClaim& aClaim, TimePoint aNow,
                   KeyOwnerEffects& aEffects) {
  const Duration window =
      std::clamp(aClaim.m_window, Duration::zero(), aState.m_maxWindow);
  const ClaimedKey& claim =
      ChangeKey(aState, aShard, aClaim.m_key, [&](ClaimedKey& aNew) {
        aNew.m_request = aClaim.m_request;
        aNew.m_claimer = aFrom;
        aNew.m_state = KeyState::InProgress;
        aNew.m_inDoubtAt = aNow + window + kOutcomeGrace;
        aNew.m_expiresAt = aNow + KeyRetention(aState.m_maxWindow);
      });
  Store(aClaim.m_key, claim, aEffects);
}

/** @return the answer to a claim, or nothing while it is not known. */
std::optional<KeyState> Answer(KeyOwnerState& aState, KeyShardState& aShard,
                               const VmId& aFrom, const KeyClaim& aClaim,
                               TimePoint aNow, Counters& aCounters,
                               KeyOwnerEffects& aEffects) {
  const auto known = aShard.m_keys.find(aClaim.m_key);
  if (known != aShard.m_keys.end()) {
    const ClaimedKey& claim = known->second;
    const bool same =
        claim.m_request == aClaim.m_request && claim.m_claimer == aFrom;
    if (same && claim.m_state == KeyState::InProgress) return KeyState::Granted;
    const bool doubt = claim.m_state == KeyState::InDoubt;
    Count(aCounters, doubt ? CounterId::KeysInDoubt : CounterId::KeysRepeated);
    return claim.m_state;
  }
  if (!IsTakeoverComplete(aShard)) return std::nullopt;
  if (aNow < aShard.m_inDoubtUntil) {
    Count(aCounters, CounterId::KeysInDoubt);
    return KeyState::InDoubt;
  }
  GrantNewClaim(aState, aShard, aFrom, aClaim, aNow, aEffects);
  Count(aCounters, CounterId::KeysClaimed);
  return KeyState::Granted;
}

/**
 * Marks a key as in doubt, because a member reported a dispatch with it. The
 * report does not name the request. The stored row may be older than the
 * dispatch, so only the state Finished is kept.
 */
void AddInDoubt(KeyOwnerState& aState, KeyShardState& aShard, const VmId& aFrom,
                const IdempotencyKey& aKey, TimePoint aNow,
                KeyOwnerEffects& aEffects) {
  const auto known = aShard.m_keys.find(aKey);
  const bool isKnown = known != aShard.m_keys.end();
  if (isKnown && known->second.m_state == KeyState::Finished) return;
  // If two VMs dispatched the key, neither alone knows the outcome.
  const bool contested = isKnown && known->second.m_claimer != aFrom;
  const ClaimedKey& claim =
      ChangeKey(aState, aShard, aKey, [&](ClaimedKey& aNew) {
        aNew.m_request = RequestId();
        aNew.m_claimer = contested ? VmId() : aFrom;
        aNew.m_state = KeyState::InDoubt;
        aNew.m_expiresAt = aNow + KeyRetention(aState.m_maxWindow);
      });
  Store(aKey, claim, aEffects);
}

void DropShard(KeyOwnerState& aState, const KeyShardState& aShard) {
  for (const auto& [key, claim] : aShard.m_keys) {
    aState.m_timers.erase({TimerOf(claim), key});
  }
}

void AskForReports(KeyOwnerState& aState, TimePoint aNow,
                   KeyOwnerEffects& aEffects) {
  if (aNow < aState.m_nextAsk) return;
  std::set<VmId> missing;
  for (const auto& [id, shard] : aState.m_shards) {
    missing.insert(shard.m_unreported.begin(), shard.m_unreported.end());
  }
  KeyReport ask;
  ask.m_isRequest = true;
  for (const VmId& vm : missing) {
    aEffects.emplace_back(AskKeyReport{vm, ask});
  }
  if (!missing.empty()) aState.m_nextAsk = aNow + kAskInterval;
}

}  // namespace

TimePoint InDoubtUntil(const std::vector<RemovedMember>& aRemoved,
                       bool aSurvivors, Duration aMaxWindow, TimePoint aNow) {
  const Duration retention = KeyRetention(aMaxWindow);
  TimePoint latest;
  size_t recent = 0;
  for (const RemovedMember& removed : aRemoved) {
    if (removed.m_removedAt + retention <= aNow) continue;
    ++recent;
    latest = std::max(latest, removed.m_removedAt);
  }
  if (!aSurvivors) return aNow + retention;
  return recent < 2 ? TimePoint() : latest + retention;
}

void SetOwnedKeys(KeyOwnerState& aState, const KeyOwnership& aOwnership,
                  TimePoint aNow, KeyOwnerEffects& aEffects) {
  aState.m_epoch = aOwnership.m_epoch;
  aState.m_members = aOwnership.m_members;
  std::erase_if(aState.m_shards, [&](const auto& aEntry) {
    if (aOwnership.m_shards.count(aEntry.first) > 0) return false;
    DropShard(aState, aEntry.second);
    return true;
  });
  for (const KeyShard id : aOwnership.m_shards) {
    const auto [entry, isNew] = aState.m_shards.try_emplace(id);
    KeyShardState& shard = entry->second;
    if (isNew) {
      shard.m_unreported = aOwnership.m_members;
      shard.m_inDoubtUntil = aOwnership.m_inDoubtUntil;
      aEffects.emplace_back(ReadKeyRows{id});
      aState.m_nextAsk = aNow;
      continue;
    }
    const size_t before = shard.m_unreported.size();
    std::erase_if(shard.m_unreported, [&](const VmId& aVm) {
      return aState.m_members.count(aVm) == 0;
    });
    // A member was lost after the previous owner, and before it reported.
    if (shard.m_unreported.size() < before) {
      shard.m_inDoubtUntil = std::max(shard.m_inDoubtUntil,
                                      aNow + KeyRetention(aState.m_maxWindow));
    }
  }
  AskForReports(aState, aNow, aEffects);
}

void AddKeyRows(KeyOwnerState& aState, KeyShard aShard,
                const std::vector<KeyRow>& aRows, TimePoint aNow) {
  const auto found = aState.m_shards.find(aShard);
  if (found == aState.m_shards.end() || found->second.m_rowsRead) return;
  KeyShardState& shard = found->second;
  for (const KeyRow& row : aRows) {
    // A key known from a report or an outcome is newer than the row.
    if (shard.m_keys.count(row.m_key) > 0 &&
        row.m_state != KeyState::Finished) {
      continue;
    }
    ChangeKey(aState, shard, row.m_key, [&](ClaimedKey& aClaim) {
      aClaim.m_request = row.m_request;
      aClaim.m_claimer = row.m_claimer;
      aClaim.m_state = row.m_state;
      aClaim.m_inDoubtAt = aNow + aState.m_maxWindow + kOutcomeGrace;
      // The row has no time of writing, so the retention time starts anew.
      aClaim.m_expiresAt = aNow + KeyRetention(aState.m_maxWindow);
    });
  }
  shard.m_rowsRead = true;
}

void HandleKeyReport(KeyOwnerState& aState, const PeerSender& aFrom,
                     const KeyReport& aReport, TimePoint aNow,
                     KeyOwnerEffects& aEffects) {
  if (aFrom.m_epoch != aState.m_epoch || aReport.m_isRequest) return;
  for (const IdempotencyKey& key : aReport.m_keys) {
    const auto shard = aState.m_shards.find(KeyShardOf(key));
    if (shard == aState.m_shards.end()) continue;
    if (shard->second.m_unreported.count(aFrom.m_vm) == 0) continue;
    AddInDoubt(aState, shard->second, aFrom.m_vm, key, aNow, aEffects);
  }
  for (auto& [id, shard] : aState.m_shards) {
    shard.m_unreported.erase(aFrom.m_vm);
  }
}

void HandleKeyClaim(KeyOwnerState& aState, const PeerSender& aFrom,
                    const KeyClaim& aClaim, TimePoint aAuthorityUntil,
                    TimePoint aNow, Counters& aCounters,
                    KeyOwnerEffects& aEffects) {
  if (aFrom.m_epoch != aState.m_epoch || aAuthorityUntil <= aNow) return;
  const auto shard = aState.m_shards.find(KeyShardOf(aClaim.m_key));
  if (shard == aState.m_shards.end()) return;
  const auto state = Answer(aState, shard->second, aFrom.m_vm, aClaim, aNow,
                            aCounters, aEffects);
  if (!state) return;
  aEffects.emplace_back(
      SendKeyAnswer{aFrom.m_vm, {aClaim.m_key, aClaim.m_request, *state}});
}

void HandleKeyOutcome(KeyOwnerState& aState, const PeerSender& aFrom,
                      const KeyOutcome& aOutcome, TimePoint aNow,
                      KeyOwnerEffects& aEffects) {
  const auto shard = aState.m_shards.find(KeyShardOf(aOutcome.m_key));
  if (shard == aState.m_shards.end()) return;
  const auto known = shard->second.m_keys.find(aOutcome.m_key);
  if (known == shard->second.m_keys.end()) return;
  ClaimedKey& claim = known->second;
  if (claim.m_state == KeyState::Finished) return;
  const bool same = claim.m_request == aOutcome.m_request;
  const bool reported =
      !claim.m_request.IsValid() && claim.m_claimer == aFrom.m_vm;
  if (!same && !reported) return;
  if (aOutcome.m_runState == RunState::NotRun) {
    // The key is known from a report, which may be about another request.
    if (!same) return;
    EraseKey(aState, shard->second, aOutcome.m_key);
    aEffects.emplace_back(
        EraseKeyRow{KeyShardOf(aOutcome.m_key), aOutcome.m_key});
    return;
  }
  const KeyState state = aOutcome.m_runState == RunState::Run
                             ? KeyState::Finished
                             : KeyState::InDoubt;
  if (claim.m_state == state) return;
  ChangeKey(aState, shard->second, aOutcome.m_key, [&](ClaimedKey& aClaim) {
    aClaim.m_state = state;
    aClaim.m_expiresAt = aNow + KeyRetention(aState.m_maxWindow);
  });
  Store(aOutcome.m_key, claim, aEffects);
}

void AdvanceKeyOwner(KeyOwnerState& aState, TimePoint aNow,
                     KeyOwnerEffects& aEffects) {
  while (!aState.m_timers.empty() && aState.m_timers.begin()->first <= aNow) {
    const IdempotencyKey key = aState.m_timers.begin()->second;
    KeyShardState& shard = aState.m_shards.at(KeyShardOf(key));
    const ClaimedKey& claim = shard.m_keys.at(key);
    if (claim.m_expiresAt <= aNow) {
      EraseKey(aState, shard, key);
      aEffects.emplace_back(EraseKeyRow{KeyShardOf(key), key});
      continue;
    }
    ChangeKey(aState, shard, key,
              [](ClaimedKey& aClaim) { aClaim.m_state = KeyState::InDoubt; });
    Store(key, claim, aEffects);
  }
  AskForReports(aState, aNow, aEffects);
}

}  // namespace bronze

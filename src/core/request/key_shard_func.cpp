/**
 * @file key_shard_func.cpp Shard and owner of an idempotency key.
 */

#include "core/request/key_shard_func.h"

#include <xxhash.h>

namespace bronze {

KeyShard KeyShardOf(const IdempotencyKey& aKey) {
  const std::string& text = aKey.Value();
  // Must be the same hash as in KeyUnit() of src/core/ownership.
  return static_cast<KeyShard>(XXH3_64bits(text.data(), text.size()) %
                               kKeyShards);
}

VmId KeyOwnerOf(const UnitOwners& aOwners, const IdempotencyKey& aKey) {
  if (aOwners.m_keyShards.size() != kKeyShards) return {};
  return aOwners.m_keyShards[KeyShardOf(aKey)];
}

}  // namespace bronze

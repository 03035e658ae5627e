/**
 * @file unit_func.cpp Names of units, and the assignment of units to members.
 */

#include "core/ownership/unit_func.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <tuple>

namespace bronze {

namespace {

constexpr std::array<std::string_view, 4> kKindNames = {"runner", "rack",
                                                        "team", "key"};

bool IsShardKind(UnitKind aKind) {
  return aKind == UnitKind::Team || aKind == UnitKind::Key;
}

ShardId ShardOf(const std::string& aName) {
  return ShardId(static_cast<uint16_t>(XXH3_64bits(aName.data(), aName.size()) %
                                       kShardCount));
}

/** Rendezvous hash of a member for a unit; the highest one wins. */
uint64_t Weight(const std::string& aUnitName, const VmId& aMember) {
  const uint64_t seed =
      XXH3_64bits(aMember.Value().data(), aMember.Value().size());
  return XXH3_64bits_withSeed(aUnitName.data(), aUnitName.size(), seed);
}

/** 1.1 times the mean, rounded up. */
size_t MaxShardsPerMember(size_t aMembers) {
  return (size_t{kShardCount} * 11 + aMembers * 10 - 1) / (aMembers * 10);
}

/**
 * Assigns shards to members in descending order of the weight of the pair. Both
 * sides prefer the higher weight, so the result is the only stable matching,
 * and a member that joins or leaves moves few shards apart from its own.
 */
std::vector<uint16_t> AssignShards(UnitKind aKind,
                                   const std::vector<VmId>& aMembers) {
  std::vector<std::tuple<uint64_t, uint16_t, uint16_t>> pairs;
  pairs.reserve(kShardCount * aMembers.size());
  for (uint16_t shard = 0; shard < kShardCount; ++shard) {
    const std::string name = UnitName(ShardUnit(aKind, ShardId(shard)));
    for (size_t member = 0; member < aMembers.size(); ++member) {
      pairs.emplace_back(Weight(name, aMembers[member]), shard,
                         static_cast<uint16_t>(member));
    }
  }
  std::sort(pairs.rbegin(), pairs.rend());
  constexpr uint16_t kNoOwner = UINT16_MAX;
  std::vector<uint16_t> owners(kShardCount, kNoOwner);
  std::vector<size_t> loads(aMembers.size(), 0);
  const size_t cap = MaxShardsPerMember(aMembers.size());
  for (const auto& [weight, shard, member] : pairs) {
    if (owners[shard] != kNoOwner || loads[member] == cap) continue;
    owners[shard] = member;
    ++loads[member];
  }
  return owners;
}

}  // namespace

UnitId RunnerUnit(const RunnerId& aRunner) {
  return {UnitKind::Runner, aRunner.Value(), {}};
}

UnitId RackUnit(const RackId& aRack) {
  return {UnitKind::Rack, aRack.Value(), {}};
}

UnitId TeamUnit(const TeamId& aTeam) {
  return ShardUnit(UnitKind::Team, ShardOf(aTeam.Value()));
}

UnitId KeyUnit(const IdempotencyKey& aKey) {
  return ShardUnit(UnitKind::Key, ShardOf(aKey.Value()));
}

UnitId ShardUnit(UnitKind aKind, ShardId aShard) { return {aKind, {}, aShard}; }

std::string UnitName(const UnitId& aUnit) {
  std::string name(kKindNames[static_cast<size_t>(aUnit.m_kind)]);
  name += '/';
  name += IsShardKind(aUnit.m_kind) ? std::to_string(aUnit.m_shard.Value())
                                    : aUnit.m_name;
  return name;
}

std::optional<UnitId> ParseUnit(std::string_view aName) {
  const size_t slash = aName.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const auto kindName =
      std::find(kKindNames.begin(), kKindNames.end(), aName.substr(0, slash));
  if (kindName == kKindNames.end()) return std::nullopt;
  const auto kind = static_cast<UnitKind>(kindName - kKindNames.begin());
  const std::string_view rest = aName.substr(slash + 1);
  if (rest.empty()) return std::nullopt;
  if (!IsShardKind(kind)) return UnitId{kind, std::string(rest), {}};
  uint16_t shard = 0;
  const auto [end, error] =
      std::from_chars(rest.data(), rest.data() + rest.size(), shard);
  if (error != std::errc() || end != rest.data() + rest.size() ||
      shard >= kShardCount) {
    return std::nullopt;
  }
  return ShardUnit(kind, ShardId(shard));
}

Assignment AssignUnits(const std::vector<Member>& aMembers) {
  Assignment assignment;
  for (const Member& member : aMembers) {
    assignment.m_members.push_back(member.m_vm);
  }
  // The result must not depend on the order of aMembers.
  std::sort(assignment.m_members.begin(), assignment.m_members.end());
  if (aMembers.empty()) return assignment;
  assignment.m_teamOwners = AssignShards(UnitKind::Team, assignment.m_members);
  assignment.m_keyOwners = AssignShards(UnitKind::Key, assignment.m_members);
  return assignment;
}

VmId OwnerIn(const Assignment& aAssignment, const UnitId& aUnit) {
  const auto& members = aAssignment.m_members;
  if (members.empty()) return {};
  if (IsShardKind(aUnit.m_kind)) {
    const auto& owners = aUnit.m_kind == UnitKind::Team
                             ? aAssignment.m_teamOwners
                             : aAssignment.m_keyOwners;
    return members[owners.at(aUnit.m_shard.Value())];
  }
  const std::string name = UnitName(aUnit);
  return *std::max_element(members.begin(), members.end(),
                           [&](const VmId& aLeft, const VmId& aRight) {
                             return Weight(name, aLeft) < Weight(name, aRight);
                           });
}

}  // namespace bronze

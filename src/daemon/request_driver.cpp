/**
 * @file request_driver.cpp Connects the scheduling of requests to I/O.
 */

#include "daemon/request_driver.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>

#include "codec/key_json.h"
#include "core/metrics/histogram_func.h"
#include "daemon/clock.h"
#include "daemon/overloaded.h"
#include "net/address_func.h"
#include "net/error_reply.h"
#include "net/log_func.h"

namespace bronze {

namespace asio = boost::asio;

namespace {

constexpr Duration kOwnerTickInterval = milliseconds(50);
constexpr Duration kTableTimeout = seconds(2);
constexpr size_t kScanLimit = 500;
// A member that drains hands over its key shards: the new owners get its rows
// and the reports of all other members. This takes at most 4.2 s for the lease
// and 3.2 s for confirmations after the change of epoch. If another member is
// lost within this time, both count as lost together.
constexpr Duration kHandoverTime = seconds(8);

std::string KeyUnitName(KeyShard aShard) {
  return "key/" + std::to_string(aShard);
}

UnitId KeyShardUnit(KeyShard aShard) {
  return ShardUnit(UnitKind::Key, ShardId(static_cast<uint16_t>(aShard)));
}

PeerSender SenderOf(const PeerMessage& aMessage) {
  return {aMessage.m_from, aMessage.m_incarnation, aMessage.m_epoch};
}

}  // namespace

RequestDriver::RequestDriver(const VmId& aSelf, Incarnation aIncarnation,
                             asio::io_context& aControl, ThreadPool& aThreads,
                             PeerHub& aHub, TableClient& aTable,
                             CoordinationDriver& aCoordination,
                             CommitDriver& aCommits, Counters& aCounters)
    : m_control(aControl),
      m_threads(aThreads),
      m_hub(aHub),
      m_table(aTable),
      m_coordination(aCoordination),
      m_commits(aCommits),
      m_counters(aCounters) {
  m_state.m_self = aSelf;
  m_slotOwner.m_self = aSelf;
  m_slotOwner.m_incarnation = aIncarnation;
  m_keyOwner.m_self = aSelf;
  m_state.m_random.seed(std::random_device()());
  for (size_t i = 0; i < m_threads.Size(); ++i) {
    m_gateways.push_back(std::make_unique<RunnerGateway>(
        m_threads.Context(i), m_counters,
        [this](const std::shared_ptr<CallerCall>&, AttemptResult aResult) {
          asio::post(m_control, [this, result = std::move(aResult)] {
            OnAttemptEnd(result);
          });
        }));
  }
}

RequestDriver::~RequestDriver() = default;

void RequestDriver::PostArrival(std::shared_ptr<CallerCall> aCall,
                                Arrival aArrival) {
  asio::post(m_control,
             [this, call = std::move(aCall), arrival = std::move(aArrival)] {
               const bool wasIdle = IsIdle();
               m_calls.emplace(arrival.m_request, call);
               RequestEffects effects;
               Arrive(m_state, arrival, Now(), m_counters, effects);
               CarryOut(effects);
               // Reports the demand for slots now, as the next tick may be
               // 50 ms away.
               if (wasIdle) Tick();
             });
}

void RequestDriver::PostCallerLeft(RequestId aRequest) {
  asio::post(m_control, [this, aRequest] {
    RequestEffects effects;
    CallerLeft(m_state, aRequest, Now(), m_counters, effects);
    CarryOut(effects);
    m_calls.erase(aRequest);
  });
}

void RequestDriver::UseSettings(const SystemSettings& aSettings) {
  m_state.m_settings = aSettings.m_request;
  m_slotOwner.m_settings = aSettings.m_request;
  m_slotOwner.m_coordination = aSettings.m_coordination;
  m_keyOwner.m_maxWindow = aSettings.m_request.m_maxWindow;
}

void RequestDriver::UseVmList(const std::vector<VmInfo>& aVms) {
  for (const VmInfo& vm : aVms) {
    if (vm.m_role != VmRole::Runner) continue;
    const RunnerId id(vm.m_id);
    if (vm.m_state == VmState::Gone) {
      // Repeated for each list, as the core keeps a runner until its attempts
      // have ended.
      RemoveRunner(m_state, id);
      m_goneRunners.insert(id);
      continue;
    }
    const auto address = ParseAddress(vm.m_address);
    if (!address) {
      Log(LogLevel::Warn, LogPart::Runners,
          "runner skipped, as its address is invalid id={} error=\"{}\"",
          vm.m_id, address.error().m_message);
      continue;
    }
    const bool leaving = vm.m_state == VmState::Leaving;
    m_runners[id] = {address.value(), {vm.m_slots, leaving}};
    SetRunner(m_state, id, vm.m_slots, leaving);
  }
  UpdateOwners();
  UpdateOwnedSlots();
}

void RequestDriver::OnEpochAdopted() {
  RecordRemovedMembers();
  UpdateOwners();
  OnUnitsChanged();
}

void RequestDriver::OnUnitsChanged() {
  UpdateOwnedSlots();
  UpdateOwnedKeys();
}

bool RequestDriver::OnMessage(const PeerMessage& aMessage) {
  const TimePoint now = Now();
  const TimePoint authority = m_coordination.AuthorityUntil();
  const PeerSender sender = SenderOf(aMessage);
  RequestEffects effects;
  SlotOwnerEffects slotEffects;
  KeyOwnerEffects keyEffects;
  const bool taken = std::visit(
      Overloaded{
          [&](const SlotReport& aBody) {
            TakeSlotReport(m_slotOwner, sender, aBody, authority, now,
                           m_counters, slotEffects);
            return true;
          },
          [&](const SlotGrant& aBody) {
            TakeSlotGrant(m_state, sender, aBody, now, m_counters, effects);
            return true;
          },
          [&](const KeyClaim& aBody) {
            const auto answer = WitnessKeyClaim(m_state, sender, aBody, now);
            if (answer) {
              m_hub.Send(sender.m_vm, *answer);
              return true;
            }
            TakeKeyClaim(m_keyOwner, sender, aBody, authority, now, m_counters,
                         keyEffects);
            return true;
          },
          [&](const KeyAnswer& aBody) {
            TakeKeyAnswer(m_state, sender, aBody, now, m_counters, effects);
            return true;
          },
          [&](const KeyOutcome& aBody) {
            TakeKeyOutcome(m_keyOwner, sender, aBody, now, keyEffects);
            return true;
          },
          [&](const KeyReport& aBody) {
            if (aBody.m_ask) {
              AnswerKeyReportAsk(m_state, sender, now, effects);
            } else {
              TakeKeyReport(m_keyOwner, sender, aBody, now, keyEffects);
            }
            return true;
          },
          [](const auto&) { return false; }},
      aMessage.m_body);
  CarryOut(slotEffects);
  CarryOut(keyEffects);
  CarryOut(effects);
  return taken;
}

void RequestDriver::Tick() {
  const TimePoint now = Now();
  const TimePoint authority = m_coordination.AuthorityUntil();
  m_state.m_authorityUntil = authority;
  RequestEffects effects;
  AdvanceRequests(m_state, now, m_counters, effects);
  CarryOut(effects);
  if (now < m_nextOwnerTick) return;
  m_nextOwnerTick = now + kOwnerTickInterval;
  SlotOwnerEffects slotEffects;
  AdvanceSlotOwner(m_slotOwner, authority, now, m_counters, slotEffects);
  CarryOut(slotEffects);
  KeyOwnerEffects keyEffects;
  AdvanceKeyOwner(m_keyOwner, now, keyEffects);
  CarryOut(keyEffects);
}

void RequestDriver::Drain(std::function<void()> aOnEmpty) {
  m_state.m_draining = true;
  m_onDrained = std::move(aOnEmpty);
  CheckDrained();
}

void RequestDriver::AppendMetrics(std::string& aText) const {
  aText +=
      "# HELP bronze_request_seconds Time from arrival to answer.\n"
      "# TYPE bronze_request_seconds histogram\n";
  for (const auto& [kind, histogram] : m_latencies) {
    AppendPrometheus(histogram, "bronze_request_seconds",
                     "kind=\"" + kind.Value() + "\"", aText);
  }
}

void RequestDriver::OnAttemptEnd(const AttemptResult& aResult) {
  RequestEffects effects;
  EndAttempt(m_state, aResult, Now(), m_counters, effects);
  CarryOut(effects);
}

void RequestDriver::CarryOut(RequestEffects& aEffects) {
  for (RequestEffect& effect : aEffects) {
    std::visit(
        Overloaded{
            [this](const DispatchRequest& aEffect) { Dispatch(aEffect); },
            [this](const DeliverAnswer& aEffect) {
              Deliver(aEffect.m_request);
            },
            [this](const RefuseRequest& aEffect) { Refuse(aEffect); },
            [this](const AbortAttempt& aEffect) { Abort(aEffect.m_request); },
            [this](SendSlotReport& aEffect) {
              m_hub.Send(aEffect.m_to, std::move(aEffect.m_report));
            },
            [this](SendKeyClaim& aEffect) {
              m_hub.Send(aEffect.m_to, std::move(aEffect.m_claim));
            },
            [this](SendKeyOutcome& aEffect) {
              m_hub.Send(aEffect.m_to, std::move(aEffect.m_outcome));
            },
            [this](SendKeyReport& aEffect) {
              m_hub.Send(aEffect.m_to, std::move(aEffect.m_report));
            }},
        effect);
  }
  CheckDrained();
}

void RequestDriver::CarryOut(SlotOwnerEffects& aEffects) {
  for (SendSlotGrant& effect : aEffects) {
    m_hub.Send(effect.m_to, std::move(effect.m_grant));
  }
}

void RequestDriver::CarryOut(KeyOwnerEffects& aEffects) {
  for (KeyOwnerEffect& effect : aEffects) {
    std::visit(
        Overloaded{[this](SendKeyAnswer& aEffect) {
                     m_hub.Send(aEffect.m_to, std::move(aEffect.m_answer));
                   },
                   [this](AskKeyReport& aEffect) {
                     m_hub.Send(aEffect.m_to, std::move(aEffect.m_report));
                   },
                   [this](const ReadKeyRows& aEffect) {
                     ReadKeys(aEffect.m_shard, "",
                              std::make_shared<std::vector<KeyRow>>());
                   },
                   [this](const StoreKeyRow& aEffect) {
                     WriteKey(aEffect.m_shard, aEffect.m_row.m_key,
                              EncodeKeyRow(aEffect.m_row));
                   },
                   [this](const EraseKeyRow& aEffect) {
                     WriteKey(aEffect.m_shard, aEffect.m_key, std::nullopt);
                   }},
        effect);
  }
}

void RequestDriver::Dispatch(const DispatchRequest& aEffect) {
  const auto found = m_calls.find(aEffect.m_request);
  if (found == m_calls.end()) {
    // The call has been dropped. Nothing was sent, so the slot becomes free.
    asio::post(m_control, [this, effect = aEffect] {
      OnAttemptEnd(
          {effect.m_request, effect.m_runner, AttemptEnd::ConnectFailed, {}});
    });
    return;
  }
  const auto& call = found->second;
  const auto address = m_runners.at(aEffect.m_runner).m_address;
  asio::post(
      m_threads.Context(call->m_thread),
      [gateway = m_gateways[call->m_thread].get(), call, address, aEffect] {
        gateway->Send(call, aEffect.m_runner, address, aEffect.m_deadline);
      });
}

void RequestDriver::Deliver(RequestId aRequest) {
  auto call = m_calls.extract(aRequest);
  if (!call) return;
  Record(m_latencies[call.mapped()->m_kind], Now() - call.mapped()->m_arrived);
  call.mapped()->m_responder->Reply(std::move(call.mapped()->m_answer));
}

void RequestDriver::Refuse(const RefuseRequest& aEffect) {
  auto call = m_calls.extract(aEffect.m_request);
  if (!call) return;
  Log(LogLevel::Debug, LogPart::Callers,
      "request refused request={:016x} error=\"{}\"", aEffect.m_request.Value(),
      aEffect.m_error.m_message);
  call.mapped()->m_responder->Reply(ErrorReply(aEffect.m_error));
}

void RequestDriver::Abort(RequestId aRequest) {
  const auto found = m_calls.find(aRequest);
  if (found == m_calls.end()) return;
  const size_t thread = found->second->m_thread;
  asio::post(m_threads.Context(thread),
             [gateway = m_gateways[thread].get(), aRequest] {
               gateway->Abort(aRequest);
             });
}

void RequestDriver::ReadKeys(KeyShard aShard, std::string aAfter,
                             std::shared_ptr<std::vector<KeyRow>> aRows) {
  m_table.Scan(
      KeyUnitName(aShard) + "/", aAfter, kScanLimit, kTableTimeout,
      [this, aShard, after = aAfter, rows = aRows](Result<TableScan> aScan) {
        if (!aScan) {
          // Claims of unknown keys get no answer until the rows are known, so
          // the read is repeated while this VM owns the shard.
          if (m_keyOwner.m_shards.contains(aShard)) {
            ReadKeys(aShard, after, rows);
          }
          return;
        }
        const TableScan& scan = aScan.value();
        for (const TableRow& row : scan.m_rows) {
          const auto key = DecodeKeyRow(row.m_value);
          if (key) rows->push_back(key.value());
        }
        if (scan.m_more && !scan.m_rows.empty()) {
          ReadKeys(aShard, scan.m_rows.back().m_key, rows);
          return;
        }
        KeyRowsRead(m_keyOwner, aShard, *rows, Now());
      });
}

void RequestDriver::WriteKey(KeyShard aShard, const IdempotencyKey& aKey,
                             std::optional<std::string> aValue) {
  TableChange change;
  change.m_unit = KeyUnitName(aShard);
  change.m_writes = {
      {KeyUnitName(aShard) + "/" + aKey.Value(), std::move(aValue)}};
  m_commits.Submit(std::move(change), nullptr);
}

void RequestDriver::RecordRemovedMembers() {
  const TimePoint now = Now();
  const EpochRow& row = m_coordination.Members().m_row;
  std::map<VmId, Incarnation> members;
  for (const Member& member : row.m_members) {
    members[member.m_vm] = member.m_incarnation;
  }
  if (m_lastMembers.empty()) {
    // A daemon that has just joined takes earlier members from the row, only
    // once: later rows list them again, and none may count as lost twice.
    for (const EarlierEpoch& earlier : row.m_unsettled) {
      for (const Member& member : earlier.m_members) {
        m_lastMembers.emplace(member.m_vm, member.m_incarnation);
      }
    }
  }
  m_hasSurvivor = m_lastMembers.empty();
  const auto& peers = m_coordination.Members().m_peers;
  for (const auto& [vm, incarnation] : m_lastMembers) {
    const auto found = members.find(vm);
    if (found != members.end() && found->second == incarnation) {
      m_hasSurvivor = true;
      continue;
    }
    const auto peer = peers.find(vm);
    const bool drained =
        peer != peers.end() && peer->second.m_incarnation == incarnation &&
        (peer->second.m_draining || peer->second.m_listed == VmState::Leaving);
    (drained ? m_drained : m_removed).push_back({vm, now});
  }
  m_lastMembers = std::move(members);
  const auto expire = [now](std::vector<RemovedMember>& aList, Duration aAge) {
    std::erase_if(aList, [&](const RemovedMember& aMember) {
      return aMember.m_removedAt + aAge < now;
    });
  };
  expire(m_removed, m_state.m_settings.m_maxWindow * 2);
  expire(m_drained, m_state.m_settings.m_maxWindow * 2);
}

std::vector<RemovedMember> RequestDriver::LostMembers() const {
  std::vector<RemovedMember> lost = m_removed;
  for (const RemovedMember& drained : m_drained) {
    const bool lostTogether = std::any_of(
        m_removed.begin(), m_removed.end(), [&](const RemovedMember& aMember) {
          const Duration gap = aMember.m_removedAt - drained.m_removedAt;
          return std::chrono::abs(gap) < kHandoverTime;
        });
    if (lostTogether) lost.push_back(drained);
  }
  return lost;
}

void RequestDriver::UpdateOwners() {
  const OwnershipState& owners = m_coordination.Owners();
  UnitOwners units;
  units.m_epoch = owners.m_row.m_epoch;
  if (units.m_epoch == Epoch()) return;
  for (const auto& [runner, info] : m_runners) {
    units.m_runners[runner] = OwnerOf(owners, RunnerUnit(runner));
  }
  for (KeyShard shard = 0; shard < kKeyShards; ++shard) {
    units.m_keyShards.push_back(OwnerOf(owners, KeyShardUnit(shard)));
  }
  for (const Member& member : owners.m_row.m_members) {
    units.m_members[member.m_vm] = member.m_incarnation;
  }
  RequestEffects effects;
  SetUnitOwners(m_state, std::move(units), Now(), m_counters, effects);
  CarryOut(effects);
}

void RequestDriver::UpdateOwnedSlots() {
  const TimePoint now = Now();
  const OwnershipState& owners = m_coordination.Owners();
  SlotOwnership owned;
  owned.m_epoch = owners.m_row.m_epoch;
  for (const Member& member : owners.m_row.m_members) {
    owned.m_members.insert(member.m_vm);
  }
  owned.m_membersLost = std::any_of(
      m_removed.begin(), m_removed.end(), [&](const RemovedMember& aRemoved) {
        return now < aRemoved.m_removedAt + m_state.m_settings.m_maxWindow;
      });
  for (const auto& [runner, info] : m_runners) {
    if (m_goneRunners.contains(runner)) continue;
    const auto unit = owners.m_units.find(RunnerUnit(runner));
    if (unit == owners.m_units.end() || unit->second != UnitState::Acting) {
      continue;
    }
    owned.m_runners[runner] = info.m_info;
  }
  SetOwnedRunners(m_slotOwner, owned, now);
}

void RequestDriver::UpdateOwnedKeys() {
  const TimePoint now = Now();
  const OwnershipState& owners = m_coordination.Owners();
  KeyOwnership owned;
  owned.m_epoch = owners.m_row.m_epoch;
  for (const Member& member : owners.m_row.m_members) {
    owned.m_members.insert(member.m_vm);
  }
  for (KeyShard shard = 0; shard < kKeyShards; ++shard) {
    const auto unit = owners.m_units.find(KeyShardUnit(shard));
    if (unit != owners.m_units.end() && unit->second == UnitState::Acting) {
      owned.m_shards.insert(shard);
    }
  }
  owned.m_inDoubtUntil = InDoubtUntil(LostMembers(), m_hasSurvivor,
                                      m_state.m_settings.m_maxWindow, now);
  if (owned.m_inDoubtUntil > now) {
    Log(LogLevel::Warn, LogPart::Owners,
        "members were lost, so keys unknown to new key shards are in doubt "
        "removed={} drained={} survivors={} seconds={}",
        m_removed.size(), m_drained.size(), m_hasSurvivor,
        std::chrono::duration_cast<seconds>(owned.m_inDoubtUntil - now)
            .count());
  }
  KeyOwnerEffects effects;
  SetOwnedKeys(m_keyOwner, owned, now, effects);
  CarryOut(effects);
}

void RequestDriver::CheckDrained() {
  if (!m_onDrained || !m_state.m_pending.empty()) return;
  auto onDrained = std::move(m_onDrained);
  m_onDrained = nullptr;
  onDrained();
}

}  // namespace bronze

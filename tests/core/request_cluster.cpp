/**
 * @file request_cluster.cpp Simulated entry VMs, runners and clock.
 */

#include "request_cluster.h"

#include <fmt/format.h>

#include "core/request/key_shard_func.h"

namespace bronze {

namespace {

constexpr Duration kTick = milliseconds(10);
constexpr Duration kLease = seconds(4);
constexpr Duration kTakeoverDelay = milliseconds(4200);  // Above kLease.
constexpr Duration kCommitDelay = milliseconds(250);     // Table access.

}  // namespace

RequestCluster::RequestCluster(size_t aNodes, int aRunners, int64_t aSlots,
                               const RequestSettings& aSettings, uint32_t aSeed)
    : m_random(aSeed) {
  for (int i = 0; i < aRunners; ++i) {
    m_runners[RunnerId(fmt::format("r{}", i))].m_slots = aSlots;
  }
  for (size_t i = 0; i < aNodes; ++i) {
    auto node = std::make_unique<FakeNode>();
    node->m_id = VmId(fmt::format("e{}", i));
    node->m_requests.m_settings = aSettings;
    node->m_requests.m_self = node->m_id;
    node->m_requests.m_random.seed(aSeed + static_cast<uint32_t>(i) + 1);
    node->m_slots.m_self = node->m_id;
    node->m_slots.m_incarnation = node->m_incarnation;
    node->m_slots.m_settings = aSettings;
    node->m_keys.m_self = node->m_id;
    node->m_keys.m_maxWindow = aSettings.m_maxWindow;
    for (const auto& [id, runner] : m_runners) {
      SetRunner(node->m_requests, id, Slots(runner.m_slots), false);
    }
    m_nodes.push_back(std::move(node));
  }
  ChangeEpoch();
  for (auto& node : m_nodes) {
    TakeOver(*node);
    Tick(*node);
  }
}

FakeNode* RequestCluster::NodeOf(const VmId& aVm) {
  for (auto& node : m_nodes) {
    if (node->m_id == aVm) return node.get();
  }
  return nullptr;
}

bool RequestCluster::Chance(double aProbability) {
  return std::uniform_real_distribution<>(0.0, 1.0)(m_random) < aProbability;
}

void RequestCluster::At(TimePoint aTime, std::function<void()> aCall) {
  m_events.push({std::max(aTime, m_now), ++m_lastEvent, std::move(aCall)});
}

void RequestCluster::RunUntil(TimePoint aTime) {
  while (!m_events.empty() && m_events.top().m_at <= aTime) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.m_at;
    event.m_call();
  }
  m_now = aTime;
}

void RequestCluster::OnNode(FakeNode& aNode, TimePoint aAt,
                            std::function<void()> aCall) {
  At(aAt, [this, &aNode, call = std::move(aCall)] {
    if (!aNode.m_alive) return;
    if (m_now < aNode.m_pausedUntil) {
      OnNode(aNode, aNode.m_pausedUntil, call);
      return;
    }
    call();
  });
}

void RequestCluster::Tick(FakeNode& aNode) {
  // A member of the epoch in force renews its authority.
  if (aNode.m_requests.m_owners.m_epoch == m_owners.m_epoch) {
    aNode.m_authorityUntil = m_now + kLease;
    aNode.m_requests.m_authorityUntil = aNode.m_authorityUntil;
  }
  RequestEffects effects;
  AdvanceRequests(aNode.m_requests, m_now, m_counters, effects);
  CarryOut(aNode, effects);
  SlotOwnerEffects grants;
  AdvanceSlotOwner(aNode.m_slots, aNode.m_authorityUntil, m_now, m_counters,
                   grants);
  CarryOut(aNode, grants);
  KeyOwnerEffects keys;
  AdvanceKeyOwner(aNode.m_keys, m_now, keys);
  CarryOut(aNode, keys);
  OnNode(aNode, m_now + kTick, [this, &aNode] { Tick(aNode); });
}

void RequestCluster::Deliver(FakeNode& aFrom, const VmId& aTo,
                             const PeerBody& aBody) {
  ++m_messages;
  FakeNode* to = NodeOf(aTo);
  if (to == nullptr) return;
  const bool local = to == &aFrom;
  if (!local && Chance(m_faults.m_messageLoss)) return;
  const int copies = !local && Chance(m_faults.m_messageRepeat) ? 2 : 1;
  const PeerMessage message{aFrom.m_id, aFrom.m_incarnation,
                            aFrom.m_requests.m_owners.m_epoch, aBody};
  for (int i = 0; i < copies; ++i) {
    const Duration delay(std::uniform_int_distribution<Duration::rep>(
        500,
        std::max<Duration::rep>(500, m_faults.m_maxDelay.count()))(m_random));
    OnNode(*to, m_now + (local ? Duration::zero() : delay),
           [this, to, message] { Receive(*to, message); });
  }
}

void RequestCluster::Receive(FakeNode& aNode, const PeerMessage& aMessage) {
  const PeerSender from{aMessage.m_from, aMessage.m_incarnation,
                        aMessage.m_epoch};
  RequestEffects effects;
  SlotOwnerEffects grants;
  KeyOwnerEffects keys;
  if (const auto* report = std::get_if<SlotReport>(&aMessage.m_body)) {
    HandleSlotReport(aNode.m_slots, from, *report, aNode.m_authorityUntil,
                     m_now, m_counters, grants);
  } else if (const auto* grant = std::get_if<SlotGrant>(&aMessage.m_body)) {
    HandleSlotGrant(aNode.m_requests, from, *grant, m_now, m_counters, effects);
  } else if (const auto* claim = std::get_if<KeyClaim>(&aMessage.m_body)) {
    HandleKeyClaim(aNode.m_keys, from, *claim, aNode.m_authorityUntil, m_now,
                   m_counters, keys);
    if (auto answer = WitnessKeyClaim(aNode.m_requests, from, *claim, m_now)) {
      Deliver(aNode, from.m_vm, *answer);
    }
  } else if (const auto* answer = std::get_if<KeyAnswer>(&aMessage.m_body)) {
    HandleKeyAnswer(aNode.m_requests, from, *answer, m_now, m_counters,
                    effects);
  } else if (const auto* outcome = std::get_if<KeyOutcome>(&aMessage.m_body)) {
    HandleKeyOutcome(aNode.m_keys, from, *outcome, m_now, keys);
  } else if (const auto* keyReport = std::get_if<KeyReport>(&aMessage.m_body)) {
    if (keyReport->m_isRequest) {
      HandleKeyReportRequest(aNode.m_requests, from, m_now, effects);
    } else {
      HandleKeyReport(aNode.m_keys, from, *keyReport, m_now, keys);
    }
  }
  CarryOut(aNode, effects);
  CarryOut(aNode, grants);
  CarryOut(aNode, keys);
}

RequestId RequestCluster::Send(size_t aNode, const KindId& aKind,
                               Duration aWindow, const std::string& aKey,
                               const std::string& aCaller) {
  const RequestId request(++m_lastRequest);
  m_kindOf[request] = aKind;
  m_keyOf[request] = aKey;
  FakeNode& node = *m_nodes[aNode];
  const Arrival arrival{request, aKind, CallerId(aCaller), IdempotencyKey(aKey),
                        aWindow};
  OnNode(node, m_now, [this, &node, arrival] {
    RequestEffects effects;
    HandleArrival(node.m_requests, arrival, m_now, m_counters, effects);
    CarryOut(node, effects);
  });
  return request;
}

void RequestCluster::Leave(size_t aNode, RequestId aRequest) {
  FakeNode& node = *m_nodes[aNode];
  RequestEffects effects;
  HandleCallerLeft(node.m_requests, aRequest, m_now, m_counters, effects);
  CarryOut(node, effects);
}

void RequestCluster::Kill(size_t aNode) { m_nodes[aNode]->m_alive = false; }

void RequestCluster::Pause(size_t aNode, Duration aTime) {
  m_nodes[aNode]->m_pausedUntil = m_now + aTime;
}

void RequestCluster::ChangeEpoch() {
  const auto former = m_owners.m_members;
  m_owners.m_epoch = m_owners.m_epoch.Next();
  m_owners.m_members.clear();
  std::vector<VmId> members;
  for (const auto& node : m_nodes) {
    if (!node->m_alive || m_now < node->m_pausedUntil) continue;
    m_owners.m_members[node->m_id] = node->m_incarnation;
    members.push_back(node->m_id);
  }
  for (const auto& [vm, incarnation] : former) {
    if (m_owners.m_members.count(vm) == 0) m_removed.push_back({vm, m_now});
  }
  size_t next = 0;
  m_owners.m_runners.clear();
  for (const auto& [id, runner] : m_runners) {
    m_owners.m_runners[id] = members[next++ % members.size()];
  }
  m_owners.m_keyShards.clear();
  for (size_t i = 0; i < kKeyShards; ++i) {
    m_owners.m_keyShards.push_back(members[i % members.size()]);
  }
  for (auto& node : m_nodes) {
    const Epoch epoch = m_owners.m_epoch;
    OnNode(*node, m_now, [this, &node = *node] { Adopt(node); });
    OnNode(*node, m_now + kTakeoverDelay, [this, &node = *node, epoch] {
      if (m_owners.m_epoch == epoch) TakeOver(node);
    });
  }
}

void RequestCluster::Adopt(FakeNode& aNode) {
  if (m_owners.m_members.count(aNode.m_id) == 0) return;
  RequestEffects effects;
  SetUnitOwners(aNode.m_requests, m_owners, m_now, m_counters, effects);
  CarryOut(aNode, effects);
  // Covers only units that this member keeps or loses. It gains units in
  // TakeOver().
  SlotOwnership slots;
  slots.m_epoch = m_owners.m_epoch;
  KeyOwnership keys;
  keys.m_epoch = m_owners.m_epoch;
  for (const auto& [vm, incarnation] : m_owners.m_members) {
    slots.m_members.insert(vm);
    keys.m_members.insert(vm);
  }
  for (const auto& [id, runner] : aNode.m_slots.m_runners) {
    if (m_owners.m_runners.at(id) != aNode.m_id) continue;
    slots.m_runners[id] = {runner.m_slots, m_runners.at(id).m_unreachable};
  }
  for (const auto& [shard, state] : aNode.m_keys.m_shards) {
    if (m_owners.m_keyShards[shard] == aNode.m_id) keys.m_shards.insert(shard);
  }
  SetOwnedRunners(aNode.m_slots, slots, m_now);
  KeyOwnerEffects effectsOfKeys;
  SetOwnedKeys(aNode.m_keys, keys, m_now, effectsOfKeys);
  CarryOut(aNode, effectsOfKeys);
}

void RequestCluster::TakeOver(FakeNode& aNode) {
  Adopt(aNode);
  SlotOwnership slots;
  slots.m_epoch = m_owners.m_epoch;
  slots.m_membersLost = !m_removed.empty();
  KeyOwnership keys;
  keys.m_epoch = m_owners.m_epoch;
  keys.m_inDoubtUntil =
      InDoubtUntil(m_removed, true, aNode.m_keys.m_maxWindow, m_now);
  for (const auto& [vm, incarnation] : m_owners.m_members) {
    slots.m_members.insert(vm);
    keys.m_members.insert(vm);
  }
  for (const auto& [id, owner] : m_owners.m_runners) {
    const FakeRunner& runner = m_runners.at(id);
    if (owner != aNode.m_id) continue;
    slots.m_runners[id] = {Slots(runner.m_slots), runner.m_unreachable};
  }
  for (KeyShard i = 0; i < kKeyShards; ++i) {
    if (m_owners.m_keyShards[i] == aNode.m_id) keys.m_shards.insert(i);
  }
  SetOwnedRunners(aNode.m_slots, slots, m_now);
  KeyOwnerEffects effects;
  SetOwnedKeys(aNode.m_keys, keys, m_now, effects);
  CarryOut(aNode, effects);
}

void RequestCluster::LoseRunner(const RunnerId& aRunner) {
  m_runners.at(aRunner).m_unreachable = true;
}

void RequestCluster::CarryOut(FakeNode& aNode, const RequestEffects& aEffects) {
  for (const RequestEffect& effect : aEffects) {
    if (const auto* dispatch = std::get_if<DispatchRequest>(&effect)) {
      Start(aNode, *dispatch);
    } else if (const auto* answer = std::get_if<DeliverAnswer>(&effect)) {
      NoteEnd(answer->m_request, {true, ErrorKind::Internal, m_now});
    } else if (const auto* refusal = std::get_if<RefuseRequest>(&effect)) {
      NoteEnd(refusal->m_request, {false, refusal->m_error.m_kind, m_now});
    } else if (const auto* report = std::get_if<SendSlotReport>(&effect)) {
      Deliver(aNode, report->m_to, report->m_report);
    } else if (const auto* claim = std::get_if<SendKeyClaim>(&effect)) {
      Deliver(aNode, claim->m_to, claim->m_claim);
    } else if (const auto* outcome = std::get_if<SendKeyOutcome>(&effect)) {
      Deliver(aNode, outcome->m_to, outcome->m_outcome);
    } else if (const auto* keys = std::get_if<SendKeyReport>(&effect)) {
      Deliver(aNode, keys->m_to, keys->m_report);
    }
  }
}

void RequestCluster::CarryOut(FakeNode& aNode,
                              const SlotOwnerEffects& aEffects) {
  for (const SendSlotGrant& effect : aEffects) {
    Deliver(aNode, effect.m_to, effect.m_grant);
  }
}

void RequestCluster::CarryOut(FakeNode& aNode,
                              const KeyOwnerEffects& aEffects) {
  for (const KeyOwnerEffect& effect : aEffects) {
    if (const auto* answer = std::get_if<SendKeyAnswer>(&effect)) {
      Deliver(aNode, answer->m_to, answer->m_answer);
    } else if (const auto* ask = std::get_if<AskKeyReport>(&effect)) {
      Deliver(aNode, ask->m_to, ask->m_report);
    } else if (const auto* read = std::get_if<ReadKeyRows>(&effect)) {
      OnNode(aNode, m_now + kCommitDelay,
             [this, &aNode, shard = read->m_shard] {
               std::vector<KeyRow> rows;
               for (const auto& [key, row] : m_table[shard])
                 rows.push_back(row);
               AddKeyRows(aNode.m_keys, shard, rows, m_now);
             });
    } else if (const auto* store = std::get_if<StoreKeyRow>(&effect)) {
      OnNode(aNode, m_now + kCommitDelay, [this, row = *store] {
        m_table[row.m_shard][row.m_row.m_key] = row.m_row;
      });
    } else if (const auto* erase = std::get_if<EraseKeyRow>(&effect)) {
      OnNode(aNode, m_now + kCommitDelay,
             [this, row = *erase] { m_table[row.m_shard].erase(row.m_key); });
    }
  }
}

void RequestCluster::Start(FakeNode& aNode, const DispatchRequest& aDispatch) {
  const RequestId request = aDispatch.m_request;
  FakeRunner& runner = m_runners.at(aDispatch.m_runner);
  AttemptResult result{request, aDispatch.m_runner, AttemptEnd::ConnectFailed,
                       milliseconds(1)};
  if (runner.m_unreachable || Chance(m_faults.m_connectFails)) {
    OnNode(aNode, m_now + milliseconds(1),
           [this, &aNode, result] { End(aNode, result); });
    return;
  }
  ++runner.m_running;
  runner.m_maxRunning = std::max(runner.m_maxRunning, runner.m_running);
  if (runner.m_running > runner.m_slots) {
    m_violations.push_back("more requests than slots at runner " +
                           aDispatch.m_runner.Value());
  }
  ++m_runs[request];
  const std::string& key = m_keyOf[request];
  if (!key.empty() && ++m_runsOfKey[key] > 1) {
    m_violations.push_back("more than one run of key " + key);
  }
  const Duration time = m_runTime(m_kindOf[request], aDispatch.m_runner);
  At(m_now + time, [&runner] { --runner.m_running; });
  const TimePoint end = std::min(m_now + time, aDispatch.m_deadline);
  result.m_runTime = end - m_now;
  result.m_end = end < m_now + time              ? AttemptEnd::DeadlineReached
                 : Chance(m_faults.m_answerLost) ? AttemptEnd::AnswerLost
                                                 : AttemptEnd::Answered;
  OnNode(aNode, end, [this, &aNode, result] { End(aNode, result); });
}

void RequestCluster::End(FakeNode& aNode, const AttemptResult& aResult) {
  RequestEffects effects;
  EndAttempt(aNode.m_requests, aResult, m_now, m_counters, effects);
  CarryOut(aNode, effects);
}

void RequestCluster::NoteEnd(RequestId aRequest, const FakeEnd& aEnd) {
  if (!m_ends.emplace(aRequest, aEnd).second) {
    m_violations.push_back(
        fmt::format("more than one end of request {}", aRequest.Value()));
  }
  const bool notRun = !aEnd.m_answered &&
                      AnswerFor(aEnd.m_error).m_runState == RunState::NotRun;
  if (notRun && m_runs[aRequest] > 0) {
    m_violations.push_back(
        fmt::format("\"not run\" for request {}, which ran", aRequest.Value()));
  }
}

}  // namespace bronze

/**
 * @file request_key_test.cpp Idempotency keys: claimer, owner, new owner.
 */

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "core/request/key_shard_func.h"
#include "request_cluster.h"
#include "request_fixture.h"

namespace bronze {

namespace {

RequestSettings Settings() {
  RequestSettings settings;
  settings.m_kinds[kCommit].m_idempotent = false;
  return settings;
}

Duration RunTimeOf(const KindId&, const RunnerId&) { return milliseconds(40); }

/** The owner of one key shard; its takeover starts in the constructor. */
struct OwnerFixture {
  explicit OwnerFixture(TimePoint aInDoubtUntil = {}) {
    KeyOwnerEffects effects;
    KeyOwnership ownership;
    ownership.m_epoch = Epoch(2);
    ownership.m_members = {kSelf};
    ownership.m_shards = {KeyShardOf(m_key)};
    ownership.m_inDoubtUntil = aInDoubtUntil;
    SetOwnedKeys(m_owner, ownership, m_now, effects);
  }

  void CompleteTakeover(const KeyReport& aReport = {},
                        const std::vector<KeyRow>& aRows = {}) {
    KeyOwnerEffects effects;
    AddKeyRows(m_owner, KeyShardOf(m_key), aRows, m_now);
    HandleKeyReport(m_owner, m_from, aReport, m_now, effects);
  }

  /** @return the answer to a claim, or nothing if there is none. */
  std::optional<KeyState> Claim(uint64_t aRequest) {
    KeyOwnerEffects effects;
    HandleKeyClaim(m_owner, m_from, {m_key, RequestId(aRequest), seconds(5)},
                   m_authorityUntil, m_now, m_counters, effects);
    for (const KeyOwnerEffect& effect : effects) {
      if (const auto* answer = std::get_if<SendKeyAnswer>(&effect)) {
        return answer->m_answer.m_state;
      }
    }
    return std::nullopt;
  }

  KeyOwnerEffects Outcome(uint64_t aRequest, RunState aRunState) {
    KeyOwnerEffects effects;
    HandleKeyOutcome(m_owner, m_from, {m_key, RequestId(aRequest), aRunState},
                     m_now, effects);
    return effects;
  }

  const IdempotencyKey m_key{"k"};
  const PeerSender m_from{kSelf, Incarnation(1), Epoch(2)};
  TimePoint m_now{seconds(100)};
  TimePoint m_authorityUntil{seconds(100'000)};
  KeyOwnerState m_owner;
  Counters m_counters;
};

struct InDoubtFixture : OwnerFixture {
  InDoubtFixture() : OwnerFixture(TimePoint(seconds(130))) {}
};

std::optional<KeyState> State(KeyState aState) { return aState; }

}  // namespace

// Guards against a second run of a key, whatever the order of claims and
// outcomes.
BOOST_FIXTURE_TEST_CASE(OneClaimIsGrantedAtATime, OwnerFixture) {
  CompleteTakeover();
  BOOST_TEST((Claim(1) == State(KeyState::Granted)));
  BOOST_TEST((Claim(1) == State(KeyState::Granted)));  // Repeated claim.
  BOOST_TEST((Claim(2) == State(KeyState::InProgress)));
  Outcome(2, RunState::NotRun);  // Not the claimer, so no effect.
  BOOST_TEST((Claim(2) == State(KeyState::InProgress)));
  Outcome(1, RunState::NotRun);
  BOOST_TEST((Claim(2) == State(KeyState::Granted)));
  Outcome(1, RunState::NotRun);  // Late duplicate of the outcome.
  BOOST_TEST((Claim(3) == State(KeyState::InProgress)));
  Outcome(2, RunState::Run);
  BOOST_TEST((Claim(3) == State(KeyState::Finished)));
  Outcome(2, RunState::NotRun);
  BOOST_TEST((Claim(3) == State(KeyState::Finished)));
}

// Guards against an outcome that is erased while the caller may still repeat
// the request, and against keys that are kept forever.
BOOST_FIXTURE_TEST_CASE(OutcomeIsKeptForTheRetentionTime, OwnerFixture) {
  CompleteTakeover();
  Claim(1);
  m_now += seconds(1);
  Outcome(1, RunState::Run);
  m_now += seconds(60) - milliseconds(1);
  KeyOwnerEffects effects;
  AdvanceKeyOwner(m_owner, m_now, effects);
  BOOST_TEST((Claim(2) == State(KeyState::Finished)));
  m_now += milliseconds(1);
  AdvanceKeyOwner(m_owner, m_now, effects);
  BOOST_TEST(std::holds_alternative<EraseKeyRow>(effects.back()));
  BOOST_TEST((Claim(2) == State(KeyState::Granted)));
}

// Guards against a second grant of a key whose outcome was lost.
BOOST_FIXTURE_TEST_CASE(LostOutcomeLeavesTheKeyInDoubt, OwnerFixture) {
  CompleteTakeover();
  Claim(1);
  m_now += seconds(8);
  KeyOwnerEffects effects;
  AdvanceKeyOwner(m_owner, m_now, effects);
  BOOST_TEST((Claim(2) == State(KeyState::InDoubt)));
}

// Guards against an answer of an owner whose authority has ended.
BOOST_FIXTURE_TEST_CASE(NoAnswerWithoutAuthority, OwnerFixture) {
  CompleteTakeover();
  m_authorityUntil = m_now;
  BOOST_TEST(!Claim(1));
}

// Guards against a new owner that grants a key before it has read all rows and
// received all reports.
BOOST_FIXTURE_TEST_CASE(SuccessorWaitsForRowsAndReports, OwnerFixture) {
  BOOST_TEST(!Claim(1));
  AddKeyRows(m_owner, KeyShardOf(m_key), {}, m_now);
  BOOST_TEST(!Claim(1));
  KeyOwnerEffects effects;
  HandleKeyReport(m_owner, m_from, {}, m_now, effects);
  BOOST_TEST((Claim(1) == State(KeyState::Granted)));
}

// Guards against a new owner that grants a key which was dispatched before.
BOOST_FIXTURE_TEST_CASE(ReportedKeyIsInDoubtUntilItsOutcome, OwnerFixture) {
  CompleteTakeover({false, {m_key}});
  BOOST_TEST((Claim(2) == State(KeyState::InDoubt)));
  Outcome(1, RunState::Run);
  BOOST_TEST((Claim(2) == State(KeyState::Finished)));
}

// Guards against a new owner that ignores rows of the table.
BOOST_FIXTURE_TEST_CASE(RowsAreReadBack, OwnerFixture) {
  CompleteTakeover({}, {{m_key, RequestId(1), kOwner, KeyState::Finished}});
  BOOST_TEST((Claim(2) == State(KeyState::Finished)));
}

// Guards against a grant after the loss of two members, with which an earlier
// claim of the key may have been lost.
BOOST_FIXTURE_TEST_CASE(UnknownKeyIsInDoubtAfterACommonLoss, InDoubtFixture) {
  CompleteTakeover();
  BOOST_TEST((Claim(1) == State(KeyState::InDoubt)));
  m_now = TimePoint(seconds(130));
  BOOST_TEST((Claim(1) == State(KeyState::Granted)));
}

// Guards against "in doubt" after the loss of one member, and against the lack
// of it after two losses within the retention time or without a survivor.
BOOST_AUTO_TEST_CASE(DoubtFollowsTwoLossesWithinTheRetention) {
  const Duration window = seconds(30);
  const TimePoint now(seconds(1000));
  const RemovedMember first{kSelf, now - seconds(50)};
  const RemovedMember second{kOwner, now - seconds(1)};
  const RemovedMember old{kOwner, now - seconds(70)};
  BOOST_TEST((InDoubtUntil({second}, true, window, now) == TimePoint()));
  BOOST_TEST((InDoubtUntil({old, second}, true, window, now) == TimePoint()));
  BOOST_TEST(
      (InDoubtUntil({first, second}, true, window, now) == now + seconds(59)));
  BOOST_TEST((InDoubtUntil({second}, false, window, now) == now + seconds(60)));
}

// Guards against the dispatch of a request that was refused as "not run" before
// its claim was granted, and against a claim that its owner keeps.
BOOST_FIXTURE_TEST_CASE(LateGrantIsGivenBack, RequestFixture) {
  SetRunners(1, Slots(1));
  Grant(Slots(1));
  const auto sent = EffectsOf<SendKeyClaim>(ArriveOne(1, kCommit, seconds(1)));
  BOOST_REQUIRE_EQUAL(sent.size(), 1u);
  BOOST_TEST((sent[0].m_to == kOwner));
  BOOST_TEST(!EffectsOf<SendKeyClaim>(Advance(milliseconds(100))).empty());
  const auto effects = Advance(seconds(1));
  const auto refusal = EffectsOf<RefuseRequest>(effects).at(0);
  BOOST_TEST((refusal.m_error.m_kind == ErrorKind::NotOwner));
  const auto late = AnswerKey(1, KeyState::Granted);
  BOOST_TEST(EffectsOf<DispatchRequest>(late).empty());
  const auto outcome = EffectsOf<SendKeyOutcome>(late).at(0).m_outcome;
  BOOST_TEST((outcome.m_runState == RunState::NotRun));
}

// Guards against a dispatch with a claim that a former owner granted.
BOOST_FIXTURE_TEST_CASE(ClaimIsMadeAgainAtANewOwner, RequestFixture) {
  SetRunners(1, Slots(1));
  Grant(Slots(1));
  ArriveOne(1, kCheck);
  ArriveOne(2, kCommit);
  BOOST_TEST(
      EffectsOf<DispatchRequest>(AnswerKey(2, KeyState::Granted)).empty());
  UnitOwners owners = m_state.m_owners;
  owners.m_epoch = Epoch(2);
  owners.m_members = {{kSelf, Incarnation(1)}, {kOwner, Incarnation(2)}};
  RequestEffects effects;
  SetUnitOwners(m_state, owners, m_now, m_counters, effects);
  BOOST_TEST((Runner(RunnerId("r1")).m_granted == Slots(0)));
  SlotGrant grant;
  grant.m_sequence = GrantSequence(1);
  grant.m_demandSequence = m_state.m_slots.m_owners.at(kOwner).m_reportSent;
  grant.m_items = {{RunnerId("r1"), Slots(2), seconds(2)}};
  effects.clear();
  HandleSlotGrant(m_state, {kOwner, Incarnation(2), Epoch(2)}, grant, m_now,
                  m_counters, effects);
  BOOST_TEST(EffectsOf<DispatchRequest>(effects).empty());
  BOOST_TEST(EffectsOf<SendKeyClaim>(effects).size() == 1u);
}

// Guards against the dispatch of a key by a VM whose authority has ended, as
// others may have taken over from it.
BOOST_FIXTURE_TEST_CASE(KeyIsNotDispatchedWithoutAuthority, RequestFixture) {
  SetRunners(1, Slots(1));
  Grant(Slots(1));
  ArriveOne(1, kCommit);
  m_state.m_authorityUntil = m_now;
  BOOST_TEST(
      EffectsOf<DispatchRequest>(AnswerKey(1, KeyState::Granted)).empty());
}

// Guards against two requests with the same key at one entry VM.
BOOST_FIXTURE_TEST_CASE(SecondRequestWithTheKeyIsRefused, RequestFixture) {
  SetRunners(1, Slots(2));
  Grant(Slots(2));
  ArriveOne(1, kCommit);
  const auto refusal = EffectsOf<RefuseRequest>(ArriveOne(2, kCommit)).at(0);
  BOOST_TEST((refusal.m_error.m_kind == ErrorKind::DuplicateInProgress));
  BOOST_TEST(
      EffectsOf<DispatchRequest>(AnswerKey(1, KeyState::Granted)).size() == 1u);
}

// Guards against the loss of a claim together with the VM that both owns the
// key's shard and dispatches the request. A second member has to know the claim
// before the dispatch.
BOOST_FIXTURE_TEST_CASE(OwnClaimNeedsAWitness, RequestFixture) {
  SetRunners(1, Slots(1));
  Grant(Slots(1));
  m_state.m_owners.m_keyShards.assign(kKeyShards, kSelf);
  const auto sent = EffectsOf<SendKeyClaim>(ArriveOne(1, kCommit));
  BOOST_REQUIRE_EQUAL(sent.size(), 2u);
  const KeyAnswer granted{IdempotencyKey("k"), RequestId(1), KeyState::Granted};
  RequestEffects effects;
  HandleKeyAnswer(m_state, {kSelf, Incarnation(1), Epoch(1)}, granted, m_now,
                  m_counters, effects);
  BOOST_TEST(EffectsOf<DispatchRequest>(effects).empty());
  HandleKeyAnswer(m_state, {kOwner, Incarnation(1), Epoch(1)}, granted, m_now,
                  m_counters, effects);
  BOOST_TEST(EffectsOf<DispatchRequest>(effects).size() == 1u);
}

// Guards against a key that runs twice, and against the answer "not run" for a
// request that ran. Each key is submitted three times, at random entry VMs;
// there are lost and late messages, a pause, and the failure of one or two
// members.
BOOST_AUTO_TEST_CASE(KeyRunsAtMostOnce) {
  const bool held = rc::check("keys", [] {
    const auto seed = *rc::gen::inRange<uint32_t>(1, 1'000'000);
    const auto victims = *rc::gen::inRange<size_t>(1, 3);
    const auto pause = milliseconds(*rc::gen::inRange(100, 12'000));
    RequestCluster cluster(5, 6, 4, Settings(), seed);
    cluster.m_runTime = RunTimeOf;
    cluster.m_faults = {0.1, 0.05, milliseconds(80), 0.05, 0.05};
    std::minstd_rand random(seed);
    std::uniform_int_distribution<size_t> node(0, 4);
    std::uniform_int_distribution<int> offset(0, 30'000);
    for (int i = 0; i < 1000; ++i) {
      const std::string key = "key" + std::to_string(i);
      const auto first = cluster.m_now + milliseconds(offset(random));
      for (const Duration later :
           {Duration(), Duration(milliseconds(offset(random) / 1000)),
            Duration(milliseconds(offset(random) / 4))}) {
        cluster.At(first + later, [&cluster, key, to = node(random)] {
          cluster.Send(to, kCommit, seconds(5), key);
        });
      }
    }
    cluster.RunUntil(cluster.m_now + seconds(5));
    cluster.Pause(4, pause);
    cluster.RunUntil(cluster.m_now + seconds(1));
    for (size_t i = 0; i < victims; ++i) cluster.Kill(i);
    cluster.RunUntil(cluster.m_now + seconds(5));
    cluster.ChangeEpoch();
    cluster.RunUntil(cluster.m_now + seconds(40));
    for (const auto& violation : cluster.m_violations) RC_FAIL(violation);
    RC_ASSERT(cluster.m_runsOfKey.size() > 300U);
  });
  BOOST_TEST(held);
}

}  // namespace bronze

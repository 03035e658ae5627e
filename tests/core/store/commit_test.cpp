/**
 * @file commit_test.cpp Group commit when the table fails or rejects commits.
 */

#include <boost/test/unit_test.hpp>

#include "core/store/commit_cmd.h"
#include "core/store/rate_limit_func.h"

namespace bronze {

namespace {

struct Fixture {
  Fixture() { StartCommits(m_state, CommitSequence(5), RowVersion(7)); }

  TableChange Change(uint64_t aId, const std::string& aKey,
                     ChangePriority aPriority = ChangePriority::Normal) {
    return {ChangeId(aId),
            aPriority,
            "rack/r1",
            {{aKey, RowVersion(1)}},
            {{aKey, "x"}}};
  }

  CommitFence Fence() { return {{"epoch", m_epoch}, "lease/a", "encoded"}; }

  /** @return the transaction that is sent now, if any. */
  std::optional<SendCommit> Send() {
    m_effects.clear();
    if (!DueCommit(m_state, m_epoch, m_now)) return std::nullopt;
    BeginCommit(m_state, Fence(), m_now, m_counters, m_effects);
    if (!std::holds_alternative<SendCommit>(m_effects.at(0))) {
      return std::nullopt;
    }
    return std::get<SendCommit>(m_effects.at(0));
  }

  void End(CommitReply aReply) {
    m_effects.clear();
    CommitEnded(m_state, aReply, Fence(), m_now, m_counters, m_effects);
  }

  /** Whether the last effects report this outcome of the change. */
  bool IsDone(uint64_t aId, ChangeOutcome aOutcome) {
    for (const StoreEffect& effect : m_effects) {
      const auto* done = std::get_if<ChangeDone>(&effect);
      if (done != nullptr && done->m_id == ChangeId(aId)) {
        return done->m_outcome == aOutcome;
      }
    }
    return false;
  }

  GroupCommitState m_state;
  RowVersion m_epoch{3};
  Counters m_counters;
  TimePoint m_now{seconds(100)};
  StoreEffects m_effects;
};

}  // namespace

// Guards against more than one commit in flight, and more than four per second.
BOOST_FIXTURE_TEST_CASE(OneCommitAtATimeAndPerInterval, Fixture) {
  AddChange(m_state, Change(1, "a"));
  const auto sent = Send();
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST((sent->m_sequence == CommitSequence(6)));
  AddChange(m_state, Change(2, "b"));
  m_now += seconds(1);
  BOOST_TEST(!Send().has_value());
  m_now -= seconds(1);
  End({CommitOutcome::Committed, RowVersion(8), {}});
  BOOST_TEST(IsDone(1, ChangeOutcome::Committed));
  BOOST_TEST(!Send().has_value());
  m_now += milliseconds(250);
  const auto next = Send();
  BOOST_REQUIRE(next.has_value());
  // The lease row is checked with the version of the commit before.
  BOOST_TEST((next->m_transaction.m_checks.at(1).m_version == RowVersion(8)));
}

// Guards against one change with a conflict that blocks all other changes.
BOOST_FIXTURE_TEST_CASE(ConflictDropsOnlyTheChangeConcerned, Fixture) {
  AddChange(m_state, Change(1, "a"));
  AddChange(m_state, Change(2, "b"));
  BOOST_REQUIRE(Send().has_value());
  End({CommitOutcome::Conflict, RowVersion(), {"a"}});
  BOOST_TEST(IsDone(1, ChangeOutcome::Conflict));
  m_now += milliseconds(250);
  const auto next = Send();
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next->m_transaction.m_writes.size() == 2u);
  End({CommitOutcome::Committed, RowVersion(9), {}});
  BOOST_TEST(IsDone(2, ChangeOutcome::Committed));
}

// Guards against a commit that took effect but is treated as failed, because
// its reply was lost.
BOOST_FIXTURE_TEST_CASE(LeaseRowShowsThatACommitWithALostReplyTookEffect,
                        Fixture) {
  AddChange(m_state, Change(1, "a"));
  BOOST_REQUIRE(Send().has_value());
  End({CommitOutcome::ReplyLost, RowVersion(), {}});
  BOOST_TEST(!Send().has_value());
  BOOST_TEST(std::holds_alternative<ReadLeaseRow>(m_effects.at(0)));
  m_effects.clear();
  LeaseRowRead(m_state, CommitSequence(6), RowVersion(9), m_now, m_counters,
               m_effects);
  BOOST_TEST(IsDone(1, ChangeOutcome::Committed));
}

// Guards against a transaction that takes effect twice because the first send
// arrives late. It is repeated unchanged, so at most one of the two passes the
// check of the lease row.
BOOST_FIXTURE_TEST_CASE(CommitInDoubtIsRepeatedUnchanged, Fixture) {
  AddChange(m_state, Change(1, "a"));
  const auto first = Send();
  End({CommitOutcome::ReplyLost, RowVersion(), {}});
  BOOST_TEST(!Send().has_value());
  LeaseRowRead(m_state, CommitSequence(5), RowVersion(7), m_now, m_counters,
               m_effects);
  AddChange(m_state, Change(2, "b"));
  m_now += seconds(5);
  const auto second = Send();
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((second->m_sequence == first->m_sequence));
  BOOST_TEST(second->m_transaction.m_writes.size() == 2u);
  // The first send took effect in the meantime, as the lease row shows.
  End({CommitOutcome::Conflict, RowVersion(), {"lease/a", "a"}});
  BOOST_TEST(!IsDone(1, ChangeOutcome::Conflict));
  BOOST_TEST(!Send().has_value());
  m_effects.clear();
  LeaseRowRead(m_state, CommitSequence(6), RowVersion(9), m_now, m_counters,
               m_effects);
  BOOST_TEST(IsDone(1, ChangeOutcome::Committed));
  BOOST_TEST(!IsDone(2, ChangeOutcome::Committed));
}

// Guards against commits under an epoch that is no longer the latest.
BOOST_FIXTURE_TEST_CASE(NothingIsSentUntilTheNewEpochIsAdopted, Fixture) {
  AddChange(m_state, Change(1, "a"));
  BOOST_REQUIRE(Send().has_value());
  End({CommitOutcome::Conflict, RowVersion(), {"epoch"}});
  BOOST_TEST(std::holds_alternative<EpochRowChanged>(m_effects.at(0)));
  m_now += seconds(10);
  BOOST_TEST(!Send().has_value());
  DropChangesOf(m_state, "rack/r1");
  m_epoch = RowVersion(4);
  const auto next = Send();
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next->m_transaction.m_writes.size() == 1u);
}

// Guards against a table that is overloaded by retries when it recovers.
BOOST_FIXTURE_TEST_CASE(BackoffGrowsWhileTheTableIsDown, Fixture) {
  AddChange(m_state, Change(1, "a"));
  int sent = 0;
  for (const TimePoint end = m_now + seconds(60); m_now < end;
       m_now += milliseconds(50)) {
    if (!Send()) continue;
    ++sent;
    End({CommitOutcome::Unavailable, RowVersion(), {}});
  }
  BOOST_TEST(sent > 10);
  BOOST_TEST(sent < 40);
  BOOST_TEST(m_state.m_pending.size() == 1u);
}

// Guards against task starts that wait behind thousands of cancellations, and
// against cancellations that are never committed.
BOOST_FIXTURE_TEST_CASE(HalfOfEachCommitIsReservedForStarts, Fixture) {
  for (uint64_t id = 1; id <= 5000; ++id) {
    AddChange(m_state,
              Change(id, "c" + std::to_string(id), ChangePriority::Bulk));
  }
  for (uint64_t id = 6000; id < 6300; ++id) {
    AddChange(m_state, Change(id, "s" + std::to_string(id)));
  }
  const auto sent = Send();
  BOOST_REQUIRE(sent.has_value());
  size_t starts = 0;
  for (const TableWrite& write : sent->m_transaction.m_writes) {
    starts += write.m_key.starts_with("s") ? 1 : 0;
  }
  const size_t limit = m_state.m_settings.m_maxChanges;
  BOOST_TEST(starts == limit / 2);
  BOOST_TEST(sent->m_transaction.m_writes.size() == limit + 1);
}

// Guards against a daemon that uses more than its share of the table's reads.
BOOST_AUTO_TEST_CASE(RateLimitHolds) {
  RateLimit limit{10.0, 10.0, {}};
  int taken = 0;
  TimePoint now{seconds(1)};
  for (; now < TimePoint(seconds(11)); now += milliseconds(10)) {
    taken += TakeToken(limit, now) ? 1 : 0;
  }
  BOOST_TEST(taken >= 100);
  BOOST_TEST(taken <= 111);
  BOOST_TEST((NextToken(limit, now) <= now + milliseconds(101)));
}

}  // namespace bronze

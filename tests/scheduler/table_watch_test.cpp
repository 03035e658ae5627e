/**
 * @file table_watch_test.cpp A watch of a table beside a store that gives a
 * long list of changes in parts.
 */

#include "scheduler/table_watch.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "scheduler/boot_clock.h"
#include "standin/row_store.h"

namespace bronze {

namespace {

/** Rows and changes that the store gives in one answer at most. */
constexpr int kAnswerRows = 500;
/** Ends failing tests. */
constexpr Duration kPatience = seconds(40);

}  // namespace

struct WatchFixture {
  WatchFixture()
      : m_platformThreads(1),
        m_rows(m_platformThreads),
        m_store(m_context, m_rows.Listen(), BootNow) {}
  ~WatchFixture() {
    if (m_watch) m_watch->Stop();
    m_platformThreads.Stop();
  }
  WatchFixture(const WatchFixture&) = delete;
  WatchFixture& operator=(const WatchFixture&) = delete;

  void Put(const std::string& aKey, const std::string& aValue) {
    m_rows.Put("servers", "", aKey, aValue);
  }

  /** Changes the row "busy" often. */
  void PutChanges(int aCount) {
    for (int at = 0; at < aCount; ++at) Put("busy", std::to_string(at));
  }

  void StartWatch(Duration aPause) {
    m_watch = std::make_shared<TableWatch>(
        m_context, m_store, m_log, "servers",
        WatchTiming{milliseconds(300), aPause},
        TableListener{[this](const StoreRow& aRow) {
                        m_seen[aRow.m_key.m_key].push_back(aRow.m_value);
                        if (m_onChange) m_onChange();
                      },
                      [this](const std::string& aKey) { m_seen.erase(aKey); }});
    m_watch->Start();
  }

  bool RunUntil(const std::function<bool()>& aHolds) {
    const TimePoint end = BootNow() + kPatience;
    while (!aHolds() && BootNow() < end) m_context.run_for(milliseconds(5));
    return aHolds();
  }

  bool RunUntilConfirmed(TimePoint aTime) {
    return RunUntil([&] { return m_watch->ConfirmedAt() > aTime; });
  }

  [[nodiscard]] std::string Newest(const std::string& aKey) const {
    const auto found = m_seen.find(aKey);
    return found == m_seen.end() ? "" : found->second.back();
  }

  ThreadPool m_platformThreads;
  standin::RowStore m_rows;
  boost::asio::io_context m_context;
  StoreClient m_store;
  EventLog m_log{1, "vm"};
  std::shared_ptr<TableWatch> m_watch;
  /** Values that were reported, by key; the newest last. */
  std::map<std::string, std::vector<std::string>> m_seen;
  std::function<void()> m_onChange;
};

BOOST_FIXTURE_TEST_SUITE(TableWatchSuite, WatchFixture)

/** Guards against a part of the changes that is taken for all of them: the list
 *  of runners counts as current while it lacks that a runner leaves. */
BOOST_AUTO_TEST_CASE(PartOfTheChangesConfirmsNothing) {
  Put("r1", "ready");
  StartWatch(milliseconds(100));
  BOOST_REQUIRE(RunUntilConfirmed(TimePoint()));
  PutChanges(3 * kAnswerRows);
  Put("r1", "draining");
  const TimePoint changedAt = BootNow();
  BOOST_REQUIRE(RunUntilConfirmed(changedAt));
  BOOST_TEST(Newest("r1") == "draining");
}

/** Guards against a watch that falls further and further behind: it takes one
 *  part of the changes after each pause, while more than that are made. */
BOOST_AUTO_TEST_CASE(BacklogIsReadWithoutPauses) {
  Put("r1", "ready");
  // Enough rows that reading them all again is not the shorter way.
  for (int at = 0; at < 3 * kAnswerRows; ++at) {
    Put("other" + std::to_string(at), "ready");
  }
  // With a pause after each of five answers, kPatience ends before the last.
  constexpr Duration kPause = seconds(15);
  StartWatch(kPause);
  BOOST_REQUIRE(RunUntilConfirmed(TimePoint()));
  PutChanges(4 * kAnswerRows);
  Put("r1", "draining");
  BOOST_TEST(RunUntil([&] { return Newest("r1") == "draining"; }));
}

/** Guards against a watch that, after a time without access to the store, reads
 *  all old values of a few rows one after another. */
BOOST_AUTO_TEST_CASE(LargeBacklogCostsOneReadOfTheTable) {
  Put("r1", "ready");
  StartWatch(milliseconds(100));
  BOOST_REQUIRE(RunUntilConfirmed(TimePoint()));
  constexpr int kParts = 40;
  PutChanges(kParts * kAnswerRows);
  Put("r1", "draining");
  const TimePoint changedAt = BootNow();
  const uint64_t before = m_store.Calls();
  BOOST_REQUIRE(RunUntilConfirmed(changedAt));
  BOOST_TEST(Newest("r1") == "draining");
  BOOST_TEST(m_store.Calls() - before < kParts / 4);
}

/** Guards against a row that goes back to an earlier state: it changes while a
 *  table of several parts is read, so that a later part has its newest state,
 *  and the changes since the first part come after that. */
BOOST_AUTO_TEST_CASE(EarlierStateDoesNotReplaceALaterOne) {
  for (int at = 0; at <= kAnswerRows; ++at) {
    Put("r" + std::to_string(at), "ready");
  }
  Put("z", "first");
  bool changed = false;
  m_onChange = [&] {
    if (changed) return;
    changed = true;
    Put("z", "second");
    Put("z", "third");
  };
  StartWatch(milliseconds(100));
  const TimePoint begin = BootNow();
  BOOST_REQUIRE(RunUntilConfirmed(begin + milliseconds(200)));
  const std::vector<std::string> expected{"third"};
  BOOST_TEST(m_seen["z"] == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze

/**
 * @file connection_table_test.cpp The table of connections applies the bounds.
 */

#include <boost/test/unit_test.hpp>
#include <vector>

#include "core/metrics/counter_func.h"
#include "net/connection_table.h"

namespace bronze {

namespace {

struct FakeConnection : ClosableConnection {
  void PostClose() override { m_closed = true; }
  bool m_closed = false;
  std::unique_ptr<ConnectionTicket> m_ticket;
};

struct Fixture {
  Fixture() {
    TrafficLimits limits;
    limits.m_callBytes = ByteCount(100'000);
    limits.m_connections.fill(3);
    m_table = std::make_shared<ConnectionTable>(limits, m_counters);
  }

  /** @return null if the connection was refused. */
  std::shared_ptr<FakeConnection> Open(
      const std::string& aClient,
      ConnectionRole aRole = ConnectionRole::Caller) {
    auto connection = std::make_shared<FakeConnection>();
    connection->m_ticket = m_table->Admit(aRole, ClientAddress(aClient));
    if (!connection->m_ticket) return nullptr;
    connection->m_ticket->SetConnection(connection);
    return connection;
  }

  Counters m_counters;
  std::shared_ptr<ConnectionTable> m_table;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(connection_table, Fixture)

// One address must not hold all connections, nor callers those for health.
BOOST_AUTO_TEST_CASE(NewConnectionTakesTheOldestOfTheCrowd) {
  const auto first = Open("crowd");
  const auto second = Open("crowd");
  const auto ordinary = Open("ordinary");
  const auto next = Open("other");
  BOOST_TEST((next != nullptr));
  BOOST_TEST(first->m_closed);
  BOOST_TEST(!second->m_closed);
  BOOST_TEST(!ordinary->m_closed);
  BOOST_TEST((Open("health", ConnectionRole::Ready) != nullptr));
  BOOST_TEST(ValueOf(m_counters, CounterId::ConnectionsClosedForRoom) == 1U);
}

// A complete call may run, so it does not make room for another connection.
BOOST_AUTO_TEST_CASE(CompleteCallsStay) {
  const std::vector<std::shared_ptr<FakeConnection>> calls = {
      Open("a"), Open("a"), Open("a")};
  for (const auto& call : calls) {
    BOOST_TEST(call->m_ticket->Note(ConnectionStage::InProgress, 100));
  }
  BOOST_TEST((Open("b") == nullptr));
  for (const auto& call : calls) BOOST_TEST(!call->m_closed);
}

// The sum of the calls had no bound.
BOOST_AUTO_TEST_CASE(LargestCallIsClosedBeyondTheTotal) {
  const auto large = Open("a");
  const auto ordinary = Open("b");
  const auto next = Open("c");
  BOOST_TEST(large->m_ticket->Note(ConnectionStage::Reading, 60'000));
  BOOST_TEST(ordinary->m_ticket->Note(ConnectionStage::Reading, 2000));
  BOOST_TEST(next->m_ticket->Note(ConnectionStage::Reading, 50'000));
  BOOST_TEST(large->m_closed);
  BOOST_TEST(!ordinary->m_closed);
  BOOST_TEST(!next->m_closed);
  BOOST_TEST(!large->m_ticket->Note(ConnectionStage::Reading, 60'001));
}

// Complete calls cannot be closed, so one beyond the total has to be refused
// before it runs; ordinary ones still run.
BOOST_AUTO_TEST_CASE(CompleteCallIsRefusedBeyondTheTotal) {
  const auto first = Open("a");
  const auto second = Open("a");
  const auto ordinary = Open("b");
  BOOST_TEST(first->m_ticket->Note(ConnectionStage::InProgress, 90'000));
  BOOST_TEST(!second->m_ticket->Note(ConnectionStage::InProgress, 20'000));
  BOOST_TEST(ordinary->m_ticket->Note(ConnectionStage::InProgress, 2000));
  first->m_ticket.reset();
  BOOST_TEST(second->m_ticket->Note(ConnectionStage::InProgress, 30'000));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze

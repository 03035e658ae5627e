/**
 * @file table_json_test.cpp Encodes and decodes calls of the table service.
 */

#include <boost/test/unit_test.hpp>

#include "codec/table_json.h"

namespace bronze {

// Guards against a deletion that is decoded as a write of an empty value.
BOOST_AUTO_TEST_CASE(TransactionSurvivesARoundTrip) {
  const TableTransaction sent{{{"a", RowVersion(0)}, {"b", RowVersion(7)}},
                              {{"a", ""}, {"b", std::nullopt}}};
  const auto received = DecodeTransaction(EncodeTransaction(sent));
  BOOST_REQUIRE(received.has_value());
  const auto& transaction = received.value();
  BOOST_TEST((transaction.m_checks.at(1).m_version == RowVersion(7)));
  BOOST_TEST(transaction.m_writes.at(0).m_value.has_value());
  BOOST_TEST(!transaction.m_writes.at(1).m_value.has_value());
}

// Guards against a missing row that is decoded as a row with an empty value.
BOOST_AUTO_TEST_CASE(MissingRowHasVersionZero) {
  const auto row = DecodeRow(R"({"key":"k","value":null,"version":0})");
  BOOST_REQUIRE(row.has_value());
  BOOST_TEST((row.value().m_version == RowVersion()));
  BOOST_TEST(!DecodeRow(R"({"key":"k","value":5,"version":1})").has_value());
  BOOST_TEST(!DecodeRow(R"({"key":"k"})").has_value());
}

}  // namespace bronze

/**
 * @file setting_row_test.cpp Checks the table of settings.
 */

#include "core/config/setting_row_func.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "core/config/setting_value_func.h"
#include "core/config/settings_doc_func.h"

namespace bronze {

namespace {

std::string PageRow(const SettingRow& aRow) {
  return "| `" + KeyWithName(aRow.m_key, "NAME") + "` |";
}

}  // namespace

// Guards against a setting that operators cannot look up.
BOOST_AUTO_TEST_CASE(EveryRowIsDocumented) {
  const std::string page = SettingsDocument();
  std::set<std::string_view> keys;
  for (const SettingRow& row : AllSettingRows()) {
    BOOST_TEST_CONTEXT(row.m_key) {
      BOOST_TEST(keys.insert(row.m_key).second);
      BOOST_TEST(row.m_doc.ends_with('.'));
      BOOST_TEST(!AcceptedText(row).empty());
      BOOST_TEST(page.find(PageRow(row)) != std::string::npos);
    }
  }
}

// Guards against a default that is out of range, or that differs between the
// table and the struct.
BOOST_AUTO_TEST_CASE(EveryDefaultLiesInItsRangeAndInTheStruct) {
  for (const SettingRow& row : AllSettingRows()) {
    BOOST_TEST_CONTEXT(row.m_key) {
      BOOST_TEST(row.m_min <= row.m_max);
      const auto value = DefaultValue(row);
      BOOST_TEST(value.has_value() != row.m_required);
      AllSettings settings;
      const SettingValue inStruct = row.m_access.m_get(settings, "name");
      if (value) {
        BOOST_TEST((*value == inStruct));
        BOOST_TEST(SettingValueText(row, *value) == row.m_default);
      } else {
        BOOST_TEST(std::get<std::string>(inStruct).empty());
      }
    }
  }
}

// Guards against words that are not in the order of their enumerators.
BOOST_AUTO_TEST_CASE(WordsNameTheirEnumerators) {
  const auto word = [](const char* aKey, auto aEnumerator) {
    return FindSettingRow(aKey)->m_words[static_cast<size_t>(aEnumerator)];
  };
  BOOST_TEST(word("node.log_level", LogLevel::Error) == "error");
  BOOST_TEST(word("request.queue_policy", QueuePolicy::Fifo) == "fifo");
  BOOST_TEST(word("request.route_policy", RoutePolicy::Random) == "random");
  BOOST_TEST(word("request.slot_policy", SlotPolicy::Fixed) == "fixed");
  BOOST_TEST(word("request.kinds.a.class", KindClass::Standing) == "standing");
  BOOST_TEST(word("batch.place_policy", PlacePolicy::FullScan) == "full_scan");
}

// Guards against two rows that access the same field.
BOOST_AUTO_TEST_CASE(EachRowWritesItsOwnField) {
  for (const SettingRow& row : AllSettingRows()) {
    AllSettings settings;
    for (const SettingRow& other : AllSettingRows()) {
      static_cast<void>(other.m_access.m_get(settings, "name"));
    }
    SettingValue changed = row.m_access.m_get(settings, "name");
    if (auto* flag = std::get_if<bool>(&changed)) *flag = !*flag;
    if (auto* number = std::get_if<int64_t>(&changed)) ++*number;
    if (auto* duration = std::get_if<Duration>(&changed)) ++*duration;
    if (auto* text = std::get_if<std::string>(&changed)) *text += "x";
    AllSettings before = settings;
    row.m_access.m_set(settings, "name", changed);
    for (const SettingRow& other : AllSettingRows()) {
      const bool same = other.m_access.m_get(settings, "name") ==
                        other.m_access.m_get(before, "name");
      BOOST_TEST(same == (&other != &row),
                 row.m_key << " against " << other.m_key);
    }
  }
}

// Guards against relations that name a key that does not exist or is not a
// duration.
BOOST_AUTO_TEST_CASE(RelationsNameExistingDurations) {
  for (const SettingRelation& relation : AllSettingRelations()) {
    for (const std::string_view key : {relation.m_left, relation.m_right}) {
      const SettingRow* row = FindSettingRow(KeyWithName(key, "name"));
      BOOST_REQUIRE(row != nullptr);
      BOOST_TEST((row->m_type == SettingType::Duration));
    }
  }
}

// Guards against suggesting a key that does not exist, or none for a small
// typing error.
BOOST_AUTO_TEST_CASE(NearestKeyIsFoundAlsoForNamedEntries) {
  const auto nearest = [](const char* aKey) {
    return NearestKey(SettingScope::System, aKey);
  };
  BOOST_TEST(nearest("request.defalt_window") == "request.default_window");
  BOOST_TEST(nearest("request.kinds.check.clas") ==
             "request.kinds.check.class");
  BOOST_TEST(nearest("batch.team.a.weight") == "batch.teams.a.weight");
  BOOST_TEST(nearest("zzzzzzzz") == "");
  BOOST_TEST(nearest("") == "");
  BOOST_TEST(NearestKey(SettingScope::Node, "node.vn") == "node.vm");
}

// Guards against durations that overflow or are truncated without an error.
BOOST_AUTO_TEST_CASE(DurationsAreWholeAndInRange) {
  const SettingRow& row = *FindSettingRow("request.max_window");
  const auto parse = [&row](const char* aText) {
    const auto value = ParseSettingValue(row, aText, false);
    return value ? std::get<Duration>(value.value()).count() : -1;
  };
  BOOST_TEST(parse("250ms") == 250'000);
  BOOST_TEST(parse("1000us") == 1'000);
  BOOST_TEST(parse("2min") == 120'000'000);
  BOOST_TEST(parse("1h") == 3'600'000'000);
  for (const char* text :
       {"", "5", "s", "1.5s", "-5s", "+5s", "5 s", "5S", "999us", "2h",
        "5124095576030432h", "99999999999999999999s", "0s"}) {
    BOOST_TEST(parse(text) == -1, text);
  }
  BOOST_TEST(DurationText(milliseconds(9100)) == "9100ms");
  BOOST_TEST(DurationText(seconds(60)) == "1min");
  BOOST_TEST(DurationText(Duration::zero()) == "0s");
}

// Guards against an address that the daemon could not listen on.
BOOST_AUTO_TEST_CASE(AddressesAreNumeric) {
  const SettingRow& row = *FindSettingRow("node.peer_address");
  for (const char* text : {"10.0.0.7:80", "[::1]:0", "0.0.0.0:65535"}) {
    BOOST_TEST(ParseSettingValue(row, text, false).has_value(), text);
  }
  for (const char* text : {"", ":80", "host:80", "10.0.0.7", "10.0.0.7:",
                           "10.0.0.7:65536", "10.0.0:1", "::1:80", "[::1]",
                           "[10.0.0.7]:80", "10.0.0.7:-1", "10.0.0.7:80x"}) {
    BOOST_TEST(!ParseSettingValue(row, text, false).has_value(), text);
  }
}

}  // namespace bronze

/**
 * @file settings_property_test.cpp Properties of merging, writing and parsing
 * settings.
 */

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "core/config/setting_row_func.h"
#include "core/config/setting_value_func.h"
#include "core/config/settings_diff_func.h"
#include "core/config/settings_parse_func.h"

namespace bronze {

namespace {

/**
 * Whether any value in its range is valid. Rows in relations are excluded; they
 * keep their defaults.
 */
bool IsFree(const SettingRow& aRow) {
  return std::none_of(AllSettingRelations().begin(),
                      AllSettingRelations().end(),
                      [&aRow](const SettingRelation& aRelation) {
                        return aRelation.m_left == aRow.m_key ||
                               aRelation.m_right == aRow.m_key;
                      });
}

std::vector<const SettingRow*> FreeRows(SettingScope aScope) {
  std::vector<const SettingRow*> rows;
  for (const SettingRow& row : AllSettingRows()) {
    if (row.m_scope == aScope && IsFree(row)) rows.push_back(&row);
  }
  return rows;
}

SettingValue AnyValue(const SettingRow& aRow) {
  switch (aRow.m_type) {
    case SettingType::Duration:
      return Duration(*rc::gen::inRange(aRow.m_min, aRow.m_max + 1));
    case SettingType::Integer:
    case SettingType::Percent:
      return *rc::gen::inRange(aRow.m_min, aRow.m_max + 1);
    case SettingType::Boolean:
      return *rc::gen::arbitrary<bool>();
    case SettingType::Word:
      return *rc::gen::inRange<int64_t>(
          0, static_cast<int64_t>(aRow.m_words.size()));
    case SettingType::Name:
      return *rc::gen::element<std::string>("a", "true", "null", "7", "x_-9");
    case SettingType::Address:
      return *rc::gen::element<std::string>("127.0.0.1:0", "[::1]:80");
    case SettingType::Secret:
      return *rc::gen::container<std::string>(
          rc::gen::inRange<char>(' ', '\x7f'));
  }
  return false;
}

std::string AnyName(const SettingRow& aRow) {
  if (aRow.m_key.find('*') == std::string_view::npos) return "";
  return *rc::gen::element<std::string>("check", "null", "1", "a-b");
}

/** Sets a random choice of the free rows to random values in their range. */
AllSettings AnySettings(SettingScope aScope) {
  AllSettings settings;
  for (const SettingRow* row : FreeRows(aScope)) {
    if (!row->m_required && !*rc::gen::arbitrary<bool>()) continue;
    row->m_access.m_set(settings, AnyName(*row), AnyValue(*row));
  }
  return settings;
}

}  // namespace

// Guards against a value that is written in a form that is parsed differently.
RC_BOOST_PROP(WrittenSystemSettingsReadBackEqual, ()) {
  const AllSettings settings = AnySettings(SettingScope::System);
  const auto read = ParseSystemSettings(
      {{"all.yaml", WriteSystemSettings(settings.m_system)}});
  RC_ASSERT(read.has_value());
  RC_ASSERT((read.value() == settings.m_system));
}

RC_BOOST_PROP(WrittenNodeSettingsReadBackEqual, ()) {
  const AllSettings settings = AnySettings(SettingScope::Node);
  const auto read =
      ParseNodeSettings({{"all.yaml", WriteNodeSettings(settings.m_node)}});
  RC_ASSERT(read.has_value());
  RC_ASSERT((read.value() == settings.m_node));
}

// Guards against merging files in another order than that of their names.
RC_BOOST_PROP(TheLastFileThatSetsAKeyWins, ()) {
  const auto rows = FreeRows(SettingScope::System);
  const SettingRow& row = **rc::gen::elementOf(rows);
  const std::string name = AnyName(row);
  const std::string key = KeyWithName(row.m_key, name);
  const auto numbers = *rc::gen::nonEmpty(
      rc::gen::unique<std::vector<int>>(rc::gen::inRange(0, 1000)));
  FileSet files;
  std::string last;
  for (const int number : numbers) {
    files[std::to_string(number) + ".yaml"] =
        key + ": " + SettingValueText(row, AnyValue(row)) + "\n";
  }
  last = files.rbegin()->second;
  AllSettings all;
  const auto read = ParseSystemSettings(files);
  RC_ASSERT(read.has_value());
  all.m_system = read.value();
  RC_ASSERT(key + ": " + SettingValueText(row, row.m_access.m_get(all, name)) +
                "\n" ==
            last);
}

// Guards against a missed difference, and against one between equal settings.
RC_BOOST_PROP(DifferenceIsEmptyExactlyForEqualSettings, ()) {
  const SystemSettings left = AnySettings(SettingScope::System).m_system;
  const SystemSettings right = *rc::gen::arbitrary<bool>()
                                   ? left
                                   : AnySettings(SettingScope::System).m_system;
  const auto changes = DiffSettings(SettingScope::System,
                                    {{"a.yaml", WriteSystemSettings(left)}},
                                    {{"b.yaml", WriteSystemSettings(right)}});
  RC_ASSERT(changes.empty() == (left == right));
}

// Guards against damaged text that crashes the parser, makes it hang, or is
// rejected without a problem.
RC_BOOST_PROP(DamagedTextNeverCrashes, ()) {
  std::string text =
      WriteSystemSettings(AnySettings(SettingScope::System).m_system);
  const auto edits = *rc::gen::inRange(1, 20);
  for (int i = 0; i < edits; ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, text.size() + 1);
    const char byte = *rc::gen::oneOf(
        rc::gen::elementOf(std::string("{}[]:,-?&*!|>'\"%@`#~ \t\n\r\\")),
        rc::gen::arbitrary<char>());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        text.insert(at, 1, byte);
        break;
      case 1:
        if (at < text.size()) text[at] = byte;
        break;
      default:
        text.erase(at, *rc::gen::inRange<size_t>(0, 30));
        break;
    }
  }
  const auto read = ParseSystemSettings({{"a.yaml", text}});
  if (read.has_value()) return;
  RC_ASSERT(!read.error().empty());
  for (const SettingsProblem& problem : read.error()) {
    RC_ASSERT(!problem.m_message.empty());
  }
}

RC_BOOST_PROP(AnyBytesNeverCrash, (const std::string& aText)) {
  const auto read = ParseNodeSettings({{"a.yaml", aText}});
  RC_ASSERT(!read.has_value());
}

}  // namespace bronze

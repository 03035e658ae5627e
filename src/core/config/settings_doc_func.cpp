/**
 * @file settings_doc_func.cpp Generates the page on settings from their table.
 */

#include "core/config/settings_doc_func.h"

#include <fmt/format.h>

#include "core/config/setting_row_func.h"
#include "core/config/setting_value_func.h"

namespace bronze {

namespace {

constexpr std::string_view kIntroduction = R"(# Settings

This page is the output of `bronzectl settings`.

Settings are read from a folder of `*.yaml` files, which are merged key by key
in the order of their names: a later file overrides an earlier one, and removing
a file removes its settings. `null` as the value of a key, or of a group of
keys, removes what earlier files set, so that the default applies again. A key
may be nested or written in one line with dots, as in `request.max_window: 20s`.

Durations are whole numbers with a unit (`us`, `ms`, `s`, `min`, `h`); numbers
and percents are plain whole numbers in the unit of the key. NAME in a key
stands for the name of a kind or team; `NAME: {}` declares one with default
values only. YAML lists, aliases, tags and second documents are rejected.

They are the settings of bronzeworksd. `bronze-scheduler` reads the platform's file; for it,
[SETTINGS-platform.md](SETTINGS-platform.md) has the fields, and the rule which of
them can keep a process from starting: only names and addresses, never a figure.
)";

std::string ShownKey(const SettingRow& aRow) {
  return KeyWithName(aRow.m_key, "NAME");
}

std::string ShownDefault(const SettingRow& aRow) {
  if (aRow.m_required) return "required";
  return aRow.m_default.empty() ? "empty" : fmt::format("`{}`", aRow.m_default);
}

void AppendScope(SettingScope aScope, std::string& aText) {
  aText += "\n| key | type | accepted | default | meaning |\n";
  aText += "| --- | --- | --- | --- | --- |\n";
  for (const SettingRow& row : AllSettingRows()) {
    if (row.m_scope != aScope) continue;
    aText += fmt::format("| `{}` | {} | {} | {} | {} |\n", ShownKey(row),
                         SettingTypeName(row.m_type), AcceptedText(row),
                         ShownDefault(row), row.m_doc);
  }
}

}  // namespace

std::string_view SettingScopeName(SettingScope aScope) {
  return aScope == SettingScope::Node ? "node" : "system";
}

std::string SettingsDocument() {
  std::string text(kIntroduction);
  text +=
      "\n## Settings of one VM\n\nRead by the daemon at start, from the "
      "settings folder "
      "of the VM.\n";
  AppendScope(SettingScope::Node, text);
  text +=
      "\n## Settings of the system\n\nPushed by operators; one version is in "
      "force on all daemons.\n";
  AppendScope(SettingScope::System, text);
  text +=
      "\n## Relations between settings\n\n| key | must be | otherwise |\n"
      "| --- | --- | --- |\n";
  for (const SettingRelation& relation : AllSettingRelations()) {
    text += fmt::format("| `{}` | {} | {} |\n",
                        KeyWithName(relation.m_left, "NAME"), relation.m_rule,
                        relation.m_reason);
  }
  return text;
}

}  // namespace bronze

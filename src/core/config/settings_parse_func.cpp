/**
 * @file settings_parse_func.cpp Converts settings files to typed settings and
 * back.
 */

#include "core/config/settings_parse_func.h"

#include <fmt/format.h>
#include <yaml-cpp/emitter.h>
#include <yaml-cpp/emittermanip.h>

#include "core/config/setting_row_func.h"
#include "core/config/setting_value_func.h"
#include "core/config/settings_merge_func.h"
#include "core/config/settings_problem_func.h"

namespace bronze {

namespace {

bool IsNamed(const SettingRow& aRow) {
  return aRow.m_key.find('*') != std::string_view::npos;
}

/** Adds a kind or team with default values to the settings. */
void AddNamedEntry(SettingScope aScope, const std::string& aKey,
                   const std::string& aName, AllSettings& aSettings) {
  for (const SettingRow& row : AllSettingRows()) {
    if (row.m_scope == aScope && IsNamed(row) &&
        row.m_key.starts_with(aKey.substr(0, aKey.size() - aName.size()) +
                              "*")) {
      static_cast<void>(row.m_access.m_get(aSettings, aName));
      return;
    }
  }
}

Checked<AllSettings> Parse(SettingScope aScope, const FileSet& aFiles) {
  MergedSettings merged = MergeSettings(aScope, aFiles);
  CheckRelations(aScope, merged);
  if (!merged.m_problems.empty()) {
    SortProblems(merged.m_problems);
    return std::move(merged.m_problems);
  }
  AllSettings settings;
  for (const auto& [key, value] : merged.m_values) {
    if (value.m_row == nullptr) {
      AddNamedEntry(aScope, key, value.m_name, settings);
    } else {
      value.m_row->m_access.m_set(settings, value.m_name, value.m_value);
    }
  }
  return settings;
}

std::set<std::string> NamesIn(const SettingRow& aRow,
                              const AllSettings& aSettings) {
  std::set<std::string> names;
  if (!IsNamed(aRow)) {
    names.insert("");
  } else if (aRow.m_key.starts_with("request.kinds.")) {
    for (const auto& [id, kind] : aSettings.m_system.m_request.m_kinds) {
      names.insert(id.Value());
    }
  } else {
    for (const auto& [id, team] : aSettings.m_system.m_batch.m_teams) {
      names.insert(id.Value());
    }
  }
  return names;
}

/** Writes one line "key: value" per setting, with dotted keys. */
std::string Write(SettingScope aScope, AllSettings aSettings) {
  YAML::Emitter out;
  out << YAML::BeginMap;
  for (const SettingRow& row : AllSettingRows()) {
    if (row.m_scope != aScope) continue;
    for (const std::string& name : NamesIn(row, aSettings)) {
      const auto value = row.m_access.m_get(aSettings, name);
      out << YAML::Key << KeyWithName(row.m_key, name) << YAML::Value;
      if (std::holds_alternative<std::string>(value)) {
        out << YAML::DoubleQuoted;
      }
      out << SettingValueText(row, value);
    }
  }
  out << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

}  // namespace

Checked<SystemSettings> ParseSystemSettings(const FileSet& aFiles) {
  auto settings = Parse(SettingScope::System, aFiles);
  if (!settings) return std::move(settings.error());
  return std::move(settings.value().m_system);
}

Checked<NodeSettings> ParseNodeSettings(const FileSet& aFiles) {
  auto settings = Parse(SettingScope::Node, aFiles);
  if (!settings) return std::move(settings.error());
  return std::move(settings.value().m_node);
}

std::string WriteSystemSettings(const SystemSettings& aSettings) {
  return Write(SettingScope::System, {{}, aSettings});
}

std::string WriteNodeSettings(const NodeSettings& aSettings) {
  return Write(SettingScope::Node, {aSettings, {}});
}

std::vector<SettingInForce> ListSettings(SettingScope aScope,
                                         const FileSet& aFiles) {
  const MergedSettings merged = MergeSettings(aScope, aFiles);
  std::map<std::string, SettingInForce> inForce;
  for (const SettingRow& row : AllSettingRows()) {
    if (row.m_scope != aScope) continue;
    const auto names =
        IsNamed(row) ? NamesFor(row.m_key, merged) : std::set<std::string>{""};
    for (const std::string& name : names) {
      const std::string key = KeyWithName(row.m_key, name);
      const auto found = merged.m_values.find(key);
      const bool isSet = found != merged.m_values.end();
      const auto value =
          isSet ? std::optional(found->second.m_value) : DefaultValue(row);
      inForce[key] = {key, value ? ShownValueText(row, *value) : "",
                      isSet ? found->second.m_origin : SettingOrigin{}};
    }
  }
  std::vector<SettingInForce> list;
  list.reserve(inForce.size());
  for (auto& [key, setting] : inForce) list.push_back(std::move(setting));
  return list;
}

}  // namespace bronze

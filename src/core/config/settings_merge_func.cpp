/**
 * @file settings_merge_func.cpp Merges settings files key by key.
 */

#include "core/config/settings_merge_func.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/config/setting_row_func.h"
#include "core/config/setting_value_func.h"
#include "core/config/settings_problem_func.h"
#include "core/config/yaml_entry_func.h"

namespace bronze {

namespace {

constexpr size_t kMaxFileNameBytes = 100;
/** Length to which an invalid value is cut in messages. */
constexpr size_t kMaxShownValueBytes = 60;

SettingScope OtherScope(SettingScope aScope) {
  return aScope == SettingScope::Node ? SettingScope::System
                                      : SettingScope::Node;
}

std::string QuotedValue(const SettingRow& aRow, const std::string& aText) {
  if (aRow.m_type == SettingType::Secret) return "the value";
  if (aText.size() <= kMaxShownValueBytes) return fmt::format("\"{}\"", aText);
  return fmt::format("\"{}...\"", aText.substr(0, kMaxShownValueBytes));
}

class Merger {
 public:
  Merger(SettingScope aScope, MergedSettings& aMerged)
      : m_scope(aScope), m_merged(aMerged) {}

  void Apply(const std::string& aFile, const YamlEntry& aEntry) {
    m_origin = {aFile, aEntry.m_line};
    switch (aEntry.m_type) {
      case YamlEntryType::Value:
        ApplyValue(aEntry);
        break;
      case YamlEntryType::Unset:
        ApplyUnset(aEntry.m_key);
        break;
      case YamlEntryType::EmptyMap:
        ApplyEmptyMap(aEntry.m_key);
        break;
    }
  }

 private:
  void ApplyValue(const YamlEntry& aEntry) {
    const std::string& key = aEntry.m_key;
    const SettingRow* row = FindSettingRow(key);
    if (row == nullptr || row->m_scope != m_scope) {
      ReportUnknown(key);
      return;
    }
    std::string name = NameInKey(*row, key);
    if (row->m_key.find('*') != std::string_view::npos && !CheckName(key, name))
      return;
    auto value = ParseSettingValue(*row, aEntry.m_text, aEntry.m_quoted);
    if (!value) {
      m_merged.m_invalidKeys.insert(key);
      Report(key,
             fmt::format("{} {}", QuotedValue(*row, aEntry.m_text),
                         value.error().m_message),
             AcceptedText(*row));
      return;
    }
    m_merged.m_values[key] = {m_origin, row, std::move(name),
                              std::move(value.value())};
  }

  /** Removes the value of a key, or of all keys of a group. */
  void ApplyUnset(const std::string& aKey) {
    const SettingRow* row = FindSettingRow(aKey);
    const bool known = (row != nullptr && row->m_scope == m_scope) ||
                       IsSettingGroup(m_scope, aKey) ||
                       NamedEntry(m_scope, aKey).has_value();
    if (!known) {
      ReportUnknown(aKey);
      return;
    }
    auto& values = m_merged.m_values;
    values.erase(aKey);
    const std::string prefix = aKey + ".";
    const auto begin = values.lower_bound(prefix);
    auto end = begin;
    while (end != values.end() && end->first.starts_with(prefix)) ++end;
    values.erase(begin, end);
  }

  /** Handles "{}", which declares a kind or team with default values. */
  void ApplyEmptyMap(const std::string& aKey) {
    const auto name = NamedEntry(m_scope, aKey);
    if (name) {
      if (CheckName(aKey, *name)) {
        m_merged.m_values[aKey] = {m_origin, nullptr, *name, {}};
      }
      return;
    }
    if (!IsSettingGroup(m_scope, aKey)) ReportUnknown(aKey);
  }

  bool CheckName(const std::string& aKey, const std::string& aName) {
    if (IsSettingName(aName)) return true;
    Report(aKey, fmt::format("\"{}\" is not a valid name", aName),
           "1 to 64 letters, digits, _ or -, starting with a letter or digit");
    return false;
  }

  void ReportUnknown(const std::string& aKey) {
    if (IsProblemListFull(m_merged.m_problems)) return;
    if (IsSettingGroup(m_scope, aKey) || NamedEntry(m_scope, aKey)) {
      Report(aKey, "is a group of settings, not a value",
             fmt::format("keys below {}", aKey));
      return;
    }
    const SettingRow* row = FindSettingRow(aKey);
    if ((row != nullptr && row->m_scope == OtherScope(m_scope)) ||
        IsSettingGroup(OtherScope(m_scope), aKey) ||
        NamedEntry(OtherScope(m_scope), aKey)) {
      Report(aKey,
             m_scope == SettingScope::System
                 ? "is a setting of one VM, not of the system"
                 : "is a setting of the system, not of one VM",
             m_scope == SettingScope::System
                 ? "in the settings folder of the VM"
                 : "in the configuration that operators push");
      return;
    }
    const std::string nearest = NearestKey(m_scope, aKey);
    Report(aKey,
           nearest.empty()
               ? std::string("is not a known key")
               : fmt::format("is not a known key; the most similar is {}",
                             nearest),
           "the keys that \"bronzectl settings\" lists");
  }

  void Report(const std::string& aKey, std::string aMessage,
              std::string aAccepted) {
    AddProblem(m_merged.m_problems, m_origin, aKey, std::move(aMessage),
               std::move(aAccepted));
  }

  SettingScope m_scope;
  MergedSettings& m_merged;
  SettingOrigin m_origin;
};

/** Value of a duration: set by a file, or the default. */
struct DurationInForce {
  Duration m_value = Duration::zero();
  const SettingOrigin* m_origin = nullptr;  ///< Null: the default.
};

std::optional<DurationInForce> FindDuration(const MergedSettings& aMerged,
                                            const std::string& aKey) {
  if (aMerged.m_invalidKeys.contains(aKey)) return std::nullopt;
  const auto found = aMerged.m_values.find(aKey);
  if (found != aMerged.m_values.end()) {
    return DurationInForce{std::get<Duration>(found->second.m_value),
                           &found->second.m_origin};
  }
  const SettingRow* row = FindSettingRow(aKey);
  return DurationInForce{std::get<Duration>(*DefaultValue(*row)), nullptr};
}

void CheckRelation(const SettingRelation& aRelation, const std::string& aName,
                   MergedSettings& aMerged) {
  const std::string left = KeyWithName(aRelation.m_left, aName);
  const std::string right = KeyWithName(aRelation.m_right, aName);
  const auto leftValue = FindDuration(aMerged, left);
  const auto rightValue = FindDuration(aMerged, right);
  if (!leftValue || !rightValue) return;
  const Duration scaled = leftValue->m_value * aRelation.m_factor;
  if (aRelation.m_strict ? scaled < rightValue->m_value
                         : scaled <= rightValue->m_value) {
    return;
  }
  const bool leftIsSet = leftValue->m_origin != nullptr;
  const SettingOrigin* origin =
      leftIsSet ? leftValue->m_origin : rightValue->m_origin;
  const auto where = [](const DurationInForce& aValue) {
    return aValue.m_origin == nullptr
               ? std::string("default")
               : fmt::format("{}:{}", aValue.m_origin->m_file,
                             aValue.m_origin->m_line);
  };
  AddProblem(aMerged.m_problems, origin == nullptr ? SettingOrigin{} : *origin,
             leftIsSet ? left : right,
             fmt::format("{} is {} ({}) and {} is {} ({}): {}", left,
                         DurationText(leftValue->m_value), where(*leftValue),
                         right, DurationText(rightValue->m_value),
                         where(*rightValue), aRelation.m_reason),
             fmt::format("{} {}", left, aRelation.m_rule));
}

}  // namespace

bool IsSettingsFileName(std::string_view aName) {
  return aName.size() <= kMaxFileNameBytes && aName.ends_with(".yaml") &&
         !aName.starts_with('.') &&
         aName.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
             "_-.") == std::string_view::npos;
}

MergedSettings MergeSettings(SettingScope aScope, const FileSet& aFiles) {
  MergedSettings merged;
  size_t bytes = 0;
  for (const auto& [name, text] : aFiles) bytes += text.size();
  if (aFiles.size() > kMaxSettingsFiles || bytes > kMaxSettingsBytes) {
    AddProblem(merged.m_problems, {}, "",
               fmt::format("the settings have {} files with {} bytes in total",
                           aFiles.size(), bytes),
               fmt::format("at most {} files with {} bytes in total",
                           kMaxSettingsFiles, kMaxSettingsBytes));
    return merged;
  }
  Merger merger(aScope, merged);
  for (const auto& [name, text] : aFiles) {
    if (!IsSettingsFileName(name)) {
      AddProblem(
          merged.m_problems, {name, 0}, "",
          "is not a valid name of a settings file",
          fmt::format("at most {} letters, digits, _, - and ., not starting "
                      "with ., ending in .yaml",
                      kMaxFileNameBytes));
      continue;
    }
    std::vector<YamlEntry> entries;
    const size_t before = merged.m_problems.size();
    ReadYamlEntries(name, text, entries, merged.m_problems);
    for (size_t i = before; i < merged.m_problems.size(); ++i) {
      merged.m_invalidKeys.insert(merged.m_problems[i].m_key);
    }
    for (const YamlEntry& entry : entries) merger.Apply(name, entry);
  }
  return merged;
}

std::set<std::string> NamesFor(std::string_view aPattern,
                               const MergedSettings& aMerged) {
  const std::string_view prefix = aPattern.substr(0, aPattern.find('*'));
  std::set<std::string> names;
  for (auto at = aMerged.m_values.lower_bound(prefix);
       at != aMerged.m_values.end() && at->first.starts_with(prefix); ++at) {
    names.insert(at->second.m_name);
  }
  return names;
}

void CheckRelations(SettingScope aScope, MergedSettings& aMerged) {
  for (const SettingRow& row : AllSettingRows()) {
    if (row.m_scope != aScope || !row.m_required) continue;
    const std::string key(row.m_key);
    if (aMerged.m_values.contains(key) || aMerged.m_invalidKeys.contains(key)) {
      continue;
    }
    AddProblem(aMerged.m_problems, {}, key, "is missing and has no default",
               AcceptedText(row));
  }
  if (aScope != SettingScope::System) return;
  for (const SettingRelation& relation : AllSettingRelations()) {
    if (relation.m_left.find('*') == std::string_view::npos) {
      CheckRelation(relation, "", aMerged);
      continue;
    }
    for (const std::string& name : NamesFor(relation.m_left, aMerged)) {
      CheckRelation(relation, name, aMerged);
    }
  }
}

}  // namespace bronze

/**
 * @file settings_diff_func.cpp Compares two sets of settings files.
 */

#include "core/config/settings_diff_func.h"

#include <fmt/format.h>

#include "core/config/settings_parse_func.h"

namespace bronze {

std::vector<SettingChange> DiffSettings(SettingScope aScope,
                                        const FileSet& aOld,
                                        const FileSet& aNew) {
  std::map<std::string, SettingChange> changes;
  for (auto& setting : ListSettings(aScope, aOld)) {
    SettingChange& change = changes[setting.m_key];
    change.m_key = setting.m_key;
    change.m_old = std::move(setting.m_value);
    change.m_oldOrigin = std::move(setting.m_origin);
  }
  for (auto& setting : ListSettings(aScope, aNew)) {
    SettingChange& change = changes[setting.m_key];
    change.m_key = setting.m_key;
    change.m_new = std::move(setting.m_value);
    change.m_newOrigin = std::move(setting.m_origin);
  }
  std::vector<SettingChange> list;
  for (auto& [key, change] : changes) {
    if (change.m_old != change.m_new) list.push_back(std::move(change));
  }
  return list;
}

std::string OriginText(const SettingOrigin& aOrigin) {
  if (aOrigin.m_file.empty()) return "default";
  return fmt::format("{}:{}", aOrigin.m_file, aOrigin.m_line);
}

std::string DiffText(const std::vector<SettingChange>& aChanges) {
  const auto side = [](const std::optional<std::string>& aValue,
                       const SettingOrigin& aOrigin) {
    return aValue ? fmt::format("{} ({})", *aValue, OriginText(aOrigin))
                  : std::string("(none)");
  };
  std::string text;
  for (const SettingChange& change : aChanges) {
    text += fmt::format("{}: {} -> {}\n", change.m_key,
                        side(change.m_old, change.m_oldOrigin),
                        side(change.m_new, change.m_newOrigin));
  }
  return text;
}

}  // namespace bronze

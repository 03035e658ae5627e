/**
 * @file settings_merge_func.h Merges settings files key by key.
 */

#ifndef BRONZE_CORE_CONFIG_SETTINGS_MERGE_FUNC_H_
#define BRONZE_CORE_CONFIG_SETTINGS_MERGE_FUNC_H_

#include <set>

#include "core/config/setting_type.h"

namespace bronze {

/** The value of a key after all files were merged. */
struct MergedValue {
  SettingOrigin m_origin;
  const SettingRow* m_row = nullptr;  ///< Null: a kind or team declared as {}.
  std::string m_name;                 ///< Name that stands for '*'.
  SettingValue m_value;
};

struct MergedSettings {
  std::map<std::string, MergedValue, std::less<>> m_values;  ///< By key.
  std::vector<SettingsProblem> m_problems;
  std::set<std::string> m_invalidKeys;  ///< Without a value; no further checks.
};

/** Merges the files in the order of their names and checks every value. */
[[nodiscard]] MergedSettings MergeSettings(SettingScope aScope,
                                           const FileSet& aFiles);

/** Checks that required keys are set and that all relations hold. */
void CheckRelations(SettingScope aScope, MergedSettings& aMerged);

/** @return the names in place of the '*' of aPattern in the merged keys. */
[[nodiscard]] std::set<std::string> NamesFor(std::string_view aPattern,
                                             const MergedSettings& aMerged);

/** Whether this is a valid name of a settings file, without a path. */
[[nodiscard]] bool IsSettingsFileName(std::string_view aName);

}  // namespace bronze

#endif  // BRONZE_CORE_CONFIG_SETTINGS_MERGE_FUNC_H_

/**
 * @file settings_diff_func.h Compares two sets of settings files.
 */

#ifndef BRONZE_CORE_CONFIG_SETTINGS_DIFF_FUNC_H_
#define BRONZE_CORE_CONFIG_SETTINGS_DIFF_FUNC_H_

#include "core/config/setting_type.h"

namespace bronze {

/** @return the keys whose value in force differs, sorted by key. */
[[nodiscard]] std::vector<SettingChange> DiffSettings(SettingScope aScope,
                                                      const FileSet& aOld,
                                                      const FileSet& aNew);

/** @return "FILE:LINE", or "default" if no file set the value. */
[[nodiscard]] std::string OriginText(const SettingOrigin& aOrigin);

/** @return one line per change, as "key: old (origin) -> new (origin)". */
[[nodiscard]] std::string DiffText(const std::vector<SettingChange>& aChanges);

}  // namespace bronze

#endif  // BRONZE_CORE_CONFIG_SETTINGS_DIFF_FUNC_H_

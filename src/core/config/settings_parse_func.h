/**
 * @file settings_parse_func.h Converts settings files to typed settings and
 * back.
 */

#ifndef BRONZE_CORE_CONFIG_SETTINGS_PARSE_FUNC_H_
#define BRONZE_CORE_CONFIG_SETTINGS_PARSE_FUNC_H_

#include "core/config/setting_type.h"

namespace bronze {

/** @return the settings of all daemons, or all problems of the files. */
[[nodiscard]] Checked<SystemSettings> ParseSystemSettings(
    const FileSet& aFiles);

/** @return the settings of one VM, or all problems of the files. */
[[nodiscard]] Checked<NodeSettings> ParseNodeSettings(const FileSet& aFiles);

/** @return the text of a file that ParseSystemSettings reads back. */
[[nodiscard]] std::string WriteSystemSettings(const SystemSettings& aSettings);

/**
 * @return the text of a file that ParseNodeSettings reads back. It contains the
 * operator token.
 */
[[nodiscard]] std::string WriteNodeSettings(const NodeSettings& aSettings);

/**
 * @return each value in force, sorted by key; invalid values are skipped. A
 * secret is hidden.
 */
[[nodiscard]] std::vector<SettingInForce> ListSettings(SettingScope aScope,
                                                       const FileSet& aFiles);

}  // namespace bronze

#endif  // BRONZE_CORE_CONFIG_SETTINGS_PARSE_FUNC_H_

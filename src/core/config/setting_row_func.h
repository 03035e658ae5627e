/**
 * @file setting_row_func.h Lookups in the table of settings.
 */

#ifndef BRONZE_CORE_CONFIG_SETTING_ROW_FUNC_H_
#define BRONZE_CORE_CONFIG_SETTING_ROW_FUNC_H_

#include "core/config/setting_type.h"

namespace bronze {

[[nodiscard]] std::span<const SettingRow> AllSettingRows();
[[nodiscard]] std::span<const SettingRelation> AllSettingRelations();

/** @return the row of a key, of either scope; null if the key is unknown. */
[[nodiscard]] const SettingRow* FindSettingRow(std::string_view aKey);

/** @return the part of aKey that stands for '*'; empty if the row has none. */
[[nodiscard]] std::string NameInKey(const SettingRow& aRow,
                                    std::string_view aKey);

/** Replaces the '*' of aPattern, if there is one, by aName. */
[[nodiscard]] std::string KeyWithName(std::string_view aPattern,
                                      std::string_view aName);

/** Whether the scope has keys that start with aKey and a dot. */
[[nodiscard]] bool IsSettingGroup(SettingScope aScope, std::string_view aKey);

/** @return the name if aKey is a whole kind or team: request.kinds.NAME. */
[[nodiscard]] std::optional<std::string> NamedEntry(SettingScope aScope,
                                                    std::string_view aKey);

/** @return the known key with the smallest edit distance from aKey; empty if
 * that distance is more than half of the length of aKey. */
[[nodiscard]] std::string NearestKey(SettingScope aScope,
                                     std::string_view aKey);

/** Whether aName is a valid id of a kind, team, VM, data centre or region. */
[[nodiscard]] bool IsSettingName(std::string_view aName);

}  // namespace bronze

#endif  // BRONZE_CORE_CONFIG_SETTING_ROW_FUNC_H_

/**
 * @file settings_doc_func.h Generates the page on settings from their table.
 */

#ifndef BRONZE_CORE_CONFIG_SETTINGS_DOC_FUNC_H_
#define BRONZE_CORE_CONFIG_SETTINGS_DOC_FUNC_H_

#include "core/config/setting_type.h"

namespace bronze {

[[nodiscard]] std::string_view SettingScopeName(SettingScope aScope);

/** @return the text of docs/SETTINGS.md. */
[[nodiscard]] std::string SettingsDocument();

}  // namespace bronze

#endif  // BRONZE_CORE_CONFIG_SETTINGS_DOC_FUNC_H_

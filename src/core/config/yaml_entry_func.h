/**
 * @file yaml_entry_func.h Parses the text of one settings file.
 */

#ifndef BRONZE_CORE_CONFIG_YAML_ENTRY_FUNC_H_
#define BRONZE_CORE_CONFIG_YAML_ENTRY_FUNC_H_

#include "core/config/setting_type.h"

namespace bronze {

enum class YamlEntryType : uint8_t {
  Value,
  Unset,     ///< An explicit null.
  EmptyMap,  ///< {}
};

/** One key of a file that has a value, a null or an empty map. */
struct YamlEntry {
  std::string m_key;  ///< Names of all levels, joined by '.'.
  int64_t m_line = 0;
  YamlEntryType m_type = YamlEntryType::Value;
  bool m_quoted = false;  ///< The value was written in quotes.
  std::string m_text;
};

/**
 * Appends the entries and problems of a file. The entries before a syntax error
 * are kept, so that their problems are reported in the same run.
 */
void ReadYamlEntries(const std::string& aFile, const std::string& aText,
                     std::vector<YamlEntry>& aEntries,
                     std::vector<SettingsProblem>& aProblems);

}  // namespace bronze

#endif  // BRONZE_CORE_CONFIG_YAML_ENTRY_FUNC_H_

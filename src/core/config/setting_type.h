/**
 * @file setting_type.h Types that describe the settings: key, type, range and
 * default of each, and the problems found in settings files.
 *
 * The table itself is in table/setting_row.h. Files are merged key by key in
 * the order of their names. This code works on the text of files in memory;
 * src/files reads and writes them.
 */

#ifndef BRONZE_CORE_CONFIG_SETTING_TYPE_H_
#define BRONZE_CORE_CONFIG_SETTING_TYPE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/config/settings_type.h"
#include "core/error/error_type.h"

namespace bronze {

/** Text of each settings file by file name; a later name overrides. */
using FileSet = std::map<std::string, std::string>;

/** Limits on a set of files, checked before any of them is parsed. */
inline constexpr size_t kMaxSettingsFiles = 1000;
inline constexpr size_t kMaxSettingsFileBytes = size_t{256} * 1024;
/** Keeps a whole set, escaped as JSON, below the 1 MiB limit of a call. */
inline constexpr size_t kMaxSettingsBytes = size_t{512} * 1024;
/** Levels of nesting. The deepest key, batch.teams.NAME.cores, needs 4. */
inline constexpr size_t kMaxSettingsDepth = 16;

enum class SettingScope : uint8_t {
  Node,    ///< Applies to one VM; read when its daemon starts.
  System,  ///< Applies to all daemons; pushed by operators.
};

enum class SettingType : uint8_t {
  Duration,
  Integer,
  Percent,
  Boolean,
  Word,     ///< One of a fixed list of words.
  Name,     ///< Identifier of letters, digits, '_' and '-'.
  Address,  ///< IP:PORT.
  Secret,   ///< Text that is never shown.
};

/** A value of SettingType::Word is its index in SettingRow::m_words. */
using SettingValue = std::variant<bool, int64_t, Duration, std::string>;

/** Settings of both scopes. */
struct AllSettings {
  NodeSettings m_node;
  SystemSettings m_system;
};

/**
 * Functions that read and write the field of one setting. aName replaces the
 * '*' of the key; a kind or team of that name is added if it does not exist,
 * also when reading.
 */
struct SettingAccess {
  SettingValue (*m_get)(AllSettings& aSettings, const std::string& aName);
  void (*m_set)(AllSettings& aSettings, const std::string& aName,
                const SettingValue& aValue);
};

/** One setting. */
struct SettingRow {
  std::string_view m_key;  ///< Full key; '*' stands for a kind or team name.
  SettingScope m_scope;
  SettingType m_type;
  std::string_view m_unit;  ///< Unit of a number; empty if it has none.
  int64_t m_min;            ///< Smallest value; durations in microseconds.
  int64_t m_max;            ///< Largest value, or longest secret in bytes.
  std::span<const std::string_view> m_words;  ///< For SettingType::Word.
  std::string_view m_default;                 ///< As written in a file.
  bool m_required;         ///< A file must set it; m_default is unused.
  std::string_view m_doc;  ///< Description for the page on settings.
  SettingAccess m_access;
};

/**
 * A rule between two durations: m_left * m_factor <= m_right, or < if m_strict.
 */
struct SettingRelation {
  std::string_view m_left;  ///< Key; with '*', the rule holds for each name.
  int64_t m_factor;
  bool m_strict;  ///< The two sides must not be equal.
  std::string_view m_right;
  std::string_view m_rule;    ///< Rule in words, for error messages.
  std::string_view m_reason;  ///< Effect of breaking the rule.
};

/** Place where a value was set; an empty file name means the default. */
struct SettingOrigin {
  std::string m_file;
  int64_t m_line = 0;  ///< Counted from 1; 0: a whole file or a default.

  friend bool operator==(const SettingOrigin&, const SettingOrigin&) = default;
};

/** One error in a set of files, as reported to an operator. */
struct SettingsProblem {
  SettingOrigin m_origin;
  std::string m_key;  ///< Empty if the problem concerns no key.
  std::string m_message;
  std::string m_accepted;  ///< Accepted range, words or format; may be empty.
};

/** A value, or all problems found in the input. */
template <class T>
using Checked =
    boost::outcome_v2::basic_result<T, std::vector<SettingsProblem>,
                                    boost::outcome_v2::policy::terminate>;

/** The value in force of one key: set by a file, or the default. */
struct SettingInForce {
  std::string m_key;  ///< With a name in place of '*'.
  std::string m_value;
  SettingOrigin m_origin;
};

/** A key whose value in force differs between two sets of files. */
struct SettingChange {
  std::string m_key;
  std::optional<std::string> m_old;  ///< Not set: a new kind or team.
  std::optional<std::string> m_new;  ///< Not set: a removed kind or team.
  SettingOrigin m_oldOrigin;
  SettingOrigin m_newOrigin;
};

}  // namespace bronze

#endif  // BRONZE_CORE_CONFIG_SETTING_TYPE_H_

/**
 * @file setting_value_func.h Converts values of settings from and to text.
 */

#ifndef BRONZE_CORE_CONFIG_SETTING_VALUE_FUNC_H_
#define BRONZE_CORE_CONFIG_SETTING_VALUE_FUNC_H_

#include "core/config/setting_type.h"

namespace bronze {

/** Problem of a value, as a predicate such as "is above the accepted range". */
struct ValueProblem {
  std::string m_message;
};

using ValueResult =
    boost::outcome_v2::basic_result<SettingValue, ValueProblem,
                                    boost::outcome_v2::policy::terminate>;

/** @param aQuoted the text was in quotes, so it is no number and no boolean. */
[[nodiscard]] ValueResult ParseSettingValue(const SettingRow& aRow,
                                            const std::string& aText,
                                            bool aQuoted);

/** @return the text that ParseSettingValue() reads back, also of a secret. */
[[nodiscard]] std::string SettingValueText(const SettingRow& aRow,
                                           const SettingValue& aValue);

/** @return the text to show to operators; a secret is hidden. */
[[nodiscard]] std::string ShownValueText(const SettingRow& aRow,
                                         const SettingValue& aValue);

/** @return a description of the accepted range, words or format. */
[[nodiscard]] std::string AcceptedText(const SettingRow& aRow);

/** @return the default value; none if the setting is required. */
[[nodiscard]] std::optional<SettingValue> DefaultValue(const SettingRow& aRow);

[[nodiscard]] std::string_view SettingTypeName(SettingType aType);

/** @return a whole number in the largest unit that fits, as 250ms or 2min. */
[[nodiscard]] std::string DurationText(Duration aDuration);

}  // namespace bronze

#endif  // BRONZE_CORE_CONFIG_SETTING_VALUE_FUNC_H_

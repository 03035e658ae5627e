/**
 * @file setting_access_internal.h Builds the functions that read and write the
 * field of a setting.
 */

#ifndef BRONZE_CORE_CONFIG_SETTING_ACCESS_INTERNAL_H_
#define BRONZE_CORE_CONFIG_SETTING_ACCESS_INTERNAL_H_

#include <type_traits>

#include "core/config/setting_type.h"

namespace bronze {

template <class T>
[[nodiscard]] SettingValue EncodeField(const T& aField) {
  if constexpr (std::is_enum_v<T>) {
    return static_cast<int64_t>(aField);
  } else if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, int64_t> ||
                       std::is_same_v<T, Duration> ||
                       std::is_same_v<T, std::string>) {
    return aField;
  } else {
    return aField.Value();
  }
}

template <class T>
void DecodeField(const SettingValue& aValue, T& aField) {
  if constexpr (std::is_enum_v<T>) {
    aField = static_cast<T>(std::get<int64_t>(aValue));
  } else if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, int64_t> ||
                       std::is_same_v<T, Duration> ||
                       std::is_same_v<T, std::string>) {
    aField = std::get<T>(aValue);
  } else {
    aField = T(std::get<std::decay_t<decltype(aField.Value())>>(aValue));
  }
}

/** @param Field a lambda that returns the field, given settings and a name. */
template <class Field>
constexpr SettingAccess MakeAccess(Field /*aField*/) {
  return {[](AllSettings& aSettings, const std::string& aName) {
            return EncodeField(Field{}(aSettings, aName));
          },
          [](AllSettings& aSettings, const std::string& aName,
             const SettingValue& aValue) {
            DecodeField(aValue, Field{}(aSettings, aName));
          }};
}

}  // namespace bronze

#endif  // BRONZE_CORE_CONFIG_SETTING_ACCESS_INTERNAL_H_

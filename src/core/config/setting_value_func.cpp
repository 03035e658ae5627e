/**
 * @file setting_value_func.cpp Converts values of settings from and to text.
 */

#include "core/config/setting_value_func.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <boost/url/ipv4_address.hpp>
#include <boost/url/ipv6_address.hpp>
#include <charconv>
#include <limits>

#include "core/config/setting_row_func.h"

namespace bronze {

namespace {

struct DurationUnit {
  std::string_view m_suffix;
  int64_t m_microseconds;
};

/** From the largest to the smallest: the first that fits is the shortest. */
constexpr std::array<DurationUnit, 5> kDurationUnits = {{{"h", 3'600'000'000},
                                                         {"min", 60'000'000},
                                                         {"s", 1'000'000},
                                                         {"ms", 1'000},
                                                         {"us", 1}}};

ValueProblem Problem(std::string aMessage) { return {std::move(aMessage)}; }

/** @return the number if all of aText is one. */
std::optional<int64_t> ParseInteger(std::string_view aText) {
  int64_t number = 0;
  const auto parsed =
      std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

ValueResult CheckRange(const SettingRow& aRow, int64_t aNumber,
                       SettingValue aValue) {
  if (aNumber < aRow.m_min) return Problem("is below the accepted range");
  if (aNumber > aRow.m_max) return Problem("is above the accepted range");
  return aValue;
}

ValueResult ParseDuration(const SettingRow& aRow, std::string_view aText) {
  const size_t digits =
      std::min(aText.find_first_not_of("0123456789"), aText.size());
  const std::string_view suffix = aText.substr(digits);
  const auto* unit = std::find_if(
      kDurationUnits.begin(), kDurationUnits.end(),
      [suffix](const auto& aUnit) { return aUnit.m_suffix == suffix; });
  if (digits == 0 || unit == kDurationUnits.end()) {
    return Problem(
        "is not a duration, which is a whole number with a unit, as 250ms");
  }
  const auto number = ParseInteger(aText.substr(0, digits));
  if (!number ||
      *number > std::numeric_limits<int64_t>::max() / unit->m_microseconds) {
    return Problem("is above the accepted range");
  }
  const int64_t microseconds = *number * unit->m_microseconds;
  return CheckRange(aRow, microseconds, Duration(microseconds));
}

ValueResult ParseNumber(const SettingRow& aRow, std::string_view aText,
                        bool aQuoted) {
  const auto number = ParseInteger(aText);
  if (!number || aQuoted) {
    return Problem(fmt::format(
        "is not a plain whole number{}",
        aRow.m_unit.empty() ? "" : fmt::format(" in {}", aRow.m_unit)));
  }
  return CheckRange(aRow, *number, *number);
}

ValueResult ParseBoolean(std::string_view aText, bool aQuoted) {
  if (!aQuoted && aText == "true") return SettingValue(true);
  if (!aQuoted && aText == "false") return SettingValue(false);
  return Problem("is neither true nor false");
}

ValueResult ParseWord(const SettingRow& aRow, std::string_view aText) {
  const auto word = std::find(aRow.m_words.begin(), aRow.m_words.end(), aText);
  if (word == aRow.m_words.end()) {
    return Problem("is not one of the accepted words");
  }
  return SettingValue(int64_t{word - aRow.m_words.begin()});
}

/** Accepts the same addresses as net/address_func.h. */
ValueResult ParseAddressText(const std::string& aText) {
  const auto invalid = [] {
    return Problem("is not an address of the form IP:PORT");
  };
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos) return invalid();
  const std::string_view portText = std::string_view(aText).substr(colon + 1);
  const auto port = ParseInteger(portText);
  if (!port || *port < 0 || *port > std::numeric_limits<uint16_t>::max()) {
    return invalid();
  }
  std::string host = aText.substr(0, colon);
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  const bool valid = bracketed
                         ? boost::urls::parse_ipv6_address(host).has_value()
                         : boost::urls::parse_ipv4_address(host).has_value();
  if (!valid) return invalid();
  return SettingValue(aText);
}

}  // namespace

ValueResult ParseSettingValue(const SettingRow& aRow, const std::string& aText,
                              bool aQuoted) {
  switch (aRow.m_type) {
    case SettingType::Duration:
      return ParseDuration(aRow, aText);
    case SettingType::Integer:
    case SettingType::Percent:
      return ParseNumber(aRow, aText, aQuoted);
    case SettingType::Boolean:
      return ParseBoolean(aText, aQuoted);
    case SettingType::Word:
      return ParseWord(aRow, aText);
    case SettingType::Name:
      if (!IsSettingName(aText)) return Problem("is not a valid name");
      return SettingValue(aText);
    case SettingType::Address:
      return ParseAddressText(aText);
    case SettingType::Secret:
      if (static_cast<int64_t>(aText.size()) > aRow.m_max) {
        return Problem("is too long");
      }
      return SettingValue(aText);
  }
  return Problem("has an unknown type");
}

std::string SettingValueText(const SettingRow& aRow,
                             const SettingValue& aValue) {
  switch (aRow.m_type) {
    case SettingType::Duration:
      return DurationText(std::get<Duration>(aValue));
    case SettingType::Integer:
    case SettingType::Percent:
      return std::to_string(std::get<int64_t>(aValue));
    case SettingType::Boolean:
      return std::get<bool>(aValue) ? "true" : "false";
    case SettingType::Word:
      return std::string(
          aRow.m_words[static_cast<size_t>(std::get<int64_t>(aValue))]);
    case SettingType::Name:
    case SettingType::Address:
    case SettingType::Secret:
      return std::get<std::string>(aValue);
  }
  return {};
}

std::string ShownValueText(const SettingRow& aRow, const SettingValue& aValue) {
  if (aRow.m_type != SettingType::Secret) {
    return SettingValueText(aRow, aValue);
  }
  return std::get<std::string>(aValue).empty() ? "" : "(hidden)";
}

std::string AcceptedText(const SettingRow& aRow) {
  switch (aRow.m_type) {
    case SettingType::Duration:
      return fmt::format("{} to {}", DurationText(Duration(aRow.m_min)),
                         DurationText(Duration(aRow.m_max)));
    case SettingType::Integer:
    case SettingType::Percent:
      return fmt::format("{} to {}{}{}", aRow.m_min, aRow.m_max,
                         aRow.m_unit.empty() ? "" : " ", aRow.m_unit);
    case SettingType::Boolean:
      return "true or false";
    case SettingType::Word:
      return fmt::format("{}", fmt::join(aRow.m_words, ", "));
    case SettingType::Name:
      return "1 to 64 letters, digits, _ or -, starting with a letter or digit";
    case SettingType::Address:
      return "IP:PORT, such as 10.0.0.7:8080 or [::1]:8080";
    case SettingType::Secret:
      return fmt::format("text of at most {} bytes", aRow.m_max);
  }
  return {};
}

std::optional<SettingValue> DefaultValue(const SettingRow& aRow) {
  if (aRow.m_required) return std::nullopt;
  const auto value =
      ParseSettingValue(aRow, std::string(aRow.m_default), false);
  if (!value) return std::nullopt;
  return value.value();
}

std::string_view SettingTypeName(SettingType aType) {
  switch (aType) {
    case SettingType::Duration:
      return "duration";
    case SettingType::Integer:
      return "number";
    case SettingType::Percent:
      return "percent";
    case SettingType::Boolean:
      return "truth value";
    case SettingType::Word:
      return "word";
    case SettingType::Name:
      return "name";
    case SettingType::Address:
      return "address";
    case SettingType::Secret:
      return "secret text";
  }
  return {};
}

std::string DurationText(Duration aDuration) {
  const int64_t microseconds = aDuration.count();
  for (const DurationUnit& unit : kDurationUnits) {
    if (microseconds != 0 && microseconds % unit.m_microseconds == 0) {
      return fmt::format("{}{}", microseconds / unit.m_microseconds,
                         unit.m_suffix);
    }
  }
  return "0s";
}

}  // namespace bronze

/**
 * @file setting_row_func.cpp Lookups in the table of settings.
 */

#include "core/config/setting_row_func.h"

#include <algorithm>
#include <numeric>

#include "core/config/table/setting_relation.h"
#include "core/config/table/setting_row.h"

namespace bronze {

namespace {

constexpr size_t kMaxNameBytes = 64;
/**
 * A longer key is no typing error of a known one; bounds the time and memory
 * that the edit distance takes.
 */
constexpr size_t kMaxComparedKeyBytes = 200;

struct Pattern {
  std::string_view m_before;  ///< Part before '*', or the whole key.
  std::string_view m_after;   ///< Part after '*', starting with '.'.
  bool m_hasStar = false;
};

Pattern SplitAtStar(std::string_view aKey) {
  const size_t star = aKey.find('*');
  if (star == std::string_view::npos) return {aKey, {}, false};
  return {aKey.substr(0, star), aKey.substr(star + 1), true};
}

bool Matches(const Pattern& aPattern, std::string_view aKey) {
  if (!aPattern.m_hasStar) return aKey == aPattern.m_before;
  if (aKey.size() <= aPattern.m_before.size() + aPattern.m_after.size() ||
      !aKey.starts_with(aPattern.m_before) ||
      !aKey.ends_with(aPattern.m_after)) {
    return false;
  }
  const std::string_view name = aKey.substr(
      aPattern.m_before.size(),
      aKey.size() - aPattern.m_before.size() - aPattern.m_after.size());
  return name.find('.') == std::string_view::npos;
}

/** Levenshtein distance. */
size_t EditDistance(std::string_view aLeft, std::string_view aRight) {
  std::vector<size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 0; i < aLeft.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i + 1;
    for (size_t j = 0; j < aRight.size(); ++j) {
      const size_t replaced = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

/** @return aPattern with the part of aKey at the place of '*' as its name. */
std::string WithNameOf(std::string_view aPattern, std::string_view aKey) {
  const Pattern pattern = SplitAtStar(aPattern);
  if (!pattern.m_hasStar) return std::string(aPattern);
  size_t begin = 0;
  for (const char c : pattern.m_before) {
    if (c != '.') continue;
    const size_t dot = aKey.find('.', begin);
    if (dot == std::string_view::npos) return KeyWithName(aPattern, "NAME");
    begin = dot + 1;
  }
  const std::string_view name =
      aKey.substr(begin, aKey.find('.', begin) - begin);
  return KeyWithName(aPattern, name.empty() ? "NAME" : name);
}

}  // namespace

std::span<const SettingRow> AllSettingRows() { return kSettingRows; }

std::span<const SettingRelation> AllSettingRelations() {
  return kSettingRelations;
}

const SettingRow* FindSettingRow(std::string_view aKey) {
  const auto* row =
      std::find_if(std::begin(kSettingRows), std::end(kSettingRows),
                   [aKey](const auto& aRow) {
                     return Matches(SplitAtStar(aRow.m_key), aKey);
                   });
  return row == std::end(kSettingRows) ? nullptr : row;
}

std::string NameInKey(const SettingRow& aRow, std::string_view aKey) {
  const Pattern pattern = SplitAtStar(aRow.m_key);
  if (!pattern.m_hasStar) return {};
  aKey.remove_prefix(pattern.m_before.size());
  aKey.remove_suffix(pattern.m_after.size());
  return std::string(aKey);
}

std::string KeyWithName(std::string_view aPattern, std::string_view aName) {
  const Pattern pattern = SplitAtStar(aPattern);
  if (!pattern.m_hasStar) return std::string(aPattern);
  std::string key(pattern.m_before);
  key += aName;
  key += pattern.m_after;
  return key;
}

bool IsSettingGroup(SettingScope aScope, std::string_view aKey) {
  const std::string prefix = std::string(aKey) + ".";
  return std::any_of(std::begin(kSettingRows), std::end(kSettingRows),
                     [&](const SettingRow& aRow) {
                       return aRow.m_scope == aScope &&
                              aRow.m_key.starts_with(prefix);
                     });
}

std::optional<std::string> NamedEntry(SettingScope aScope,
                                      std::string_view aKey) {
  for (const SettingRow& row : kSettingRows) {
    const Pattern pattern = SplitAtStar(row.m_key);
    if (row.m_scope != aScope || !pattern.m_hasStar ||
        !Matches({pattern.m_before, {}, true}, aKey)) {
      continue;
    }
    return std::string(aKey.substr(pattern.m_before.size()));
  }
  return std::nullopt;
}

std::string NearestKey(SettingScope aScope, std::string_view aKey) {
  if (aKey.size() > kMaxComparedKeyBytes) return {};
  std::string nearest;
  size_t leastDistance = aKey.size() / 2 + 1;
  for (const SettingRow& row : kSettingRows) {
    if (row.m_scope != aScope) continue;
    std::string candidate = WithNameOf(row.m_key, aKey);
    const size_t distance = EditDistance(aKey, candidate);
    if (distance >= leastDistance) continue;
    leastDistance = distance;
    nearest = std::move(candidate);
  }
  return nearest;
}

bool IsSettingName(std::string_view aName) {
  const auto isAlphanumeric = [](char aChar) {
    return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
           (aChar >= '0' && aChar <= '9');
  };
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         isAlphanumeric(aName.front()) &&
         std::all_of(aName.begin(), aName.end(), [&](char aChar) {
           return isAlphanumeric(aChar) || aChar == '_' || aChar == '-';
         });
}

}  // namespace bronze

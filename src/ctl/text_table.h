/**
 * @file text_table.h Text tables from JSON answers or rows of text.
 */

#ifndef BRONZE_CTL_TEXT_TABLE_H_
#define BRONZE_CTL_TEXT_TABLE_H_

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bronze {

/** One column of a table that is printed from a JSON list. */
struct TableColumn {
  std::string_view m_title;
  std::string_view m_pointer;  ///< JSON pointer to the value within a row.
};

using TableRows = std::vector<std::vector<std::string>>;

/** @return the table with aligned columns; titles are bold if aColor is set. */
[[nodiscard]] std::string TextTable(const std::vector<std::string>& aTitles,
                                    const TableRows& aRows, bool aColor);

/** @return a table of a JSON list; a missing value is shown as "-". */
[[nodiscard]] std::string JsonTable(std::span<const TableColumn> aColumns,
                                    const nlohmann::json& aList, bool aColor);

/** @return one line with title and value per column. */
[[nodiscard]] std::string JsonFields(std::span<const TableColumn> aColumns,
                                     const nlohmann::json& aObject);

/**
 * @return aText with "?" in place of control characters, so that text from a
 *         server cannot send escape sequences to the terminal.
 */
[[nodiscard]] std::string Printable(std::string aText);

}  // namespace bronze

#endif  // BRONZE_CTL_TEXT_TABLE_H_

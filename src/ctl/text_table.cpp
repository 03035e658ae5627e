/**
 * @file text_table.cpp Text tables from JSON answers or rows of text.
 */

#include "ctl/text_table.h"

#include <fmt/format.h>

#include <algorithm>

namespace bronze {

namespace {

constexpr std::string_view kBold = "\x1b[1m";
constexpr std::string_view kResetStyle = "\x1b[0m";

std::string CellText(const nlohmann::json& aRow, std::string_view aPointer) {
  const nlohmann::json::json_pointer pointer{std::string(aPointer)};
  if (!aRow.contains(pointer)) return "-";
  const nlohmann::json& value = aRow.at(pointer);
  if (value.is_null()) return "-";
  if (value.is_string()) {
    const auto& text = value.get_ref<const std::string&>();
    return text.empty() ? "-" : text;
  }
  if (value.is_boolean()) return value.get<bool>() ? "yes" : "no";
  return value.dump();
}

std::string Line(const std::vector<std::string>& aCells,
                 const std::vector<size_t>& aWidths) {
  std::string line;
  for (size_t i = 0; i < aCells.size(); ++i) {
    line += i + 1 == aCells.size()
                ? aCells[i]
                : fmt::format("{:<{}}  ", aCells[i], aWidths[i]);
  }
  return line;
}

}  // namespace

std::string Printable(std::string aText) {
  std::replace_if(
      aText.begin(), aText.end(),
      [](char aChar) { return (aChar >= 0 && aChar < ' ') || aChar == '\x7f'; },
      '?');
  return aText;
}

std::string TextTable(const std::vector<std::string>& aTitles,
                      const TableRows& aRows, bool aColor) {
  TableRows rows = aRows;
  std::vector<size_t> widths;
  widths.reserve(aTitles.size());
  for (const auto& title : aTitles) widths.push_back(title.size());
  for (auto& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      row[i] = Printable(std::move(row[i]));
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  const std::string head = Line(aTitles, widths);
  std::string text =
      aColor ? fmt::format("{}{}{}\n", kBold, head, kResetStyle) : head + "\n";
  for (const auto& row : rows) text += Line(row, widths) + "\n";
  return text;
}

std::string JsonTable(std::span<const TableColumn> aColumns,
                      const nlohmann::json& aList, bool aColor) {
  std::vector<std::string> titles;
  titles.reserve(aColumns.size());
  for (const TableColumn& column : aColumns) {
    titles.emplace_back(column.m_title);
  }
  TableRows rows;
  // Throws if it is not a list, as every access to a malformed answer does.
  for (const auto& item : aList.get_ref<const nlohmann::json::array_t&>()) {
    std::vector<std::string>& row = rows.emplace_back();
    for (const TableColumn& column : aColumns) {
      row.push_back(CellText(item, column.m_pointer));
    }
  }
  return TextTable(titles, rows, aColor);
}

std::string JsonFields(std::span<const TableColumn> aColumns,
                       const nlohmann::json& aObject) {
  size_t width = 0;
  for (const TableColumn& column : aColumns) {
    width = std::max(width, column.m_title.size());
  }
  std::string text;
  for (const TableColumn& column : aColumns) {
    text += fmt::format("{:<{}}  {}\n", column.m_title, width,
                        Printable(CellText(aObject, column.m_pointer)));
  }
  return text;
}

}  // namespace bronze

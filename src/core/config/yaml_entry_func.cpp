/**
 * @file yaml_entry_func.cpp Parses the text of one settings file.
 *
 * Uses the events of the YAML parser instead of its document tree, because they
 * have the line of each key, report duplicate keys, and can stop the parser at
 * the depth limit before it recurses further.
 */

#include "core/config/yaml_entry_func.h"

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <set>
#include <sstream>

#include "core/config/settings_problem_func.h"

namespace bronze {

namespace {

/** Thrown to stop parsing a file after its problem was reported. */
struct StopParsing {};

class EntryHandler : public YAML::EventHandler {
 public:
  EntryHandler(const std::string& aFile, const std::string& aText,
               std::vector<YamlEntry>& aEntries,
               std::vector<SettingsProblem>& aProblems)
      : m_file(aFile),
        m_text(aText),
        m_entries(aEntries),
        m_problems(aProblems) {
    for (size_t at = 0; at < aText.size(); ++at) {
      if (at == 0 || aText[at - 1] == '\n') m_lineStarts.push_back(at);
    }
  }

  void OnDocumentStart(const YAML::Mark& aMark) override {
    if (m_documents++ > 0) {
      Report(aMark, "a second YAML document begins here",
             "one document per file");
      throw StopParsing();
    }
  }
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override {
    if (IsKeyNext()) {
      ReadKey(aMark, "null");
      return;
    }
    // An empty file, or an item of a list, which is rejected as a whole.
    if (m_levels.empty() || m_listDepth > 0) return;
    if (IsNullWritten(aMark)) {
      AddEntry(YamlEntryType::Unset, "", false);
    } else {
      ReportKey("has no value", "a value, or null to unset the key");
    }
    EndValue();
  }

  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override {
    Report(aMark, "is a YAML alias", "values without aliases");
    throw StopParsing();
  }

  void OnScalar(const YAML::Mark& aMark, const std::string& aTag,
                YAML::anchor_t /*aAnchor*/,
                const std::string& aValue) override {
    if (IsKeyNext()) {
      ReadKey(aMark, aValue);
      return;
    }
    if (m_listDepth > 0) return;
    if (m_levels.empty()) {
      Report(aMark, "is not a map of settings", "lines of the form KEY: VALUE");
      return;
    }
    CheckTag(aTag);
    // The parser gives a plain scalar the tag "?", a quoted one "!".
    AddEntry(YamlEntryType::Value, aValue, aTag == "!");
    EndValue();
  }

  void OnSequenceStart(const YAML::Mark& aMark, const std::string& /*aTag*/,
                       YAML::anchor_t /*aAnchor*/,
                       YAML::EmitterStyle::value /*aStyle*/) override {
    if (IsKeyNext()) {
      Report(aMark, "has a list as a key",
             "keys of letters, digits, _, - or .");
      throw StopParsing();
    }
    if (m_listDepth == 0) {
      if (m_levels.empty()) {
        Report(aMark, "is not a map of settings",
               "lines of the form KEY: VALUE");
      } else {
        ReportKey("is a list", "a single value or a map");
      }
    }
    CheckDepth(aMark);
    ++m_listDepth;
  }
  void OnSequenceEnd() override {
    if (--m_listDepth == 0) EndValue();
  }

  void OnMapStart(const YAML::Mark& aMark, const std::string& aTag,
                  YAML::anchor_t /*aAnchor*/,
                  YAML::EmitterStyle::value /*aStyle*/) override {
    CheckDepth(aMark);
    if (IsKeyNext()) {
      Report(aMark, "has a map as a key", "keys of letters, digits, _, - or .");
      throw StopParsing();
    }
    if (m_listDepth > 0) {
      ++m_listDepth;
      return;
    }
    CheckTag(aTag);
    m_levels.push_back({m_levels.empty() ? "" : m_levels.back().m_key,
                        m_levels.empty() ? aMark.line : m_levels.back().m_line,
                        "", 0, false});
  }
  void OnMapEnd() override {
    if (m_listDepth > 0) {
      if (--m_listDepth == 0) EndValue();
      return;
    }
    const Level level = m_levels.back();
    m_levels.pop_back();
    if (m_levels.empty()) return;
    if (level.m_empty) AddEntry(YamlEntryType::EmptyMap, "{}", false);
    EndValue();
  }

 private:
  /** A map whose end has not been read yet. */
  struct Level {
    std::string m_prefix;   ///< Key of the map itself.
    int m_prefixLine = 0;   ///< Line of m_prefix, counted from 0.
    std::string m_key;      ///< Full key of the entry being read.
    int m_line = 0;         ///< Line of m_key, counted from 0.
    bool m_hasKey = false;  ///< The value of m_key is expected next.
    bool m_empty = true;
  };

  bool IsKeyNext() const {
    return m_listDepth == 0 && !m_levels.empty() && !m_levels.back().m_hasKey;
  }

  void EndValue() {
    if (m_listDepth == 0 && !m_levels.empty()) m_levels.back().m_hasKey = false;
  }

  void ReadKey(const YAML::Mark& aMark, const std::string& aName) {
    Level& level = m_levels.back();
    level.m_key = level.m_prefix.empty() ? aName : level.m_prefix + "." + aName;
    level.m_line = aMark.line;
    level.m_hasKey = true;
    level.m_empty = false;
    if (!m_keysRead.insert(level.m_key).second) {
      ReportKey("is set twice in this file", "each key once per file");
    }
  }

  void AddEntry(YamlEntryType aType, std::string aText, bool aQuoted) {
    const Level& level = m_levels.back();
    m_entries.push_back(
        {level.m_key, level.m_line + 1, aType, aQuoted, std::move(aText)});
  }

  void CheckDepth(const YAML::Mark& aMark) {
    if (m_levels.size() + m_listDepth < kMaxSettingsDepth) return;
    Report(aMark, "is nested too deeply",
           fmt::format("at most {} levels", kMaxSettingsDepth));
    throw StopParsing();
  }

  void CheckTag(const std::string& aTag) {
    if (aTag.empty() || aTag == "?" || aTag == "!") return;
    ReportKey("has a YAML tag", "values without tags");
  }

  /** Distinguishes "key: null" from "key:", which give the same event. */
  bool IsNullWritten(const YAML::Mark& aMark) const {
    const Level& level = m_levels.back();
    const auto line = static_cast<size_t>(aMark.line);
    if (aMark.line != level.m_line || line >= m_lineStarts.size()) return false;
    const size_t begin = m_lineStarts[line] + static_cast<size_t>(aMark.column);
    const std::string_view rest =
        std::string_view(m_text).substr(std::min(begin, m_text.size()));
    const std::string_view word =
        rest.substr(0, rest.find_first_of(" \t\r\n,}#"));
    return word == "null" || word == "~" || word == "Null" || word == "NULL";
  }

  void Report(const YAML::Mark& aMark, std::string aMessage,
              std::string aAccepted) {
    AddProblem(m_problems, {m_file, aMark.line + 1},
               m_levels.empty() ? "" : m_levels.back().m_key,
               std::move(aMessage), std::move(aAccepted));
  }
  void ReportKey(std::string aMessage, std::string aAccepted) {
    const Level& level = m_levels.back();
    AddProblem(m_problems, {m_file, level.m_line + 1}, level.m_key,
               std::move(aMessage), std::move(aAccepted));
  }

  const std::string& m_file;
  const std::string& m_text;
  std::vector<YamlEntry>& m_entries;
  std::vector<SettingsProblem>& m_problems;
  std::vector<size_t> m_lineStarts;  ///< Offset in m_text of each line.
  std::vector<Level> m_levels;
  std::set<std::string> m_keysRead;  ///< All keys read so far, also of maps.
  size_t m_listDepth = 0;            ///< Open lists, and open maps inside them.
  size_t m_documents = 0;
};

/** @return the line of the first invalid character; 0: there is none. */
int64_t FirstInvalidLine(const std::string& aText) {
  using Utf8 = boost::locale::utf::utf_traits<char>;
  int64_t line = 1;
  const char* at = aText.data();
  const char* end = at + aText.size();
  while (at != end) {
    const auto point = Utf8::decode(at, end);
    const bool isControl =
        point < ' ' && point != '\n' && point != '\r' && point != '\t';
    if (!boost::locale::utf::is_valid_codepoint(point) || isControl) {
      return line;
    }
    if (point == '\n') ++line;
  }
  return 0;
}

}  // namespace

void ReadYamlEntries(const std::string& aFile, const std::string& aText,
                     std::vector<YamlEntry>& aEntries,
                     std::vector<SettingsProblem>& aProblems) {
  if (aText.size() > kMaxSettingsFileBytes) {
    AddProblem(aProblems, {aFile, 0}, "",
               fmt::format("the file has {} bytes", aText.size()),
               fmt::format("at most {} bytes per file", kMaxSettingsFileBytes));
    return;
  }
  if (const int64_t line = FirstInvalidLine(aText); line > 0) {
    AddProblem(aProblems, {aFile, line}, "",
               "has invalid UTF-8 or a control character",
               "UTF-8 text without control characters");
    return;
  }
  EntryHandler handler(aFile, aText, aEntries, aProblems);
  try {
    std::istringstream stream(aText);
    YAML::Parser parser(stream);
    while (parser.HandleNextDocument(handler)) {
    }
  } catch (const StopParsing&) {
    // The handler has already reported the problem.
  } catch (const YAML::Exception& problem) {
    AddProblem(aProblems, {aFile, std::max(problem.mark.line, 0) + 1}, "",
               "has a YAML syntax error: " + problem.msg,
               "YAML maps with lines KEY: VALUE");
  }
}

}  // namespace bronze

/**
 * @file job_input.cpp Builds a job submission from options or a YAML file.
 */

#include "ctl/job_input.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "core/config/settings_problem_func.h"
#include "core/config/yaml_entry_func.h"
#include "ctl/table/job_field.h"

namespace bronze {

namespace {

std::string Accepted(const JobField& aField) {
  switch (aField.m_type) {
    case JobFieldType::Text:
      return "non-empty text";
    case JobFieldType::Number:
      return fmt::format("{} to {}", aField.m_min, aField.m_max);
    case JobFieldType::Boolean:
      return "true or false";
  }
  return {};
}

/** @return the value in JSON, or null if the text is not a valid value. */
nlohmann::json FieldValue(const JobField& aField, const std::string& aText,
                          bool aQuoted) {
  if (aField.m_type == JobFieldType::Text) {
    return aText.empty() ? nlohmann::json() : nlohmann::json(aText);
  }
  if (aQuoted) return nullptr;
  if (aField.m_type == JobFieldType::Boolean) {
    if (aText == "true") return true;
    if (aText == "false") return false;
    return nullptr;
  }
  int64_t number = 0;
  const auto parsed =
      std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const bool valid = parsed.ec == std::errc() &&
                     parsed.ptr == aText.data() + aText.size() &&
                     number >= aField.m_min && number <= aField.m_max;
  return valid ? nlohmann::json(number) : nlohmann::json();
}

std::string FieldNames() {
  std::string names;
  for (const JobField& field : kJobFields) {
    names += (names.empty() ? "" : ", ") + std::string(field.m_key);
  }
  return names;
}

/** Sets one field of aJob, or adds a problem if the value is invalid. */
void SetField(const JobField& aField, const std::string& aText, bool aQuoted,
              SettingOrigin aOrigin, const std::string& aName,
              nlohmann::json& aJob, std::vector<SettingsProblem>& aProblems) {
  nlohmann::json value = FieldValue(aField, aText, aQuoted);
  if (value.is_null()) {
    AddProblem(aProblems, std::move(aOrigin), aName,
               fmt::format("\"{}\" is not accepted", aText), Accepted(aField));
    return;
  }
  aJob[std::string(aField.m_key)] = std::move(value);
}

}  // namespace

Checked<nlohmann::json> JobFromOptions(const CtlArguments& aArguments) {
  nlohmann::json job = nlohmann::json::object();
  std::vector<SettingsProblem> problems;
  for (const JobField& field : kJobFields) {
    const std::string option(field.m_option);
    const docopt::value& value = aArguments.at(option);
    if (value.isBool()) {
      if (value.asBool()) job[std::string(field.m_key)] = true;
    } else if (value.isString()) {
      SetField(field, value.asString(), false, {}, option, job, problems);
    }
  }
  if (!problems.empty()) return problems;
  return job;
}

Checked<nlohmann::json> JobFromYaml(const std::string& aFile,
                                    const std::string& aText) {
  nlohmann::json job = nlohmann::json::object();
  std::vector<YamlEntry> entries;
  std::vector<SettingsProblem> problems;
  ReadYamlEntries(aFile, aText, entries, problems);
  const bool readable = problems.empty();
  for (const YamlEntry& entry : entries) {
    const auto* field = std::find_if(
        std::begin(kJobFields), std::end(kJobFields),
        [&](const JobField& aField) { return aField.m_key == entry.m_key; });
    const SettingOrigin origin{aFile, entry.m_line};
    if (field == std::end(kJobFields)) {
      AddProblem(problems, origin, entry.m_key, "is not a field of a job",
                 FieldNames());
    } else if (entry.m_type == YamlEntryType::Value) {
      SetField(*field, entry.m_text, entry.m_quoted, origin, entry.m_key, job,
               problems);
    } else {
      AddProblem(problems, origin, entry.m_key, "has no value",
                 Accepted(*field));
    }
  }
  for (const JobField& field : kJobFields) {
    const std::string key(field.m_key);
    const bool mentioned = std::any_of(
        entries.begin(), entries.end(),
        [&key](const YamlEntry& aEntry) { return aEntry.m_key == key; });
    if (readable && field.m_required && !mentioned) {
      AddProblem(problems, {aFile, 0}, key, "is missing", Accepted(field));
    }
  }
  if (!problems.empty()) return problems;
  return job;
}

}  // namespace bronze

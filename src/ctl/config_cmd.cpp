/**
 * @file config_cmd.cpp The "config" commands of bronzectl.
 */

#include "ctl/config_cmd.h"

#include <fmt/format.h>

#include "core/config/settings_diff_func.h"
#include "core/config/settings_merge_func.h"
#include "core/config/settings_parse_func.h"
#include "core/config/settings_problem_func.h"
#include "core/error/error_func.h"
#include "ctl/ctl_client.h"
#include "ctl/ctl_output.h"
#include "ctl/table/config_column.h"
#include "ctl/text_table.h"
#include "files/settings_folder.h"

namespace bronze {

namespace {

constexpr const char* kConfigPath = "/v1/config";

/** One version of the configuration, as a server stores it. */
struct Configuration {
  uint64_t m_version = 0;
  FileSet m_files;
};

Result<Configuration> FetchConfiguration(const CtlOptions& aOptions,
                                         const std::string& aQuery = {}) {
  const auto body = FetchFromServer(aOptions, "GET", kConfigPath + aQuery);
  if (!body) return body.error();
  return Configuration{body.value().at("version").get<uint64_t>(),
                       FilesFromJson(body.value().at("files"))};
}

Result<FileSet> ReadFolderWithFiles(const std::string& aFolder) {
  auto files = ReadSettingsFolder(aFolder);
  // Pushing an empty folder would reset every setting to its default, which a
  // mistyped path must not cause.
  if (files && files.value().empty()) {
    return MakeError(
        ErrorKind::FileUnreadable,
        fmt::format("the folder {} contains no *.yaml file", aFolder));
  }
  return files;
}

std::string Counted(size_t aCount, std::string_view aNoun) {
  return fmt::format("{} {}{}", aCount, aNoun, aCount == 1 ? "" : "s");
}

CtlResult Invalid(const CtlOptions& aOptions,
                  const std::vector<SettingsProblem>& aProblems) {
  return Failure(
      aOptions,
      MakeError(ErrorKind::ConfigInvalid, Counted(aProblems.size(), "problem")),
      {{"ok", false}, {"problems", ProblemsJson(aProblems)}},
      ProblemsText(aProblems));
}

CtlResult Check(const CtlOptions& aOptions, const CtlArguments& aArguments) {
  const auto files = ReadFolderWithFiles(aArguments.at("FOLDER").asString());
  if (!files) return Failure(aOptions, files.error());
  std::vector<SettingsProblem> problems;
  if (aArguments.at("--node").asBool()) {
    auto settings = ParseNodeSettings(files.value());
    if (!settings) problems = std::move(settings.error());
  } else {
    auto settings = ParseSystemSettings(files.value());
    if (!settings) problems = std::move(settings.error());
  }
  if (!problems.empty()) return Invalid(aOptions, problems);
  return Success(
      aOptions, {{"ok", true}, {"problems", nlohmann::json::array()}},
      fmt::format("{}: no problems\n", Counted(files.value().size(), "file")));
}

CtlResult Diff(const CtlOptions& aOptions, const CtlArguments& aArguments) {
  const auto files = ReadFolderWithFiles(aArguments.at("FOLDER").asString());
  if (!files) return Failure(aOptions, files.error());
  const auto inForce = FetchConfiguration(aOptions);
  if (!inForce) return Failure(aOptions, inForce.error());
  const auto changes = DiffSettings(SettingScope::System,
                                    inForce.value().m_files, files.value());
  const std::string text = changes.empty() ? "no change\n" : DiffText(changes);
  return Success(aOptions,
                 {{"version", inForce.value().m_version},
                  {"changes", ChangesJson(changes)}},
                 Printable(fmt::format("version {} -> folder:",
                                       inForce.value().m_version)) +
                     "\n" + text);
}

/**
 * Shows how the pushed files differ from the version that another push made
 * meanwhile. The server has changed nothing.
 */
CtlResult Conflict(const CtlOptions& aOptions, uint64_t aBasedOn,
                   const FileSet& aPushed, const CtlAnswer& aAnswer) {
  const auto version = aAnswer.m_body.at("version").get<uint64_t>();
  const FileSet inForce = FilesFromJson(aAnswer.m_body.at("files"));
  const auto changes = DiffSettings(SettingScope::System, inForce, aPushed);
  return Failure(
      aOptions,
      MakeError(ErrorKind::ConfigConflict,
                fmt::format("version {} is in force, but the push was based on "
                            "version {}; nothing was changed",
                            version, aBasedOn)),
      {{"version", version},
       {"based_on", aBasedOn},
       {"changes", ChangesJson(changes)}},
      fmt::format("difference from version {} to the pushed files:\n{}",
                  version,
                  changes.empty() ? "no change\n" : DiffText(changes)));
}

CtlResult Push(const CtlOptions& aOptions, const CtlArguments& aArguments,
               const Configuration& aBase, const FileSet& aFiles) {
  const auto checked = ParseSystemSettings(aFiles);
  if (!checked) return Invalid(aOptions, checked.error());
  const docopt::value& note = aArguments.at("--note");
  const auto answer =
      CallServer(aOptions, "PUT", kConfigPath,
                 {{"based_on", aBase.m_version},
                  {"files", aFiles},
                  {"author", aOptions.m_author},
                  {"note", note.isString() ? note.asString() : std::string()}});
  if (!answer) return Failure(aOptions, answer.error());
  const nlohmann::json& body = answer.value().m_body;
  const Error error = ErrorInAnswer(answer.value());
  const bool isError = answer.value().m_status >= 400;
  if (isError && error.m_kind == ErrorKind::ConfigConflict) {
    return Conflict(aOptions, aBase.m_version, aFiles, answer.value());
  }
  if (isError && error.m_kind == ErrorKind::ConfigInvalid &&
      body.contains("problems")) {
    return Invalid(aOptions, ProblemsFromJson(body.at("problems")));
  }
  if (isError) return Failure(aOptions, error);
  const auto changes =
      DiffSettings(SettingScope::System, aBase.m_files, aFiles);
  return Success(
      aOptions, body,
      fmt::format("version {} accepted, in force on {} of {} "
                  "daemons\n{}",
                  body.at("version").get<uint64_t>(),
                  body.at("in_force").get<uint64_t>(),
                  body.at("members").get<uint64_t>(), DiffText(changes)));
}

CtlResult PushFolder(const CtlOptions& aOptions,
                     const CtlArguments& aArguments) {
  const auto files = ReadFolderWithFiles(aArguments.at("FOLDER").asString());
  if (!files) return Failure(aOptions, files.error());
  const auto checked = ParseSystemSettings(files.value());
  if (!checked) return Invalid(aOptions, checked.error());
  const auto base = FetchConfiguration(aOptions);
  if (!base) return Failure(aOptions, base.error());
  return Push(aOptions, aArguments, base.value(), files.value());
}

CtlResult PutFile(const CtlOptions& aOptions, const CtlArguments& aArguments) {
  const std::filesystem::path path = aArguments.at("FILE").asString();
  const auto text = ReadSettingsFile(path);
  if (!text) return Failure(aOptions, text.error());
  const auto base = FetchConfiguration(aOptions);
  if (!base) return Failure(aOptions, base.error());
  FileSet files = base.value().m_files;
  files[path.filename().string()] = text.value();
  return Push(aOptions, aArguments, base.value(), files);
}

CtlResult RemoveFile(const CtlOptions& aOptions,
                     const CtlArguments& aArguments) {
  const std::string name = aArguments.at("NAME").asString();
  const auto base = FetchConfiguration(aOptions);
  if (!base) return Failure(aOptions, base.error());
  FileSet files = base.value().m_files;
  if (files.erase(name) == 0) {
    return Failure(aOptions,
                   MakeError(ErrorKind::FileUnreadable,
                             fmt::format("version {} has no file {}",
                                         base.value().m_version, name)));
  }
  return Push(aOptions, aArguments, base.value(), files);
}

CtlResult Pull(const CtlOptions& aOptions, const CtlArguments& aArguments) {
  const std::filesystem::path folder = aArguments.at("FOLDER").asString();
  const auto inForce = FetchConfiguration(aOptions);
  if (!inForce) return Failure(aOptions, inForce.error());
  const FileSet& files = inForce.value().m_files;
  std::error_code error;
  if (std::filesystem::exists(folder, error) &&
      !aArguments.at("--force").asBool()) {
    const auto present = ReadSettingsFolder(folder);
    if (!present) return Failure(aOptions, present.error());
    std::string differing;
    for (const auto& [name, text] : present.value()) {
      const auto found = files.find(name);
      if (found == files.end() || found->second != text) {
        differing += name + "\n";
      }
    }
    if (!differing.empty()) {
      return Failure(
          aOptions,
          MakeError(ErrorKind::ConfigConflict,
                    fmt::format("the folder {} contains files that differ from "
                                "version {}; use --force to replace them",
                                folder.string(), inForce.value().m_version)),
          nlohmann::json::object(), differing);
    }
  }
  const auto written = WriteSettingsFolder(folder, files);
  if (!written) return Failure(aOptions, written.error());
  return Success(
      aOptions,
      {{"version", inForce.value().m_version}, {"files", files.size()}},
      fmt::format("version {}: {} written to {}\n", inForce.value().m_version,
                  Counted(files.size(), "file"), folder.string()));
}

CtlResult Show(const CtlOptions& aOptions, const CtlArguments& aArguments) {
  const docopt::value& version = aArguments.at("--version");
  const auto shown = FetchConfiguration(
      aOptions, version.isString() ? "?version=" + UrlEncode(version.asString())
                                   : std::string());
  if (!shown) return Failure(aOptions, shown.error());
  const bool origin = aArguments.at("--origin").asBool();
  const auto settings =
      ListSettings(SettingScope::System, shown.value().m_files);
  auto list = nlohmann::json::array();
  std::vector<std::string> titles = {"KEY", "VALUE"};
  if (origin) titles.emplace_back("ORIGIN");
  TableRows rows;
  for (const SettingInForce& setting : settings) {
    rows.push_back({setting.m_key, setting.m_value});
    if (origin) rows.back().push_back(OriginText(setting.m_origin));
    list.push_back({{"key", setting.m_key},
                    {"value", setting.m_value},
                    {"file", setting.m_origin.m_file},
                    {"line", setting.m_origin.m_line}});
  }
  return Success(aOptions,
                 {{"version", shown.value().m_version}, {"settings", list}},
                 fmt::format("version {}\n{}", shown.value().m_version,
                             TextTable(titles, rows, aOptions.m_color)));
}

CtlResult History(const CtlOptions& aOptions, const CtlArguments& aArguments) {
  const docopt::value& limit = aArguments.at("--limit");
  const auto body = FetchFromServer(
      aOptions, "GET",
      std::string("/v1/config/history") +
          (limit.isString() ? "?limit=" + UrlEncode(limit.asString()) : ""));
  if (!body) return Failure(aOptions, body.error());
  return Success(aOptions, body.value(),
                 JsonTable(kHistoryColumns, body.value().at("versions"),
                           aOptions.m_color));
}

CtlResult Status(const CtlOptions& aOptions) {
  const auto body = FetchFromServer(aOptions, "GET", "/v1/config/status");
  if (!body) return Failure(aOptions, body.error());
  return Success(
      aOptions, body.value(),
      fmt::format("version {}\n{}", body.value().at("version").get<uint64_t>(),
                  JsonTable(kConfigStatusColumns, body.value().at("vms"),
                            aOptions.m_color)));
}

}  // namespace

CtlResult RunConfigCommand(const CtlOptions& aOptions,
                           const CtlArguments& aArguments) {
  const auto is = [&aArguments](const char* aCommand) {
    return aArguments.at(aCommand).asBool();
  };
  if (is("check")) return Check(aOptions, aArguments);
  if (is("diff")) return Diff(aOptions, aArguments);
  if (is("push")) return PushFolder(aOptions, aArguments);
  if (is("pull")) return Pull(aOptions, aArguments);
  if (is("put")) return PutFile(aOptions, aArguments);
  if (is("rm")) return RemoveFile(aOptions, aArguments);
  if (is("show")) return Show(aOptions, aArguments);
  if (is("history")) return History(aOptions, aArguments);
  return Status(aOptions);
}

}  // namespace bronze

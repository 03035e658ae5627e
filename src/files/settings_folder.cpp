/**
 * @file settings_folder.cpp Reads and writes a folder of settings files.
 */

#include "files/settings_folder.h"

#include <fmt/format.h>

#include <fstream>

#include "core/config/settings_merge_func.h"

namespace bronze {

namespace {

namespace fs = std::filesystem;

Error Unreadable(const fs::path& aPath, const std::string& aReason) {
  return MakeError(ErrorKind::FileUnreadable,
                   fmt::format("cannot read {}: {}", aPath.string(), aReason));
}

Error Unwritable(const fs::path& aPath, const std::string& aReason) {
  return MakeError(ErrorKind::FileUnreadable,
                   fmt::format("cannot write {}: {}", aPath.string(), aReason));
}

bool IsSettingsFile(const fs::path& aPath) {
  // Editors create hidden files such as ".#name.yaml" in the same folder.
  return aPath.extension() == ".yaml" &&
         !aPath.filename().string().starts_with('.');
}

Result<void> WriteFile(const fs::path& aPath, const std::string& aText) {
  fs::path temp = aPath;
  temp += ".new";
  {
    std::ofstream out(temp, std::ios::binary | std::ios::trunc);
    out << aText;
    out.close();
    if (!out) return Unwritable(temp, std::generic_category().message(errno));
  }
  std::error_code error;
  fs::rename(temp, aPath, error);
  if (error) return Unwritable(aPath, error.message());
  return boost::outcome_v2::success();
}

}  // namespace

Result<std::string> ReadSettingsFile(const fs::path& aFile) {
  std::error_code error;
  if (!fs::is_regular_file(aFile, error)) {
    return Unreadable(aFile, error ? error.message() : "not a regular file");
  }
  std::ifstream in(aFile, std::ios::binary);
  if (!in) return Unreadable(aFile, std::generic_category().message(errno));
  // One byte above the limit is enough for the size check to fail.
  std::string text(kMaxSettingsFileBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad()) return Unreadable(aFile, "read error");
  text.resize(static_cast<size_t>(in.gcount()));
  return text;
}

Result<FileSet> ReadSettingsFolder(const fs::path& aFolder) {
  FileSet files;
  std::error_code error;
  fs::directory_iterator entry(aFolder, error);
  for (; !error && entry != fs::directory_iterator(); entry.increment(error)) {
    if (!IsSettingsFile(entry->path())) continue;
    if (files.size() >= kMaxSettingsFiles) {
      return Unreadable(
          aFolder, fmt::format("more than {} *.yaml files", kMaxSettingsFiles));
    }
    auto text = ReadSettingsFile(entry->path());
    if (!text) return text.error();
    files[entry->path().filename().string()] = std::move(text.value());
  }
  if (error) return Unreadable(aFolder, error.message());
  return files;
}

Result<void> WriteSettingsFolder(const fs::path& aFolder,
                                 const FileSet& aFiles) {
  for (const auto& [name, text] : aFiles) {
    if (!IsSettingsFileName(name)) {
      return MakeError(
          ErrorKind::BadRequest,
          fmt::format("\"{}\" is not a valid name of a settings file", name));
    }
  }
  std::error_code error;
  fs::create_directories(aFolder, error);
  if (error) return Unwritable(aFolder, error.message());
  for (const auto& [name, text] : aFiles) {
    auto written = WriteFile(aFolder / name, text);
    if (!written) return written;
  }
  const auto present = ReadSettingsFolder(aFolder);
  if (!present) return present.error();
  for (const auto& [name, text] : present.value()) {
    if (aFiles.contains(name)) continue;
    fs::remove(aFolder / name, error);
    if (error) return Unwritable(aFolder / name, error.message());
  }
  return boost::outcome_v2::success();
}

}  // namespace bronze

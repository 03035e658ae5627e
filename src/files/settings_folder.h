/**
 * @file settings_folder.h Reads and writes a folder of settings files.
 */

#ifndef BRONZE_FILES_SETTINGS_FOLDER_H_
#define BRONZE_FILES_SETTINGS_FOLDER_H_

#include <filesystem>

#include "core/config/setting_type.h"

namespace bronze {

/** Reads all *.yaml files of a folder, without its subfolders. */
[[nodiscard]] Result<FileSet> ReadSettingsFolder(
    const std::filesystem::path& aFolder);

/**
 * Reads one file. Of a larger file, only kMaxSettingsFileBytes + 1 bytes are
 * read, which the size check of the parser rejects.
 */
[[nodiscard]] Result<std::string> ReadSettingsFile(
    const std::filesystem::path& aFile);

/**
 * Makes the *.yaml files of the folder equal to aFiles: creates the folder if
 * needed, and deletes *.yaml files that are not in aFiles. Other files in the
 * folder are kept. Each file is replaced atomically, so that a reader never
 * sees part of one.
 */
[[nodiscard]] Result<void> WriteSettingsFolder(
    const std::filesystem::path& aFolder, const FileSet& aFiles);

}  // namespace bronze

#endif  // BRONZE_FILES_SETTINGS_FOLDER_H_

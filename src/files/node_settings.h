/**
 * @file node_settings.h Reads the settings of one VM from its settings folder.
 */

#ifndef BRONZE_FILES_NODE_SETTINGS_H_
#define BRONZE_FILES_NODE_SETTINGS_H_

#include <filesystem>

#include "core/config/settings_type.h"
#include "core/error/error_type.h"

namespace bronze {

/**
 * Reads and merges all *.yaml files of a folder. The message of an error has
 * one line per problem, with file, line and key.
 */
[[nodiscard]] Result<NodeSettings> ReadNodeSettings(
    const std::filesystem::path& aFolder);

}  // namespace bronze

#endif  // BRONZE_FILES_NODE_SETTINGS_H_

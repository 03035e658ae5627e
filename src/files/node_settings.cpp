/**
 * @file node_settings.cpp Reads the settings of one VM from its settings
 * folder.
 */

#include "files/node_settings.h"

#include <fmt/format.h>

#include "core/config/settings_parse_func.h"
#include "core/config/settings_problem_func.h"
#include "files/settings_folder.h"

namespace bronze {

Result<NodeSettings> ReadNodeSettings(const std::filesystem::path& aFolder) {
  const auto files = ReadSettingsFolder(aFolder);
  if (!files) return files.error();
  auto settings = ParseNodeSettings(files.value());
  if (settings) return std::move(settings.value());
  std::string text = ProblemsText(settings.error());
  text.pop_back();
  return MakeError(ErrorKind::ConfigInvalid,
                   fmt::format("invalid settings in folder {}:\n{}",
                               aFolder.string(), text));
}

}  // namespace bronze

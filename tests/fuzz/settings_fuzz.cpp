/**
 * @file settings_fuzz.cpp libFuzzer target of the settings loader.
 *
 * The input is split at each line "%%" into files a.yaml, b.yaml and so on, so
 * that merging is covered, too. The target needs clang and the CMake option
 * BRONZE_FUZZ; settings_replay_test runs the seeds in corpus/settings.
 */

#include "settings_fuzz.h"

#include <cstdlib>

#include "core/config/settings_diff_func.h"
#include "core/config/settings_parse_func.h"
#include "core/config/settings_problem_func.h"

namespace bronze {

namespace {

constexpr std::string_view kSeparator = "%%\n";
constexpr char kLastFile = 'h';

FileSet SplitFiles(std::string_view aInput) {
  FileSet files;
  for (char name = 'a'; name <= kLastFile; ++name) {
    const size_t end = aInput.find(kSeparator);
    files[std::string(1, name) + ".yaml"] = aInput.substr(0, end);
    if (end == std::string_view::npos) break;
    aInput.remove_prefix(end + kSeparator.size());
  }
  return files;
}

/** Aborts if the condition is false, so that the fuzzer saves the input. */
void Require(bool aCondition) {
  if (!aCondition) std::abort();
}

}  // namespace

bool LoadFuzzedSettings(std::string_view aInput) {
  const FileSet files = SplitFiles(aInput);
  const auto node = ParseNodeSettings(files);
  if (!node) Require(!ProblemsText(node.error()).empty());
  const auto settings = ParseSystemSettings(files);
  if (!settings) {
    Require(!ProblemsText(settings.error()).empty());
    static_cast<void>(ListSettings(SettingScope::System, files));
    return false;
  }
  const FileSet written = {{"a.yaml", WriteSystemSettings(settings.value())}};
  const auto again = ParseSystemSettings(written);
  Require(again.has_value() && again.value() == settings.value());
  Require(DiffSettings(SettingScope::System, files, written).empty());
  return true;
}

}  // namespace bronze

/**
 * @file settings_folder_test.cpp Reads and writes settings folders on disk.
 */

#include "files/settings_folder.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <fstream>

#include "files/node_settings.h"

namespace bronze {

namespace {

namespace fs = std::filesystem;

struct Folder {
  Folder() {
    std::string name = (fs::temp_directory_path() / "bronze-XXXXXX").string();
    BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
    m_path = name;
  }
  ~Folder() {
    std::error_code ignored;
    fs::remove_all(m_path, ignored);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  void Write(const std::string& aName, const std::string& aText) const {
    std::ofstream(m_path / aName, std::ios::binary) << aText;
  }

  fs::path m_path;
};

}  // namespace

// Guards against reading backup files of editors, or folders, as settings.
BOOST_AUTO_TEST_CASE(OnlySettingsFilesAreRead) {
  const Folder folder;
  folder.Write("a.yaml", "one");
  folder.Write(".a.yaml", "hidden");
  folder.Write("a.yaml~", "backup");
  folder.Write("a.yml", "other");
  const auto files = ReadSettingsFolder(folder.m_path);
  BOOST_REQUIRE(files.has_value());
  BOOST_TEST((files.value() == FileSet{{"a.yaml", "one"}}));
  fs::create_directory(folder.m_path / "b.yaml");
  const auto withFolder = ReadSettingsFolder(folder.m_path);
  BOOST_REQUIRE(!withFolder.has_value());
  BOOST_TEST((withFolder.error().m_kind == ErrorKind::FileUnreadable));
  BOOST_TEST(withFolder.error().m_message.find("b.yaml") != std::string::npos);
}

// Guards against reading a huge file into memory.
BOOST_AUTO_TEST_CASE(ALargeFileIsCutAboveTheLimit) {
  const Folder folder;
  folder.Write("a.yaml", std::string(4 * kMaxSettingsFileBytes, '#'));
  const auto text = ReadSettingsFile(folder.m_path / "a.yaml");
  BOOST_REQUIRE(text.has_value());
  BOOST_TEST(text.value().size() == kMaxSettingsFileBytes + 1);
}

// Guards against files that stay in the folder after their removal from the
// set.
BOOST_AUTO_TEST_CASE(WritingMakesTheFolderEqual) {
  const Folder folder;
  folder.Write("old.yaml", "old");
  folder.Write("README", "kept");
  const FileSet files = {{"a.yaml", "1"}, {"b.yaml", ""}};
  BOOST_TEST(WriteSettingsFolder(folder.m_path, files).has_value());
  const auto read = ReadSettingsFolder(folder.m_path);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read.value() == files));
  BOOST_TEST(fs::exists(folder.m_path / "README"));
  BOOST_TEST(!WriteSettingsFolder(folder.m_path, {{"../a.yaml", ""}}));
}

// Guards against a daemon that starts with only part of its settings, and
// against errors without file, line and key.
BOOST_AUTO_TEST_CASE(NodeSettingsNameEachMistake) {
  const Folder folder;
  folder.Write("a.yaml", "node:\n  vm: a\n  traffic_threads: 0\n");
  const auto settings = ReadNodeSettings(folder.m_path);
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST((settings.error().m_kind == ErrorKind::ConfigInvalid));
  const std::string& text = settings.error().m_message;
  BOOST_TEST(text.find("a.yaml:3: node.traffic_threads: ") !=
             std::string::npos);
  BOOST_TEST(text.find("node.region: is missing") != std::string::npos);
  const auto none = ReadNodeSettings(folder.m_path / "none");
  BOOST_REQUIRE(!none.has_value());
  BOOST_TEST((none.error().m_kind == ErrorKind::FileUnreadable));
}

}  // namespace bronze

/**
 * @file doc_cmd_test.cpp Tables that bronzectl prints, compared with docs/.
 */

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "core/error/error_func.h"
#include "ctl/table/completion.h"
#include "ctl/table/usage.h"
#include "fake_server.h"

namespace bronze {

namespace {

std::string Page(const std::string& aName) {
  std::ostringstream text;
  text << std::ifstream(std::string(BRONZE_SOURCE_FOLDER) + "/docs/" + aName)
              .rdbuf();
  return text.str();
}

/** @return the commands in the usage text, such as "config check". */
std::vector<std::string> Commands() {
  std::vector<std::string> commands;
  std::istringstream usage(kCtlUsage);
  const std::string prefix = "  bronzectl [options] ";
  for (std::string line; std::getline(usage, line);) {
    if (!line.starts_with(prefix)) continue;
    std::istringstream words(line.substr(prefix.size()));
    std::string command;
    for (std::string word; words >> word;) {
      if (word.find_first_not_of("abcdefghijklmnopqrstuvwxyz") !=
          std::string::npos) {
        break;
      }
      if (!command.empty()) command += ' ';
      command += word;
    }
    commands.push_back(command);
  }
  return commands;
}

}  // namespace

// Guards against documentation that differs from the table of settings.
BOOST_AUTO_TEST_CASE(SettingsDocumentEqualsTheCommand) {
  BOOST_TEST(RunAgainst("", {"settings"}).m_out == Page("SETTINGS.md"));
}

// Guards against a command without a section or an example in its
// documentation.
BOOST_AUTO_TEST_CASE(EachCommandIsDocumentedWithAnExample) {
  const std::string page = Page("bronzectl.md");
  BOOST_TEST(Commands().size() == 22U);
  for (const std::string& command : Commands()) {
    BOOST_TEST(page.find("## " + command + "\n") != std::string::npos, command);
    BOOST_TEST(page.find("$ bronzectl " + command) != std::string::npos,
               command);
  }
}

// Guards against a command or an option that bash completion does not offer.
BOOST_AUTO_TEST_CASE(EachCommandAndOptionIsCompleted) {
  const std::string script = RunAgainst("", {"completion", "bash"}).m_out;
  BOOST_TEST(script == kBashCompletion);
  for (const std::string& command : Commands()) {
    std::istringstream words(command);
    for (std::string word; words >> word;) {
      BOOST_TEST(script.find(word) != std::string::npos, word);
    }
  }
  std::istringstream usage(kCtlUsage);
  for (std::string word; usage >> word;) {
    if (!word.starts_with("--")) continue;
    word = word.substr(0, word.find(']'));
    BOOST_TEST(script.find(word) != std::string::npos, word);
  }
}

// Guards against an error kind that "bronzectl errors" does not list.
BOOST_AUTO_TEST_CASE(EachErrorIsListed) {
  const std::string text = RunAgainst("", {"errors"}).m_out;
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const auto name = AnswerFor(static_cast<ErrorKind>(i)).m_name;
    BOOST_TEST(text.find(fmt::format("\n{} ", name)) != std::string::npos);
  }
}

// Guards against exit code 0 or a crash after an invalid command line.
BOOST_AUTO_TEST_CASE(WrongCommandLinesAreUsageErrors) {
  for (const std::vector<std::string>& line : {std::vector<std::string>{},
                                               {"config"},
                                               {"config", "push"},
                                               {"job"},
                                               {"job", "submit"},
                                               {"job", "cancel"},
                                               {"--nonsense"},
                                               {"status", "x"},
                                               {"config", "show", "--version"},
                                               {"status"}}) {
    const auto result = RunAgainst("", line);
    BOOST_TEST(result.m_exitCode == 2);
    BOOST_TEST(result.m_error.find("(usage)") != std::string::npos);
  }
  BOOST_TEST(RunAgainst("", {"--help"}).m_out == kCtlUsage);
  BOOST_TEST(RunAgainst("host:80", {"status"}).m_exitCode == 2);
}

}  // namespace bronze

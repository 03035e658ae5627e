/**
 * @file ctl_run.cpp Runs one command line of bronzectl.
 */

#include "ctl/ctl_run.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>

#include "ctl/config_cmd.h"
#include "ctl/ctl_output.h"
#include "ctl/doc_cmd.h"
#include "ctl/job_cmd.h"
#include "ctl/table/usage.h"
#include "ctl/vm_cmd.h"
#include "files/settings_folder.h"

namespace bronze {

namespace {

/** @return the part of the usage text above the options. */
std::string ShortUsage() {
  const std::string_view usage = kCtlUsage;
  const size_t begin = usage.find("Usage:");
  return std::string(usage.substr(begin, usage.find("\nOptions:") - begin));
}

/** Reads the token without the line end, which HTTP headers must not have. */
Result<std::string> ReadToken(const std::string& aFile) {
  auto text = ReadSettingsFile(aFile);
  if (!text) return text.error();
  std::string token = std::move(text.value());
  while (!token.empty() && (token.back() == '\n' || token.back() == '\r')) {
    token.pop_back();
  }
  return token;
}

bool IsHeaderText(const std::string& aText) {
  return std::all_of(aText.begin(), aText.end(),
                     [](char aChar) { return aChar > ' ' && aChar < '\x7f'; });
}

Result<CtlOptions> MakeOptions(const CtlArguments& aArguments,
                               const CtlEnvironment& aEnvironment) {
  CtlOptions options;
  const docopt::value& server = aArguments.at("--server");
  options.m_server =
      server.isString() ? server.asString() : aEnvironment.m_server;
  options.m_json = aArguments.at("--json").asBool();
  options.m_color = aEnvironment.m_color;
  options.m_author = aEnvironment.m_user;
  options.m_token = aEnvironment.m_token;
  const docopt::value& tokenFile = aArguments.at("--token-file");
  if (tokenFile.isString()) {
    auto token = ReadToken(tokenFile.asString());
    if (!token) return token.error();
    options.m_token = std::move(token.value());
  }
  if (!IsHeaderText(options.m_token)) {
    return MakeError(ErrorKind::Usage,
                     "the operators' token contains a space, a control "
                     "character or a character outside ASCII");
  }
  return options;
}

CtlResult Dispatch(const CtlOptions& aOptions, const CtlArguments& aArguments) {
  const auto is = [&aArguments](const char* aCommand) {
    return aArguments.at(aCommand).asBool();
  };
  if (is("config")) return RunConfigCommand(aOptions, aArguments);
  if (is("job")) return RunJobCommand(aOptions, aArguments);
  if (is("worker")) return RunWorkerCommand(aOptions, aArguments);
  if (is("vm")) return RunVmCommand(aOptions, aArguments);
  if (is("settings")) return ShowSettings(aOptions);
  if (is("errors")) return ShowErrors(aOptions);
  if (is("completion")) return ShowCompletion(aOptions);
  return RunStatusCommand(aOptions);
}

}  // namespace

CtlResult RunCtl(const std::vector<std::string>& aArguments,
                 const CtlEnvironment& aEnvironment) {
  CtlArguments arguments;
  try {
    arguments = docopt::docopt_parse(kCtlUsage, aArguments, true, false);
  } catch (const docopt::DocoptExitHelp&) {
    return {0, kCtlUsage, ""};
  } catch (const std::exception& problem) {
    CtlOptions options;
    options.m_color = aEnvironment.m_color;
    options.m_json = std::find(aArguments.begin(), aArguments.end(),
                               "--json") != aArguments.end();
    return Failure(
        options,
        MakeError(ErrorKind::Usage,
                  std::string("invalid command line: ") + problem.what()),
        nlohmann::json::object(), ShortUsage());
  }
  const auto options = MakeOptions(arguments, aEnvironment);
  if (!options) {
    CtlOptions plain;
    plain.m_json = arguments.at("--json").asBool();
    return Failure(plain, options.error());
  }
  try {
    return Dispatch(options.value(), arguments);
  } catch (const nlohmann::json::exception& problem) {
    return Failure(options.value(),
                   MakeError(ErrorKind::PeerMalformed,
                             "the server's answer lacks a field or has one of "
                             "the wrong type: " +
                                 std::string(problem.what())));
  }
}

}  // namespace bronze

/**
 * @file main.cpp bronzectl, the operators' command-line tool.
 */

#include <fmt/format.h>
#include <unistd.h>

#include <cstdlib>

#include "ctl/ctl_run.h"

namespace {

std::string Variable(const char* aName) {
  const char* value = std::getenv(aName);
  return value == nullptr ? "" : value;
}

}  // namespace

int main(int argc, char** argv) {
  bronze::CtlEnvironment environment;
  environment.m_server = Variable("BRONZE_SERVER");
  environment.m_token = Variable("BRONZE_TOKEN");
  environment.m_user = Variable("USER");
  environment.m_color = Variable("NO_COLOR").empty() &&
                        isatty(STDOUT_FILENO) != 0 &&
                        isatty(STDERR_FILENO) != 0;
  const bronze::CtlResult result =
      bronze::RunCtl({argv + 1, argv + argc}, environment);
  fmt::print(stdout, "{}", result.m_out);
  fmt::print(stderr, "{}", result.m_error);
  return result.m_exitCode;
}

/**
 * @file ctl_type.h Input and result of a bronzectl command.
 *
 * Commands return their output instead of printing it, so that tests can run
 * them in their own process.
 */

#ifndef BRONZE_CTL_CTL_TYPE_H_
#define BRONZE_CTL_CTL_TYPE_H_

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <vector>

#include "core/error/error_type.h"

namespace bronze {

/** Parsed command line, by name of the option, command or argument. */
using CtlArguments = std::map<std::string, docopt::value>;

/** Values that bronzectl reads from its environment. */
struct CtlEnvironment {
  std::string m_server;  ///< BRONZE_SERVER, IP:PORT; empty if unset.
  std::string m_token;   ///< BRONZE_TOKEN; empty if unset.
  std::string m_user;    ///< USER; recorded as the author of a change.
  bool m_color = false;  ///< Output is a terminal and NO_COLOR is unset.
};

/** Options that all commands share. */
struct CtlOptions {
  std::string m_server;  ///< IP:PORT; not checked, some commands need none.
  std::string m_token;
  std::string m_author;
  bool m_json = false;
  bool m_color = false;
};

struct CtlResult {
  int m_exitCode = 0;
  std::string m_out;
  std::string m_error;
};

}  // namespace bronze

#endif  // BRONZE_CTL_CTL_TYPE_H_

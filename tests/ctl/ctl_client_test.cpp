/**
 * @file ctl_client_test.cpp Servers that do not answer or send malformed
 * answers.
 */

#include "ctl/ctl_client.h"

#include <boost/test/unit_test.hpp>

#include "core/error/error_func.h"
#include "fake_server.h"
#include "net/address_func.h"

namespace bronze {

namespace {

/** @return an address with a port, chosen by the kernel, that is now closed. */
std::string ClosedAddress() {
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor acceptor(
      context, ParseAddress("127.0.0.1:0").value());
  return AddressText(acceptor.local_endpoint());
}

}  // namespace

// Guards against an error that does not name the server and the reason.
BOOST_AUTO_TEST_CASE(AnUnreachableServerIsNamed) {
  const std::string address = ClosedAddress();
  for (const std::vector<std::string>& line :
       {std::vector<std::string>{"status"},
        {"job", "cancel", "00000000000000aa"},
        {"worker", "drain", "w1"}}) {
    const auto result = RunAgainst(address, line);
    BOOST_TEST(result.m_exitCode == 4);
    BOOST_TEST(result.m_error.find("cannot reach the server " + address +
                                   ": Connection refused") !=
               std::string::npos);
  }
}

// Guards against a command that waits forever, and against reporting a change
// as not made that may have been made.
BOOST_AUTO_TEST_CASE(ALostAnswerLeavesOnlyChangesUnknown) {
  FakeServer server;
  for (const char* method : {"GET", "POST", "PUT", "DELETE"}) {
    server.LeaveUnanswered(std::string(method) + " /kept");
    server.CloseConnection(std::string(method) + " /broken");
  }
  CtlOptions options;
  options.m_server = server.Address();
  const auto kind = [&options](const char* aMethod, const char* aTarget,
                               Duration aTimeout) {
    const auto answer = CallServer(options, aMethod, aTarget, {}, aTimeout);
    BOOST_REQUIRE(!answer.has_value());
    return answer.error().m_kind;
  };
  // Long enough to connect, also on a busy machine.
  const Duration soon = milliseconds(500);
  BOOST_TEST((kind("GET", "/kept", soon) == ErrorKind::Timeout));
  BOOST_TEST(
      (kind("GET", "/broken", kCtlTimeout) == ErrorKind::ConnectionFailed));
  for (const char* method : {"POST", "PUT", "DELETE"}) {
    BOOST_TEST((kind(method, "/kept", soon) == ErrorKind::OutcomeUnknown));
    BOOST_TEST(
        (kind(method, "/broken", kCtlTimeout) == ErrorKind::OutcomeUnknown));
  }
}

// Guards against reporting a change as not made after an answer that no daemon
// has sent, such as that of a proxy.
BOOST_AUTO_TEST_CASE(AMalformedAnswerLeavesOnlyChangesUnknown) {
  FakeServer server;
  CtlOptions options;
  options.m_server = server.Address();
  for (const char* method : {"GET", "POST", "PUT", "DELETE"}) {
    for (const int status : {200, 502}) {
      for (const char* body : {"", "<html>", "[]"}) {
        server.Answer(std::string(method) + " /target", status, body);
        const auto answer = CallServer(options, method, "/target", {});
        BOOST_REQUIRE(!answer.has_value());
        const ErrorKind expected = std::string(method) == "GET"
                                       ? ErrorKind::PeerMalformed
                                       : ErrorKind::OutcomeUnknown;
        BOOST_TEST((answer.error().m_kind == expected),
                   method << " " << status << " " << body);
      }
    }
  }
}

// Guards against a malformed answer that crashes bronzectl.
BOOST_AUTO_TEST_CASE(UnexpectedAnswersAreErrors) {
  FakeServer server;
  for (const char* body :
       {"", "not JSON", "[]", "7", R"({"vms": 5})",
        R"({"epoch": "x", "vms": []})", R"({"epoch": 1, "vms": {"a": 1}})"}) {
    server.Answer("GET /v1/vms", 200, body);
    BOOST_TEST(RunAgainst(server.Address(), {"vm", "list"}).m_exitCode == 1,
               body);
  }
  server.Answer("GET /v1/vms", 503, R"({"error": 5, "message": 6})");
  BOOST_TEST(RunAgainst(server.Address(), {"vm", "list"}).m_exitCode == 1);
}

// Guards against exit codes that differ from the table of error answers.
BOOST_AUTO_TEST_CASE(ExitCodesComeFromTheTable) {
  FakeServer server;
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorAnswer& answer = AnswerFor(static_cast<ErrorKind>(i));
    const nlohmann::json body = {{"error", answer.m_name},
                                 {"message", "because"}};
    server.Answer("GET /v1/status", answer.m_httpStatus, body.dump());
    const auto result = RunAgainst(server.Address(), {"status"});
    BOOST_TEST(result.m_exitCode == answer.m_exitCode, answer.m_name);
    BOOST_TEST(result.m_error ==
               "error: because (" + std::string(answer.m_name) + ")\n");
  }
}

// Guards against a token that is not sent, is sent truncated, or injects
// another header.
BOOST_AUTO_TEST_CASE(TheTokenComesFromAFileOrTheEnvironment) {
  const TestFolder folder;
  folder.Write("token", "from-file\n");
  folder.Write("bad", "a\r\nX-Other: b\n");
  FakeServer server;
  server.Answer("GET /v1/status", 200, "{}");
  CtlEnvironment environment;
  environment.m_server = server.Address();
  environment.m_token = "from-environment";
  BOOST_TEST(RunCtl({"status"}, environment).m_exitCode == 0);
  BOOST_TEST(server.LastCall().Header("Authorization") ==
             "Bearer from-environment");
  const auto status = [&](const char* aFile) {
    return RunCtl({"status", "--token-file", folder.Path(aFile)}, environment);
  };
  BOOST_TEST(status("token").m_exitCode == 0);
  BOOST_TEST(server.LastCall().Header("Authorization") == "Bearer from-file");
  BOOST_TEST(status("bad").m_exitCode == 2);
  BOOST_TEST(status("none").m_exitCode == 2);
  BOOST_TEST(server.Calls().size() == 2U);
}

// Guards against colour codes in JSON, or in text while colour is off.
BOOST_AUTO_TEST_CASE(ColourIsUsedOnlyWhenAsked) {
  CtlEnvironment environment;
  BOOST_TEST(RunCtl({"errors"}, environment).m_out.find('\x1b') ==
             std::string::npos);
  BOOST_TEST(RunCtl({"status"}, environment).m_error.find('\x1b') ==
             std::string::npos);
  environment.m_color = true;
  BOOST_TEST(RunCtl({"errors"}, environment).m_out.find('\x1b') !=
             std::string::npos);
  BOOST_TEST(RunCtl({"errors", "--json"}, environment).m_out.find('\x1b') ==
             std::string::npos);
}

}  // namespace bronze

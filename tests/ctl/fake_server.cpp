/**
 * @file fake_server.cpp HTTP server with prepared answers for tests of
 * bronzectl.
 */

#include "fake_server.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "net/address_func.h"
#include "net/error_reply.h"

namespace bronze {

FakeServer::FakeServer() : m_threads(1) {
  m_server = std::make_unique<HttpServer>(
      m_threads, HttpLimits{}, m_counters,
      [this](size_t, HttpCall aCall, std::shared_ptr<HttpResponder> aReply) {
        Handle(std::move(aCall), std::move(aReply));
      });
  const auto bound = m_server->Listen(ParseAddress("127.0.0.1:0").value());
  BOOST_REQUIRE(bound.has_value());
  m_address = AddressText(bound.value());
}

FakeServer::~FakeServer() {
  m_threads.Stop();
  m_unanswered.clear();
}

void FakeServer::Answer(const std::string& aCall, int aStatus,
                        std::string aBody) {
  const std::lock_guard lock(m_mutex);
  m_answers[aCall] = {aStatus, std::move(aBody)};
}

void FakeServer::LeaveUnanswered(const std::string& aCall) {
  Answer(aCall, kUnanswered, "");
}

void FakeServer::CloseConnection(const std::string& aCall) {
  Answer(aCall, kClosed, "");
}

std::vector<std::string> FakeServer::Calls() {
  const std::lock_guard lock(m_mutex);
  std::vector<std::string> calls;
  for (const HttpCall& call : m_calls) {
    calls.push_back(call.m_method + " " + call.m_target);
  }
  return calls;
}

HttpCall FakeServer::LastCall() {
  const std::lock_guard lock(m_mutex);
  BOOST_REQUIRE(!m_calls.empty());
  return m_calls.back();
}

void FakeServer::Handle(HttpCall aCall,
                        std::shared_ptr<HttpResponder> aResponder) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_answers.find(aCall.m_method + " " + aCall.m_target);
  m_calls.push_back(std::move(aCall));
  if (found == m_answers.end()) {
    aResponder->Reply(
        ErrorReply(MakeError(ErrorKind::UnknownRoute, "no such path")));
  } else if (found->second.m_status == kUnanswered) {
    m_unanswered.push_back(std::move(aResponder));
  } else if (found->second.m_status == kClosed) {
    aResponder->Abort();
  } else {
    HttpReply reply;
    reply.m_status = found->second.m_status;
    reply.m_body = found->second.m_body;
    aResponder->Reply(std::move(reply));
  }
}

TestFolder::TestFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "bronzectl-XXXXXX").string();
  BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
  m_path = name;
}

TestFolder::~TestFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(m_path, ignored);
}

void TestFolder::Write(const std::string& aName,
                       const std::string& aText) const {
  std::ofstream(m_path / aName, std::ios::binary) << aText;
}

std::string TestFolder::Read(const std::string& aName) const {
  std::ostringstream text;
  text << std::ifstream(m_path / aName, std::ios::binary).rdbuf();
  return text.str();
}

std::string TestFolder::Path(const std::string& aName) const {
  return (m_path / aName).string();
}

CtlResult RunAgainst(const std::string& aServer,
                     std::vector<std::string> aArguments) {
  CtlEnvironment environment;
  environment.m_server = aServer;
  environment.m_user = "operator";
  return RunCtl(aArguments, environment);
}

}  // namespace bronze

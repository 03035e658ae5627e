/**
 * @file crowd.cpp Raw TCP clients that send what no HTTP library would send.
 */

#include "crowd.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <string_view>

namespace bronze {

namespace {

constexpr int kPollMillis = 20;
/** Parts that one client sends before the next one has its turn. */
constexpr int kPartsInTurn = 64;
/** Keeps the answers that the kernel takes for a client few. */
constexpr int kReceiveBuffer = 4096;

void CloseSocket(int& aSocket) {
  if (aSocket >= 0) ::close(aSocket);
  aSocket = -1;
}

}  // namespace

Crowd::Crowd(const boost::asio::ip::tcp::endpoint& aAddress,
             CrowdScript aScript)
    : m_script(std::move(aScript)) {
  for (size_t i = 0; i < m_script.m_clients; ++i) {
    Client client;
    client.m_socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    BOOST_REQUIRE(client.m_socket >= 0);
    ::setsockopt(client.m_socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
                 sizeof(kReceiveBuffer));
    const int result = ::connect(client.m_socket, aAddress.data(),
                                 static_cast<socklen_t>(aAddress.size()));
    if (result != 0 && errno != EINPROGRESS) CloseSocket(client.m_socket);
    m_clients.push_back(client);
  }
}

Crowd::~Crowd() {
  for (Client& client : m_clients) CloseSocket(client.m_socket);
}

bool Crowd::HasSentAll(const Client& aClient) const {
  const size_t repeated = m_script.m_repeated.empty() ? 0 : m_script.m_maxBytes;
  return aClient.m_sent >= m_script.m_first.size() + repeated;
}

bool Crowd::SendSome() {
  std::vector<pollfd> waits;
  std::vector<Client*> senders;
  for (Client& client : m_clients) {
    if (client.m_socket < 0 || HasSentAll(client)) continue;
    waits.push_back({client.m_socket, POLLOUT, 0});
    senders.push_back(&client);
  }
  if (waits.empty()) return true;
  ::poll(waits.data(), waits.size(), kPollMillis);
  for (size_t i = 0; i < waits.size(); ++i) {
    for (int part = 0; part < kPartsInTurn && waits[i].revents != 0; ++part) {
      if (!Send(*senders[i])) break;
    }
  }
  return false;
}

bool Crowd::Send(Client& aClient) {
  if (HasSentAll(aClient)) return false;
  const size_t first = m_script.m_first.size();
  std::string_view next;
  if (aClient.m_sent < first) {
    next = std::string_view(m_script.m_first).substr(aClient.m_sent);
  } else {
    next = std::string_view(m_script.m_repeated)
               .substr((aClient.m_sent - first) % m_script.m_repeated.size());
    next = next.substr(0, first + m_script.m_maxBytes - aClient.m_sent);
  }
  const ssize_t count =
      ::send(aClient.m_socket, next.data(), next.size(), MSG_NOSIGNAL);
  if (count >= 0) {
    aClient.m_sent += static_cast<size_t>(count);
  } else if (errno != EAGAIN && errno != ENOTCONN) {
    CloseSocket(aClient.m_socket);
  }
  return count >= 0;
}

size_t Crowd::CountOpen() {
  size_t open = 0;
  for (Client& client : m_clients) {
    if (client.m_socket < 0) continue;
    pollfd wait{client.m_socket, POLLRDHUP, 0};
    ::poll(&wait, 1, 0);
    if (wait.revents != 0) {
      CloseSocket(client.m_socket);
    } else {
      ++open;
    }
  }
  return open;
}

}  // namespace bronze

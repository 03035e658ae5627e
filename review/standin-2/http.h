/**
 * @file http.h Minimal HTTP/1.1 over loopback: a server with one thread per
 * connection and a client call with a timeout.
 */

#ifndef REVIEW_STANDIN_HTTP_H_
#define REVIEW_STANDIN_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace review {

inline int64_t SteadyMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMillis(int64_t aMillis) {
  if (aMillis > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
  }
}

struct Request {
  std::string m_method;
  std::string m_path;  ///< Without the query.
  std::map<std::string, std::string> m_query;
  std::map<std::string, std::string> m_headers;  ///< Names in lower case.
  std::string m_body;
};

struct Reply {
  int m_status = 0;  ///< 0: close the connection without a reply.
  std::string m_body;
};

using Handler = std::function<Reply(const Request&)>;

namespace detail {

inline std::string Lower(std::string aText) {
  for (char& byte : aText) {
    byte = static_cast<char>(std::tolower(static_cast<unsigned char>(byte)));
  }
  return aText;
}

inline std::string PercentDecode(const std::string& aText) {
  std::string out;
  for (size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      out += static_cast<char>(
          std::strtol(aText.substr(at + 1, 2).c_str(), nullptr, 16));
      at += 2;
    } else {
      out += aText[at];
    }
  }
  return out;
}

/** Reads one message. @return whether a whole one was read. */
inline bool ReadMessage(int aSocket, std::string& aBuffer, std::string& aFirst,
                        std::map<std::string, std::string>& aHeaders,
                        std::string& aBody) {
  char chunk[65536];
  size_t head = std::string::npos;
  while ((head = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t got = recv(aSocket, chunk, sizeof chunk, 0);
    if (got <= 0) return false;
    aBuffer.append(chunk, static_cast<size_t>(got));
  }
  const std::string text = aBuffer.substr(0, head + 2);
  aBuffer.erase(0, head + 4);
  size_t at = text.find("\r\n");
  aFirst = text.substr(0, at);
  at += 2;
  while (at < text.size()) {
    const size_t end = text.find("\r\n", at);
    const std::string line = text.substr(at, end - at);
    at = end + 2;
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    aHeaders[Lower(line.substr(0, colon))] = line.substr(value);
  }
  const size_t length =
      std::strtoul(aHeaders["content-length"].c_str(), nullptr, 10);
  while (aBuffer.size() < length) {
    const ssize_t got = recv(aSocket, chunk, sizeof chunk, 0);
    if (got <= 0) return false;
    aBuffer.append(chunk, static_cast<size_t>(got));
  }
  aBody = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  return true;
}

inline bool WriteAll(int aSocket, const std::string& aText) {
  size_t at = 0;
  while (at < aText.size()) {
    const ssize_t sent =
        send(aSocket, aText.data() + at, aText.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    at += static_cast<size_t>(sent);
  }
  return true;
}

inline void ServeConnection(int aSocket, const Handler& aHandler) {
  const int yes = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  std::string buffer;
  for (;;) {
    Request request;
    std::string first;
    if (!ReadMessage(aSocket, buffer, first, request.m_headers,
                     request.m_body)) {
      break;
    }
    const size_t space = first.find(' ');
    const std::string target =
        first.substr(space + 1, first.find(' ', space + 1) - space - 1);
    request.m_method = first.substr(0, space);
    request.m_path = target.substr(0, target.find('?'));
    if (target.find('?') != std::string::npos) {
      std::string rest = target.substr(target.find('?') + 1) + "&";
      for (size_t end = 0; (end = rest.find('&')) != std::string::npos;
           rest.erase(0, end + 1)) {
        const std::string pair = rest.substr(0, end);
        const size_t equal = pair.find('=');
        if (equal == std::string::npos) continue;
        request.m_query[pair.substr(0, equal)] =
            PercentDecode(pair.substr(equal + 1));
      }
    }
    const Reply reply = aHandler(request);
    if (reply.m_status == 0) break;
    const bool closes = Lower(request.m_headers["connection"]) == "close";
    const std::string text =
        "HTTP/1.1 " + std::to_string(reply.m_status) +
        " Status\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(reply.m_body.size()) +
        (closes ? "\r\nConnection: close" : "") + "\r\n\r\n" + reply.m_body;
    if (!WriteAll(aSocket, text) || closes) break;
  }
  close(aSocket);
}

inline sockaddr_in AddressOf(const std::string& aIp, int aPort) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

}  // namespace detail

/** Serves until the process ends. @return the port. */
inline int Serve(const std::string& aIp, Handler aHandler) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = detail::AddressOf(aIp, 0);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(listener, 512) != 0) {
    throw std::runtime_error("cannot listen on " + aIp);
  }
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  std::thread([listener, handler = std::move(aHandler)] {
    for (;;) {
      const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        SleepMillis(5);
        continue;
      }
      std::thread([accepted, handler] {
        detail::ServeConnection(accepted, handler);
      }).detach();
    }
  }).detach();
  return ntohs(address.sin_port);
}

/** @return whether the port is free on the address. */
inline bool IsFree(const std::string& aIp, int aPort) {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in address = detail::AddressOf(aIp, aPort);
  const bool free =
      bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  close(probe);
  return free;
}

/** Makes one call on a new connection. @return status 0 if there was no whole
 *  reply within the time. */
inline Reply Call(const std::string& aIp, int aPort, const std::string& aMethod,
                  const std::string& aTarget, const std::string& aHeaders,
                  const std::string& aBody, int64_t aTimeoutMs) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{aTimeoutMs / 1000, aTimeoutMs % 1000 * 1000};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const int yes = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  const sockaddr_in address = detail::AddressOf(aIp, aPort);
  Reply reply;
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0 &&
      detail::WriteAll(connection,
                       aMethod + " " + aTarget + " HTTP/1.1\r\n" + aHeaders +
                           "Connection: close\r\nContent-Length: " +
                           std::to_string(aBody.size()) + "\r\n\r\n" + aBody)) {
    std::string buffer;
    std::string first;
    std::map<std::string, std::string> headers;
    if (detail::ReadMessage(connection, buffer, first, headers, reply.m_body) &&
        first.size() > 12) {
      reply.m_status = std::atoi(first.c_str() + 9);
    }
  }
  close(connection);
  return reply;
}

}  // namespace review

#endif  // REVIEW_STANDIN_HTTP_H_

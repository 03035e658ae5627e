/**
 * @file fixed_reply_server.h A server for tests of clients that sends the same
 * reply to each call.
 */

#ifndef BRONZE_TESTS_NET_FIXED_REPLY_SERVER_H_
#define BRONZE_TESTS_NET_FIXED_REPLY_SERVER_H_

#include <mutex>
#include <utility>

#include "net/http_server.h"

namespace bronze {

class FixedReplyServer {
 public:
  explicit FixedReplyServer(Counters& aCounters)
      : m_server(m_threads, {}, aCounters,
                 [this](size_t, const HttpCall&, auto aResponder) {
                   const std::lock_guard lock(m_mutex);
                   aResponder->Reply(m_reply);
                 }),
        m_address(m_server.Listen({boost::asio::ip::address_v4::loopback(), 0})
                      .value()) {}
  ~FixedReplyServer() { m_threads.Stop(); }
  FixedReplyServer(const FixedReplyServer&) = delete;
  FixedReplyServer& operator=(const FixedReplyServer&) = delete;

  void SetReply(HttpReply aReply) {
    const std::lock_guard lock(m_mutex);
    m_reply = std::move(aReply);
  }

  [[nodiscard]] const boost::asio::ip::tcp::endpoint& Address() const {
    return m_address;
  }

 private:
  std::mutex m_mutex;
  HttpReply m_reply;
  ThreadPool m_threads{1};
  HttpServer m_server;
  boost::asio::ip::tcp::endpoint m_address;
};

}  // namespace bronze

#endif  // BRONZE_TESTS_NET_FIXED_REPLY_SERVER_H_

/**
 * @file crowd.h Raw TCP clients that send what no HTTP library would send.
 */

#ifndef BRONZE_TESTS_OVERLOAD_CROWD_H_
#define BRONZE_TESTS_OVERLOAD_CROWD_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <vector>

namespace bronze {

/** What each client of a crowd sends. */
struct CrowdScript {
  size_t m_clients = 0;
  std::string m_first;     ///< Sent once.
  std::string m_repeated;  ///< Then sent again and again; empty: nothing is.
  size_t m_maxBytes = 0;   ///< Bytes of m_repeated that one client sends.
};

/** Clients that read nothing. Their connections stay open until the server
 *  closes them, or the crowd is destroyed. */
class Crowd {
 public:
  Crowd(const boost::asio::ip::tcp::endpoint& aAddress, CrowdScript aScript);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /** Sends as much as the server takes now. Waits a moment if that is nothing.
   *  @return whether each client has sent all, or its connection is closed. */
  bool SendSome();
  /** @return the number of clients whose connection the server has not closed.
   */
  [[nodiscard]] size_t CountOpen();

 private:
  struct Client {
    int m_socket = -1;  ///< -1: closed.
    size_t m_sent = 0;  ///< Bytes, of m_first and then of m_repeated.
  };

  /** @return false if the kernel takes no more now. */
  bool Send(Client& aClient);
  [[nodiscard]] bool HasSentAll(const Client& aClient) const;

  CrowdScript m_script;
  std::vector<Client> m_clients;
};

}  // namespace bronze

#endif  // BRONZE_TESTS_OVERLOAD_CROWD_H_

/**
 * @file vm_list_client.h Reads the platform's VM list.
 */

#ifndef BRONZE_TABLESERVICE_VM_LIST_CLIENT_H_
#define BRONZE_TABLESERVICE_VM_LIST_CLIENT_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <vector>

#include "core/error/error_type.h"
#include "core/message/platform_type.h"
#include "net/http_client.h"

namespace bronze {

using VmListHandler = std::function<void(Result<std::vector<VmInfo>> aVms)>;

class VmListClient {
 public:
  VmListClient(HttpClient& aClient,
               const boost::asio::ip::tcp::endpoint& aPlatform)
      : m_client(aClient), m_platform(aPlatform) {}

  /** The handler runs on the event loop of the HTTP client. */
  void Fetch(Duration aTimeout, VmListHandler aHandler);

 private:
  HttpClient& m_client;
  boost::asio::ip::tcp::endpoint m_platform;
};

}  // namespace bronze

#endif  // BRONZE_TABLESERVICE_VM_LIST_CLIENT_H_

/**
 * @file http_type.h HTTP calls and replies, independent of the HTTP library.
 */

#ifndef BRONZE_NET_HTTP_TYPE_H_
#define BRONZE_NET_HTTP_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/base/time_type.h"

namespace bronze {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Number of a call; the server copies it into its reply. */
inline constexpr char kCallNumberHeader[] = "Bronze-Call";

struct HttpCall {
  std::string m_method;
  std::string m_target;  ///< Path and query.
  HttpHeaders m_headers;
  std::string m_body;
  std::string m_remote;  ///< IP of the client; empty for outgoing calls.

  /**
   * @return the value of the header, whose name is compared without regard to
   *         case; empty if there is none.
   */
  [[nodiscard]] std::string Header(std::string_view aName) const;
};

struct HttpReply {
  int m_status = 200;
  std::string m_contentType = "application/json";
  HttpHeaders m_headers;
  std::string m_body;
  /**
   * Number of bytes of the body after which the connection is closed, so that
   * the receiver gets a truncated reply. Injects a fault in tests.
   */
  std::optional<size_t> m_truncateAfter;

  [[nodiscard]] std::string Header(std::string_view aName) const;
};

/** Limits on what a client may send. */
struct HttpLimits {
  size_t m_headerBytes = size_t{16} * 1024;
  size_t m_bodyBytes = size_t{1} << 20;
  size_t m_headerFields = 256;
  size_t m_connections = 4096;            ///< Open at the same time.
  Duration m_readTimeout = seconds(10);   ///< To read one call.
  Duration m_idleTimeout = seconds(120);  ///< Between two calls.
};

}  // namespace bronze

#endif  // BRONZE_NET_HTTP_TYPE_H_

/**
 * @file address_func.h Converts IP:PORT addresses between text and endpoints.
 */

#ifndef BRONZE_NET_ADDRESS_FUNC_H_
#define BRONZE_NET_ADDRESS_FUNC_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "core/error/error_type.h"

namespace bronze {

/** Parses "IP:PORT"; host names are rejected, as there is no DNS lookup. */
[[nodiscard]] Result<boost::asio::ip::tcp::endpoint> ParseAddress(
    std::string_view aText);

[[nodiscard]] std::string AddressText(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

}  // namespace bronze

#endif  // BRONZE_NET_ADDRESS_FUNC_H_

/**
 * @file address_func.cpp Converts IP:PORT addresses between text and endpoints.
 */

#include "net/address_func.h"

#include <fmt/format.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace bronze {

Result<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view aText) {
  const auto colon = aText.rfind(':');
  const auto bad = [aText] {
    return MakeError(ErrorKind::BadRequest,
                     fmt::format("\"{}\" is not an IP:PORT address", aText));
  };
  if (colon == std::string_view::npos) return bad();
  const std::string_view portText = aText.substr(colon + 1);
  uint16_t port = 0;
  const auto parsed =
      std::from_chars(portText.data(), portText.data() + portText.size(), port);
  if (parsed.ec != std::errc() ||
      parsed.ptr != portText.data() + portText.size()) {
    return bad();
  }
  std::string_view host = aText.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error) return bad();
  return boost::asio::ip::tcp::endpoint(address, port);
}

std::string AddressText(const boost::asio::ip::tcp::endpoint& aEndpoint) {
  const auto address = aEndpoint.address();
  return address.is_v6()
             ? fmt::format("[{}]:{}", address.to_string(), aEndpoint.port())
             : fmt::format("{}:{}", address.to_string(), aEndpoint.port());
}

}  // namespace bronze

/**
 * @file http_type.cpp Headers of calls and replies.
 */

#include "net/http_type.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace bronze {

namespace beast = boost::beast;

namespace {

bool EqualsNoCase(std::string_view aLeft, std::string_view aRight) {
  return beast::iequals({aLeft.data(), aLeft.size()},
                        {aRight.data(), aRight.size()});
}

std::string FindHeader(const HttpHeaders& aHeaders, std::string_view aName) {
  const auto found = std::find_if(aHeaders.begin(), aHeaders.end(),
                                  [aName](const auto& aHeader) {
                                    return EqualsNoCase(aHeader.first, aName);
                                  });
  return found == aHeaders.end() ? std::string() : found->second;
}

}  // namespace

std::string HttpCall::Header(std::string_view aName) const {
  return FindHeader(m_headers, aName);
}

std::string HttpReply::Header(std::string_view aName) const {
  return FindHeader(m_headers, aName);
}

}  // namespace bronze

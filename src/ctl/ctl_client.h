/**
 * @file ctl_client.h HTTP calls to the operators' interface.
 */

#ifndef BRONZE_CTL_CTL_CLIENT_H_
#define BRONZE_CTL_CTL_CLIENT_H_

#include <nlohmann/json.hpp>

#include "core/base/time_type.h"
#include "ctl/ctl_type.h"

namespace bronze {

/** Timeout of a call; the slowest one, a push, is answered within 1 s. */
inline constexpr Duration kCtlTimeout = seconds(10);

/** An answer of the server, which may be an error. */
struct CtlAnswer {
  int m_status = 0;
  nlohmann::json m_body;
};

/**
 * Makes one call and waits for its answer. An answer that is not a JSON object
 * is an error. So is a call without an answer; the error is OutcomeUnknown if
 * the server may have made the change.
 */
[[nodiscard]] Result<CtlAnswer> CallServer(const CtlOptions& aOptions,
                                           const std::string& aMethod,
                                           const std::string& aTarget,
                                           const nlohmann::json& aBody = {},
                                           Duration aTimeout = kCtlTimeout);

/** As CallServer(), but also returns an error if the answer is one. */
[[nodiscard]] Result<nlohmann::json> FetchFromServer(
    const CtlOptions& aOptions, const std::string& aMethod,
    const std::string& aTarget, const nlohmann::json& aBody = {});

/** @return the error in an answer with an HTTP status of 400 or above. */
[[nodiscard]] Error ErrorInAnswer(const CtlAnswer& aAnswer);

/** @return aText, percent-encoded for use in a path or a query. */
[[nodiscard]] std::string UrlEncode(const std::string& aText);

}  // namespace bronze

#endif  // BRONZE_CTL_CTL_CLIENT_H_

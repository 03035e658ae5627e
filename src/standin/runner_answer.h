/**
 * @file runner_answer.h The body of a simulated runner's answer.
 *
 * {"request", "runner", "kind", "digest", "body" or "body_hex"}: the digest and
 * the copy of the request's body let a caller check that the answer is complete
 * and belongs to its request.
 */

#ifndef BRONZE_STANDIN_RUNNER_ANSWER_H_
#define BRONZE_STANDIN_RUNNER_ANSWER_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/base/id_type.h"

namespace bronze {

struct RunnerAnswer {
  std::string m_request;  ///< Header Bronze-Request-Id of the request.
  RunnerId m_runner;
  KindId m_kind;
  std::string m_digest;  ///< Of the request's body, in hexadecimal digits.
  std::string m_body;    ///< The request's body.
};

/** @return the XXH3 hash as 16 hexadecimal digits. */
[[nodiscard]] std::string DigestOf(std::string_view aBody);

/** Encodes a body that is not valid UTF-8 as "body_hex". */
[[nodiscard]] std::string EncodeRunnerAnswer(const RunnerAnswer& aAnswer);

/** @return nothing if the text is not a complete answer. */
[[nodiscard]] std::optional<RunnerAnswer> DecodeRunnerAnswer(
    std::string_view aText);

/** @return the string member "marker" of a JSON body; empty if it has none. */
[[nodiscard]] std::string MarkerOf(std::string_view aBody);

}  // namespace bronze

#endif  // BRONZE_STANDIN_RUNNER_ANSWER_H_

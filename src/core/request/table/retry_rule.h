/**
 * @file retry_rule.h Retry rule for each way in which an attempt can end.
 */

#ifndef BRONZE_CORE_REQUEST_TABLE_RETRY_RULE_H_
#define BRONZE_CORE_REQUEST_TABLE_RETRY_RULE_H_

#include <array>

#include "core/request/retry_func.h"

namespace bronze {

// Rows are in the order of AttemptEnd, which is the index.
// clang-format off
inline constexpr std::array<RetryRow, 6> kRetryRows = {{
    {AttemptEnd::Answered, RetryRule::Deliver, RetryRule::Deliver,
     CounterId::RequestsAnswered},
    {AttemptEnd::ConnectFailed, RetryRule::RetryElseNotRun,
     RetryRule::RetryElseNotRun, CounterId::RetryConnectFailed},
    {AttemptEnd::SendFailed, RetryRule::RetryElseUnknown, RetryRule::Unknown,
     CounterId::RetrySendFailed},
    {AttemptEnd::AnswerLost, RetryRule::RetryElseUnknown, RetryRule::Unknown,
     CounterId::RetryAnswerLost},
    {AttemptEnd::RunnerBusy, RetryRule::RetryElseNotRun,
     RetryRule::RetryElseNotRun, CounterId::RetryRunnerBusy},
    {AttemptEnd::DeadlineReached, RetryRule::Unknown, RetryRule::Unknown,
     CounterId::NoRetryWindow},
}};
// clang-format on

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_TABLE_RETRY_RULE_H_

/**
 * @file error_type.h The closed list of error kinds and the result type.
 *
 * table/error_answer.h has one row per kind, with the answer that a caller or
 * an operator gets.
 */

#ifndef BRONZE_CORE_ERROR_ERROR_TYPE_H_
#define BRONZE_CORE_ERROR_ERROR_TYPE_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <cstdint>
#include <string>
#include <utility>

namespace bronze {

enum class ErrorKind : uint8_t {
  // Input.
  BadRequest,
  UnknownRoute,
  MethodNotAllowed,
  HeaderTooLarge,
  BodyTooLarge,
  SlowSender,
  TooManyConnections,
  Overloaded,
  Unauthorized,
  // Requests.
  UnknownKind,
  BadWindow,
  MissingIdempotencyKey,
  QueueFull,
  CallerOverShare,
  DeadlineUnreachable,
  DeadlineShed,
  NoBackend,
  RetryBudgetExhausted,
  BackendBroken,
  OutcomeUnknown,
  DuplicateInProgress,
  AlreadyRun,
  CallerGone,
  // State of the daemon.
  Draining,
  NotReady,
  NotOwner,
  // Batch.
  BadJob,
  UnknownJob,
  ImpossibleJob,
  QuotaExceeded,
  JobAlreadyEnded,
  WorkerRefused,
  StaleToken,
  UnknownWorker,
  NoCapacity,
  // Configuration.
  ConfigInvalid,
  ConfigConflict,
  UnknownConfigVersion,
  // Platform and peers.
  StoreUnavailable,
  StoreConflict,
  Timeout,
  ConnectionFailed,
  PeerMalformed,
  PeerUnknown,
  // Files and command line.
  FileUnreadable,
  Usage,
  Internal,
};

/** Number of error kinds; Internal is the last. */
inline constexpr size_t kErrorKindCount =
    static_cast<size_t>(ErrorKind::Internal) + 1;

/** Whether the work of a failed request has run, as far as it is known. */
enum class RunState : uint8_t {
  NotRun,   ///< It has not run, so repeating it is safe.
  Unknown,  ///< It may have run.
  Run,      ///< It has run.
};

/** An error with a message for people to read. */
struct Error {
  ErrorKind m_kind = ErrorKind::Internal;
  std::string m_message;  ///< A sentence without the final full stop.
};

/** A value or an Error. Reading the one that is not there terminates the
 * process. */
template <class T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

[[nodiscard]] inline Error MakeError(ErrorKind aKind, std::string aMessage) {
  return Error{aKind, std::move(aMessage)};
}

}  // namespace bronze

#endif  // BRONZE_CORE_ERROR_ERROR_TYPE_H_

/**
 * @file error_answer.h Table of the answers to each kind of error.
 *
 * Exit codes: 1 internal error, 2 invalid input, 3 not authorized, 4 temporary
 * failure, 5 conflict or unknown outcome, 6 not found or already ended.
 */

#ifndef BRONZE_CORE_ERROR_TABLE_ERROR_ANSWER_H_
#define BRONZE_CORE_ERROR_TABLE_ERROR_ANSWER_H_

#include <array>

#include "core/error/error_func.h"

namespace bronze {

// clang-format off
inline constexpr std::array<ErrorAnswer, kErrorKindCount> kErrorAnswers = {{
    {ErrorKind::BadRequest, "bad_request", 400, 2, RunState::NotRun, false},
    {ErrorKind::UnknownRoute, "unknown_route", 404, 2, RunState::NotRun, false},
    {ErrorKind::MethodNotAllowed, "method_not_allowed", 405, 2, RunState::NotRun, false},
    {ErrorKind::HeaderTooLarge, "header_too_large", 431, 2, RunState::NotRun, false},
    {ErrorKind::BodyTooLarge, "body_too_large", 413, 2, RunState::NotRun, false},
    {ErrorKind::SlowSender, "slow_sender", 408, 4, RunState::NotRun, true},
    {ErrorKind::TooManyConnections, "too_many_connections", 503, 4, RunState::NotRun, true},
    {ErrorKind::Overloaded, "overloaded", 503, 4, RunState::NotRun, true},
    {ErrorKind::Unauthorized, "unauthorized", 401, 3, RunState::NotRun, false},
    {ErrorKind::UnknownKind, "unknown_kind", 404, 2, RunState::NotRun, false},
    {ErrorKind::BadWindow, "bad_window", 400, 2, RunState::NotRun, false},
    {ErrorKind::MissingIdempotencyKey, "missing_idempotency_key", 400, 2, RunState::NotRun, false},
    {ErrorKind::QueueFull, "queue_full", 503, 4, RunState::NotRun, true},
    {ErrorKind::CallerOverShare, "caller_over_share", 429, 4, RunState::NotRun, true},
    {ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, 4, RunState::NotRun, true},
    {ErrorKind::DeadlineShed, "deadline_shed", 504, 4, RunState::NotRun, true},
    {ErrorKind::NoBackend, "no_backend", 503, 4, RunState::NotRun, true},
    {ErrorKind::RetryBudgetExhausted, "retry_budget_exhausted", 503, 4, RunState::NotRun, true},
    {ErrorKind::BackendBroken, "backend_broken", 502, 4, RunState::Unknown, true},
    {ErrorKind::OutcomeUnknown, "outcome_unknown", 504, 5, RunState::Unknown, false},
    {ErrorKind::DuplicateInProgress, "duplicate_in_progress", 409, 5, RunState::Unknown, true},
    {ErrorKind::AlreadyRun, "already_run", 409, 5, RunState::Run, false},
    {ErrorKind::CallerGone, "caller_gone", 499, 4, RunState::Unknown, false},
    {ErrorKind::Draining, "draining", 503, 4, RunState::NotRun, true},
    {ErrorKind::NotReady, "not_ready", 503, 4, RunState::NotRun, true},
    {ErrorKind::NotOwner, "not_owner", 503, 4, RunState::NotRun, true},
    {ErrorKind::BadJob, "bad_job", 400, 2, RunState::NotRun, false},
    {ErrorKind::UnknownJob, "unknown_job", 404, 6, RunState::NotRun, false},
    {ErrorKind::ImpossibleJob, "impossible_job", 422, 2, RunState::NotRun, false},
    {ErrorKind::QuotaExceeded, "quota_exceeded", 429, 4, RunState::NotRun, true},
    {ErrorKind::JobAlreadyEnded, "job_already_ended", 409, 6, RunState::NotRun, false},
    {ErrorKind::WorkerRefused, "worker_refused", 502, 4, RunState::NotRun, true},
    {ErrorKind::StaleToken, "stale_token", 409, 5, RunState::NotRun, false},
    {ErrorKind::UnknownWorker, "unknown_worker", 404, 6, RunState::NotRun, false},
    {ErrorKind::NoCapacity, "no_capacity", 503, 4, RunState::NotRun, true},
    {ErrorKind::ConfigInvalid, "config_invalid", 422, 2, RunState::NotRun, false},
    {ErrorKind::ConfigConflict, "config_conflict", 409, 5, RunState::NotRun, false},
    {ErrorKind::UnknownConfigVersion, "unknown_config_version", 404, 6, RunState::NotRun, false},
    {ErrorKind::StoreUnavailable, "store_unavailable", 503, 4, RunState::NotRun, true},
    {ErrorKind::StoreConflict, "store_conflict", 409, 5, RunState::NotRun, true},
    {ErrorKind::Timeout, "timeout", 504, 4, RunState::Unknown, true},
    {ErrorKind::ConnectionFailed, "connection_failed", 502, 4, RunState::NotRun, true},
    {ErrorKind::PeerMalformed, "peer_malformed", 400, 1, RunState::NotRun, false},
    {ErrorKind::PeerUnknown, "peer_unknown", 403, 1, RunState::NotRun, false},
    {ErrorKind::FileUnreadable, "file_unreadable", 500, 2, RunState::NotRun, false},
    {ErrorKind::Usage, "usage", 400, 2, RunState::NotRun, false},
    {ErrorKind::Internal, "internal", 500, 1, RunState::Unknown, false},
}};
// clang-format on

}  // namespace bronze

#endif  // BRONZE_CORE_ERROR_TABLE_ERROR_ANSWER_H_

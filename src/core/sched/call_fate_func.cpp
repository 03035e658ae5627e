/**
 * @file call_fate_func.cpp What is known of a change after its copies were
 * sent.
 */

#include "core/sched/call_fate_func.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/error/error_func.h"

namespace bronze::sched {

namespace {

/** Whether the state proves that the copy changed nothing and never will. */
bool ProvesNothingDone(CopyState aState) {
  return aState == CopyState::NotSent || aState == CopyState::Declined;
}

/** Whether the error is true whatever the copies have done: an owner that does
 *  not know the job has read all rows of its cell since they were sent. */
bool SettlesAll(const Error& aError) {
  return aError.m_kind == ErrorKind::UnknownJob;
}

std::string_view NameOf(CopyState aState) {
  switch (aState) {
    case CopyState::Open:
      return "open";
    case CopyState::NotSent:
      return "not_sent";
    case CopyState::Declined:
      return "declined";
    case CopyState::Lost:
      return "lost";
    case CopyState::Done:
      return "done";
  }
  return "lost";
}

}  // namespace

CopyNumber BeginCopy(CallFate& aFate) {
  aFate.m_copies.push_back(CopyState::Open);
  return CopyNumber(static_cast<uint32_t>(aFate.m_copies.size() - 1));
}

void EndCopy(CallFate& aFate, CopyNumber aCopy, CopyState aState) {
  CopyState& state = aFate.m_copies[aCopy.Value()];
  if (state == CopyState::Open) state = aState;
}

CopyState StateOfAnswered(const std::optional<Error>& aError) {
  if (!aError) return CopyState::Done;
  return AnswerFor(aError->m_kind).m_runState == RunState::NotRun
             ? CopyState::Declined
             : CopyState::Lost;
}

bool MayBeDone(const CallFate& aFate) {
  return aFate.m_changesJob &&
         !std::all_of(aFate.m_copies.begin(), aFate.m_copies.end(),
                      ProvesNothingDone);
}

bool IsSettled(const CallFate& aFate, const Error& aError) {
  const auto& copies = aFate.m_copies;
  const bool anyOpen =
      std::find(copies.begin(), copies.end(), CopyState::Open) != copies.end();
  return !aFate.m_changesJob || !anyOpen || SettlesAll(aError);
}

Error FinalError(const CallFate& aFate, Error aLast) {
  if (!MayBeDone(aFate) || SettlesAll(aLast)) return aLast;
  return MakeError(
      ErrorKind::OutcomeUnknown,
      "a copy of the call may have been carried out; the last answer: " +
          aLast.m_message);
}

std::string CopiesText(const CallFate& aFate) {
  std::string text;
  auto at = aFate.m_copies.begin();
  while (at != aFate.m_copies.end()) {
    const auto end =
        std::find_if(at, aFate.m_copies.end(),
                     [at](CopyState aState) { return aState != *at; });
    if (!text.empty()) text += ',';
    text += NameOf(*at);
    if (end - at > 1) text += fmt::format("*{}", end - at);
    at = end;
  }
  return text.empty() ? "none" : text;
}

}  // namespace bronze::sched

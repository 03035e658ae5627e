/**
 * @file error_func.cpp Lookup of the answer to each kind of error.
 */

#include "core/error/error_func.h"

#include <algorithm>

#include "core/error/table/error_answer.h"

namespace bronze {

namespace {

consteval bool IsTableInOrder() {
  for (size_t i = 0; i < kErrorAnswers.size(); ++i) {
    if (static_cast<size_t>(kErrorAnswers[i].m_kind) != i) return false;
  }
  return true;
}
static_assert(IsTableInOrder(), "one row per error kind, in the enum's order");

}  // namespace

const ErrorAnswer& AnswerFor(ErrorKind aKind) {
  return kErrorAnswers[static_cast<size_t>(aKind)];
}

ErrorKind ErrorKindFromName(std::string_view aName) {
  const auto* row =
      std::find_if(kErrorAnswers.begin(), kErrorAnswers.end(),
                   [aName](const auto& aRow) { return aRow.m_name == aName; });
  return row == kErrorAnswers.end() ? ErrorKind::Internal : row->m_kind;
}

std::string_view RunStateName(RunState aState) {
  switch (aState) {
    case RunState::NotRun:
      return "not_run";
    case RunState::Unknown:
      return "unknown";
    case RunState::Run:
      return "run";
  }
  return "unknown";
}

}  // namespace bronze

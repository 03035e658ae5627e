/**
 * @file platform_front.cpp HTTP front end of table, object store and VM list.
 */

#include "standin/platform_front.h"

#include <algorithm>
#include <charconv>

#include "codec/table_json.h"
#include "codec/vm_list_json.h"
#include "net/error_reply.h"
#include "standin/clock.h"
#include "standin/fault_func.h"
#include "standin/invariant_func.h"

namespace bronze {

namespace {

constexpr std::string_view kObjectPrefix = "/objects/";
constexpr size_t kDefaultScanLimit = 100;
constexpr size_t kMaxScanLimit = 1000;
constexpr int kStatusConflict = 409;
constexpr int kStatusNotFound = 404;

void ReplyDown(const ResponderPtr& aResponder) {
  aResponder->Reply(
      ErrorReply(MakeError(ErrorKind::StoreUnavailable,
                           "unavailable because of an injected fault")));
}

/**
 * @return the id of the calling entry VM, for faults of one VM; empty if the
 *         call does not name it in the header Bronze-Vm or by committing the
 *         row lease/<vm>.
 */
std::string CallerVm(const HttpCall& aCall) {
  std::string vm = aCall.Header("Bronze-Vm");
  if (!vm.empty() || aCall.m_target != "/table/commit") return vm;
  const auto transaction = DecodeTransaction(aCall.m_body);
  if (!transaction) return {};
  constexpr std::string_view kLease = "lease/";
  for (const TableWrite& write : transaction.value().m_writes) {
    if (write.m_key.starts_with(kLease)) {
      return write.m_key.substr(kLease.size());
    }
  }
  return {};
}

size_t ScanLimit(const CallTarget& aTarget) {
  const auto found = aTarget.m_query.find("limit");
  if (found == aTarget.m_query.end()) return kDefaultScanLimit;
  size_t limit = kDefaultScanLimit;
  const std::string& text = found->second;
  std::from_chars(text.data(), text.data() + text.size(), limit);
  return std::clamp(limit, size_t{1}, kMaxScanLimit);
}

std::string QueryOf(const CallTarget& aTarget, const char* aName) {
  const auto found = aTarget.m_query.find(aName);
  return found == aTarget.m_query.end() ? std::string() : found->second;
}

}  // namespace

void PlatformFront::Handle(HttpCall aCall, ResponderPtr aResponder) {
  const auto target = ParseTarget(aCall.m_target);
  if (!target) {
    aResponder->Reply(ErrorReply(target.error()));
    return;
  }
  const std::string& path = target.value().m_path;
  if (path == "/vms") {
    if (CheckMethod(aCall, "GET", aResponder)) OnVmList(aResponder);
  } else if (path.starts_with(kObjectPrefix)) {
    OnObject(path.substr(kObjectPrefix.size()), aCall, aResponder);
  } else if (path.starts_with("/table/")) {
    const std::string vm = CallerVm(aCall);
    const FaultState& faults = m_context.m_state.m_faults;
    if (IsFaulty(faults, FaultKind::TableDown, vm)) {
      ReplyDown(aResponder);
      return;
    }
    const Fault* const slow = FindFault(faults, FaultKind::TableSlow, vm);
    // The call also takes effect after the delay, as in an overloaded service.
    RunAfter(m_context.m_control,
             slow != nullptr ? slow->m_delay : Duration::zero(),
             [this, target = target.value(), call = std::move(aCall),
              aResponder] { OnTable(target, call, aResponder); });
  } else {
    ReplyUnknownRoute(aResponder);
  }
}

void PlatformFront::OnTable(const CallTarget& aTarget, const HttpCall& aCall,
                            const ResponderPtr& aResponder) {
  StandinState& state = m_context.m_state;
  if (aTarget.m_path == "/table/commit") {
    if (CheckMethod(aCall, "POST", aResponder)) OnCommit(aCall, aResponder);
  } else if (aTarget.m_path == "/table/row") {
    if (!CheckMethod(aCall, "GET", aResponder)) return;
    CountEvent(state.m_invariants.m_tableReads, ReadClock());
    aResponder->Reply(
        JsonReply(EncodeRow(ReadRow(state.m_table, QueryOf(aTarget, "key")))));
  } else if (aTarget.m_path == "/table/scan") {
    if (!CheckMethod(aCall, "GET", aResponder)) return;
    CountEvent(state.m_invariants.m_tableReads, ReadClock());
    TablePage page = ScanRows(state.m_table, QueryOf(aTarget, "prefix"),
                              QueryOf(aTarget, "after"), ScanLimit(aTarget));
    aResponder->Reply(
        JsonReply(EncodeScan({std::move(page.m_rows), page.m_more})));
  } else {
    ReplyUnknownRoute(aResponder);
  }
}

void PlatformFront::OnCommit(const HttpCall& aCall,
                             const ResponderPtr& aResponder) {
  StandinState& state = m_context.m_state;
  const auto transaction = DecodeTransaction(aCall.m_body);
  if (!transaction) {
    aResponder->Reply(ErrorReply(transaction.error()));
    return;
  }
  const auto result = CommitTransaction(state.m_table, transaction.value());
  const size_t rows = transaction.value().m_writes.size();
  CountEvent(state.m_invariants.m_transactions, ReadClock());
  if (result.m_committed && rows > 0) {
    CountEvent(state.m_invariants.m_tableWrites, ReadClock());
    state.m_invariants.m_rowsWritten += rows;
  }
  const Fault* const lost =
      FindFault(state.m_faults, FaultKind::TableReplyLost, CallerVm(aCall));
  if (lost != nullptr && Occurs(state, *lost)) {
    aResponder->Abort();
    return;
  }
  aResponder->Reply(JsonReply(EncodeCommitResult(result),
                              result.m_committed ? 200 : kStatusConflict));
}

void PlatformFront::OnObject(const std::string& aName, const HttpCall& aCall,
                             const ResponderPtr& aResponder) {
  StandinState& state = m_context.m_state;
  if (IsFaulty(state.m_faults, FaultKind::ObjectsDown,
               aCall.Header("Bronze-Vm"))) {
    ReplyDown(aResponder);
    return;
  }
  if (aCall.m_method == "PUT") {
    ++state.m_invariants.m_objectWrites;
    state.m_objects[aName] = aCall.m_body;
    aResponder->Reply(JsonReply("{}"));
    return;
  }
  if (!CheckMethod(aCall, "GET", aResponder)) return;
  ++state.m_invariants.m_objectReads;
  const auto found = state.m_objects.find(aName);
  HttpReply reply;
  if (found == state.m_objects.end()) {
    reply = ErrorReply(MakeError(ErrorKind::UnknownRoute, "no such object"));
    reply.m_status = kStatusNotFound;
  } else {
    reply.m_contentType = "application/octet-stream";
    reply.m_body = found->second;
  }
  aResponder->Reply(std::move(reply));
}

void PlatformFront::OnVmList(const ResponderPtr& aResponder) {
  const StandinState& state = m_context.m_state;
  if (IsFaulty(state.m_faults, FaultKind::VmListDown, {})) {
    ReplyDown(aResponder);
    return;
  }
  aResponder->Reply(JsonReply(
      EncodeVmList(VmsAt(state.m_vms, ReadClock() - VmListLag(state)))));
}

}  // namespace bronze

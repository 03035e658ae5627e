/**
 * @file operator_front.cpp HTTP interface for operators.
 */

#include "daemon/operator_front.h"

#include <algorithm>
#include <charconv>

#include "codec/bounded_json.h"
#include "core/metrics/counter_func.h"
#include "core/request/queue_func.h"
#include "daemon/clock.h"
#include "daemon/job_call.h"
#include "net/error_reply.h"

namespace bronze {

using nlohmann::json;

namespace {

constexpr size_t kDefaultHistory = 10;
constexpr size_t kMaxHistory = 100;

/** Compares in constant time, so that timing reveals nothing of the secret. */
bool IsSameSecret(std::string_view aGiven, std::string_view aSecret) {
  unsigned difference = aGiven.size() == aSecret.size() ? 0U : 1U;
  for (size_t i = 0; i < aSecret.size(); ++i) {
    const char given = i < aGiven.size() ? aGiven[i] : '\0';
    difference |= static_cast<unsigned char>(given ^ aSecret[i]);
  }
  return difference == 0;
}

/** @return the number in the query parameter, or aDefault if there is none. */
size_t NumberInQuery(std::string_view aTarget, std::string_view aName,
                     size_t aDefault) {
  const std::string wanted = std::string(aName) + "=";
  size_t at = aTarget.find('?');
  while (at != std::string_view::npos) {
    const std::string_view rest = aTarget.substr(at + 1);
    if (rest.starts_with(wanted)) {
      const std::string_view text =
          rest.substr(wanted.size(), rest.find('&') - wanted.size());
      size_t value = 0;
      const auto parsed =
          std::from_chars(text.data(), text.data() + text.size(), value);
      return parsed.ec == std::errc() ? value : aDefault;
    }
    at = aTarget.find('&', at + 1);
  }
  return aDefault;
}

HttpReply JsonReply(const json& aBody) {
  HttpReply reply;
  reply.m_body =
      aBody.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return reply;
}

/** @return the files, note and base version in the body of a change. */
Result<ConfigChange> ParseChange(const std::string& aBody) {
  auto document = DecodeConfigDocument(aBody);
  if (!document) return document.error();
  const json body = json::parse(aBody, nullptr, false);
  ConfigChange change;
  change.m_document = std::move(document.value());
  const auto basedOn = body.find("based_on");
  if (basedOn != body.end()) {
    if (!basedOn->is_number_unsigned()) {
      return MakeError(
          ErrorKind::BadRequest,
          "\"based_on\" must be a version, a non-negative integer");
    }
    change.m_basedOn = ConfigVersion(basedOn->get<uint64_t>());
  }
  return change;
}

std::string_view StandingName(VmStanding aStanding) {
  switch (aStanding) {
    case VmStanding::Member:
      return "member";
    case VmStanding::Suspected:
      return "suspected";
    case VmStanding::Joining:
      return "joining";
    case VmStanding::Leaving:
      return "leaving";
    case VmStanding::Gone:
      return "gone";
  }
  return "gone";
}

std::string_view SourceName(AuthoritySource aSource) {
  switch (aSource) {
    case AuthoritySource::Store:
      return "store";
    case AuthoritySource::Peers:
      return "peers";
    case AuthoritySource::None:
      return "none";
  }
  return "none";
}

int64_t Millis(Duration aDuration) {
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

json PeerJson(const MembershipState& aMembers, const VmId& aVm,
              const PeerState& aPeer, TimePoint aNow) {
  json vm = {{"id", aVm.Value()},
             {"data_centre", aPeer.m_dataCentre.Value()},
             {"incarnation", aPeer.m_incarnation.Value()},
             {"state", StandingName(StandingOf(aMembers, aVm))},
             {"heartbeat_ms_ago", nullptr},
             {"epoch", aPeer.m_epoch.Value()},
             {"config_version", aPeer.m_configInForce.Value()}};
  if (aPeer.m_lastHeard) {
    vm["heartbeat_ms_ago"] = Millis(aNow - *aPeer.m_lastHeard);
  }
  return vm;
}

}  // namespace

OperatorFront::OperatorFront(ControlLoop& aControl, Counters& aCounters,
                             std::string aToken)
    : m_control(aControl), m_counters(aCounters), m_token(std::move(aToken)) {}

void OperatorFront::Handle(HttpCall aCall,
                           std::shared_ptr<HttpResponder> aResponder) {
  if (HandleHealth(aCall, aResponder)) return;
  if (!m_token.empty() &&
      !IsSameSecret(aCall.Header("Authorization"), "Bearer " + m_token)) {
    Refuse(MakeError(ErrorKind::Unauthorized,
                     "header Authorization must hold a valid Bearer token"),
           *aResponder);
    return;
  }
  m_control.Post([this, call = std::move(aCall),
                  responder = std::move(aResponder)]() mutable {
    if (IsJobCall(call)) {
      m_control.Batch().HandleJobCall(std::move(call), std::move(responder));
    } else {
      HandleOnControl(call, responder);
    }
  });
}

void OperatorFront::Refuse(const Error& aError, HttpResponder& aResponder) {
  Count(m_counters, RefusalCounter(aError.m_kind));
  aResponder.Reply(ErrorReply(aError));
}

bool OperatorFront::HandleHealth(
    const HttpCall& aCall, const std::shared_ptr<HttpResponder>& aResponder) {
  HttpReply reply;
  reply.m_contentType = "text/plain; charset=utf-8";
  if (aCall.m_target == "/healthz") {
    reply.m_body = "ok\n";
  } else if (aCall.m_target == "/readyz") {
    const bool ready = m_control.IsReady();
    reply.m_status = ready ? 200 : 503;
    reply.m_body = ready ? "ready\n" : "not ready\n";
  } else if (aCall.m_target == "/metrics") {
    m_control.Post([this, responder = aResponder, reply]() mutable {
      reply.m_body = m_control.Metrics();
      responder->Reply(std::move(reply));
    });
    return true;
  } else {
    return false;
  }
  aResponder->Reply(std::move(reply));
  return true;
}

void OperatorFront::HandleOnControl(
    const HttpCall& aCall, const std::shared_ptr<HttpResponder>& aResponder) {
  const std::string_view path = PathOf(aCall.m_target);
  if (path.starts_with("/v1/config")) {
    HandleConfig(aCall, aResponder);
  } else if (path.starts_with("/v1/workers")) {
    m_control.Batch().HandleWorkerCall(aCall, aResponder);
  } else if (aCall.m_method != "GET") {
    Refuse(MakeError(ErrorKind::MethodNotAllowed, "this path accepts only GET"),
           *aResponder);
  } else if (path == "/v1/vms") {
    ShowVms(*aResponder);
  } else if (path == "/v1/status") {
    ShowStatus(*aResponder);
  } else {
    Refuse(MakeError(ErrorKind::UnknownRoute, "no such path; see docs/API.md"),
           *aResponder);
  }
}

void OperatorFront::HandleConfig(
    const HttpCall& aCall, const std::shared_ptr<HttpResponder>& aResponder) {
  const std::string_view path = PathOf(aCall.m_target);
  const std::string& method = aCall.m_method;
  if (path == "/v1/config" && method == "GET") {
    m_control.Config().Show(
        ConfigVersion(NumberInQuery(aCall.m_target, "version", 0)), aResponder);
  } else if (path == "/v1/config" && method == "PUT") {
    ChangeConfig(aCall, aResponder);
  } else if (path == "/v1/config/check" && method == "POST") {
    CheckConfig(aCall, *aResponder);
  } else if (path == "/v1/config/history" && method == "GET") {
    m_control.Config().History(
        std::min(NumberInQuery(aCall.m_target, "limit", kDefaultHistory),
                 kMaxHistory),
        aResponder);
  } else if (path == "/v1/config/status" && method == "GET") {
    m_control.Config().Status(aResponder);
  } else {
    Refuse(MakeError(ErrorKind::UnknownRoute,
                     "no such path or method; see docs/API.md"),
           *aResponder);
  }
}

void OperatorFront::CheckConfig(const HttpCall& aCall,
                                HttpResponder& aResponder) {
  const auto change = ParseChange(aCall.m_body);
  if (!change) {
    Refuse(change.error(), aResponder);
    return;
  }
  const auto settings = ParseSystemSettings(change.value().m_document.m_files);
  aResponder.Reply(ProblemsReply(
      settings ? std::vector<SettingsProblem>() : settings.error(), true));
}

void OperatorFront::ChangeConfig(
    const HttpCall& aCall, const std::shared_ptr<HttpResponder>& aResponder) {
  auto change = ParseChange(aCall.m_body);
  if (!change) {
    Refuse(change.error(), *aResponder);
    return;
  }
  m_control.Config().Change(std::move(change.value()), aResponder);
}

void OperatorFront::ShowVms(HttpResponder& aResponder) {
  const MembershipState& members = m_control.Coordination().Members();
  const TimePoint now = Now();
  json vms = json::array();
  vms.push_back(
      {{"id", members.m_self.Value()},
       {"data_centre", members.m_dataCentre.Value()},
       {"incarnation", members.m_incarnation.Value()},
       {"state", StandingName(StandingOf(members, members.m_self))},
       {"heartbeat_ms_ago", 0},
       {"epoch", members.m_row.m_epoch.Value()},
       {"config_version", m_control.Config().State().m_inForce.Value()}});
  for (const auto& [vm, peer] : members.m_peers) {
    vms.push_back(PeerJson(members, vm, peer, now));
  }
  aResponder.Reply(JsonReply(
      {{"epoch", members.m_row.m_epoch.Value()}, {"vms", std::move(vms)}}));
}

void OperatorFront::ShowStatus(HttpResponder& aResponder) {
  const CoordinationDriver& coordination = m_control.Coordination();
  const OwnershipState& owners = coordination.Owners();
  const RequestState& requests = m_control.Requests().State();
  const TimePoint now = Now();
  const Duration left =
      std::max(coordination.AuthorityUntil() - now, Duration::zero());
  const auto acting = std::count_if(
      owners.m_units.begin(), owners.m_units.end(),
      [](const auto& aUnit) { return aUnit.second == UnitState::Acting; });
  json body = {{"vm", owners.m_self.Value()},
               {"ready", m_control.IsReady()},
               {"draining", m_control.IsDraining()},
               {"epoch", owners.m_row.m_epoch.Value()},
               {"authority", SourceName(SourceOfAuthority(owners, now))},
               {"authority_ms_left", Millis(left)},
               {"config_version", m_control.Config().State().m_inForce.Value()},
               {"units", acting},
               {"requests",
                {{"in_progress", requests.m_attempts.size()},
                 {"queued", QueuedCount(requests.m_queue)}}},
               {"runners", requests.m_runners.m_index.size()},
               {"store", IsStoreUnreachable(owners, now) ? "down" : "up"}};
  m_control.Batch().AddStatus(body);
  aResponder.Reply(JsonReply(body));
}

}  // namespace bronze

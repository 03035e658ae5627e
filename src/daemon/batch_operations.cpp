/**
 * @file batch_operations.cpp HTTP calls on jobs and workers.
 *
 * Any entry VM accepts a call and forwards it to the owner of the team shard or
 * rack. For a list, it queries all members and merges their replies.
 */

#include <algorithm>
#include <optional>
#include <random>

#include "codec/batch_json.h"
#include "codec/bounded_json.h"
#include "core/batch/row_key_func.h"
#include "daemon/batch_driver.h"
#include "daemon/clock.h"
#include "daemon/job_call.h"
#include "net/error_reply.h"

namespace bronze {

using nlohmann::json;

namespace {

constexpr Duration kForwardTimeout = seconds(5);
constexpr Duration kGatherTimeout = seconds(2);
constexpr std::string_view kWorkersPath = "/v1/workers";
constexpr std::string_view kDrainSuffix = "/drain";
constexpr int kStatusCreated = 201;
constexpr int kStatusOk = 200;

HttpReply BodyReply(std::string aBody, int aStatus = kStatusOk) {
  HttpReply reply;
  reply.m_status = aStatus;
  reply.m_body = std::move(aBody) + "\n";
  return reply;
}

HttpReply UnknownPath() {
  return ErrorReply(
      MakeError(ErrorKind::UnknownRoute, "no such path; see docs/API.md"));
}

/** @return the path after the prefix and the slash that follows it. */
std::string_view PathAfter(std::string_view aTarget, std::string_view aPrefix) {
  const std::string_view path = PathOf(aTarget);
  return path.size() > aPrefix.size() + 1 ? path.substr(aPrefix.size() + 1)
                                          : std::string_view();
}

std::string_view QueryValue(std::string_view aTarget, std::string_view aName) {
  size_t at = aTarget.find('?');
  while (at != std::string_view::npos) {
    std::string_view rest = aTarget.substr(at + 1);
    if (rest.starts_with(aName) && rest.size() > aName.size() &&
        rest[aName.size()] == '=') {
      rest.remove_prefix(aName.size() + 1);
      return rest.substr(0, rest.find('&'));
    }
    at = aTarget.find('&', at + 1);
  }
  return {};
}

/** @return the team shard that the call concerns; an error if malformed. */
Result<TeamShard> ShardOfCall(const HttpCall& aCall) {
  const std::string_view id = PathAfter(aCall.m_target, kJobsPath);
  if (!id.empty()) {
    const auto job = ParseJobId(id);
    if (job) return ShardOf(*job);
    return MakeError(ErrorKind::UnknownJob,
                     "invalid job id: it must have 16 hexadecimal digits");
  }
  const auto row = DecodeSubmission(aCall.m_body);
  if (!row) return row.error();
  return ShardOf(row.value().m_spec.m_team);
}

json ResourcesJson(const Resources& aResources) {
  return {{"cores", aResources.m_cores.Value()},
          {"memory", aResources.m_memory.Value()},
          {"accelerators", aResources.m_accelerators.Value()}};
}

std::string_view WorkerStateName(const Worker& aWorker) {
  if (aWorker.m_state == VmState::Gone) return "gone";
  if (aWorker.m_state == VmState::Leaving) return "leaving";
  return aWorker.m_draining ? "draining" : "live";
}

/** A list that is merged from the replies of all members. */
struct MergedList {
  json m_list = json::array();
  size_t m_outstanding = 0;  ///< Replies still to come.
  bool m_complete = true;    ///< No member has failed to reply so far.
  size_t m_limit = 0;        ///< Maximum number of items; 0: no limit.
  const char* m_name = "";   ///< Field of the replies that holds the list.
  std::shared_ptr<HttpResponder> m_responder;
};

void AddReply(MergedList& aMerged, const HttpReply* aReply) {
  const auto body = aReply != nullptr && aReply->m_status == kStatusOk
                        ? json::parse(aReply->m_body, nullptr, false)
                        : json();
  if (body.is_object() && body.contains(aMerged.m_name)) {
    for (const json& item : body.at(aMerged.m_name)) {
      aMerged.m_list.push_back(item);
    }
  } else {
    aMerged.m_complete = false;
  }
  if (--aMerged.m_outstanding > 0) return;
  json& list = aMerged.m_list;
  if (aMerged.m_limit > 0 && list.size() > aMerged.m_limit) {
    list.erase(list.begin() + static_cast<int64_t>(aMerged.m_limit),
               list.end());
  }
  aMerged.m_responder->Reply(BodyReply(json{
      {aMerged.m_name, std::move(list)},
      {"complete", aMerged.m_complete}}.dump()));
}

}  // namespace

void BatchDriver::HandleJobCall(HttpCall aCall,
                                std::shared_ptr<HttpResponder> aResponder) {
  if (aCall.m_method == "GET" && PathOf(aCall.m_target) == kJobsPath) {
    const auto filter = DecodeJobFilter(QueryValue(aCall.m_target, "team"),
                                        QueryValue(aCall.m_target, "state"),
                                        QueryValue(aCall.m_target, "limit"));
    if (!filter) {
      Count(m_counters, RefusalCounter(filter.error().m_kind));
      aResponder->Reply(ErrorReply(filter.error()));
      return;
    }
    Gather(aCall, "jobs", std::move(aResponder));
    return;
  }
  const auto shard = ShardOfCall(aCall);
  if (!shard) {
    Count(m_counters, RefusalCounter(shard.error().m_kind));
    aResponder->Reply(ErrorReply(shard.error()));
    return;
  }
  Forward(OwnerOfShard(shard.value()), aCall, aResponder);
}

void BatchDriver::HandleWorkerCall(
    const HttpCall& aCall, const std::shared_ptr<HttpResponder>& aResponder) {
  if (aCall.m_method == "GET" && PathOf(aCall.m_target) == kWorkersPath) {
    Gather(aCall, "workers", aResponder);
    return;
  }
  std::string_view id = PathAfter(aCall.m_target, kWorkersPath);
  if (aCall.m_method != "POST" || !id.ends_with(kDrainSuffix)) {
    aResponder->Reply(UnknownPath());
    return;
  }
  id.remove_suffix(kDrainSuffix.size());
  const auto worker =
      std::find_if(m_workerList.begin(), m_workerList.end(),
                   [id](const VmInfo& aVm) { return aVm.m_id == id; });
  if (worker == m_workerList.end()) {
    aResponder->Reply(ErrorReply(MakeError(
        ErrorKind::UnknownWorker,
        "no worker \"" + std::string(id) + "\" in the platform's VM list")));
    return;
  }
  Forward(OwnerOf(m_coordination.Owners(), RackUnit(worker->m_rack)), aCall,
          aResponder);
}

void BatchDriver::Forward(const VmId& aOwner, const HttpCall& aCall,
                          const std::shared_ptr<HttpResponder>& aResponder) {
  if (!aOwner.IsValid()) {
    aResponder->Reply(ErrorReply(MakeError(
        ErrorKind::NotReady, "no entry VM owns this job or worker yet")));
    return;
  }
  if (aOwner == m_hub.Self()) {
    HandleOperation(aCall.m_method, aCall.m_target, aCall.m_body,
                    [aResponder](HttpReply aReply) {
                      aResponder->Reply(std::move(aReply));
                    });
    return;
  }
  const bool changes = aCall.m_method != "GET";
  const uint64_t call = m_forwards.Add(
      Now() + kForwardTimeout, [aResponder, changes](const HttpReply* aReply) {
        if (aReply != nullptr) {
          aResponder->Reply(*aReply);
          return;
        }
        aResponder->Reply(ErrorReply(
            changes ? MakeError(ErrorKind::OutcomeUnknown,
                                "the entry VM that owns this job or worker "
                                "did not answer in time")
                    : MakeError(ErrorKind::NotReady,
                                "the entry VM that owns this job or worker "
                                "did not answer in time")));
      });
  m_hub.Send(aOwner,
             JobForward{call, aCall.m_method, aCall.m_target, aCall.m_body});
}

void BatchDriver::Gather(const HttpCall& aCall, const char* aList,
                         std::shared_ptr<HttpResponder> aResponder) {
  auto merged = std::make_shared<MergedList>();
  merged->m_name = aList;
  merged->m_responder = std::move(aResponder);
  const auto filter =
      DecodeJobFilter("", "", QueryValue(aCall.m_target, "limit"));
  if (filter) merged->m_limit = filter.value().m_limit;
  std::vector<VmId> others;
  for (const Member& member : m_coordination.Members().m_row.m_members) {
    if (member.m_vm != m_hub.Self()) others.push_back(member.m_vm);
  }
  merged->m_outstanding = others.size() + 1;
  for (const VmId& vm : others) {
    const uint64_t call = m_forwards.Add(
        Now() + kGatherTimeout,
        [merged](const HttpReply* aReply) { AddReply(*merged, aReply); });
    m_hub.Send(vm, JobForward{call, aCall.m_method, aCall.m_target, ""});
  }
  HandleOperation(
      aCall.m_method, aCall.m_target, "",
      [merged](const HttpReply& aReply) { AddReply(*merged, &aReply); });
}

void BatchDriver::HandleOperation(const std::string& aMethod,
                                  const std::string& aTarget,
                                  const std::string& aBody,
                                  ReplyHandler aReply) {
  const std::string_view path = PathOf(aTarget);
  if (path == kWorkersPath) {
    aReply(BodyReply(json{{"workers", OwnWorkers()}}.dump()));
    return;
  }
  if (path.starts_with(kWorkersPath)) {
    std::string_view id = PathAfter(aTarget, kWorkersPath);
    id.remove_suffix(std::min(id.size(), kDrainSuffix.size()));
    const auto drained = DrainWorker(m_racks, WorkerId(std::string(id)), true);
    aReply(drained ? BodyReply(json{{"id", id}, {"state", "draining"}}.dump())
                   : ErrorReply(drained.error()));
    return;
  }
  const std::string_view id = PathAfter(aTarget, kJobsPath);
  if (id.empty() && aMethod == "GET") {
    const auto filter = DecodeJobFilter(QueryValue(aTarget, "team"),
                                        QueryValue(aTarget, "state"),
                                        QueryValue(aTarget, "limit"));
    aReply(filter ? BodyReply(EncodeJobList(ListJobs(m_teams, filter.value())))
                  : ErrorReply(filter.error()));
    return;
  }
  if (id.empty() && aMethod == "POST") {
    SubmitLocally(aBody, std::move(aReply));
    return;
  }
  const auto job = ParseJobId(id);
  if (!job) {
    aReply(UnknownPath());
  } else if (aMethod == "GET") {
    const auto view = QueryJob(m_teams, *job, Now());
    aReply(view ? BodyReply(EncodeJob(view.value()))
                : ErrorReply(view.error()));
  } else if (aMethod == "DELETE") {
    CancelLocally(*job, std::move(aReply));
  } else {
    aReply(ErrorReply(MakeError(ErrorKind::MethodNotAllowed,
                                "a job accepts only GET and DELETE")));
  }
}

void BatchDriver::SubmitLocally(const std::string& aBody, ReplyHandler aReply) {
  const auto row = DecodeSubmission(aBody);
  if (!row) {
    aReply(ErrorReply(row.error()));
    return;
  }
  const TeamShard shard = ShardOf(row.value().m_spec.m_team);
  if (!m_coordination.MayAct(
          ShardUnit(UnitKind::Team, ShardId(shard.m_value)))) {
    aReply(
        ErrorReply(MakeError(ErrorKind::NotOwner,
                             "this entry VM may not act for the team, as the "
                             "team's owner is changing")));
    return;
  }
  std::random_device device;
  JobSubmission submission;
  submission.m_call = ++m_lastCall;
  submission.m_row = row.value();
  submission.m_random = (uint64_t{device()} << 32U) | device();
  m_pendingCalls.emplace(submission.m_call, std::move(aReply));
  BatchEffects effects;
  SubmitJob(m_teams, submission, Now(), m_counters, effects);
  CarryOut(Part::Team, effects);
}

void BatchDriver::CancelLocally(JobId aJob, ReplyHandler aReply) {
  const uint64_t call = ++m_lastCall;
  m_pendingCalls.emplace(call, std::move(aReply));
  BatchEffects effects;
  CancelJob(m_teams, aJob, call, Now(), m_counters, effects);
  CarryOut(Part::Team, effects);
}

void BatchDriver::AnswerPendingCall(const AnswerJob& aEffect) {
  auto waiting = m_pendingCalls.extract(aEffect.m_call);
  if (!waiting) return;
  if (aEffect.m_error) {
    waiting.mapped()(ErrorReply(*aEffect.m_error));
  } else if (aEffect.m_kind == JobCallKind::Query) {
    waiting.mapped()(BodyReply(EncodeJob(aEffect.m_view)));
  } else {
    const bool created = aEffect.m_kind == JobCallKind::Submit;
    waiting.mapped()(BodyReply(EncodeJobState(aEffect.m_view),
                               created ? kStatusCreated : kStatusOk));
  }
}

json BatchDriver::OwnWorkers() const {
  json workers = json::array();
  for (const auto& [id, worker] : m_racks.m_workers) {
    const auto listed = std::find_if(
        m_workerList.begin(), m_workerList.end(),
        [&key = id](const VmInfo& aVm) { return aVm.m_id == key.Value(); });
    workers.push_back(
        {{"id", id.Value()},
         {"rack", worker.m_rack.Value()},
         {"data_centre",
          listed == m_workerList.end() ? "" : listed->m_dataCentre.Value()},
         {"state", WorkerStateName(worker)},
         {"quarantined", worker.m_health.m_quarantined},
         {"total", ResourcesJson(worker.m_total)},
         {"free", ResourcesJson(worker.m_limit - worker.m_reserved)},
         {"tasks", worker.m_tasks.size()},
         {"owner", m_hub.Self().Value()}});
  }
  return workers;
}

void BatchDriver::AddStatus(json& aBody) const {
  uint64_t queued = 0;
  uint64_t running = 0;
  JobFilter all;
  all.m_limit = SIZE_MAX;
  for (const JobView& view : ListJobs(m_teams, all)) {
    queued += view.m_state == JobState::Queued ? 1 : 0;
    running += view.m_state == JobState::Running ? 1 : 0;
  }
  aBody["workers"] = m_racks.m_workers.size();
  aBody["jobs"] = {{"queued", queued}, {"running", running}};
}

}  // namespace bronze

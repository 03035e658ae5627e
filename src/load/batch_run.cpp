/**
 * @file batch_run.cpp Submits the jobs of a run and polls them until they end.
 */

#include "load/batch_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>

#include "standin/clock.h"

namespace bronze {

using nlohmann::json;

namespace {

constexpr Duration kCallTimeout = seconds(5);
constexpr Duration kPollInterval = milliseconds(500);
constexpr int kTeams = 4;
constexpr int kStatusCreated = 201;
constexpr int kStatusOk = 200;
constexpr int kStatusError = 400;
constexpr int kStatusServerError = 500;
constexpr int kStatusTooMany = 429;
constexpr int kTaskCores = 1000;   // Thousandths of a core.
constexpr int kTaskMemory = 1000;  // MiB.

/** Whether a retry may succeed. */
bool IsTemporary(const CallOutcome& aOutcome) {
  const int status = aOutcome.m_reply.m_status;
  return aOutcome.m_stage != CallStage::WholeAnswer ||
         status >= kStatusServerError || status == kStatusTooMany;
}

uint64_t NumberOf(const json& aJson, const char* aMember) {
  const auto found = aJson.find(aMember);
  return found != aJson.end() && found->is_number_unsigned()
             ? found->get<uint64_t>()
             : 0;
}

std::string TextOf(const json& aJson, const char* aMember) {
  const auto found = aJson.find(aMember);
  return found != aJson.end() && found->is_string() ? found->get<std::string>()
                                                    : std::string();
}

}  // namespace

BatchRun::BatchRun(const LoadOptions& aOptions, TargetPool& aTargets,
                   boost::asio::io_context& aControl, BatchResult& aResult,
                   Duration aLimit)
    : m_options(aOptions),
      m_targets(aTargets),
      m_control(aControl),
      m_result(aResult),
      m_limit(aLimit) {}

void BatchRun::Start(std::function<void()> aOnEnd) {
  m_onEnd = std::move(aOnEnd);
  m_begin = ReadClock();
  m_jobsLeft = m_options.m_jobs;
  if (m_jobsLeft == 0) {
    ++m_jobsLeft;
    FinishJob();
    return;
  }
  // Submissions are spread over the first half of the run, so that jobs run
  // while requests still arrive.
  const Duration gap = m_options.m_duration / (2 * m_options.m_jobs);
  for (int64_t i = 0; i < m_options.m_jobs; ++i) {
    After(gap * i, [this, i] { Submit({i, {}, ReadClock()}); });
  }
}

void BatchRun::After(Duration aDelay, std::function<void()> aAction) {
  auto timer = std::make_shared<boost::asio::steady_timer>(m_control, aDelay);
  timer->async_wait(
      [timer, action = std::move(aAction)](boost::system::error_code aError) {
        if (!aError) action();
      });
}

bool BatchRun::IsPastLimit() const {
  return ReadClock() >= m_begin + m_options.m_duration + m_limit;
}

void BatchRun::Submit(Job aJob) {
  // With the same submission id, a retry after a lost answer creates no second
  // job.
  const json body = {
      {"team", fmt::format("load-{}", aJob.m_number % kTeams)},
      {"kind", m_options.m_batchKind.Value()},
      {"tasks", m_options.m_tasksPerJob},
      {"cores", kTaskCores},
      {"memory", kTaskMemory},
      {"submission_id",
       fmt::format("{}-job-{}", m_options.m_nonce, aJob.m_number)}};
  m_targets.Call(m_targets.Choose({}),
                 {"POST", "/v1/jobs", {}, body.dump(), {}}, kCallTimeout,
                 [this, aJob](const CallOutcome& aOutcome, TimePoint) {
                   OnSubmitted(aJob, aOutcome);
                 });
}

void BatchRun::OnSubmitted(Job aJob, const CallOutcome& aOutcome) {
  if (aOutcome.m_stage == CallStage::WholeAnswer &&
      (aOutcome.m_reply.m_status == kStatusCreated ||
       aOutcome.m_reply.m_status == kStatusOk)) {
    const json parsed = json::parse(aOutcome.m_reply.m_body, nullptr, false);
    aJob.m_id = parsed.is_object() ? TextOf(parsed, "job") : std::string();
  }
  if (!aJob.m_id.empty()) {
    ++m_result.m_submitted;
    After(kPollInterval, [this, aJob] { Poll(aJob); });
  } else if (IsTemporary(aOutcome) && !IsPastLimit()) {
    After(kPollInterval, [this, aJob] { Submit(aJob); });
  } else {
    ++m_result.m_refused;
    FinishJob();
  }
}

void BatchRun::Poll(Job aJob) {
  m_targets.Call(m_targets.Choose({}),
                 {"GET", "/v1/jobs/" + aJob.m_id, {}, {}, {}}, kCallTimeout,
                 [this, aJob](const CallOutcome& aOutcome, TimePoint) {
                   OnPolled(aJob, aOutcome);
                 });
}

void BatchRun::OnPolled(Job aJob, const CallOutcome& aOutcome) {
  json job;
  if (aOutcome.m_stage == CallStage::WholeAnswer &&
      aOutcome.m_reply.m_status < kStatusError) {
    job = json::parse(aOutcome.m_reply.m_body, nullptr, false);
  }
  const std::string state = job.is_object() ? TextOf(job, "state") : "";
  if (state == "finished" || state == "failed" || state == "cancelled") {
    ++(state == "finished" ? m_result.m_finished : m_result.m_failed);
    m_result.m_tasksFinished += NumberOf(job, "finished");
    m_result.m_longest =
        std::max(m_result.m_longest, ReadClock() - aJob.m_firstSubmitAt);
    FinishJob();
  } else if (IsPastLimit()) {
    ++m_result.m_open;
    const uint64_t finished =
        job.is_object() ? NumberOf(job, "finished") : uint64_t{0};
    m_result.m_tasksFinished += finished;
    m_result.m_tasksOpen +=
        static_cast<uint64_t>(m_options.m_tasksPerJob) - finished;
    FinishJob();
  } else {
    After(kPollInterval, [this, aJob] { Poll(aJob); });
  }
}

void BatchRun::FinishJob() {
  if (--m_jobsLeft > 0 || !m_onEnd) return;
  const auto onEnd = std::move(m_onEnd);
  m_onEnd = nullptr;
  onEnd();
}

}  // namespace bronze

/**
 * @file job_cmd.cpp The "job" commands of bronzectl.
 */

#include "ctl/job_cmd.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "core/config/settings_problem_func.h"
#include "core/error/error_func.h"
#include "ctl/ctl_client.h"
#include "ctl/ctl_output.h"
#include "ctl/job_input.h"
#include "ctl/table/job_field.h"
#include "ctl/text_table.h"
#include "files/settings_folder.h"

namespace bronze {

namespace {

constexpr size_t kJobIdDigits = 16;

/** Checks the form of the ID here, so that the error names a mistyped ID. */
Result<std::string> JobPath(const std::string& aId) {
  if (aId.size() != kJobIdDigits ||
      aId.find_first_not_of("0123456789abcdef") != std::string::npos) {
    return MakeError(
        ErrorKind::BadRequest,
        fmt::format(
            "\"{}\" is not a job ID of {} lower-case hexadecimal digits", aId,
            kJobIdDigits));
  }
  return "/v1/jobs/" + aId;
}

Result<nlohmann::json> FetchJob(const CtlOptions& aOptions,
                                const CtlArguments& aArguments) {
  const auto path = JobPath(aArguments.at("ID").asStringList().front());
  if (!path) return path.error();
  return FetchFromServer(aOptions, "GET", path.value());
}

CtlResult Submit(const CtlOptions& aOptions, const CtlArguments& aArguments) {
  Checked<nlohmann::json> job = nlohmann::json();
  const docopt::value& file = aArguments.at("--file");
  if (file.isString()) {
    const std::filesystem::path path = file.asString();
    const auto text = ReadSettingsFile(path);
    if (!text) return Failure(aOptions, text.error());
    job = JobFromYaml(path.filename().string(), text.value());
  } else {
    job = JobFromOptions(aArguments);
  }
  if (!job) {
    return Failure(aOptions,
                   MakeError(ErrorKind::BadJob,
                             "the job is invalid and was not submitted"),
                   {{"problems", ProblemsJson(job.error())}},
                   ProblemsText(job.error()));
  }
  const auto body = FetchFromServer(aOptions, "POST", "/v1/jobs", job.value());
  if (!body) return Failure(aOptions, body.error());
  return Success(aOptions, body.value(),
                 Printable(fmt::format(
                     "job {} is {}", body.value().at("job").get<std::string>(),
                     body.value().at("state").get<std::string>())) +
                     "\n");
}

CtlResult List(const CtlOptions& aOptions, const CtlArguments& aArguments) {
  std::string query;
  for (const char* name : {"team", "state", "limit"}) {
    const docopt::value& value = aArguments.at(std::string("--") + name);
    if (!value.isString()) continue;
    query += fmt::format("{}{}={}", query.empty() ? "?" : "&", name,
                         UrlEncode(value.asString()));
  }
  const auto body = FetchFromServer(aOptions, "GET", "/v1/jobs" + query);
  if (!body) return Failure(aOptions, body.error());
  return Success(
      aOptions, body.value(),
      JsonTable(kJobColumns, body.value().at("jobs"), aOptions.m_color));
}

CtlResult Show(const CtlOptions& aOptions, const CtlArguments& aArguments) {
  const auto body = FetchJob(aOptions, aArguments);
  if (!body) return Failure(aOptions, body.error());
  return Success(aOptions, body.value(),
                 JsonFields(kJobColumns, body.value()) + "\n" +
                     JsonTable(kTaskColumns, body.value().at("task_list"),
                               aOptions.m_color));
}

/** Cancels all given jobs, also after an error for one of them. */
CtlResult Cancel(const CtlOptions& aOptions, const CtlArguments& aArguments) {
  CtlResult result;
  auto list = nlohmann::json::array();
  for (const std::string& id : aArguments.at("ID").asStringList()) {
    const auto path = JobPath(id);
    const auto body = path ? FetchFromServer(aOptions, "DELETE", path.value())
                           : Result<nlohmann::json>(path.error());
    if (body) {
      list.push_back(body.value());
      result.m_out += Printable("job " + id + " is cancelled") + "\n";
      continue;
    }
    const ErrorAnswer& answer = AnswerFor(body.error().m_kind);
    list.push_back({{"job", id},
                    {"error", answer.m_name},
                    {"message", body.error().m_message},
                    {"exit_code", answer.m_exitCode}});
    const CtlResult failure = Failure(
        aOptions, MakeError(body.error().m_kind,
                            "job " + id + ": " + body.error().m_message));
    result.m_error += failure.m_error;
    result.m_exitCode = std::max(result.m_exitCode, failure.m_exitCode);
  }
  if (aOptions.m_json) {
    result.m_out = Success(aOptions, {{"jobs", list}}, "").m_out;
  }
  return result;
}

/** Tasks of a job that wait for the same reason. */
struct WaitingTasks {
  int64_t m_tasks = 0;
  int64_t m_longestMs = 0;  ///< Longest wait so far of one of the tasks.
};

CtlResult Explain(const CtlOptions& aOptions, const CtlArguments& aArguments) {
  const auto body = FetchJob(aOptions, aArguments);
  if (!body) return Failure(aOptions, body.error());
  const auto textOf = [](const nlohmann::json& aRow, const char* aKey) {
    const auto found = aRow.find(aKey);
    return found != aRow.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
  };
  std::map<std::string, WaitingTasks> reasons;
  for (const auto& task : body.value().at("task_list")) {
    const std::string reason = textOf(task, "waiting_for");
    if (reason.empty()) continue;
    WaitingTasks& waiting = reasons[reason];
    ++waiting.m_tasks;
    const auto waited = task.find("waiting_ms");
    if (waited != task.end() && waited->is_number_integer()) {
      waiting.m_longestMs =
          std::max(waiting.m_longestMs, waited->get<int64_t>());
    }
  }
  auto list = nlohmann::json::array();
  std::string text =
      Printable(fmt::format("job {} is {}", textOf(body.value(), "job"),
                            textOf(body.value(), "state")));
  text += "\n";
  for (const auto& [reason, waiting] : reasons) {
    list.push_back({{"waiting_for", reason},
                    {"tasks", waiting.m_tasks},
                    {"longest_ms", waiting.m_longestMs}});
    text += Printable(fmt::format(
        "{} task{} wait{} for {}, the longest {} ms", waiting.m_tasks,
        waiting.m_tasks == 1 ? "" : "s", waiting.m_tasks == 1 ? "s" : "",
        reason, waiting.m_longestMs));
    text += "\n";
  }
  const std::string jobReason = textOf(body.value(), "waiting_for");
  if (reasons.empty()) {
    text += jobReason.empty() ? "no task waits\n"
                              : Printable("it waits for " + jobReason) + "\n";
  }
  return Success(aOptions,
                 {{"job", textOf(body.value(), "job")},
                  {"state", textOf(body.value(), "state")},
                  {"waiting_for", jobReason},
                  {"reasons", list}},
                 text);
}

}  // namespace

CtlResult RunJobCommand(const CtlOptions& aOptions,
                        const CtlArguments& aArguments) {
  const auto is = [&aArguments](const char* aCommand) {
    return aArguments.at(aCommand).asBool();
  };
  if (is("submit")) return Submit(aOptions, aArguments);
  if (is("list")) return List(aOptions, aArguments);
  if (is("cancel")) return Cancel(aOptions, aArguments);
  if (is("explain")) return Explain(aOptions, aArguments);
  return Show(aOptions, aArguments);
}

}  // namespace bronze

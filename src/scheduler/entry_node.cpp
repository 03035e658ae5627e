/**
 * @file entry_node.cpp The control loop of one entry VM.
 */

#include "scheduler/entry_node.h"

#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/post.hpp>

#include "core/error/error_func.h"
#include "core/metrics/histogram_func.h"
#include "net/address_func.h"
#include "platform/wire_decode.h"
#include "scheduler/boot_clock.h"

namespace bronze {

namespace {

constexpr size_t kIdleConnectionsPerPeer = 8;
constexpr size_t kMaxPeerAnswerBytes = size_t{64} << 10;
constexpr size_t kCellCount = 1;
/** Claims of a cell without an owner are spread over this time, by VM name. */
constexpr int64_t kClaimSpreadMs = 400;
/** A call is failed this long before the caller's deadline, so that the error
 *  reaches the caller in time. */
constexpr Duration kAnswerMargin = milliseconds(150);
/** Sent to refused callers in Retry-After. A takeover of a cell takes a few
 *  seconds; most callers that retry after this time reach the new owner. */
constexpr Duration kRetryAfter = seconds(1);
/** Longest time that log lines stay in the buffer, and that a changed settings
 *  file goes unnoticed if there is no SIGHUP. */
constexpr Duration kHousekeepingPause = seconds(1);
constexpr char kPeerPath[] = "/peer/call";
/** Part of the time between SIGTERM and SIGKILL for which the process still
 *  answers calls in progress; then it exits. */
constexpr double kDrainShareOfGrace = 0.7;

Duration ClaimDelay(const VmId& aVm) {
  const std::string& name = aVm.Value();
  return milliseconds(static_cast<int64_t>(
      XXH3_64bits(name.data(), name.size()) % kClaimSpreadMs));
}

sched::CellSettings SettingsOf(const NodeConfig& aConfig) {
  constexpr int64_t kLeasePercent = 75;
  sched::CellSettings settings;
  settings.m_leaseCap = aConfig.m_maxLease;
  settings.m_maxLease = aConfig.m_maxLease;
  // Shorter than the maximum, so that tasks of a lost runner are restarted
  // elsewhere sooner, but long enough to outlast a takeover of the cell.
  settings.m_lease = aConfig.m_maxLease * kLeasePercent / 100;
  settings.m_spreadFactor = aConfig.m_spreadFactor;
  settings.m_statusRetention = aConfig.m_statusRetention + seconds(30);
  return settings;
}

std::string_view VerbName(CallerVerb aVerb) {
  switch (aVerb) {
    case CallerVerb::Submit:
      return "submit";
    case CallerVerb::LookUp:
      return "lookup";
    case CallerVerb::Cancel:
      return "cancel";
    case CallerVerb::CountPending:
      return "pending";
  }
  return "lookup";
}

}  // namespace

EntryNode::EntryNode(const NodeConfig& aConfig, uint64_t aIncarnation,
                     SettingsReader aReadSettings)
    : m_config(aConfig),
      m_readSettings(std::move(aReadSettings)),
      m_log(STDOUT_FILENO, aConfig.m_vm.Value()),
      m_store(m_context, aConfig.m_storeAddress, BootNow),
      m_runners(m_context),
      m_advisor(m_context, aConfig.m_adviceAddress),
      m_peers(m_context, kIdleConnectionsPerPeer, kMaxPeerAnswerBytes),
      m_drainTimer(m_context),
      m_housekeepingTimer(m_context),
      m_liveConfig(std::make_shared<const sched::LiveConfig>()) {
  const NodeIdentity identity{aConfig.m_vm, aIncarnation,
                              AddressText(aConfig.m_peerAddress),
                              ClaimDelay(aConfig.m_vm), aConfig.m_cpuShare};
  for (uint32_t cell = 0; cell < kCellCount; ++cell) {
    m_elections.push_back(std::make_shared<OwnerElection>(
        m_context, m_store, m_runners, m_advisor, m_log, CellId(cell), identity,
        SettingsOf(aConfig)));
  }
  m_operatorWatch = std::make_shared<TableWatch>(
      m_context, m_store, m_log, kOperatorTable,
      TableListener{[this](const StoreRow& aRow) { OnConfigRow(aRow); },
                    [](const std::string&) {}});
}

void EntryNode::Run() {
  m_log.Write("[main]", "started incarnation_peer={}",
              AddressText(m_config.m_peerAddress));
  m_operatorWatch->Start();
  for (const auto& election : m_elections) election->Start();
  if (auto text = m_readSettings()) m_settingsText = std::move(text.value());
  Housekeep();
  const auto work = boost::asio::make_work_guard(m_context);
  m_context.run();
  m_log.Write("[main]", "ended");
  m_log.Flush();
}

void EntryNode::OnConfigRow(const StoreRow& aRow) {
  if (aRow.m_key.m_key != kConfigRow) return;
  std::vector<std::string> problems;
  auto config = DecodeLiveConfig(aRow.m_value, problems);
  for (const std::string& problem : problems) {
    m_log.Write("[config]", "skipped invalid entry error={}", problem);
  }
  if (!config) {
    m_log.Write("[config]", "configuration refused error={}",
                config.error().m_message);
    return;
  }
  // An older version is ignored.
  if (config.value().m_version <= m_liveConfig->m_version) return;
  m_log.Write("[config]", "configuration in force version={} queues={}",
              config.value().m_version.Value(), config.value().m_queues.size());
  auto shared =
      std::make_shared<const sched::LiveConfig>(std::move(config.value()));
  {
    const std::lock_guard<std::mutex> lock(m_configMutex);
    m_liveConfig = shared;
  }
  for (const auto& election : m_elections) election->SetConfig(shared);
  if (!m_draining) m_ready = true;
  m_log.Flush();
}

void EntryNode::HandleCaller(HttpCall aCall, SharedResponder aResponder) {
  std::shared_ptr<const sched::LiveConfig> config;
  {
    const std::lock_guard<std::mutex> lock(m_configMutex);
    config = m_liveConfig;
  }
  auto request = DecodeCallerCall(aCall, *config);
  if (!request) {
    aResponder->Reply(RefusalReply(request.error(), kRetryAfter));
    boost::asio::post(
        m_context, [this, error = request.error(), target = aCall.m_target] {
          ++m_answers["refused_" + std::string(AnswerFor(error.m_kind).m_name)];
          m_log.Write("[callers]", "request refused target={} error={}", target,
                      error.m_message);
        });
    return;
  }
  boost::asio::post(m_context, [this, request = std::move(request.value()),
                                responder = std::move(aResponder)]() mutable {
    Serve(std::move(request), responder);
  });
}

CellId EntryNode::CellOf(JobId aJob) const {
  const uint64_t value = aJob.Value();
  return CellId(static_cast<uint32_t>(XXH3_64bits(&value, sizeof value) %
                                      m_elections.size()));
}

void EntryNode::Serve(CallerRequest aRequest,
                      const SharedResponder& aResponder) {
  PeerCall call;
  call.m_verb = static_cast<PeerVerb>(aRequest.m_verb);
  call.m_queue = aRequest.m_queue;
  call.m_window = std::max(aRequest.m_window - kAnswerMargin, kAnswerMargin);
  call.m_job = aRequest.m_job;
  call.m_cell = CellOf(aRequest.m_job);
  call.m_spec = std::move(aRequest.m_spec);
  ServeCall(std::move(call),
            [this, request = std::move(aRequest), responder = aResponder,
             begunAt = BootNow()](PeerAnswer aAnswer) {
              AnswerCaller(request, aAnswer, responder, begunAt);
            });
}

void EntryNode::ServeCall(PeerCall aCall, AnswerHandler aHandler) {
  const auto& election = m_elections[aCall.m_cell.Value()];
  if (const auto owner = election->LocalOwner()) {
    owner->Handle(std::move(aCall), std::move(aHandler));
    return;
  }
  if (const auto address = election->RemoteOwner()) {
    Forward(*address, std::move(aCall), std::move(aHandler));
    return;
  }
  PeerAnswer answer;
  answer.m_error =
      MakeError(ErrorKind::NotReady, "no owner of the cell is known");
  aHandler(std::move(answer));
}

void EntryNode::Forward(const std::string& aAddress, PeerCall aCall,
                        AnswerHandler aHandler) {
  const auto address = ParseAddress(aAddress);
  if (!address) {
    PeerAnswer answer;
    answer.m_error = address.error();
    aHandler(std::move(answer));
    return;
  }
  HttpCall call;
  call.m_method = "POST";
  call.m_target = kPeerPath;
  call.m_headers = {{"Content-Type", "application/cbor"}};
  call.m_body = EncodePeerCall(aCall);
  m_peers.Call(
      address.value(), call, aCall.m_window,
      [handler = std::move(aHandler)](CallOutcome aOutcome) {
        PeerAnswer answer;
        if (aOutcome.m_stage == CallStage::NotConnected) {
          // Nothing was sent, so nothing was accepted.
          answer.m_error = MakeError(ErrorKind::NotReady,
                                     "cannot connect to the owner of the cell");
        } else if (aOutcome.m_stage != CallStage::CompleteReply) {
          answer.m_error = MakeError(ErrorKind::OutcomeUnknown,
                                     "the owner of the cell did not answer");
        } else {
          auto decoded = DecodePeerAnswer(aOutcome.m_reply.m_body);
          if (decoded) {
            answer = std::move(decoded.value());
          } else {
            answer.m_error = decoded.error();
          }
        }
        handler(std::move(answer));
      });
}

void EntryNode::AnswerCaller(const CallerRequest& aRequest,
                             const PeerAnswer& aAnswer,
                             const SharedResponder& aResponder,
                             TimePoint aBegunAt) {
  Record(m_answerTimes, BootNow() - aBegunAt);
  const std::string_view verb = VerbName(aRequest.m_verb);
  if (aAnswer.m_error) {
    const auto name = AnswerFor(aAnswer.m_error->m_kind).m_name;
    ++m_answers[fmt::format("{}_{}", verb, name)];
    m_log.Write("[callers]", "{} job={:016x} queue={} error={} text={}", verb,
                aRequest.m_job.Value(), aRequest.m_queue.Value(), name,
                aAnswer.m_error->m_message);
    aResponder->Reply(RefusalReply(*aAnswer.m_error, kRetryAfter));
    m_log.Flush();
    return;
  }
  ++m_answers[fmt::format("{}_ok", verb)];
  switch (aRequest.m_verb) {
    case CallerVerb::Submit:
      m_log.Write("[callers]", "accepted job={:016x} queue={}",
                  aRequest.m_job.Value(), aRequest.m_queue.Value());
      aResponder->Reply(AcceptedReply());
      break;
    case CallerVerb::Cancel:
      aResponder->Reply(AcceptedReply());
      break;
    case CallerVerb::LookUp:
      aResponder->Reply(StateReply(aAnswer.m_state));
      break;
    case CallerVerb::CountPending:
      aResponder->Reply(PendingReply(aAnswer.m_count));
      break;
  }
}

void EntryNode::HandlePeer(HttpCall aCall, SharedResponder aResponder) {
  auto call = DecodePeerCall(aCall.m_body);
  if (!call || aCall.m_target != kPeerPath ||
      call.value().m_cell.Value() >= m_elections.size()) {
    aResponder->Reply(
        RefusalReply(MakeError(ErrorKind::BadRequest, "not a valid peer call"),
                     kRetryAfter));
    return;
  }
  boost::asio::post(m_context, [this, call = std::move(call.value()),
                                responder = std::move(aResponder)]() mutable {
    const auto answerer = [responder](const PeerAnswer& aAnswer) {
      HttpReply reply;
      reply.m_contentType = "application/cbor";
      reply.m_body = EncodePeerAnswer(aAnswer);
      responder->Reply(std::move(reply));
    };
    const auto owner = m_elections[call.m_cell.Value()]->LocalOwner();
    if (!owner) {
      PeerAnswer answer;
      answer.m_error =
          MakeError(ErrorKind::NotOwner, "this daemon does not own the cell");
      answerer(answer);
      return;
    }
    owner->Handle(std::move(call), answerer);
  });
}

void EntryNode::HandleHealth(const HttpCall& aCall,
                             const SharedResponder& aResponder) {
  if (aCall.m_target == kReadyPath) {
    HttpReply reply;
    reply.m_status = m_ready ? 200 : 503;
    aResponder->Reply(std::move(reply));
    return;
  }
  boost::asio::post(m_context, [this, responder = aResponder] {
    HttpReply reply;
    reply.m_contentType = "text/plain; version=0.0.4";
    reply.m_body = Metrics();
    responder->Reply(std::move(reply));
  });
}

namespace {

void AppendCount(std::string& aText, std::string_view aName, uint64_t aCount) {
  aText += fmt::format("bronze_{} {}\n", aName, aCount);
}

void AppendCell(std::string& aText, const sched::Cell& aCell) {
  constexpr std::string_view kEndKinds[] = {"done",   "failed", "stopped",
                                            "lapsed", "broken", "alone"};
  const sched::CellCounts& counts = aCell.m_counts;
  AppendCount(aText, "jobs_accepted_total", counts.m_accepted);
  AppendCount(aText, "jobs_completed_total", counts.m_completed);
  AppendCount(aText, "jobs_failed_total", counts.m_failed);
  AppendCount(aText, "jobs_cancelled_total", counts.m_cancelled);
  AppendCount(aText, "task_starts_total", counts.m_starts);
  AppendCount(aText, "task_stops_total", counts.m_stops);
  AppendCount(aText, "task_paces_total", counts.m_paces);
  AppendCount(aText, "starts_refused_total", counts.m_rejectedStarts);
  AppendCount(aText, "runners_lapsed_total", counts.m_lapsedRunners);
  AppendCount(aText, "tasks_stalled_total", counts.m_stalledTasks);
  AppendCount(aText, "quarantines_total", counts.m_quarantines);
  AppendCount(aText, "preemptions_total", counts.m_preemptions);
  AppendCount(aText, "advice_calls_total", counts.m_adviceAsked);
  AppendCount(aText, "advice_failures_total", counts.m_adviceFailed);
  AppendCount(aText, "queued_steps", aCell.m_queue.size());
  for (size_t kind = 0; kind < std::size(kEndKinds); ++kind) {
    AppendCount(aText,
                fmt::format("task_ends_total{{kind=\"{}\"}}", kEndKinds[kind]),
                counts.m_endsByKind[kind]);
  }
}

}  // namespace

std::string EntryNode::Metrics() const {
  std::string text;
  for (const auto& [name, count] : m_answers) {
    AppendCount(text,
                fmt::format("caller_answers_total{{result=\"{}\"}}", name),
                count);
  }
  for (const auto& [result, count] : m_reloads) {
    AppendCount(text,
                fmt::format("settings_reloads_total{{result=\"{}\"}}", result),
                count);
  }
  AppendCount(text, "store_calls_total", m_store.Calls());
  AppendCount(text, "store_failures_total", m_store.Failures());
  AppendCount(text, "log_dropped_total", m_log.Dropped());
  AppendCount(text, "config_version", m_liveConfig->m_version.Value());
  AppendPrometheus(m_answerTimes, "bronze_caller_answer_seconds", "", text);
  for (const auto& election : m_elections) {
    const auto owner = election->LocalOwner();
    if (!owner) continue;
    AppendCell(text, owner->State());
    AppendPrometheus(owner->CommitTimes(), "bronze_commit_seconds", "", text);
  }
  return text;
}

void EntryNode::PostDrain() {
  boost::asio::post(m_context, [this] { Drain(); });
}

void EntryNode::PostReload() {
  boost::asio::post(m_context, [this] { Reload(true); });
}

void EntryNode::Housekeep() {
  m_log.Flush();
  Reload(false);
  m_housekeepingTimer.expires_after(kHousekeepingPause);
  m_housekeepingTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) Housekeep();
  });
}

void EntryNode::Reload(bool aAsked) {
  auto text = m_readSettings();
  if (!text) {
    // The file may be missing for a moment while it is being replaced.
    if (!aAsked) return;
    ++m_reloads["refused"];
    m_log.Write("[main]", "settings reload refused error={}",
                text.error().m_message);
    return;
  }
  if (text.value() == m_settingsText && !aAsked) return;
  m_settingsText = std::move(text.value());
  const auto config = DecodeNodeConfig(m_settingsText);
  if (!config) {
    ++m_reloads["refused"];
    m_log.Write("[main]", "settings reload refused error={}",
                config.error().m_message);
    return;
  }
  if (config.value() == m_config) {
    ++m_reloads["unchanged"];
    m_log.Write("[main]", "settings reloaded, nothing changed");
    return;
  }
  ApplySettings(config.value());
}

void EntryNode::ApplySettings(const NodeConfig& aConfig) {
  NodeConfig applied = aConfig;
  applied.m_vm = m_config.m_vm;
  applied.m_callerAddress = m_config.m_callerAddress;
  applied.m_readyAddress = m_config.m_readyAddress;
  applied.m_peerAddress = m_config.m_peerAddress;
  applied.m_storeAddress = m_config.m_storeAddress;
  applied.m_adviceAddress = m_config.m_adviceAddress;
  const bool whole = applied == aConfig;
  m_config = applied;
  for (const auto& election : m_elections)
    election->SetSettings(SettingsOf(m_config));
  ++m_reloads["applied"];
  m_log.Write(
      "[main]", "settings reload applied max_lease_ms={} spread={} restart={}",
      std::chrono::duration_cast<milliseconds>(m_config.m_maxLease).count(),
      m_config.m_spreadFactor,
      whole ? "no" : "needed to change the VM name or an address");
}

void EntryNode::Drain() {
  if (m_draining) return;
  m_draining = true;
  m_ready = false;
  m_log.Write("[main]", "draining");
  m_log.Flush();
  for (const auto& election : m_elections) {
    election->HandOver([this] { m_log.Write("[main]", "cell handed over"); });
  }
  const auto left = static_cast<int64_t>(
      static_cast<double>(m_config.m_grace.count()) * kDrainShareOfGrace);
  m_drainTimer.expires_after(Duration(left));
  m_drainTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) m_context.stop();
  });
}

}  // namespace bronze

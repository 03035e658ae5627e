/**
 * @file entry_node.cpp The control loop of one entry VM.
 */

#include "scheduler/entry_node.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>

#include "core/error/error_func.h"
#include "core/metrics/histogram_func.h"
#include "core/sched/cell_layout_func.h"
#include "net/address_func.h"
#include "platform/wire_decode.h"
#include "scheduler/boot_clock.h"
#include "scheduler/node_policy.h"

namespace bronze {

namespace {

constexpr size_t kIdleConnectionsPerPeer = 8;
constexpr size_t kMaxPeerAnswerBytes = size_t{64} << 10;
/** Calls to one peer beyond this wait in turn. */
constexpr size_t kBusyConnectionsPerPeer = 32;
/** A call is failed this long before the caller's deadline, so that the error
 *  reaches the caller in time. */
constexpr Duration kAnswerMargin = milliseconds(150);
/** Pause before a call goes to another owner than the one that refused it; the
 *  directory is read again meanwhile. */
constexpr Duration kRetryPause = milliseconds(130);
/** A call to an owner that gets no answer within this time is repeated, at its
 *  successor if there is one by then. */
constexpr Duration kAttemptTimeout = milliseconds(1300);
/** A shorter rest of the caller's window is not worth another attempt. */
constexpr Duration kMinAttempt = milliseconds(150);
/** Routes that a call follows. A job moves at most four times. */
constexpr int kMaxHops = 6;
/** Known routes are forgotten beyond this number; they save one hop each. */
constexpr size_t kMaxKnownRoutes = 20000;
/** A count of pending jobs may be this old, of the two seconds that the
 *  platform allows. */
constexpr Duration kCountReuse = milliseconds(500);
constexpr Duration kCountMaxAge = milliseconds(1800);
/** Sent to refused callers in Retry-After. A takeover of a cell takes a few
 *  seconds; most callers that retry after this time reach the new owner. */
constexpr Duration kRetryAfter = seconds(1);
/** Longest time that log lines stay in the buffer, and that a changed settings
 *  file goes unnoticed if there is no SIGHUP. */
constexpr Duration kHousekeepingPause = seconds(1);
constexpr char kPeerPath[] = "/peer/call";
/** Part of the time between SIGTERM and SIGKILL for which the process still
 *  takes calls. */
constexpr double kDrainShareOfGrace = 0.7;
/** Part of this time after which it exits although a call has no answer yet. */
constexpr double kLastShareOfGrace = 0.92;
/** Time that the last answers need to leave the process. */
constexpr Duration kLastAnswerTime = milliseconds(100);

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

EntryNode::EntryNode(boost::asio::io_context& aTraffic,
                     const NodeConfig& aConfig, uint64_t aIncarnation,
                     SettingsReader aReadSettings, EntryOptions aOptions)
    : m_traffic(aTraffic),
      m_config(aConfig),
      m_readSettings(std::move(aReadSettings)),
      m_log(STDOUT_FILENO, aConfig.m_vm.Value()),
      m_store(m_context, aConfig.m_storeAddress, BootNow),
      m_runners(m_context),
      m_advisor(m_context, aConfig.m_adviceAddress),
      m_peers(m_context, kIdleConnectionsPerPeer, kMaxPeerAnswerBytes,
              kBusyConnectionsPerPeer),
      m_directory(m_context, m_store, m_log, aConfig.m_cpuShare,
                  [this] { OnDirectoryRead(); }),
      m_configStore(aTraffic, aConfig.m_storeAddress, BootNow),
      m_drainTimer(m_context),
      m_housekeepingTimer(m_context),
      m_liveConfig(std::make_shared<const sched::LiveConfig>()),
      m_incarnation(aIncarnation) {
  m_layoutKeeper = std::make_shared<LayoutKeeper>(
      m_context, m_store, m_log,
      LayoutPolicyOf(aConfig, aOptions.m_runnersPerCell),
      [this](sched::CellLayout aLayout) { BeginCells(aLayout); });
  m_operatorWatch = std::make_shared<TableWatch>(
      aTraffic, m_configStore, m_log, kOperatorTable,
      ConfigWatchTiming(aConfig),
      TableListener{[this](const StoreRow& aRow) { OnConfigRow(aRow); },
                    [](const std::string&) {}});
}

void EntryNode::Run() {
  m_log.Write("[main]", "started incarnation_peer={}",
              AddressText(m_config.m_peerAddress));
  boost::asio::post(m_traffic, [watch = m_operatorWatch] { watch->Start(); });
  m_layoutKeeper->Start();
  if (auto text = m_readSettings()) m_settingsText = std::move(text.value());
  Housekeep();
  const auto work = boost::asio::make_work_guard(m_context);
  m_context.run();
  boost::asio::post(m_traffic, [watch = m_operatorWatch] { watch->Stop(); });
  m_log.Write("[main]", "ended");
  m_log.Flush();
}

void EntryNode::BeginCells(sched::CellLayout aLayout) {
  m_layout = aLayout;
  const NodeIdentity identity{
      m_config.m_vm, m_incarnation, AddressText(m_config.m_peerAddress),
      m_config.m_cpuShare, [this] {
        return static_cast<size_t>(std::count_if(
            m_elections.begin(), m_elections.end(),
            [](const auto& aElection) { return aElection->IsClaimed(); }));
      }};
  const OwnerLinks links{m_store, m_runners, m_advisor,
                         [this](PeerCall aCall, AnswerHandler aHandler) {
                           CallOwner(std::move(aCall), std::move(aHandler));
                         }};
  for (uint32_t cell = 0; cell < aLayout.m_cells; ++cell) {
    m_elections.push_back(std::make_shared<OwnerElection>(
        m_context, links, m_directory, m_log, CellId(cell), aLayout, identity,
        OwnerSettingsOf(m_config)));
    if (m_hasConfig) m_elections.back()->SetConfig(Config());
    if (m_draining) m_elections.back()->HandOver([] {});
  }
  m_ready = m_hasConfig && !m_draining;
  m_directory.Start(aLayout.m_cells);
}

void EntryNode::OnDirectoryRead() {
  const std::vector<sched::CellLoad> loads = m_directory.Loads();
  bool ownsCell = false;
  for (const auto& election : m_elections) {
    if (const auto owner = election->LocalOwner()) {
      owner->SetLoads(loads);
      ownsCell = true;
    }
    election->OnDirectoryRead();
  }
  m_directory.SetOwnsCell(ownsCell);
}

std::shared_ptr<const sched::LiveConfig> EntryNode::Config() const {
  const std::lock_guard<std::mutex> lock(m_configMutex);
  return m_liveConfig;
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
  if (config.value().m_version <= Config()->m_version) return;
  m_log.Write("[config]", "configuration in force version={} queues={}",
              config.value().m_version.Value(), config.value().m_queues.size());
  auto shared =
      std::make_shared<const sched::LiveConfig>(std::move(config.value()));
  {
    const std::lock_guard<std::mutex> lock(m_configMutex);
    m_liveConfig = shared;
  }
  boost::asio::post(m_context, [this, shared] { ApplyConfig(shared); });
  m_log.Flush();
}

void EntryNode::ApplyConfig(std::shared_ptr<const sched::LiveConfig> aConfig) {
  for (const auto& election : m_elections) election->SetConfig(aConfig);
  m_hasConfig = true;
  m_ready = m_layout.m_cells > 0 && !m_draining;
}

void EntryNode::HandleCaller(HttpCall aCall, SharedResponder aResponder) {
  const auto config = Config();
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

void EntryNode::Serve(CallerRequest aRequest,
                      const SharedResponder& aResponder) {
  PeerCall call;
  call.m_verb = static_cast<PeerVerb>(aRequest.m_verb);
  call.m_queue = aRequest.m_queue;
  call.m_window = std::max(aRequest.m_window - kAnswerMargin, kAnswerMargin);
  call.m_job = aRequest.m_job;
  call.m_spec = std::move(aRequest.m_spec);
  ++m_openRequests;
  ServeCall(std::move(call),
            [this, request = std::move(aRequest), responder = aResponder,
             begunAt = BootNow()](PeerAnswer aAnswer) {
              --m_openRequests;
              AnswerCaller(request, aAnswer, responder, begunAt);
            });
}

void EntryNode::ServeCall(PeerCall aCall, AnswerHandler aHandler) {
  if (m_layout.m_cells == 0) {
    PeerAnswer answer;
    answer.m_error =
        MakeError(ErrorKind::NotReady, "the cells are not known yet");
    aHandler(std::move(answer));
    return;
  }
  if (aCall.m_verb == PeerVerb::CountPending) {
    CountPending(aCall, aHandler);
    return;
  }
  const auto route = m_knownRoutes.find(aCall.m_job);
  aCall.m_routed = route != m_knownRoutes.end();
  aCall.m_cell =
      aCall.m_routed ? route->second : sched::HomeCell(m_layout, aCall.m_job);
  FollowRoutes(std::move(aCall), std::move(aHandler), kMaxHops);
}

void EntryNode::FollowRoutes(PeerCall aCall, AnswerHandler aHandler,
                             int aHopsLeft) {
  PeerCall sent = aCall;
  CallOwner(
      std::move(sent),
      [this, call = std::move(aCall), handler = std::move(aHandler),
       begunAt = BootNow(), aHopsLeft](PeerAnswer aAnswer) mutable {
        if (!aAnswer.m_routedTo) {
          handler(std::move(aAnswer));
          return;
        }
        if (aHopsLeft == 0 || aAnswer.m_routedTo->Value() >= m_layout.m_cells) {
          aAnswer.m_error =
              MakeError(ErrorKind::NotReady, "the job is being moved");
          handler(std::move(aAnswer));
          return;
        }
        if (m_knownRoutes.size() >= kMaxKnownRoutes) m_knownRoutes.clear();
        m_knownRoutes[call.m_job] = *aAnswer.m_routedTo;
        call.m_cell = *aAnswer.m_routedTo;
        call.m_routed = true;
        call.m_window = std::max(call.m_window - (BootNow() - begunAt),
                                 Duration(kAnswerMargin));
        FollowRoutes(std::move(call), std::move(handler), aHopsLeft - 1);
      });
}

void EntryNode::CallOwner(PeerCall aCall, AnswerHandler aHandler) {
  const CellId cell = aCall.m_cell;
  if (const auto owner = m_elections[cell.Value()]->LocalOwner()) {
    owner->Handle(std::move(aCall), std::move(aHandler));
    return;
  }
  const auto address = m_directory.AddressOf(cell);
  if (!address || *address == AddressText(m_config.m_peerAddress)) {
    m_directory.Refresh();
    PeerAnswer answer;
    answer.m_error =
        MakeError(ErrorKind::NotReady, "no owner of the cell is known");
    aHandler(std::move(answer));
    return;
  }
  PeerCall sent = aCall;
  sent.m_window = std::min(aCall.m_window, Duration(kAttemptTimeout));
  Forward(
      *address, std::move(sent),
      [this, call = std::move(aCall), handler = std::move(aHandler),
       address = *address, begunAt = BootNow()](PeerAnswer aAnswer) mutable {
        call.m_window -= BootNow() - begunAt;
        if (aAnswer.m_error && MayRepeat(call, *aAnswer.m_error)) {
          RetryAtOwner(std::move(call), address, std::move(aAnswer),
                       std::move(handler));
        } else {
          handler(std::move(aAnswer));
        }
      });
}

bool EntryNode::MayRepeat(const PeerCall& aCall, const Error& aError) {
  switch (aError.m_kind) {
    case ErrorKind::NotOwner:
    case ErrorKind::NotReady:
      return true;
    case ErrorKind::OutcomeUnknown:
      // A job that is submitted or cancelled again under its id is the same,
      // and what a former owner does after its successor's claim has no effect.
      return aCall.m_verb != PeerVerb::Adopt && aCall.m_window > kMinAttempt;
    default:
      return false;
  }
}

void EntryNode::RetryAtOwner(PeerCall aCall, const std::string& aTried,
                             PeerAnswer aLast, AnswerHandler aHandler) {
  m_directory.Refresh();
  auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
  timer->expires_after(kRetryPause);
  timer->async_wait([this, timer, call = std::move(aCall), tried = aTried,
                     last = std::move(aLast), handler = std::move(aHandler)](
                        boost::system::error_code) mutable {
    call.m_window -= kRetryPause;
    if (const auto owner = m_elections[call.m_cell.Value()]->LocalOwner()) {
      owner->Handle(std::move(call), std::move(handler));
      return;
    }
    const bool unknown = last.m_error->m_kind == ErrorKind::OutcomeUnknown;
    const auto address = m_directory.AddressOf(call.m_cell);
    if (address && *address != tried) {
      CallOwner(std::move(call), std::move(handler));
    } else if (unknown && call.m_window > kMinAttempt) {
      // Only an owner can tell whether the change was made.
      RetryAtOwner(std::move(call), tried, std::move(last), std::move(handler));
    } else {
      handler(std::move(last));
    }
  });
}

namespace {

/** Answers of the cells to one request for a count. */
struct CountGathering {
  size_t m_left = 0;
  uint64_t m_sum = 0;
  std::optional<Error> m_error;
};

}  // namespace

void EntryNode::CountPending(const PeerCall& aCall,
                             const AnswerHandler& aHandler) {
  const auto gathering = std::make_shared<CountGathering>();
  gathering->m_left = m_layout.m_cells;
  const auto add = [gathering, aHandler](uint64_t aCount,
                                         std::optional<Error> aError) {
    gathering->m_sum += aCount;
    if (aError) gathering->m_error = std::move(aError);
    if (--gathering->m_left > 0) return;
    PeerAnswer answer;
    answer.m_count = gathering->m_sum;
    answer.m_error = gathering->m_error;
    aHandler(std::move(answer));
  };
  const TimePoint now = BootNow();
  for (uint32_t cell = 0; cell < m_layout.m_cells; ++cell) {
    const auto key = std::pair(aCall.m_queue, CellId(cell));
    const auto known = m_counts.find(key);
    if (known != m_counts.end() && now - known->second.m_at < kCountReuse) {
      add(known->second.m_count, {});
      continue;
    }
    PeerCall call = aCall;
    call.m_cell = CellId(cell);
    CallOwner(
        std::move(call), [this, key, add, now](const PeerAnswer& aAnswer) {
          if (!aAnswer.m_error) {
            m_counts[key] = {aAnswer.m_count, now};
            add(aAnswer.m_count, {});
            return;
          }
          const auto last = m_counts.find(key);
          const bool recent = last != m_counts.end() &&
                              BootNow() - last->second.m_at < kCountMaxAge;
          add(recent ? last->second.m_count : 0,
              recent ? std::optional<Error>() : aAnswer.m_error);
        });
  }
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
  if (!call || aCall.m_target != kPeerPath) {
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
    const uint32_t cell = call.m_cell.Value();
    const auto owner =
        cell < m_elections.size() ? m_elections[cell]->LocalOwner() : nullptr;
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
    election->SetSettings(OwnerSettingsOf(m_config));
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
  m_drainBegunAt = BootNow();
  m_drainTimer.expires_after(ShareOfGrace(kDrainShareOfGrace));
  m_drainTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) return;
    if (m_onLastCalls) m_onLastCalls();
    m_idleSince = BootNow();
    AwaitLastAnswers();
  });
}

Duration EntryNode::ShareOfGrace(double aShare) const {
  return Duration(static_cast<int64_t>(
      static_cast<double>(m_config.m_grace.count()) * aShare));
}

void EntryNode::AwaitLastAnswers() {
  const TimePoint now = BootNow();
  if (m_openRequests > 0) m_idleSince = now;
  const bool answered = now - m_idleSince >= kLastAnswerTime;
  const bool late = now - m_drainBegunAt > ShareOfGrace(kLastShareOfGrace);
  if (answered || late) {
    m_log.Write("[main]", "drained unanswered={}", m_openRequests);
    m_context.stop();
    return;
  }
  m_drainTimer.expires_after(kLastAnswerTime / 2);
  m_drainTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) AwaitLastAnswers();
  });
}

}  // namespace bronze

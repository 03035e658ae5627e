/**
 * @file entry_node.cpp The control loop of one entry VM.
 */

#include "scheduler/entry_node.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>

#include "core/overload/traffic_func.h"
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
/** Longest time that log lines stay in the buffer, and that a changed settings
 *  file goes unnoticed if there is no SIGHUP. */
constexpr Duration kHousekeepingPause = seconds(1);
/** Part of the time between SIGTERM and SIGKILL for which the process still
 *  takes calls. */
constexpr double kDrainShareOfGrace = 0.7;
/** Part of this time after which it exits although a call has no answer yet. */
constexpr double kLastShareOfGrace = 0.92;
/** Time that the last answers need to leave the process. */
constexpr Duration kLastAnswerTime = milliseconds(100);

}  // namespace

EntryNode::EntryNode(boost::asio::io_context& aTraffic,
                     const NodeConfig& aConfig, uint64_t aIncarnation,
                     SettingsReader aReadSettings, EntryOptions aOptions)
    : m_traffic(aTraffic),
      m_config(aConfig),
      m_readSettings(std::move(aReadSettings)),
      m_log(STDOUT_FILENO, aConfig.m_vm.Value()),
      m_replyBudget(std::make_shared<ReplyBudget>(
          TrafficLimitsOf(aConfig.m_limits).m_replyBytes)),
      m_store(m_context, aConfig.m_storeAddress, BootNow, m_replyBudget),
      m_runners(m_context, m_replyBudget),
      m_advisor(m_context, aConfig.m_adviceAddress, m_replyBudget),
      m_peers(m_context, {kIdleConnectionsPerPeer, kMaxPeerAnswerBytes,
                          kBusyConnectionsPerPeer, m_replyBudget}),
      m_directory(m_context, m_store, m_log, CapabilityOf(aConfig),
                  [this] { OnDirectoryRead(); }),
      m_configStore(aTraffic, aConfig.m_storeAddress, BootNow, m_replyBudget),
      m_drainTimer(m_context),
      m_housekeepingTimer(m_context),
      m_liveConfig(std::make_shared<const sched::LiveConfig>()),
      m_incarnation(aIncarnation),
      m_counters(aOptions.m_counters) {
  m_layoutKeeper = std::make_shared<LayoutKeeper>(
      m_context, m_store, m_log,
      LayoutPolicyOf(aConfig, aOptions.m_runnersPerCell),
      [this](sched::CellLayout aLayout) { BeginCells(aLayout); });
  m_operatorWatch = std::make_shared<TableWatch>(
      aTraffic, m_configStore, m_log, kOperatorTable,
      ConfigWatchTiming(aConfig),
      TableListener{
          [this](const StoreRow& aRow) { OnOperatorRow(aRow); },
          [this](const std::string& aKey) { OnOperatorRowRemoved(aKey); },
          [this] { PostRequests(); }});
}

void EntryNode::Run() {
  m_log.Write("[main]", "started incarnation_peer={}",
              AddressText(m_config.m_peerAddress));
  boost::asio::post(m_traffic, [watch = m_operatorWatch] { watch->Start(); });
  m_layoutKeeper->Start();
  // Also reads the file once more, which may have changed since the start.
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
      m_config.m_vm,
      m_incarnation,
      AddressText(m_config.m_peerAddress),
      CapabilityOf(m_config),
      [this] {
        return static_cast<size_t>(std::count_if(
            m_elections.begin(), m_elections.end(),
            [](const auto& aElection) { return aElection->IsClaimed(); }));
      },
      std::make_shared<AskState>()};
  const OwnerLinks links{m_store, m_runners, m_advisor,
                         [this](PeerCall aCall, AnswerHandler aHandler) {
                           CallOwner(std::move(aCall), {}, std::move(aHandler));
                         },
                         m_ownershipCounts};
  for (uint32_t cell = 0; cell < aLayout.m_cells; ++cell) {
    m_elections.push_back(std::make_shared<OwnerElection>(
        m_context, links, m_directory, m_log, CellId(cell), aLayout, identity,
        OwnerSettingsOf(m_config)));
    if (m_hasConfig) m_elections.back()->SetConfig(Config());
    if (m_requests) m_elections.back()->SetRequests(m_requests);
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

void EntryNode::OnOperatorRow(const StoreRow& aRow) {
  if (aRow.m_key.m_key == kConfigRow) {
    OnConfigRow(aRow);
    return;
  }
  const auto dataCentre = EvacuatedDataCentre(aRow.m_key.m_key);
  if (!dataCentre || !m_readEvacuations.insert(*dataCentre).second) return;
  m_log.Write("[config]", "evacuation requested data_centre={}",
              dataCentre->Value());
  PostRequests();
}

void EntryNode::OnOperatorRowRemoved(const std::string& aKey) {
  const auto dataCentre = EvacuatedDataCentre(aKey);
  if (!dataCentre || m_readEvacuations.erase(*dataCentre) == 0) return;
  m_log.Write("[config]", "evacuation request removed data_centre={}",
              dataCentre->Value());
  PostRequests();
}

void EntryNode::PostRequests() {
  auto requests = std::make_shared<const OperatorRequests>(
      OperatorRequests{m_readEvacuations, m_operatorWatch->ConfirmedAt()});
  boost::asio::post(m_context, [this, requests] { ApplyRequests(requests); });
}

void EntryNode::ApplyRequests(
    std::shared_ptr<const OperatorRequests> aRequests) {
  for (const auto& election : m_elections) election->SetRequests(aRequests);
  m_requests = std::move(aRequests);
}

void EntryNode::OnConfigRow(const StoreRow& aRow) {
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
  LogRefusals();
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
  const auto settings = DecodeNodeConfig(m_settingsText);
  if (!settings) {
    ++m_reloads["refused"];
    m_log.Write("[main]", "settings reload refused error={}",
                settings.error().m_message);
    return;
  }
  for (const std::string& correction : settings.value().m_corrections) {
    m_log.Write("[main]", "setting corrected: {}", correction);
  }
  m_correctedSettings = settings.value().m_corrections.size();
  if (settings.value().m_config == m_config) {
    ++m_reloads["unchanged"];
    m_log.Write("[main]", "settings reloaded, nothing changed");
    return;
  }
  ApplySettings(settings.value().m_config);
}

void EntryNode::ApplySettings(const NodeConfig& aConfig) {
  NodeConfig applied = aConfig;
  applied.m_vm = m_config.m_vm;
  applied.m_callerAddress = m_config.m_callerAddress;
  applied.m_readyAddress = m_config.m_readyAddress;
  applied.m_peerAddress = m_config.m_peerAddress;
  applied.m_storeAddress = m_config.m_storeAddress;
  applied.m_adviceAddress = m_config.m_adviceAddress;
  applied.m_limits = m_config.m_limits;
  const bool whole = applied == aConfig;
  m_config = applied;
  for (const auto& election : m_elections)
    election->SetSettings(OwnerSettingsOf(m_config));
  ++m_reloads["applied"];
  m_log.Write(
      "[main]", "settings reload applied max_lease_ms={} spread={} restart={}",
      std::chrono::duration_cast<milliseconds>(m_config.m_maxLease).count(),
      m_config.m_spreadFactor,
      whole ? "no" : "needed to change a name, address or limit");
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

/**
 * @file control_loop.cpp The control thread, which owns all control state.
 */

#include "daemon/control_loop.h"

#include <boost/asio/post.hpp>

#include "core/metrics/counter_func.h"
#include "daemon/clock.h"
#include "daemon/overloaded.h"
#include "net/log_func.h"

namespace bronze {

namespace asio = boost::asio;

namespace {

constexpr Duration kFastTick = milliseconds(10);     // For requests.
constexpr Duration kSlowTick = milliseconds(50);     // For all other drivers.
constexpr Duration kReleaseRepeatTime = seconds(1);  // To repeat releases.
constexpr int kMaxLeaveAttempts = 20;                // Each kSlowTick: 1 s.
constexpr Duration kVmListTimeout = seconds(2);
constexpr size_t kIdlePlatformConnections = 4;
constexpr size_t kMaxPlatformAnswer = size_t{16} << 20;

/** Calls aDo after aWait, unless the timer is set again or cancelled first. */
template <class Function>
void RunAfter(asio::steady_timer& aTimer, Duration aWait, Function aDo) {
  aTimer.expires_after(aWait);
  aTimer.async_wait([act = std::move(aDo)](boost::system::error_code aError) {
    if (!aError) act();
  });
}

}  // namespace

ControlLoop::ControlLoop(const NodeSettings& aNode, Incarnation aIncarnation,
                         const asio::ip::tcp::endpoint& aPlatform,
                         ThreadPool& aThreads, Counters& aCounters)
    : m_node(aNode),
      m_counters(aCounters),
      m_context(1),
      m_fastTimer(m_context),
      m_slowTimer(m_context),
      m_heartbeatTimer(m_context),
      m_vmListTimer(m_context),
      m_drainTimer(m_context),
      m_leaveTimer(m_context),
      m_releaseTimer(m_context),
      m_client(m_context, {kIdlePlatformConnections, kMaxPlatformAnswer}),
      m_table(m_client, aPlatform, aCounters),
      m_vmList(m_client, aPlatform),
      m_hub(m_context, aNode.m_vm, aIncarnation, aCounters) {
  m_hub.SetHandler(
      [this](const PeerMessage& aMessage) { OnPeerMessage(aMessage); });
  m_coordination = std::make_unique<CoordinationDriver>(
      aNode, aIncarnation, m_hub, m_table, aCounters,
      CoordinationEvents{
          [this] {
            m_config->OnEpochAdopted();
            m_requests->OnEpochAdopted();
            m_batch->OnEpochAdopted();
            SendHeartbeats();
          },
          [this](const UnitId& aUnit) { OnUnit(aUnit, true); },
          [this](const UnitId& aUnit) { OnUnit(aUnit, false); },
          [this] { Drain(); }, [this] { SendHeartbeats(); },
          [this](const LeaseRow& aRow) { m_config->OnLeaseRow(aRow); }});
  m_commits =
      std::make_unique<CommitDriver>(m_table, *m_coordination, aCounters);
  m_config = std::make_unique<ConfigDriver>(
      aNode.m_vm, aIncarnation, m_hub, m_table, *m_coordination, aCounters,
      ConfigEvents{
          [this](const SystemSettings& aSettings) { ApplySettings(aSettings); },
          [this](ConfigVersion aVersion) {
            m_commits->SetConfigHeld(aVersion);
          },
          [this] { SendHeartbeats(); }});
  m_requests = std::make_unique<RequestDriver>(
      aNode.m_vm, aIncarnation, m_context, aThreads, m_hub, m_table,
      *m_coordination, *m_commits, aCounters);
  m_batch = std::make_unique<BatchDriver>(
      m_client, m_hub, m_table, *m_coordination, *m_commits, aCounters);
  ApplySettings(m_settings);
}

ControlLoop::~ControlLoop() = default;

Result<asio::ip::tcp::endpoint> ControlLoop::ListenForPeers(
    const asio::ip::tcp::endpoint& aEndpoint) {
  return m_hub.Listen(aEndpoint);
}

void ControlLoop::Run() {
  m_coordination->Start();
  PollVmList();
  ScheduleHeartbeat();
  TickFast();
  TickSlow();
  m_context.run();
}

void ControlLoop::PostDrain() {
  asio::post(m_context, [this] { Drain(); });
}

std::string ControlLoop::Metrics() const {
  std::string text;
  AppendPrometheus(m_counters, text);
  m_requests->AppendMetrics(text);
  return text;
}

void ControlLoop::OnPeerMessage(const PeerMessage& aMessage) {
  std::visit(
      Overloaded{[&](const Heartbeat& aBody) {
                   if (!m_coordination->OnHeartbeat(aMessage)) return;
                   m_config->OnHeartbeat(aMessage);
                   m_batch->OnSummaries(aMessage.m_from, aBody.m_racks);
                 },
                 [&](const Release&) { m_coordination->OnRelease(aMessage); },
                 [&](const EpochNotice& aBody) {
                   m_coordination->OnEpochNotice(aBody);
                 },
                 [&](const ConfigPush& aBody) { m_config->OnPush(aBody); },
                 [&](const ConfigPull& aBody) {
                   m_config->OnPull(aMessage.m_from, aBody);
                 },
                 [&](const auto&) {
                   if (!m_requests->OnMessage(aMessage))
                     m_batch->OnMessage(aMessage);
                 }},
      aMessage.m_body);
}

void ControlLoop::ApplySettings(const SystemSettings& aSettings) {
  m_settings = aSettings;
  m_coordination->UseSettings(aSettings.m_coordination);
  m_commits->UseSettings(aSettings.m_coordination);
  m_requests->UseSettings(aSettings);
  m_batch->UseSettings(aSettings);
}

void ControlLoop::OnUnit(const UnitId& aUnit, bool aAcquired) {
  Log(LogLevel::Debug, LogPart::Owners,
      "unit ownership changed unit={} acting={}", UnitName(aUnit), aAcquired);
  if (!aAcquired) m_commits->Drop(UnitName(aUnit));
  if (aUnit.m_kind == UnitKind::Rack || aUnit.m_kind == UnitKind::Team) {
    m_batch->OnUnit(aUnit, aAcquired);
  } else {
    // Hundreds of units may change at once; the slow tick handles them
    // together.
    m_unitsChanged = true;
  }
}

void ControlLoop::PollVmList() {
  m_vmList.Fetch(kVmListTimeout, [this](Result<std::vector<VmInfo>> aVms) {
    if (aVms) {
      UseVmList(aVms.value());
    } else {
      Count(m_counters, CounterId::StoreRetryVmList);
      Log(LogLevel::Warn, LogPart::Members,
          "cannot read the VM list, will retry error=\"{}\"",
          aVms.error().m_message);
    }
    RunAfter(m_vmListTimer, m_settings.m_coordination.m_vmListInterval,
             [this] { PollVmList(); });
  });
}

void ControlLoop::UseVmList(const std::vector<VmInfo>& aVms) {
  m_vmListSeen = true;
  m_coordination->UseVmList(aVms);
  m_requests->UseVmList(aVms);
  m_batch->UseVmList(aVms);
}

void ControlLoop::SendHeartbeats() {
  const ConfdistState& config = m_config->State();
  m_coordination->SendHeartbeats({config.m_inForce, config.m_held,
                                  IsConfigCurrent(config),
                                  m_batch->OwnSummaries()});
}

void ControlLoop::ScheduleHeartbeat() {
  SendHeartbeats();
  RunAfter(m_heartbeatTimer, m_settings.m_coordination.m_heartbeatInterval,
           [this] { ScheduleHeartbeat(); });
}

void ControlLoop::TickFast() {
  m_requests->Tick();
  RunAfter(m_fastTimer, m_requests->IsIdle() ? kSlowTick : kFastTick,
           [this] { TickFast(); });
}

void ControlLoop::TickSlow() {
  m_coordination->Tick();
  m_config->Tick();
  if (std::exchange(m_unitsChanged, false)) m_requests->OnUnitsChanged();
  m_batch->Tick();
  m_commits->Tick();
  UpdateReady();
  RunAfter(m_slowTimer, kSlowTick, [this] { TickSlow(); });
}

void ControlLoop::Drain() {
  if (std::exchange(m_draining, true)) return;
  Log(LogLevel::Info, LogPart::Main,
      "drain started, waiting for requests in progress requests={}",
      m_requests->State().m_pending.size());
  UpdateReady();
  RunAfter(m_drainTimer, m_settings.m_coordination.m_drainTimeout,
           [this] { FinishDrain(); });
  LeaveEpoch();
  m_requests->Drain([this] { OnRequestsDrained(); });
}

void ControlLoop::LeaveEpoch() {
  // A daemon outside the epoch cannot commit, so pending changes are committed
  // first. The wait is limited: with the table down, no other daemon could take
  // over the units anyway.
  const bool wait =
      !m_commits->IsIdle() && m_leaveAttempts++ < kMaxLeaveAttempts;
  if (wait) {
    RunAfter(m_leaveTimer, kSlowTick, [this] { LeaveEpoch(); });
    return;
  }
  m_hasLeft = true;
  m_coordination->BeginDrain();
  SendHeartbeats();
}

void ControlLoop::OnRequestsDrained() {
  if (!m_hasLeft) {
    RunAfter(m_releaseTimer, kSlowTick, [this] { OnRequestsDrained(); });
    return;
  }
  m_coordination->ReleaseUnits();
  // Peers that miss the release message learn of it from its repetitions or
  // from the lease row, so the daemon runs on for a while.
  RunAfter(m_releaseTimer, kReleaseRepeatTime, [this] { FinishDrain(); });
}

void ControlLoop::FinishDrain() {
  Log(LogLevel::Info, LogPart::Main, "drain finished requests={}",
      m_requests->State().m_pending.size());
  m_context.stop();
}

void ControlLoop::UpdateReady() {
  m_ready = m_vmListSeen && m_config->IsReady() && !m_draining &&
            IsMember(m_coordination->Members());
}

}  // namespace bronze

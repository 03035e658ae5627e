/**
 * @file node_policy.cpp Settings of the scheduler's parts.
 */

#include "scheduler/node_policy.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace bronze {

namespace {

/** Shorter than the maximum, so that tasks of a lost runner are restarted
 *  elsewhere sooner, but long enough to outlast a takeover of the cell. */
constexpr int64_t kLeasePercent = 75;
/** How long jobs stay known beyond the time that the platform asks for. */
constexpr Duration kRetentionMargin = seconds(30);
/** A start may be on its way for this long after it was decided. */
constexpr Duration kOrderTime = milliseconds(800);
constexpr Duration kMinListingAge = milliseconds(600);
/** The operators' requests are up to two waits for changes old, and a slow
 *  answer older by this. */
constexpr Duration kRequestAnswerTime = milliseconds(900);

/** Runners per Mbit/s of a VM's link: a runner takes some 4 KB/s, and its cell
 *  may use a quarter of the link. */
constexpr double kRunnersPerMbps = 7.8;
/** Runners per core: a runner with two starts a second takes some 0.001 of a
 *  core, and its cell may use half of the VM's share. */
constexpr double kRunnersPerCore = 600.0;
constexpr double kMinRunnersPerCell = 12.0;

constexpr double kMillicoresPerCore = 1000.0;
constexpr double kKilobitsPerMegabit = 1000.0;

/** VMs create the layout row within this time, in the order of a hash. */
constexpr uint64_t kLayoutSpreadMs = 300;
/** Most that a VM with little CPU waits longer: cells should suit the largest
 *  VMs, as these claim them first. */
constexpr double kSmallVmDelayMs = 600.0;

/** Part of the time until a configuration is in force that is left for reading
 *  it on a second connection. */
constexpr Duration kSecondReadTime = milliseconds(200);
constexpr Duration kMinConfigWait = milliseconds(200);
constexpr Duration kMaxConfigWait = seconds(5);

/** @return how old the operators' requests may be when a task is started. */
Duration MaxRequestAge(Duration aNotice) {
  return std::max<Duration>(aNotice - kOrderTime,
                            2 * kMinConfigWait + kRequestAnswerTime);
}

}  // namespace

OwnerSettings OwnerSettingsOf(const NodeConfig& aConfig) {
  OwnerSettings settings;
  settings.m_cell.m_leaseCap = aConfig.m_maxLease;
  settings.m_cell.m_lease = aConfig.m_maxLease * kLeasePercent / 100;
  settings.m_cell.m_spreadFactor = aConfig.m_spreadFactor;
  settings.m_cell.m_statusRetention =
      aConfig.m_statusRetention + kRetentionMargin;
  // Larger rows are not needed, and one transaction holds several.
  settings.m_cell.m_rowBytes =
      std::min(aConfig.m_storeRowBytes, settings.m_cell.m_rowBytes);
  settings.m_cell.m_stateBytes = settings.m_cell.m_rowBytes;
  settings.m_maxListingAge =
      std::max(aConfig.m_drainNotice - kOrderTime, Duration(kMinListingAge));
  if (aConfig.m_evacuationNotice) {
    settings.m_maxRequestAge = MaxRequestAge(*aConfig.m_evacuationNotice);
  }
  return settings;
}

LayoutPolicy LayoutPolicyOf(const NodeConfig& aConfig, size_t aRunnersPerCell) {
  const double fitting = std::max(
      kMinRunnersPerCell, std::min(aConfig.m_linkMbps * kRunnersPerMbps,
                                   aConfig.m_cpuShare * kRunnersPerCore));
  const std::string& name = aConfig.m_vm.Value();
  const uint64_t hash = XXH3_64bits(name.data(), name.size());
  LayoutPolicy policy;
  policy.m_vm = aConfig.m_vm;
  policy.m_runnersPerCell =
      aRunnersPerCell > 0 ? aRunnersPerCell : static_cast<size_t>(fitting);
  const double lacking = std::clamp(1.0 - aConfig.m_cpuShare, 0.0, 1.0);
  policy.m_delay =
      milliseconds(static_cast<int64_t>(hash % kLayoutSpreadMs)) +
      milliseconds(static_cast<int64_t>(lacking * kSmallVmDelayMs));
  return policy;
}

sched::VmCapability CapabilityOf(const NodeConfig& aConfig) {
  return {Millicores(std::llround(aConfig.m_cpuShare * kMillicoresPerCore)),
          sched::KilobitsPerSecond(
              std::llround(aConfig.m_linkMbps * kKilobitsPerMegabit))};
}

WatchTiming ConfigWatchTiming(const NodeConfig& aConfig) {
  WatchTiming timing;
  timing.m_wait =
      std::clamp<Duration>((aConfig.m_configApply - kSecondReadTime) / 2,
                           kMinConfigWait, kMaxConfigWait);
  if (aConfig.m_evacuationNotice) {
    const Duration maxAge = MaxRequestAge(*aConfig.m_evacuationNotice);
    timing.m_wait = std::min(timing.m_wait, (maxAge - kRequestAnswerTime) / 2);
  }
  timing.m_newestOnly = true;
  return timing;
}

}  // namespace bronze

/**
 * @file settings_type.h All settings as typed values with their defaults.
 *
 * NodeSettings apply to one VM; its daemon reads them at start from the
 * settings folder of that VM. SystemSettings are the configuration that
 * operators push; one version is in force on all daemons.
 */

#ifndef BRONZE_CORE_CONFIG_SETTINGS_TYPE_H_
#define BRONZE_CORE_CONFIG_SETTINGS_TYPE_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"

namespace bronze {

enum class LogLevel : uint8_t { Debug, Info, Warn, Error };

/** Settings of one VM. */
struct NodeSettings {
  VmId m_vm;
  DataCentreId m_dataCentre;
  RegionId m_region;
  std::string m_callerAddress;    ///< IP:PORT for callers; port 0: any free.
  std::string m_operatorAddress;  ///< IP:PORT for operators and metrics.
  std::string m_peerAddress;      ///< IP:PORT for the other daemons.
  std::string m_platformAddress;  ///< IP:PORT of the platform services.
  std::string m_operatorToken;    ///< Empty: no token is required.
  int64_t m_trafficThreads = 2;
  LogLevel m_logLevel = LogLevel::Info;

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

enum class QueuePolicy : uint8_t { Deadline, Fifo };
enum class RoutePolicy : uint8_t { TwoChoices, Random };
enum class SlotPolicy : uint8_t { Grants, Fixed };
enum class PlacePolicy : uint8_t { Sampled, FullScan, FirstFit };

/**
 * Run time class assumed for a request kind until run times are measured. A
 * standing request stays open, takes no slot and does not queue.
 */
enum class KindClass : uint8_t { Short, Long, Standing };

/** Settings of one kind of request. */
struct KindSettings {
  KindClass m_class = KindClass::Short;
  bool m_idempotent = true;
  int64_t m_weight = 1;  ///< Share relative to other kinds; at least 1.
  /** Run time assumed until run times are measured. */
  Duration m_expectedRunTime = milliseconds(50);

  friend bool operator==(const KindSettings&, const KindSettings&) = default;
};

struct RequestSettings {
  Duration m_defaultWindow = seconds(5);
  /** Longest window; also bounds how long a lost slot stays reserved. */
  Duration m_maxWindow = seconds(30);
  int64_t m_queueLimit = 2000;         ///< Queued requests per entry VM.
  int64_t m_shortReservePercent = 25;  ///< Of the slots, for short work only.
  int64_t m_retryBudgetPercent = 10;   ///< Retries, of first attempts.
  int64_t m_callerSharePercent = 50;   ///< Of a full queue, per caller.
  int64_t m_maxBodyBytes = 1 << 20;
  QueuePolicy m_queuePolicy = QueuePolicy::Deadline;
  RoutePolicy m_routePolicy = RoutePolicy::TwoChoices;
  SlotPolicy m_slotPolicy = SlotPolicy::Grants;
  bool m_adaptiveConcurrency = true;
  std::map<KindId, KindSettings> m_kinds;

  friend bool operator==(const RequestSettings&,
                         const RequestSettings&) = default;
};

struct TeamSettings {
  int64_t m_weight = 1;
  Resources m_quota = {Millicores(1'000'000), Mebibytes(4'000'000),
                       Accelerators(1'000)};  ///< Most that tasks hold.

  friend bool operator==(const TeamSettings&, const TeamSettings&) = default;
};

struct BatchSettings {
  int64_t m_batchSharePercent = 70;     ///< Of each worker, for batch tasks.
  int64_t m_serviceSharePercent = 100;  ///< For latency-critical tasks.
  PlacePolicy m_placePolicy = PlacePolicy::Sampled;
  Duration m_taskLease = seconds(20);    ///< One lease per worker.
  Duration m_leaseRenewal = seconds(5);  ///< Less than half of m_taskLease.
  Duration m_urgentTarget = milliseconds(9100);  ///< Until urgent work starts.
  int64_t m_maxAttempts = 5;            ///< Failed attempts of one task.
  int64_t m_quarantineAfter = 3;        ///< Consecutive failures of a worker.
  int64_t m_quarantineMaxPercent = 20;  ///< Of all workers, at the same time.
  int64_t m_evictionsPerMinute = 30;    ///< Limit per rack owner.
  std::map<TeamId, TeamSettings> m_teams;  ///< Other teams: TeamSettings{}.

  friend bool operator==(const BatchSettings&, const BatchSettings&) = default;
};

struct CoordinationSettings {
  Duration m_heartbeatInterval = seconds(1);
  Duration m_suspectAfter = seconds(4);
  Duration m_leaseDuration = seconds(4);
  Duration m_confirmationDuration = seconds(3);
  Duration m_clockMargin = milliseconds(100);
  int64_t m_clockDriftPercent = 2;
  Duration m_commitInterval = milliseconds(250);
  Duration m_configPollInterval = seconds(1);
  Duration m_vmListInterval = seconds(2);
  Duration m_drainTimeout = seconds(60);

  friend bool operator==(const CoordinationSettings&,
                         const CoordinationSettings&) = default;
};

/** The configuration in force on all daemons. */
struct SystemSettings {
  RequestSettings m_request;
  BatchSettings m_batch;
  CoordinationSettings m_coordination;

  friend bool operator==(const SystemSettings&,
                         const SystemSettings&) = default;
};

}  // namespace bronze

#endif  // BRONZE_CORE_CONFIG_SETTINGS_TYPE_H_

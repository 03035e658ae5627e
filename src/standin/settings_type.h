/**
 * @file settings_type.h Options and settings of the stand-in, with defaults.
 */

#ifndef BRONZE_STANDIN_SETTINGS_TYPE_H_
#define BRONZE_STANDIN_SETTINGS_TYPE_H_

#include <map>
#include <string>

#include "core/base/id_type.h"
#include "core/base/resources_type.h"
#include "core/base/time_type.h"

namespace bronze {

/** Set on the command line; fixed while the process runs. */
struct StandinOptions {
  std::string m_listen = "127.0.0.1:0";
  int64_t m_runners = 6;
  Slots m_slots{8};  ///< Slots of each runner.
  int64_t m_workers = 6;
  Resources m_workerResources = {
      Millicores(60'000), Mebibytes(250'000),
      Accelerators(0)};  ///< Capacity of each worker.
  int64_t m_workersPerRack = 8;
  int64_t m_dataCentres = 3;  ///< Runners and racks are assigned in turn.
  uint64_t m_seed = 1;
};

/** How runners run requests of one kind; run times are drawn uniformly. */
struct RequestKind {
  Duration m_minRunTime = milliseconds(2);
  Duration m_maxRunTime = milliseconds(5);
  bool m_idempotent = true;
  bool m_standing = false;  ///< Stays open and uses no slot.
};

/** How workers run tasks of one kind; run times are drawn uniformly. */
struct TaskKind {
  Duration m_minRunTime = milliseconds(500);
  Duration m_maxRunTime = milliseconds(1500);
  double m_stragglerShare = 0.02;  ///< Share of tasks that straggle, in [0, 1].
  double m_stragglerFactor = 5.0;  ///< Run time of a straggler over others.
  double m_useFactor = 1.0;  ///< Actual over declared use of cores and memory.
  Duration m_checkpointInterval = milliseconds(1000);
};

/** Can be changed at run time by POST /standin/settings. */
struct StandinSettings {
  Duration m_vmListLag = Duration::zero();   ///< Age of the VM list shown.
  Duration m_reportLag = milliseconds(500);  ///< Age of worker reports.
  Duration m_failAfter = milliseconds(10);   ///< Run time on a failing worker.
  std::map<KindId, RequestKind> m_requestKinds = {
      {KindId("check"), {}},
      {KindId("plan"), {milliseconds(200), milliseconds(800), true, false}},
      {KindId("commit"), {milliseconds(2), milliseconds(5), false, false}},
      {KindId("watch"), {seconds(10), seconds(10), true, true}}};
  std::map<KindId, TaskKind> m_taskKinds;  ///< Other kinds use TaskKind{}.
  /** Factor by which one task of a kind (second) on the same machine lengthens
   * the run time of a kind of request (first). */
  std::map<std::pair<KindId, KindId>, double> m_interference;
};

}  // namespace bronze

#endif  // BRONZE_STANDIN_SETTINGS_TYPE_H_

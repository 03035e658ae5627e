/**
 * @file fault_type.h Faults that can be injected into the stand-in.
 */

#ifndef BRONZE_STANDIN_FAULT_TYPE_H_
#define BRONZE_STANDIN_FAULT_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "core/base/time_type.h"

namespace bronze {

/** Kinds of faults; table/fault_name.h holds their names in this order. */
enum class FaultKind : uint8_t {
  TableDown,          ///< Table calls fail with StoreUnavailable.
  TableSlow,          ///< Carries out table calls after the delay.
  TableReplyLost,     ///< Commits, then closes the connection unanswered.
  ObjectsDown,        ///< Object calls fail with StoreUnavailable.
  VmListLate,         ///< The VM list shows changes only after the delay.
  VmListDown,         ///< Reading the VM list fails with StoreUnavailable.
  WorkerLeaseLapsed,  ///< All leases end at once; renewals are ignored.
  WorkerFailing,      ///< Every task that starts fails.
  WorkerCrash,        ///< Refuses connections; loses its tasks.
  RunnerCrash,        ///< Refuses connections; aborts running requests.
  RunnerCut,          ///< Closes the connection in the middle of an answer.
  RunnerLate,         ///< Adds the delay to the run time.
  RunnerCrossed,      ///< Sends the answers of two requests to each other.
  NoisyNeighbour,     ///< Slows requests of colocated runners by the factor.
  WrongSizes,         ///< Tasks use the declared resources times the factor.
};

inline constexpr size_t kFaultKindCount =
    static_cast<size_t>(FaultKind::WrongSizes) + 1;

/** Parameters of an active fault; each kind uses some of them. */
struct Fault {
  double m_probability = 1.0;  ///< Of taking effect in one call, in [0, 1].
  Duration m_delay = seconds(1);
  double m_factor = 2.0;
  bool m_echo = true;  ///< RunnerCrossed: swap the request id headers as well.
};

/** The active faults, by kind and VM id; an empty id stands for every VM. */
struct FaultState {
  std::map<std::pair<FaultKind, std::string>, Fault> m_active;
};

}  // namespace bronze

#endif  // BRONZE_STANDIN_FAULT_TYPE_H_

/**
 * @file fault_name.h Table of the fault names, in the order of FaultKind.
 */

#ifndef BRONZE_STANDIN_TABLE_FAULT_NAME_H_
#define BRONZE_STANDIN_TABLE_FAULT_NAME_H_

#include <array>
#include <string_view>

#include "standin/fault_type.h"

namespace bronze {

inline constexpr std::array<std::string_view, kFaultKindCount> kFaultNames = {
    "table_down",          "table_slow",      "table_reply_lost",
    "objects_down",        "vm_list_late",    "vm_list_down",
    "worker_lease_lapsed", "worker_failing",  "worker_crash",
    "runner_crash",        "runner_cut",      "runner_late",
    "runner_crossed",      "noisy_neighbour", "wrong_sizes",
};

}  // namespace bronze

#endif  // BRONZE_STANDIN_TABLE_FAULT_NAME_H_

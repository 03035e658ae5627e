/**
 * @file vm_column.h Table columns of workers and VMs, and fields of the status.
 */

#ifndef BRONZE_CTL_TABLE_VM_COLUMN_H_
#define BRONZE_CTL_TABLE_VM_COLUMN_H_

#include "ctl/text_table.h"

namespace bronze {

inline constexpr TableColumn kWorkerColumns[] = {
    {"ID", "/id"},
    {"RACK", "/rack"},
    {"DATA_CENTRE", "/data_centre"},
    {"STATE", "/state"},
    {"QUARANTINED", "/quarantined"},
    {"TASKS", "/tasks"},
    {"FREE_CORES", "/free/cores"},
    {"CORES", "/total/cores"},
    {"FREE_MEMORY", "/free/memory"},
    {"MEMORY", "/total/memory"},
    {"FREE_ACCELERATORS", "/free/accelerators"},
    {"ACCELERATORS", "/total/accelerators"},
    {"OWNER", "/owner"}};

inline constexpr TableColumn kVmColumns[] = {
    {"ID", "/id"},
    {"DATA_CENTRE", "/data_centre"},
    {"STATE", "/state"},
    {"INCARNATION", "/incarnation"},
    {"HEARTBEAT_MS_AGO", "/heartbeat_ms_ago"},
    {"EPOCH", "/epoch"},
    {"CONFIG", "/config_version"}};

inline constexpr TableColumn kStatusFields[] = {
    {"vm", "/vm"},
    {"ready", "/ready"},
    {"draining", "/draining"},
    {"epoch", "/epoch"},
    {"authority", "/authority"},
    {"authority ms left", "/authority_ms_left"},
    {"configuration version", "/config_version"},
    {"units", "/units"},
    {"requests in progress", "/requests/in_progress"},
    {"requests queued", "/requests/queued"},
    {"runners", "/runners"},
    {"workers", "/workers"},
    {"jobs queued", "/jobs/queued"},
    {"jobs running", "/jobs/running"},
    {"store", "/store"}};

}  // namespace bronze

#endif  // BRONZE_CTL_TABLE_VM_COLUMN_H_

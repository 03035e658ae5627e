/**
 * @file vm_list_json.h JSON form of the platform's list of VMs.
 *
 * {"vms": [{"id", "role": "entry"|"worker"|"runner", "state": "live"|"leaving"|
 * "gone", "address", "http_address", "data_centre", "rack", "cores"
 * (thousandths), "memory" (MiB), "accelerators", "slots"}]}; fields that a
 * role does not have are absent.
 */

#ifndef BRONZE_CODEC_VM_LIST_JSON_H_
#define BRONZE_CODEC_VM_LIST_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/error/error_type.h"
#include "core/message/platform_type.h"

namespace bronze {

[[nodiscard]] std::string EncodeVmList(const std::vector<VmInfo>& aVms);

[[nodiscard]] Result<std::vector<VmInfo>> DecodeVmList(std::string_view aText);

}  // namespace bronze

#endif  // BRONZE_CODEC_VM_LIST_JSON_H_

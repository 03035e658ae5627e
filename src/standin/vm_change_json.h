/**
 * @file vm_change_json.h Decodes a change to one VM.
 */

#ifndef BRONZE_STANDIN_VM_CHANGE_JSON_H_
#define BRONZE_STANDIN_VM_CHANGE_JSON_H_

#include <string>
#include <string_view>

#include "core/error/error_type.h"
#include "standin/standin_base.h"

namespace bronze {

/** @return the VM with the members {"id", "role", "state", "address",
 * "http_address", "data_centre"} of the text changed; all but "id" are
 * optional, and an unknown id adds an entry VM. */
[[nodiscard]] Result<VmInfo> DecodeVmChange(const VmRegistry& aRegistry,
                                            std::string_view aText);

}  // namespace bronze

#endif  // BRONZE_STANDIN_VM_CHANGE_JSON_H_

/**
 * @file vm_change_json.cpp Decodes a change to one VM.
 */

#include "standin/vm_change_json.h"

#include <nlohmann/json.hpp>

namespace bronze {

using nlohmann::json;

namespace {

Error Malformed(const json::exception& aError) {
  return MakeError(ErrorKind::BadRequest,
                   std::string("malformed body: ") + aError.what());
}

std::optional<VmRole> RoleFromName(const std::string& aName) {
  if (aName == "entry") return VmRole::Entry;
  if (aName == "worker") return VmRole::Worker;
  if (aName == "runner") return VmRole::Runner;
  return std::nullopt;
}

std::optional<VmState> StateFromName(const std::string& aName) {
  if (aName == "live") return VmState::Live;
  if (aName == "leaving") return VmState::Leaving;
  if (aName == "gone") return VmState::Gone;
  return std::nullopt;
}

}  // namespace

Result<VmInfo> DecodeVmChange(const VmRegistry& aRegistry,
                              std::string_view aText) {
  try {
    const json parsed = json::parse(aText);
    const auto id = parsed.at("id").get<std::string>();
    const auto known = FindVm(aRegistry, id);
    VmInfo vm = known.value_or(VmInfo{});
    vm.m_id = id;
    if (!known) vm.m_role = VmRole::Entry;
    if (parsed.contains("role")) {
      const auto role = RoleFromName(parsed.at("role").get<std::string>());
      // A runner or worker needs a server, so only entry VMs can be added.
      if (!role || *role != vm.m_role) {
        return MakeError(ErrorKind::BadRequest,
                         "only VMs with role \"entry\" can be added, and a "
                         "VM keeps its role");
      }
    }
    if (parsed.contains("state")) {
      const auto state = StateFromName(parsed.at("state").get<std::string>());
      if (!state) return MakeError(ErrorKind::BadRequest, "unknown VM state");
      vm.m_state = *state;
    }
    vm.m_address = parsed.value("address", vm.m_address);
    vm.m_httpAddress = parsed.value("http_address", vm.m_httpAddress);
    vm.m_dataCentre =
        DataCentreId(parsed.value("data_centre", vm.m_dataCentre.Value()));
    return vm;
  } catch (const json::exception& error) {
    return Malformed(error);
  }
}

}  // namespace bronze

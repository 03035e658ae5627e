/**
 * @file vm_list_json.cpp JSON form of the platform's list of VMs.
 */

#include "codec/vm_list_json.h"

#include <nlohmann/json.hpp>

namespace bronze {

using nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(VmRole, {{VmRole::Entry, "entry"},
                                      {VmRole::Worker, "worker"},
                                      {VmRole::Runner, "runner"}})
NLOHMANN_JSON_SERIALIZE_ENUM(VmState, {{VmState::Live, "live"},
                                       {VmState::Leaving, "leaving"},
                                       {VmState::Gone, "gone"}})

namespace {

json EncodeVm(const VmInfo& aVm) {
  return {{"id", aVm.m_id},
          {"role", aVm.m_role},
          {"state", aVm.m_state},
          {"address", aVm.m_address},
          {"http_address", aVm.m_httpAddress},
          {"data_centre", aVm.m_dataCentre.Value()},
          {"rack", aVm.m_rack.Value()},
          {"cores", aVm.m_resources.m_cores.Value()},
          {"memory", aVm.m_resources.m_memory.Value()},
          {"accelerators", aVm.m_resources.m_accelerators.Value()},
          {"slots", aVm.m_slots.Value()}};
}

VmInfo DecodeVm(const json& aJson) {
  VmInfo vm;
  vm.m_id = aJson.at("id").get<std::string>();
  vm.m_role = aJson.at("role").get<VmRole>();
  vm.m_state = aJson.at("state").get<VmState>();
  vm.m_address = aJson.at("address").get<std::string>();
  vm.m_httpAddress = aJson.value("http_address", "");
  vm.m_dataCentre = DataCentreId(aJson.value("data_centre", ""));
  vm.m_rack = RackId(aJson.value("rack", ""));
  vm.m_resources.m_cores = Millicores(aJson.value("cores", int64_t{0}));
  vm.m_resources.m_memory = Mebibytes(aJson.value("memory", int64_t{0}));
  vm.m_resources.m_accelerators =
      Accelerators(aJson.value("accelerators", int64_t{0}));
  vm.m_slots = Slots(aJson.value("slots", int64_t{0}));
  return vm;
}

}  // namespace

std::string EncodeVmList(const std::vector<VmInfo>& aVms) {
  json list = json::array();
  for (const VmInfo& vm : aVms) list.push_back(EncodeVm(vm));
  return json{{"vms", std::move(list)}}.dump();
}

Result<std::vector<VmInfo>> DecodeVmList(std::string_view aText) {
  try {
    const json parsed = json::parse(aText);
    std::vector<VmInfo> vms;
    for (const json& item : parsed.at("vms")) vms.push_back(DecodeVm(item));
    return vms;
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::BadRequest,
                     std::string("malformed list of VMs: ") + error.what());
  }
}

}  // namespace bronze

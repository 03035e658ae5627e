/**
 * @file vm_list_client.cpp Reads the platform's VM list.
 */

#include "tableservice/vm_list_client.h"

#include "codec/vm_list_json.h"

namespace bronze {

void VmListClient::Fetch(Duration aTimeout, VmListHandler aHandler) {
  HttpCall call;
  call.m_method = "GET";
  call.m_target = "/vms";
  m_client.Call(
      m_platform, call, aTimeout,
      [handler = std::move(aHandler)](CallOutcome aOutcome) {
        if (aOutcome.m_stage != CallStage::WholeAnswer) {
          handler(MakeError(ErrorKind::ConnectionFailed,
                            "cannot read the VM list: " + aOutcome.m_error));
        } else if (aOutcome.m_reply.m_status != 200) {
          handler(MakeError(ErrorKind::StoreUnavailable,
                            "cannot read the VM list: the "
                            "platform did not answer with HTTP 200"));
        } else {
          handler(DecodeVmList(aOutcome.m_reply.m_body));
        }
      });
}

}  // namespace bronze

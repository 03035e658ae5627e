/**
 * @file vm_cmd.cpp The "worker", "vm" and "status" commands of bronzectl.
 */

#include "ctl/vm_cmd.h"

#include <fmt/format.h>

#include "ctl/ctl_client.h"
#include "ctl/ctl_output.h"
#include "ctl/table/vm_column.h"
#include "ctl/text_table.h"

namespace bronze {

CtlResult RunWorkerCommand(const CtlOptions& aOptions,
                           const CtlArguments& aArguments) {
  if (aArguments.at("drain").asBool()) {
    const std::string id = aArguments.at("ID").asStringList().front();
    const auto body = FetchFromServer(
        aOptions, "POST", fmt::format("/v1/workers/{}/drain", UrlEncode(id)));
    if (!body) return Failure(aOptions, body.error());
    return Success(
        aOptions, body.value(),
        Printable(fmt::format("worker {} is {}",
                              body.value().at("id").get<std::string>(),
                              body.value().at("state").get<std::string>())) +
            "\n");
  }
  const auto body = FetchFromServer(aOptions, "GET", "/v1/workers");
  if (!body) return Failure(aOptions, body.error());
  return Success(
      aOptions, body.value(),
      JsonTable(kWorkerColumns, body.value().at("workers"), aOptions.m_color));
}

CtlResult RunVmCommand(const CtlOptions& aOptions,
                       const CtlArguments& /*aArguments*/) {
  const auto body = FetchFromServer(aOptions, "GET", "/v1/vms");
  if (!body) return Failure(aOptions, body.error());
  return Success(
      aOptions, body.value(),
      fmt::format(
          "epoch {}\n{}", body.value().at("epoch").get<uint64_t>(),
          JsonTable(kVmColumns, body.value().at("vms"), aOptions.m_color)));
}

CtlResult RunStatusCommand(const CtlOptions& aOptions) {
  const auto body = FetchFromServer(aOptions, "GET", "/v1/status");
  if (!body) return Failure(aOptions, body.error());
  return Success(aOptions, body.value(),
                 JsonFields(kStatusFields, body.value()));
}

}  // namespace bronze

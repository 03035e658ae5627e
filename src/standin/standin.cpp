/**
 * @file standin.cpp Simulated platform with workers and runners.
 */

#include "standin/standin.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/outcome/success_failure.hpp>

#include "net/address_func.h"
#include "net/error_reply.h"
#include "standin/admin_json.h"
#include "standin/clock.h"
#include "standin/fault_func.h"
#include "standin/invariant_func.h"
#include "standin/vm_change_json.h"
#include "standin/worker_func.h"

namespace bronze {

namespace {

/**
 * Time between attempts to bind a restarted VM's address again, which fails
 * until its previous listener has closed on another thread.
 */
constexpr Duration kReopenInterval = milliseconds(10);

bool IsGone(const StandinState& aState, const std::string& aVm) {
  const auto vm = FindVm(aState.m_vms, aVm);
  return vm && vm->m_state == VmState::Gone;
}

}  // namespace

Standin::Standin(const StandinOptions& aOptions, ThreadPool& aThreads,
                 boost::asio::io_context& aControl)
    : m_options(aOptions),
      m_threads(aThreads),
      m_control(aControl),
      m_platform({aControl, m_state}),
      m_runnerFront({aControl, m_state}),
      m_workerFront({aControl, m_state}),
      m_sampleTimer(aControl) {
  m_state.m_seed = aOptions.m_seed;
  m_state.m_random.seed(aOptions.m_seed);
}

Standin::~Standin() { m_threads.Stop(); }

Result<boost::asio::ip::tcp::endpoint> Standin::Start() {
  const auto address = ParseAddress(m_options.m_listen);
  if (!address) return address.error();
  m_anyPort = Endpoint(address.value().address(), 0);
  for (int64_t i = 0; i < m_options.m_runners; ++i) {
    const auto added = AddRunner(i);
    if (!added) return added.error();
  }
  for (int64_t i = 0; i < m_options.m_workers; ++i) {
    const auto added = AddWorker(i);
    if (!added) return added.error();
  }
  SlotUse& slots = m_state.m_invariants.m_slots;
  slots.m_total = Slots(m_options.m_runners * m_options.m_slots.Value());
  slots.m_integratedUntil = slots.m_sampleStart = ReadClock();
  SampleEachSecond();
  m_platformServer =
      MakeServer([this](HttpCall aCall, ResponderPtr aResponder) {
        HandlePlatform(std::move(aCall), std::move(aResponder));
      });
  return m_platformServer->Listen(address.value());
}

std::unique_ptr<HttpServer> Standin::MakeServer(Handler aHandler) {
  HttpLimits limits;
  // Checkpoints and configurations may be larger than the default limit.
  limits.m_bodyBytes = size_t{16} << 20;
  return std::make_unique<HttpServer>(
      m_threads, limits, m_counters,
      [this, handler = std::move(aHandler)](size_t, HttpCall aCall,
                                            ResponderPtr aResponder) {
        boost::asio::post(m_control,
                          [handler, call = std::move(aCall),
                           responder = std::move(aResponder)]() mutable {
                            handler(std::move(call), std::move(responder));
                          });
      });
}

Result<boost::asio::ip::tcp::endpoint> Standin::OpenVm(const std::string& aVm) {
  VmServer& vm = m_vmServers.at(aVm);
  const uint64_t instance = vm.m_instance;
  vm.m_server = MakeServer(
      [this, aVm, instance](HttpCall aCall, ResponderPtr aResponder) {
        const VmServer& current = m_vmServers.at(aVm);
        if (current.m_instance != instance) {
          aResponder->Abort();
          return;
        }
        current.m_handler(std::move(aCall), std::move(aResponder));
      });
  return vm.m_server->Listen(vm.m_address);
}

void Standin::ReopenVm(const std::string& aVm) {
  const uint64_t instance = m_vmServers.at(aVm).m_instance;
  if (OpenVm(aVm)) return;
  RunAfter(m_control, kReopenInterval, [this, aVm, instance] {
    if (m_vmServers.at(aVm).m_instance == instance) ReopenVm(aVm);
  });
}

void Standin::CloseVm(const std::string& aVm) {
  VmServer& vm = m_vmServers.at(aVm);
  ++vm.m_instance;
  vm.m_server.reset();
}

Result<void> Standin::AddRunner(int64_t aIndex) {
  const RunnerId id(fmt::format("runner-{}", aIndex));
  RunnerState& runner = m_state.m_runners[id];
  runner.m_id = id;
  runner.m_slots = m_options.m_slots;
  if (m_options.m_workers > 0) {
    runner.m_colocatedWorker =
        WorkerId(fmt::format("worker-{}", aIndex % m_options.m_workers));
  }
  VmServer& server = m_vmServers[id.Value()];
  server.m_address = m_anyPort;
  server.m_handler = [this, id](HttpCall aCall, ResponderPtr aResponder) {
    m_runnerFront.Handle(id, std::move(aCall), std::move(aResponder));
  };
  const auto bound = OpenVm(id.Value());
  if (!bound) return bound.error();
  server.m_address = bound.value();
  VmInfo vm;
  vm.m_id = id.Value();
  vm.m_role = VmRole::Runner;
  vm.m_address = AddressText(bound.value());
  vm.m_dataCentre =
      DataCentreId(fmt::format("dc-{}", aIndex % m_options.m_dataCentres));
  vm.m_slots = m_options.m_slots;
  SetVm(m_state.m_vms, vm, TimePoint());
  return boost::outcome_v2::success();
}

Result<void> Standin::AddWorker(int64_t aIndex) {
  const WorkerId id(fmt::format("worker-{}", aIndex));
  WorkerState& worker = m_state.m_workers[id];
  worker.m_id = id;
  worker.m_total = m_options.m_workerResources;
  VmServer& server = m_vmServers[id.Value()];
  server.m_address = m_anyPort;
  server.m_handler = [this, id](const HttpCall& aCall,
                                const ResponderPtr& aResponder) {
    m_workerFront.Handle(id, aCall, aResponder);
  };
  const auto bound = OpenVm(id.Value());
  if (!bound) return bound.error();
  server.m_address = bound.value();
  const int64_t rack = aIndex / m_options.m_workersPerRack;
  VmInfo vm;
  vm.m_id = id.Value();
  vm.m_role = VmRole::Worker;
  vm.m_address = AddressText(bound.value());
  vm.m_dataCentre =
      DataCentreId(fmt::format("dc-{}", rack % m_options.m_dataCentres));
  vm.m_rack = RackId(fmt::format("rack-{}", rack));
  vm.m_resources = m_options.m_workerResources;
  SetVm(m_state.m_vms, vm, TimePoint());
  return boost::outcome_v2::success();
}

void Standin::HandlePlatform(HttpCall aCall, ResponderPtr aResponder) {
  if (aCall.m_target.starts_with("/standin/")) {
    HandleAdmin(aCall, aResponder);
  } else {
    m_platform.Handle(std::move(aCall), std::move(aResponder));
  }
}

void Standin::HandleAdmin(const HttpCall& aCall,
                          const ResponderPtr& aResponder) {
  const bool reads = aCall.m_method == "GET";
  if (!reads && !CheckMethod(aCall, "POST", aResponder)) return;
  const std::string path =
      aCall.m_target.substr(std::string("/standin").size());
  if (path == "/vms" && !reads) {
    aResponder->Reply(SetVmState(aCall));
  } else if (path == "/faults") {
    aResponder->Reply(reads ? JsonReply(EncodeFaults(m_state.m_faults))
                            : SwitchFault(aCall));
  } else if (path == "/settings") {
    aResponder->Reply(reads ? JsonReply(EncodeSettings(m_state.m_settings))
                            : ChangeSettings(aCall));
  } else if (path == "/counts" && reads) {
    SampleSlotUse(m_state.m_invariants.m_slots, ReadClock());
    aResponder->Reply(JsonReply(EncodeCounts(m_state.m_invariants)));
  } else {
    ReplyUnknownRoute(aResponder);
  }
}

HttpReply Standin::SetVmState(const HttpCall& aCall) {
  auto vm = DecodeVmChange(m_state.m_vms, aCall.m_body);
  if (!vm) return ErrorReply(vm.error());
  SetVm(m_state.m_vms, std::move(vm.value()), ReadClock());
  ApplyFaults();
  return JsonReply("{}");
}

HttpReply Standin::SwitchFault(const HttpCall& aCall) {
  const auto change = DecodeFault(aCall.m_body);
  if (!change) return ErrorReply(change.error());
  const FaultSwitch& fault = change.value();
  if (fault.m_on) {
    m_state.m_faults.m_active[{fault.m_kind, fault.m_vm}] = fault.m_fault;
  } else {
    m_state.m_faults.m_active.erase({fault.m_kind, fault.m_vm});
  }
  ApplyFaults();
  return JsonReply(EncodeFaults(m_state.m_faults));
}

HttpReply Standin::ChangeSettings(const HttpCall& aCall) {
  auto settings = DecodeSettings(m_state.m_settings, aCall.m_body);
  if (!settings) return ErrorReply(settings.error());
  m_state.m_settings = std::move(settings.value());
  return JsonReply(EncodeSettings(m_state.m_settings));
}

void Standin::ApplyFaults() {
  for (auto& [id, worker] : m_state.m_workers) {
    const std::string& vm = id.Value();
    const bool crashed = IsGone(m_state, vm) ||
                         IsFaulty(m_state.m_faults, FaultKind::WorkerCrash, vm);
    if (crashed && !worker.m_crashed) {
      CrashWorker(m_state, worker, ReadClock());
      CloseVm(vm);
    } else if (!crashed && worker.m_crashed) {
      worker.m_crashed = false;
      ReopenVm(vm);
    }
    if (IsFaulty(m_state.m_faults, FaultKind::WorkerLeaseLapsed, vm)) {
      LapseLeases(m_state, worker, ReadClock());
    }
    m_workerFront.Schedule(id);
  }
  for (auto& [id, runner] : m_state.m_runners) {
    const std::string& vm = id.Value();
    const bool crashed = IsGone(m_state, vm) ||
                         IsFaulty(m_state.m_faults, FaultKind::RunnerCrash, vm);
    if (crashed && !runner.m_crashed) {
      runner.m_crashed = true;
      m_runnerFront.Crash(id);
      CloseVm(vm);
    } else if (!crashed && runner.m_crashed) {
      runner.m_crashed = false;
      ReopenVm(vm);
    }
  }
}

void Standin::SampleEachSecond() {
  m_sampleTimer.expires_after(seconds(1));
  m_sampleTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) return;
    SampleSlotUse(m_state.m_invariants.m_slots, ReadClock());
    SampleEachSecond();
  });
}

}  // namespace bronze

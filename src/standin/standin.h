/**
 * @file standin.h Simulated platform with workers and runners.
 *
 * The control thread, which runs the io_context passed in, is the only one to
 * use the state. The traffic threads parse calls and post them to it.
 */

#ifndef BRONZE_STANDIN_STANDIN_H_
#define BRONZE_STANDIN_STANDIN_H_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "core/metrics/counter_type.h"
#include "net/http_server.h"
#include "standin/platform_front.h"
#include "standin/runner_front.h"
#include "standin/worker_front.h"

namespace bronze {

class Standin {
 public:
  /**
   * aThreads must outlive aControl, whose queued handlers hold responders that
   * refer to aThreads. The destructor stops aThreads.
   */
  Standin(const StandinOptions& aOptions, ThreadPool& aThreads,
          boost::asio::io_context& aControl);
  ~Standin();
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  /** Opens all servers. @return the bound address of the platform. */
  [[nodiscard]] Result<boost::asio::ip::tcp::endpoint> Start();

 private:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using Handler = std::function<void(HttpCall, ResponderPtr)>;
  /** The server of one runner or worker; closed by a crash, opened again. */
  struct VmServer {
    std::unique_ptr<HttpServer> m_server;
    Endpoint m_address;
    Handler m_handler;
    uint64_t m_instance = 0;  ///< Rises with each crash; older calls abort.
  };

  [[nodiscard]] std::unique_ptr<HttpServer> MakeServer(Handler aHandler);
  [[nodiscard]] Result<Endpoint> OpenVm(const std::string& aVm);
  void ReopenVm(const std::string& aVm);
  void CloseVm(const std::string& aVm);
  [[nodiscard]] Result<void> AddRunner(int64_t aIndex);
  [[nodiscard]] Result<void> AddWorker(int64_t aIndex);
  void HandlePlatform(HttpCall aCall, ResponderPtr aResponder);
  void HandleAdmin(const HttpCall& aCall, const ResponderPtr& aResponder);
  [[nodiscard]] HttpReply SetVmState(const HttpCall& aCall);
  [[nodiscard]] HttpReply SwitchFault(const HttpCall& aCall);
  [[nodiscard]] HttpReply ChangeSettings(const HttpCall& aCall);
  /** Crashes, restarts or lapses VMs as faults and VM states now demand. */
  void ApplyFaults();
  /** Samples the slots in use once per second until the timer is cancelled. */
  void SampleEachSecond();

  StandinOptions m_options;
  ThreadPool& m_threads;
  boost::asio::io_context& m_control;
  Counters m_counters;
  StandinState m_state;
  PlatformFront m_platform;
  RunnerFront m_runnerFront;
  WorkerFront m_workerFront;
  boost::asio::steady_timer m_sampleTimer;
  Endpoint m_anyPort;  ///< Host to listen on, with port 0.
  std::map<std::string, VmServer> m_vmServers;
  std::unique_ptr<HttpServer> m_platformServer;
};

}  // namespace bronze

#endif  // BRONZE_STANDIN_STANDIN_H_

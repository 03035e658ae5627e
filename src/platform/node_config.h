/**
 * @file node_config.h Settings of one process, read from the platform's file.
 */

#ifndef BRONZE_PLATFORM_NODE_CONFIG_H_
#define BRONZE_PLATFORM_NODE_CONFIG_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/error/error_type.h"
#include "core/overload/traffic_type.h"

namespace bronze {

struct NodeConfig {
  VmId m_vm;
  DataCentreId m_dataCentre;
  boost::asio::ip::tcp::endpoint m_callerAddress;
  boost::asio::ip::tcp::endpoint m_readyAddress;
  boost::asio::ip::tcp::endpoint m_peerAddress;
  boost::asio::ip::tcp::endpoint m_storeAddress;
  /** Advice service; not set if the deployment has none. */
  std::optional<boost::asio::ip::tcp::endpoint> m_adviceAddress;
  double m_cpuShare = 1.0;     ///< CPU limit of this process, in cores.
  ProcessLimits m_limits;      ///< Memory and descriptors of this process.
  double m_linkMbps = 1000.0;  ///< Bandwidth of the VM's link.
  Duration m_configApply{};    ///< A configuration is in force within this.
  /** A runner that says that it leaves gets no task later than this. */
  Duration m_drainNotice{};
  /** Nothing is started in a data centre later than this after its evacuation
   *  was requested; not set if the deployment has no evacuations. */
  std::optional<Duration> m_evacuationNotice;
  Duration m_grace{};              ///< Time from SIGTERM to SIGKILL.
  Duration m_maxLease{};           ///< Runners cut longer leases to this.
  double m_spreadFactor = 1.0;     ///< Run time factor outside the data's rack.
  Duration m_statusRetention{};    ///< How long ended jobs stay known.
  size_t m_storeRowBytes = 65536;  ///< Largest value that the store accepts.

  friend bool operator==(const NodeConfig&, const NodeConfig&) = default;
};

/** What a settings file says, as it is used. */
struct NodeConfigReading {
  NodeConfig m_config;
  /** Per field that is not used as it stands, the reason and what is used. */
  std::vector<std::string> m_corrections;
};

/** Environment variable that holds the path of the settings file. */
inline constexpr char kSettingsVariable[] = "BRONZEWORKS_CONFIG";

/** @return the text of the settings file. */
[[nodiscard]] Result<std::string> ReadSettingsText(const std::string& aPath);

/** Decodes the settings file. Only a needed field that is missing or cannot be
 *  used is an error (settings_figure.h); it lists all of them. */
[[nodiscard]] Result<NodeConfigReading> DecodeNodeConfig(
    const std::string& aText);

}  // namespace bronze

#endif  // BRONZE_PLATFORM_NODE_CONFIG_H_

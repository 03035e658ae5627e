/**
 * @file node_config.cpp Settings of one process, read from the platform's file.
 *
 * Unknown fields are ignored, as the platform may add some.
 */

#include "platform/node_config.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <fstream>
#include <functional>
#include <sstream>
#include <vector>

#include "net/address_func.h"

namespace bronze {

namespace {

/** Reads fields and collects the problems, so that all are reported at once. */
class Reader {
 public:
  explicit Reader(const YAML::Node& aRoot) : m_root(aRoot) {}

  template <class T>
  T Get(const std::vector<std::string>& aPath, T aDefault, bool aRequired) {
    YAML::Node at = YAML::Clone(m_root);
    std::string name;
    for (const std::string& part : aPath) {
      name += (name.empty() ? "" : ".") + part;
      if (!at.IsMap() || !at[part]) {
        if (aRequired) m_problems.push_back(name + " is missing");
        return aDefault;
      }
      at.reset(at[part]);
    }
    try {
      return at.as<T>();
    } catch (const YAML::Exception& error) {
      m_problems.push_back(fmt::format("{}: {}", name, error.what()));
      return aDefault;
    }
  }

  boost::asio::ip::tcp::endpoint Address(
      const std::vector<std::string>& aPath) {
    const auto text = Get<std::string>(aPath, "", true);
    if (text.empty()) return {};
    const auto address = ParseAddress(text);
    if (!address) {
      m_problems.push_back(address.error().m_message);
      return {};
    }
    return address.value();
  }

  Duration Seconds(const std::vector<std::string>& aPath, double aDefault) {
    return Duration(static_cast<int64_t>(Get(aPath, aDefault, false) * 1e6));
  }
  Duration Millis(const std::vector<std::string>& aPath, int64_t aDefault) {
    return milliseconds(Get(aPath, aDefault, false));
  }

  void Problem(std::string aText) { m_problems.push_back(std::move(aText)); }
  [[nodiscard]] const std::vector<std::string>& Problems() const {
    return m_problems;
  }

 private:
  YAML::Node m_root;
  std::vector<std::string> m_problems;
};

// Used if the settings file has no such field; the platform documents the same
// defaults.
constexpr double kDefaultGraceSeconds = 6.0;
constexpr int64_t kDefaultMaxLeaseMs = 6000;
constexpr double kDefaultStatusSeconds = 120.0;
constexpr double kDefaultLinkMbps = 1000.0;
constexpr int64_t kDefaultConfigApplyMs = 2000;
constexpr int64_t kDefaultDrainMs = 2000;
constexpr int64_t kNoEvacuations = 0;
constexpr int64_t kDefaultRowBytes = 65536;
/** Holds a state row without tasks, and a block of several tasks. */
constexpr int64_t kMinRowBytes = 8192;
/** The process does not start with less. */
constexpr int64_t kMinMemoryMb = 32;
constexpr int64_t kMinDescriptors = 64;

ProcessLimits ReadLimits(Reader& aReader) {
  ProcessLimits limits;
  const auto read = [&aReader](const std::string& aName, int64_t aDefault,
                               int64_t aMin) {
    const auto value = aReader.Get<int64_t>({"limits", aName}, aDefault, false);
    if (value >= aMin) return value;
    aReader.Problem(
        fmt::format("limits.{} is {}; the minimum is {}", aName, value, aMin));
    return aDefault;
  };
  limits.m_memory =
      Mebibytes(read("memory_mb", limits.m_memory.Value(), kMinMemoryMb));
  limits.m_descriptors = static_cast<size_t>(read(
      "max_fds", static_cast<int64_t>(limits.m_descriptors), kMinDescriptors));
  return limits;
}

NodeConfig Read(Reader& aReader) {
  NodeConfig config;
  config.m_vm = VmId(aReader.Get<std::string>({"node_name"}, "", true));
  config.m_dataCentre =
      DataCentreId(aReader.Get<std::string>({"zone"}, "", true));
  config.m_callerAddress = aReader.Address({"listen", "front"});
  config.m_readyAddress = aReader.Address({"listen", "ready"});
  config.m_storeAddress = aReader.Address({"platform", "address"});
  if (!aReader.Get<std::string>({"advice"}, "", false).empty()) {
    config.m_adviceAddress = aReader.Address({"advice"});
  }
  const auto ip = aReader.Get<std::string>({"ip"}, "", true);
  const auto ports = aReader.Get<std::vector<int>>({"port_range"}, {}, true);
  if (!ip.empty() && !ports.empty()) {
    const auto address = ParseAddress(fmt::format("{}:{}", ip, ports.front()));
    if (address) {
      config.m_peerAddress = address.value();
    } else {
      aReader.Problem(address.error().m_message);
    }
  }
  config.m_cpuShare = aReader.Get({"limits", "cpu_share"}, 1.0, false);
  config.m_limits = ReadLimits(aReader);
  config.m_linkMbps =
      aReader.Get({"limits", "link_mbps"}, kDefaultLinkMbps, false);
  config.m_configApply =
      aReader.Millis({"bounds", "config_apply_ms"}, kDefaultConfigApplyMs);
  config.m_drainNotice =
      aReader.Millis({"bounds", "drain_ms"}, kDefaultDrainMs);
  const int64_t evacuation =
      aReader.Get<int64_t>({"bounds", "evacuate_ms"}, kNoEvacuations, false);
  if (evacuation < kNoEvacuations) {
    aReader.Problem(fmt::format(
        "bounds.evacuate_ms is {}; it cannot be negative", evacuation));
  }
  if (evacuation > kNoEvacuations) {
    config.m_evacuationNotice = milliseconds(evacuation);
  }
  config.m_grace = aReader.Seconds({"bounds", "grace_s"}, kDefaultGraceSeconds);
  config.m_maxLease =
      aReader.Millis({"bounds", "max_hold_ms"}, kDefaultMaxLeaseMs);
  config.m_spreadFactor = aReader.Get({"bounds", "spread_factor"}, 1.0, false);
  config.m_statusRetention =
      aReader.Seconds({"bounds", "status_s"}, kDefaultStatusSeconds);
  const auto rowBytes =
      aReader.Get<int64_t>({"platform", "row_bytes"}, kDefaultRowBytes, false);
  if (rowBytes < kMinRowBytes) {
    aReader.Problem(fmt::format("platform.row_bytes is {}; the minimum is {}",
                                rowBytes, kMinRowBytes));
  }
  config.m_storeRowBytes = static_cast<size_t>(rowBytes);
  return config;
}

}  // namespace

Result<NodeConfig> DecodeNodeConfig(const std::string& aText) {
  YAML::Node root;
  try {
    root = YAML::Load(aText);
  } catch (const YAML::Exception& error) {
    return MakeError(
        ErrorKind::ConfigInvalid,
        fmt::format("the settings file is not valid YAML: {}", error.what()));
  }
  Reader reader(root);
  NodeConfig config = Read(reader);
  if (reader.Problems().empty()) return config;
  return MakeError(
      ErrorKind::ConfigInvalid,
      fmt::format("invalid settings: {}", fmt::join(reader.Problems(), "; ")));
}

Result<std::string> ReadSettingsText(const std::string& aPath) {
  std::ifstream file(aPath);
  if (!file) {
    return MakeError(ErrorKind::FileUnreadable,
                     fmt::format("cannot read the settings file {}", aPath));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace bronze

/**
 * @file node_config.cpp Settings of one process, read from the platform's file.
 *
 * Unknown fields are ignored, as the platform may add some.
 */

#include "platform/node_config.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <cmath>
#include <fstream>
#include <sstream>
#include <utility>
#include <vector>

#include "net/address_func.h"
#include "platform/settings_figure.h"

namespace bronze {

namespace {

/** Stands in messages for a list or a map. */
constexpr char kNoScalar[] = "(a list or map)";

/** Reads fields. Collects the problems of needed fields, so that all are
 *  reported at once, and the corrections of the others. */
class Reader {
 public:
  explicit Reader(const YAML::Node& aRoot) : m_root(aRoot) {}

  /** @return the value of a needed field; empty if there is none. */
  std::string Needed(const std::vector<std::string>& aPath) {
    const YAML::Node node = Find(aPath);
    if (node.IsDefined() && node.IsScalar() && !node.Scalar().empty()) {
      return node.Scalar();
    }
    m_problems.push_back(fmt::format(
        "{} {}", fmt::join(aPath, "."),
        node.IsDefined() && !node.IsNull() ? "is not a text" : "is missing"));
    return "";
  }

  boost::asio::ip::tcp::endpoint NeededAddress(
      const std::vector<std::string>& aPath) {
    const std::string text = Needed(aPath);
    if (text.empty()) return {};
    const auto address = ParseAddress(text);
    if (address) return address.value();
    m_problems.push_back(fmt::format("{}: {}", fmt::join(aPath, "."),
                                     address.error().m_message));
    return {};
  }

  /** @return the address for other daemons: the VM's, with the first port of
   * the range. */
  boost::asio::ip::tcp::endpoint PeerAddress() {
    const std::string ip = Needed({"ip"});
    const uint16_t port = NeededFirstPort("port_range");
    if (ip.empty() || port == 0) return {};
    const auto address = ParseAddress(fmt::format("{}:{}", ip, port));
    if (address) return address.value();
    m_problems.push_back("ip: " + address.error().m_message);
    return {};
  }

  /** @return an address that is not needed; none if it is empty or cannot be
   *          read. */
  std::optional<boost::asio::ip::tcp::endpoint> Address(
      const std::string& aName) {
    const auto text = Value({aName});
    if (!text || text->empty()) return {};
    const auto address = ParseAddress(*text);
    if (address) return address.value();
    m_corrections.push_back(
        fmt::format("{} is not used: {}", aName, address.error().m_message));
    return {};
  }

  double Figure(FigureId aId) {
    const FigureField& field = FieldOf(aId);
    FigureReading reading = ReadFigure(
        field,
        Value({std::string(field.m_section), std::string(field.m_name)}));
    if (!reading.m_correction.empty()) {
      m_corrections.push_back(std::move(reading.m_correction));
    }
    return reading.m_value;
  }

  /** @param aUnit of the figure. @return the time in whole microseconds. */
  Duration Time(FigureId aId, Duration aUnit) {
    const double exact = Figure(aId) * static_cast<double>(aUnit.count());
    const bool up = FieldOf(aId).m_rounding == FigureRounding::Up;
    return Duration(
        static_cast<int64_t>(up ? std::ceil(exact) : std::floor(exact)));
  }
  Duration Millis(FigureId aId) { return Time(aId, milliseconds(1)); }
  Duration Seconds(FigureId aId) { return Time(aId, seconds(1)); }
  int64_t Whole(FigureId aId) {
    return static_cast<int64_t>(std::floor(Figure(aId)));
  }

  [[nodiscard]] const std::vector<std::string>& Problems() const {
    return m_problems;
  }
  [[nodiscard]] std::vector<std::string> TakeCorrections() {
    return std::move(m_corrections);
  }

 private:
  /** @return the first port of the range; 0 if there is none. */
  uint16_t NeededFirstPort(const std::string& aName) {
    constexpr double kMaxPort = 65535.0;
    const YAML::Node range = Find({aName});
    std::optional<double> port;
    if (range.IsDefined() && range.IsSequence() && range.size() > 0 &&
        range[0].IsScalar()) {
      port = ParseFigure(range[0].Scalar());
    }
    if (port && *port >= 1.0 && *port <= kMaxPort) {
      return static_cast<uint16_t>(*port);
    }
    m_problems.push_back(aName + " has no first port");
    return 0;
  }

  /** @return the value of a field that is not needed; none if it is missing. */
  [[nodiscard]] std::optional<std::string> Value(
      const std::vector<std::string>& aPath) const {
    const YAML::Node node = Find(aPath);
    if (!node.IsDefined() || node.IsNull()) return {};
    return node.IsScalar() ? node.Scalar() : kNoScalar;
  }

  [[nodiscard]] YAML::Node Find(const std::vector<std::string>& aPath) const {
    YAML::Node at = YAML::Clone(m_root);
    for (const std::string& part : aPath) {
      if (!at.IsMap()) return YAML::Node(YAML::NodeType::Undefined);
      const YAML::Node next = std::as_const(at)[part];
      if (!next.IsDefined()) return YAML::Node(YAML::NodeType::Undefined);
      at.reset(next);
    }
    return at;
  }

  YAML::Node m_root;
  std::vector<std::string> m_problems;
  std::vector<std::string> m_corrections;
};

NodeConfig Read(Reader& aReader) {
  NodeConfig config;
  config.m_vm = VmId(aReader.Needed({"node_name"}));
  config.m_dataCentre = DataCentreId(aReader.Needed({"zone"}));
  config.m_callerAddress = aReader.NeededAddress({"listen", "front"});
  config.m_readyAddress = aReader.NeededAddress({"listen", "ready"});
  config.m_storeAddress = aReader.NeededAddress({"platform", "address"});
  config.m_adviceAddress = aReader.Address("advice");
  config.m_peerAddress = aReader.PeerAddress();
  config.m_cpuShare = aReader.Figure(FigureId::CpuShare);
  config.m_limits.m_memory = Mebibytes(aReader.Whole(FigureId::Memory));
  config.m_limits.m_descriptors =
      static_cast<size_t>(aReader.Whole(FigureId::Descriptors));
  config.m_linkMbps = aReader.Figure(FigureId::LinkRate);
  config.m_configApply = aReader.Millis(FigureId::ConfigApply);
  config.m_drainNotice = aReader.Millis(FigureId::DrainNotice);
  const Duration evacuation = aReader.Millis(FigureId::EvacuationNotice);
  if (evacuation > Duration::zero()) config.m_evacuationNotice = evacuation;
  config.m_grace = aReader.Seconds(FigureId::Grace);
  config.m_maxLease = aReader.Millis(FigureId::MaxLease);
  config.m_spreadFactor = aReader.Figure(FigureId::SpreadFactor);
  config.m_statusRetention = aReader.Seconds(FigureId::StatusRetention);
  config.m_storeRowBytes =
      static_cast<size_t>(aReader.Whole(FigureId::RowBytes));
  return config;
}

}  // namespace

Result<NodeConfigReading> DecodeNodeConfig(const std::string& aText) {
  YAML::Node root;
  try {
    root = YAML::Load(aText);
  } catch (const YAML::Exception& error) {
    return MakeError(
        ErrorKind::ConfigInvalid,
        fmt::format("the settings file is not valid YAML: {}", error.what()));
  }
  Reader reader(root);
  NodeConfigReading settings;
  settings.m_config = Read(reader);
  settings.m_corrections = reader.TakeCorrections();
  if (reader.Problems().empty()) return settings;
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

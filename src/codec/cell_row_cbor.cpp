/**
 * @file cell_row_cbor.cpp CBOR form of the stored rows of cells.
 */

#include "codec/cell_row_cbor.h"

#include <cmath>

#include "codec/row_array.h"

namespace bronze {

namespace {

/** Positions of the fields that rows of earlier builds lack. */
constexpr size_t kLink = 8;
constexpr size_t kSuccessor = 9;
constexpr size_t kLargestAsker = 10;
constexpr double kMillicoresPerCore = 1000.0;
/** Larger values, and those that are no numbers, are taken as unknown. */
constexpr double kMaxCores = 1e6;

/** The CPU has always been stored in cores. */
double CoresOf(const sched::VmCapability& aCapability) {
  return static_cast<double>(aCapability.m_cpu.Value()) / kMillicoresPerCore;
}

Millicores CpuOf(double aCores) {
  if (!(aCores > 0.0 && aCores < kMaxCores)) return {};
  return Millicores(std::llround(aCores * kMillicoresPerCore));
}

template <class Row>
bool HasLinkOrSuccessor(const Row& aRow) {
  return aRow.m_capability.m_link.Value() > 0 || !aRow.m_successor.empty();
}

void AddLinkAndSuccessor(Json& aRow, const sched::VmCapability& aCapability,
                         const std::string& aSuccessor) {
  aRow.push_back(aCapability.m_link.Value());
  aRow.push_back(aSuccessor);
}

void ReadLinkAndSuccessor(const Json& aRow, sched::VmCapability& aCapability,
                          std::string& aSuccessor) {
  if (aRow.size() <= kSuccessor) return;
  aCapability.m_link = sched::KilobitsPerSecond(aRow.at(kLink).get<int64_t>());
  aSuccessor = aRow.at(kSuccessor).get<std::string>();
}

}  // namespace

std::string EncodeOwnerRow(const OwnerRow& aRow) {
  Json unresponsive = Json::array();
  for (const UnresponsiveRunnerRow& row : aRow.m_unresponsive) {
    unresponsive.push_back(
        Json::array({row.m_runner.Value(), row.m_lapsesAt.Value()}));
  }
  Json row =
      Json::array({kFormatVersion, aRow.m_vm, aRow.m_incarnation,
                   aRow.m_address, aRow.m_sequence, CoresOf(aRow.m_capability),
                   aRow.m_longestLease.count(), std::move(unresponsive)});
  const bool hasAsker = aRow.m_largestAsker.m_cpu.Value() > 0;
  if (hasAsker || HasLinkOrSuccessor(aRow)) {
    AddLinkAndSuccessor(row, aRow.m_capability, aRow.m_successor);
  }
  if (hasAsker) {
    row.push_back(Json::array({aRow.m_largestAsker.m_cpu.Value(),
                               aRow.m_largestAsker.m_link.Value()}));
  }
  return ToBytes(row);
}

Result<OwnerRow> DecodeOwnerRow(std::string_view aBytes) {
  return Decode<OwnerRow>(aBytes, "owner row", [](const Json& aJson) {
    OwnerRow row;
    row.m_vm = aJson.at(1).get<std::string>();
    row.m_incarnation = aJson.at(2).get<uint64_t>();
    row.m_address = aJson.at(3).get<std::string>();
    row.m_sequence = aJson.at(4).get<uint64_t>();
    row.m_capability.m_cpu = CpuOf(aJson.at(5).get<double>());
    row.m_longestLease = Duration(aJson.at(6).get<int64_t>());
    for (const Json& unresponsive : aJson.at(7)) {
      row.m_unresponsive.push_back(
          {RunnerId(unresponsive.at(0).get<std::string>()),
           StoreMillis(unresponsive.at(1).get<int64_t>())});
    }
    ReadLinkAndSuccessor(aJson, row.m_capability, row.m_successor);
    if (aJson.size() > kLargestAsker) {
      const Json& asker = aJson.at(kLargestAsker);
      row.m_largestAsker = {
          Millicores(asker.at(0).get<int64_t>()),
          sched::KilobitsPerSecond(asker.at(1).get<int64_t>())};
    }
    return row;
  });
}

std::string EncodeHeartbeatRow(const HeartbeatRow& aRow) {
  Json row = Json::array(
      {kFormatVersion, aRow.m_vm, aRow.m_incarnation, aRow.m_address,
       aRow.m_sequence, CoresOf(aRow.m_capability), aRow.m_term.Value(),
       Json::array({aRow.m_load.m_longRunning, aRow.m_load.m_short,
                    aRow.m_load.m_bestEffort, aRow.m_load.m_cores,
                    aRow.m_load.m_kinds})});
  if (HasLinkOrSuccessor(aRow)) {
    AddLinkAndSuccessor(row, aRow.m_capability, aRow.m_successor);
  }
  return ToBytes(row);
}

Result<HeartbeatRow> DecodeHeartbeatRow(std::string_view aBytes) {
  return Decode<HeartbeatRow>(aBytes, "heartbeat row", [](const Json& aJson) {
    HeartbeatRow row;
    row.m_vm = aJson.at(1).get<std::string>();
    row.m_incarnation = aJson.at(2).get<uint64_t>();
    row.m_address = aJson.at(3).get<std::string>();
    row.m_sequence = aJson.at(4).get<uint64_t>();
    row.m_capability.m_cpu = CpuOf(aJson.at(5).get<double>());
    row.m_term = FencingToken(aJson.at(6).get<uint64_t>());
    const Json& load = aJson.at(7);
    row.m_load.m_longRunning = load.at(0).get<uint32_t>();
    row.m_load.m_short = load.at(1).get<uint32_t>();
    row.m_load.m_bestEffort = load.at(2).get<uint32_t>();
    row.m_load.m_cores = load.at(3).get<uint64_t>();
    row.m_load.m_kinds = load.at(4).get<std::vector<std::string>>();
    ReadLinkAndSuccessor(aJson, row.m_capability, row.m_successor);
    return row;
  });
}

std::string EncodeLayoutRow(const LayoutRow& aRow) {
  return ToBytes(
      Json::array({kFormatVersion, aRow.m_layout.m_cells, aRow.m_countingVm}));
}

Result<LayoutRow> DecodeLayoutRow(std::string_view aBytes) {
  return Decode<LayoutRow>(aBytes, "layout row", [](const Json& aJson) {
    return LayoutRow{{aJson.at(1).get<uint32_t>()},
                     aJson.at(2).get<std::string>()};
  });
}

std::string EncodeRoute(const sched::StoredRoute& aRoute) {
  return ToBytes(Json::array({kFormatVersion, aRoute.m_job.Value(),
                              aRoute.m_cell.Value(), aRoute.m_moveCount}));
}

Result<sched::StoredRoute> DecodeRoute(std::string_view aBytes) {
  return Decode<sched::StoredRoute>(aBytes, "route", [](const Json& aJson) {
    return sched::StoredRoute{JobId(aJson.at(1).get<uint64_t>()),
                              CellId(aJson.at(2).get<uint32_t>()),
                              aJson.at(3).get<uint32_t>()};
  });
}

}  // namespace bronze

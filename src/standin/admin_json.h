/**
 * @file admin_json.h JSON of faults, settings and counts.
 */

#ifndef BRONZE_STANDIN_ADMIN_JSON_H_
#define BRONZE_STANDIN_ADMIN_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/error/error_type.h"
#include "standin/standin_base.h"

namespace bronze {

/** A command to turn a fault on or off. */
struct FaultSwitch {
  FaultKind m_kind = FaultKind::TableDown;
  std::string m_vm;  ///< Empty for every VM.
  bool m_on = false;
  Fault m_fault;
};

/** Decodes {"name", "on", "vm", "probability", "delay_ms", "seconds", "factor",
 * "echo"}; all but "name" and "on" are optional. */
[[nodiscard]] Result<FaultSwitch> DecodeFault(std::string_view aText);
[[nodiscard]] std::string EncodeFaults(const FaultState& aFaults);

/** @return aSettings with the members that the text contains changed. */
[[nodiscard]] Result<StandinSettings> DecodeSettings(
    const StandinSettings& aSettings, std::string_view aText);
[[nodiscard]] std::string EncodeSettings(const StandinSettings& aSettings);

[[nodiscard]] std::string EncodeCounts(const Invariants& aInvariants);

}  // namespace bronze

#endif  // BRONZE_STANDIN_ADMIN_JSON_H_

/**
 * @file load_options.h Parses and validates the options of the load generator.
 */

#ifndef BRONZE_LOAD_LOAD_OPTIONS_H_
#define BRONZE_LOAD_LOAD_OPTIONS_H_

#include <string_view>

#include "core/error/error_type.h"
#include "load/load_type.h"

namespace bronze {

inline constexpr double kMaxRate = 20'000.0;  ///< Requests per second.
inline constexpr Duration kMaxDuration = seconds(600);

/** Parses "IP:PORT,IP:PORT". Only loopback addresses are accepted. */
[[nodiscard]] Result<std::vector<boost::asio::ip::tcp::endpoint>> ParseTargets(
    std::string_view aText);

/** Parses KIND=SHARE pairs, such as "check=70,plan=10". */
[[nodiscard]] Result<std::vector<KindShare>> ParseMix(std::string_view aText);

/**
 * Parses "FACTOR@START+LENGTH", with START and LENGTH in seconds. An empty text
 * means no swing.
 */
[[nodiscard]] Result<Swing> ParseSwing(std::string_view aText);

/** @return the options, or an error if a value is out of its range. */
[[nodiscard]] Result<LoadOptions> CheckOptions(LoadOptions aOptions);

}  // namespace bronze

#endif  // BRONZE_LOAD_LOAD_OPTIONS_H_

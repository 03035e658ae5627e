/**
 * @file load_options.cpp Parses and validates the options of the load
 * generator.
 */

#include "load/load_options.h"

#include <fmt/format.h>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "net/address_func.h"

namespace bronze {

namespace {

Error Usage(std::string aMessage) {
  return MakeError(ErrorKind::Usage, std::move(aMessage));
}

std::vector<std::string> SplitAt(std::string_view aText, const char* aAt) {
  std::vector<std::string> parts;
  const std::string text(aText);
  boost::algorithm::split(parts, text, boost::algorithm::is_any_of(aAt));
  return parts;
}

/** @return false unless the whole text is a number that is not negative. */
bool ReadNumber(const std::string& aText, double& aTo) {
  return boost::conversion::try_lexical_convert(aText, aTo) && aTo >= 0.0;
}

Duration FromSeconds(double aSeconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aSeconds));
}

}  // namespace

Result<std::vector<boost::asio::ip::tcp::endpoint>> ParseTargets(
    std::string_view aText) {
  std::vector<boost::asio::ip::tcp::endpoint> targets;
  for (const std::string& text : SplitAt(aText, ",")) {
    const auto target = ParseAddress(text);
    if (!target) return target.error();
    // The generator must never send load to another machine.
    if (!target.value().address().is_loopback()) {
      return Usage(
          fmt::format("--targets: {} is not a loopback address", text));
    }
    targets.push_back(target.value());
  }
  return targets;
}

Result<std::vector<KindShare>> ParseMix(std::string_view aText) {
  std::vector<KindShare> mix;
  double sum = 0.0;
  for (const std::string& text : SplitAt(aText, ",")) {
    const auto parts = SplitAt(text, "=");
    KindShare item;
    if (parts.size() != 2 || parts[0].empty() ||
        !ReadNumber(parts[1], item.m_share)) {
      return Usage(fmt::format(
          "--mix: \"{}\" is not KIND=SHARE with a number of at least 0", text));
    }
    item.m_kind = KindId(parts[0]);
    sum += item.m_share;
    mix.push_back(std::move(item));
  }
  if (sum <= 0.0) return Usage("--mix: all shares are 0");
  return mix;
}

Result<Swing> ParseSwing(std::string_view aText) {
  if (aText.empty()) return Swing{};
  const auto parts = SplitAt(aText, "@+");
  double factor = 0.0;
  double start = 0.0;
  double length = 0.0;
  if (parts.size() != 3 || !ReadNumber(parts[0], factor) ||
      !ReadNumber(parts[1], start) || !ReadNumber(parts[2], length)) {
    return Usage(fmt::format(
        "--swing: \"{}\" is not FACTOR@START+LENGTH with numbers of at least 0",
        aText));
  }
  return Swing{factor, FromSeconds(start), FromSeconds(length)};
}

Result<LoadOptions> CheckOptions(LoadOptions aOptions) {
  const double peakRate =
      aOptions.m_rate * (aOptions.m_swing.m_length > Duration::zero()
                             ? aOptions.m_swing.m_factor
                             : 1.0);
  if (aOptions.m_rate < 0.0 || aOptions.m_rate > kMaxRate ||
      peakRate > kMaxRate) {
    return Usage(
        fmt::format("--rate must be 0 to {} per second, also when multiplied "
                    "by the factor of --swing",
                    kMaxRate));
  }
  if (aOptions.m_duration <= Duration::zero() ||
      aOptions.m_duration > kMaxDuration) {
    return Usage("--duration must be above 0 s and at most 600 s");
  }
  if (aOptions.m_connections < 1 || aOptions.m_window < milliseconds(1) ||
      aOptions.m_jobs < 0 || aOptions.m_tasksPerJob < 1) {
    return Usage(
        "--connections, --window-ms and --tasks must be at least 1, --batch at "
        "least 0");
  }
  if (aOptions.m_targets.empty()) return Usage("--targets contains no address");
  return aOptions;
}

}  // namespace bronze

/**
 * @file settings_figure.cpp Figures in the settings file of one process.
 */

#include "platform/settings_figure.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace bronze {

namespace {

using Rounding = FigureRounding;

// Longer times than an hour are not useful, and all sums of times stay far
// within what a clock can hold.
constexpr double kMaxMillis = 3'600'000.0;
constexpr double kMaxSeconds = 3600.0;
constexpr double kMaxRetention = 2'592'000.0;  // 30 days.
/** Evacuations are expected as soon as there is any figure but 0. */
constexpr double kShortestNotice = 1.0;
constexpr double kMaxMemory = 16'777'216.0;
constexpr double kMaxDescriptors = 16'777'216.0;
constexpr double kMaxRowBytes = 1'073'741'824.0;

// The platform documents the same values for missing fields.
constexpr std::array<FigureField, kFigureCount> kFields = {{
    {FigureId::CpuShare, "limits", "cpu_share", "cores", 1.0, 1.0, 0.01, 1024.0,
     Rounding::Exact, "CPU limit of the process"},
    {FigureId::LinkRate, "limits", "link_mbps", "Mbit/s", 1000.0, 1000.0, 0.1,
     1'000'000.0, Rounding::Exact, "bandwidth of the VM's link"},
    {FigureId::Memory, "limits", "memory_mb", "MiB", 160.0, 160.0, 32.0,
     kMaxMemory, Rounding::Down, "memory limit of the process"},
    {FigureId::Descriptors, "limits", "max_fds", "descriptors", 4100.0, 4100.0,
     64.0, kMaxDescriptors, Rounding::Down, "descriptor limit of the process"},
    {FigureId::ConfigApply, "bounds", "config_apply_ms", "ms", 2000.0, 2000.0,
     1.0, kMaxMillis, Rounding::Down,
     "a configuration is in force within this"},
    {FigureId::DrainNotice, "bounds", "drain_ms", "ms", 2000.0, 2000.0, 1.0,
     kMaxMillis, Rounding::Down,
     "a runner that says that it leaves gets no task later than this"},
    {FigureId::EvacuationNotice, "bounds", "evacuate_ms", "ms", 0.0,
     kShortestNotice, kShortestNotice, kMaxMillis, Rounding::Down,
     "nothing is started in a data centre later than this after its evacuation "
     "was requested; 0: there are no evacuations"},
    {FigureId::Grace, "bounds", "grace_s", "s", 6.0, 6.0, 0.1, kMaxSeconds,
     Rounding::Down, "time from SIGTERM to SIGKILL"},
    {FigureId::MaxLease, "bounds", "max_hold_ms", "ms", 6000.0, 6000.0, 500.0,
     kMaxMillis, Rounding::Up, "runners shorten longer leases to this"},
    {FigureId::SpreadFactor, "bounds", "spread_factor", "times", 1.0, 1.0, 0.01,
     1000.0, Rounding::Exact, "run time outside the rack of a step's data"},
    {FigureId::StatusRetention, "bounds", "status_s", "s", 120.0, 120.0, 1.0,
     kMaxRetention, Rounding::Up, "how long ended jobs stay known"},
    {FigureId::RowBytes, "platform", "row_bytes", "bytes", 65536.0, 65536.0,
     8192.0, kMaxRowBytes, Rounding::Down,
     "largest value that the store accepts"},
}};

constexpr std::string_view kIntroduction =
    R"(# Settings of bronze-scheduler on the platform

The platform writes the settings file of each process; `bronze-scheduler --list-settings`
prints this page. Fields that are not named here are ignored.

**What keeps a process from starting**: a file that is not YAML, or one in which a needed field is
missing or cannot be used. Nothing else does. Needed are `node_name`, `zone`, `ip`, `port_range` (its
first port), `listen.front`, `listen.ready` and `platform.address`; all of them are named in
the error, and the exit code is 2. A running process keeps its settings then, writes `settings reload
refused`, and counts `bronze_settings_reloads_total{result="refused"}`: such a file has to be corrected before a
process restarts.

**Figures** are never a reason not to start. A whole number, a fraction, an exponent and a number
in quotes are figures. What is no finite number counts as the value in the column *unreadable*; a figure outside
of the range as the nearest end of the range. Start and reload read a file in the same way. For each figure that is
not used as it stands, the log has a line `setting corrected` at start and at each reload, and
`bronze_settings_corrected` is the number of such fields in the file in force. `bronze-scheduler --check` prints
the same lines.

A fraction that needs rounding (times to whole microseconds) is rounded down where it bounds what this system
does, and up where it bounds what others do.

`advice` is the address of the advice service. Without it, or if it cannot be used (`setting corrected`), steps
that need the permission of that service wait.

| field | unit | missing | unreadable | range | rounded | meaning |
| --- | --- | --- | --- | --- | --- | --- |
)";

std::string_view RoundingName(Rounding aRounding) {
  switch (aRounding) {
    case Rounding::Exact:
      return "no";
    case Rounding::Down:
      return "down";
    case Rounding::Up:
      return "up";
  }
  return "";
}

/** @return the text, shortened and on one line, for the log. */
std::string Shown(std::string_view aText) {
  constexpr size_t kMaxShown = 40;
  std::string shown(aText.substr(0, kMaxShown));
  std::replace_if(
      shown.begin(), shown.end(),
      [](char aChar) { return aChar < ' ' || aChar > '~'; }, '?');
  return shown;
}

}  // namespace

const FigureField& FieldOf(FigureId aId) {
  return kFields[static_cast<size_t>(aId)];
}

std::string KeyOf(const FigureField& aField) {
  return fmt::format("{}.{}", aField.m_section, aField.m_name);
}

std::optional<double> ParseFigure(std::string_view aText) {
  if (!aText.empty() && aText.front() == '+') aText.remove_prefix(1);
  double number = 0.0;
  const char* const end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || last != end || !std::isfinite(number)) return {};
  return number;
}

FigureReading ReadFigure(const FigureField& aField,
                         std::optional<std::string_view> aText) {
  if (!aText) return {aField.m_absent, ""};
  const auto figure = ParseFigure(*aText);
  if (!figure) {
    return {aField.m_unreadable,
            fmt::format("{} is \"{}\", which is not a number; {} is used",
                        KeyOf(aField), Shown(*aText), aField.m_unreadable)};
  }
  if (*figure == aField.m_absent) return {aField.m_absent, ""};
  const double nearest = std::clamp(*figure, aField.m_least, aField.m_most);
  if (nearest == *figure) return {nearest, ""};
  return {nearest, fmt::format("{} is {}; {} is used", KeyOf(aField),
                               Shown(*aText), nearest)};
}

std::string PlatformSettingsDocument() {
  std::string text(kIntroduction);
  for (const FigureField& field : kFields) {
    text += fmt::format("| `{}` | {} | {} | {} | {} to {} | {} | {} |\n",
                        KeyOf(field), field.m_unit, field.m_absent,
                        field.m_unreadable, field.m_least, field.m_most,
                        RoundingName(field.m_rounding), field.m_meaning);
  }
  return text;
}

}  // namespace bronze

/**
 * @file settings_figure.h Figures in the settings file of one process.
 *
 * No figure keeps a process from starting: whatever stands in the file, there
 * is one reading of it, which the table gives. A process that starts and one
 * that reloads the file read it in the same way, so that a file that running
 * processes accept never ends the next one that starts.
 */

#ifndef BRONZE_PLATFORM_SETTINGS_FIGURE_H_
#define BRONZE_PLATFORM_SETTINGS_FIGURE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronze {

enum class FigureId : uint8_t {
  CpuShare,
  LinkRate,
  Memory,
  Descriptors,
  ConfigApply,
  DrainNotice,
  EvacuationNotice,
  Grace,
  MaxLease,
  SpreadFactor,
  StatusRetention,
  RowBytes,
};
inline constexpr size_t kFigureCount = 12;

/** Which whole number of the smallest unit a fraction becomes: down where the
 *  figure bounds what this system does, up where it bounds what others do. */
enum class FigureRounding : uint8_t { Exact, Down, Up };

struct FigureField {
  FigureId m_id;
  std::string_view m_section;
  std::string_view m_name;
  std::string_view m_unit;
  /** Used if the file has no value; accepted also if it is out of the range. */
  double m_absent;
  double m_unreadable;  ///< Used if the value is no finite number.
  double m_least;       ///< Used for all lower figures.
  double m_most;        ///< Used for all higher figures.
  FigureRounding m_rounding;
  std::string_view m_meaning;
};

[[nodiscard]] const FigureField& FieldOf(FigureId aId);

/** @return the field's name with its section, as in "bounds.drain_ms". */
[[nodiscard]] std::string KeyOf(const FigureField& aField);

/** @return the number; none if the text is not one finite decimal number. */
[[nodiscard]] std::optional<double> ParseFigure(std::string_view aText);

struct FigureReading {
  double m_value = 0.0;
  std::string
      m_correction;  ///< Why the value is not that of the file, or empty.
};

/** @param aText the value in the file; none: the file has no value. */
[[nodiscard]] FigureReading ReadFigure(const FigureField& aField,
                                       std::optional<std::string_view> aText);

/** @return the text of docs/SETTINGS-platform.md. */
[[nodiscard]] std::string PlatformSettingsDocument();

}  // namespace bronze

#endif  // BRONZE_PLATFORM_SETTINGS_FIGURE_H_

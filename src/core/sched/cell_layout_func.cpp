/**
 * @file cell_layout_func.cpp Finds the cell of a job or of a rack.
 */

#include "core/sched/cell_layout_func.h"

#include <xxhash.h>

#include <algorithm>

namespace bronze::sched {

namespace {

/** Each cell needs a heartbeat each half second, all in one part of the store,
 *  which takes some 150 transactions a second. */
constexpr uint32_t kMaxCells = 48;
/** Longer numbers at the end of a rack's name are taken modulo this. */
constexpr uint64_t kMaxRackNumber = 1'000'000;

bool IsDigit(char aByte) { return aByte >= '0' && aByte <= '9'; }

}  // namespace

CellId HomeCell(const CellLayout& aLayout, JobId aJob) {
  const uint64_t value = aJob.Value();
  return CellId(static_cast<uint32_t>(XXH3_64bits(&value, sizeof value) %
                                      aLayout.m_cells));
}

CellId CellOfRack(const CellLayout& aLayout, std::string_view aRack) {
  size_t prefix = aRack.size();
  while (prefix > 0 && IsDigit(aRack[prefix - 1])) --prefix;
  uint64_t number = 0;
  for (const char digit : aRack.substr(prefix)) {
    number =
        (number * 10 + static_cast<uint64_t>(digit - '0')) % kMaxRackNumber;
  }
  const uint64_t first = XXH3_64bits(aRack.data(), prefix) % aLayout.m_cells;
  return CellId(static_cast<uint32_t>((first + number) % aLayout.m_cells));
}

CellId CellOfRunner(const CellLayout& aLayout, const RunnerEntry& aRunner) {
  return CellOfRack(aLayout, aRunner.m_labels.empty()
                                 ? std::string_view(aRunner.m_id.Value())
                                 : std::string_view(aRunner.m_labels.back()));
}

uint32_t CellsFor(size_t aRunners, size_t aRunnersPerCell) {
  const size_t per = std::max<size_t>(1, aRunnersPerCell);
  const size_t cells = (aRunners + per / 2) / per;
  return static_cast<uint32_t>(std::clamp<size_t>(cells, 1, kMaxCells));
}

}  // namespace bronze::sched

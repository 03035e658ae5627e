/**
 * @file interference_func.h Learns and applies the table of interference
 * between images.
 */

#ifndef BRONZE_CORE_SCHED_INTERFERENCE_FUNC_H_
#define BRONZE_CORE_SCHED_INTERFERENCE_FUNC_H_

#include <map>

#include "core/base/id_type.h"
#include "core/sched/interference_type.h"

namespace bronze::sched {

/** @return the index of the image, which is added if it is new. */
ImageIndex FindOrAddImage(ImageInterferenceTable& aTable,
                          const std::string& aName);

/** @return the load added to the latency-critical task per share of the cores
 *  that the best-effort image uses (a share of 1 is all cores). */
[[nodiscard]] double InterferenceOf(const ImageInterferenceTable& aTable,
                                    ImageIndex aBestEffort,
                                    ImageIndex aLatencyCritical);

/** Updates the image's lowest tail latency. */
void RecordTail(ImageInterferenceTable& aTable, ImageIndex aLatencyCritical,
                double aTailMs);

/** @return the load in [0, 1) that corresponds to the tail latency. */
[[nodiscard]] double LoadFromTail(const ImageInterferenceTable& aTable,
                                  ImageIndex aLatencyCritical, double aTailMs);

/** @return the load that the best-effort images add, by the table. */
[[nodiscard]] double AddedLoad(const ImageInterferenceTable& aTable,
                               const std::vector<UsedShare>& aUsed,
                               ImageIndex aLatencyCritical);

/**
 * Learns from the change of a latency-critical task's load between two
 * measurements. Changes are used because the task's own load is unknown and
 * varies slowly.
 */
void LearnInterference(ImageInterferenceTable& aTable,
                       const std::vector<UsedShare>& aChanges,
                       ImageIndex aLatencyCritical, double aLoadChange);

/** @return the learned values by image name, so many that a row of aMaxBytes
 *          holds them. */
[[nodiscard]] StoredInterference ToStored(const ImageInterferenceTable& aTable,
                                          size_t aMaxBytes = SIZE_MAX);

/** Loads the values that an earlier owner learned into an empty table. */
void RestoreInterference(ImageInterferenceTable& aTable,
                         const StoredInterference& aStored);

/** Replaces what other cells have learned. It counts beside the own
 *  measurements and is not part of ToStored. */
void ShareInterference(ImageInterferenceTable& aTable,
                       const std::map<CellId, StoredInterference>& aOthers);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_INTERFERENCE_FUNC_H_

/**
 * @file harm_func.h Learning and using the table of harm between images.
 */

#ifndef BRONZE_CORE_SCHED_HARM_FUNC_H_
#define BRONZE_CORE_SCHED_HARM_FUNC_H_

#include "core/sched/harm_type.h"

namespace bronze::sched {

/** @return the index of the image, entered if it is new. */
ImageIndex ImageByName(HarmTable& aTable, const std::string& aName);

/** @return the load that a share of 1 of the fill adds to the serving task. */
[[nodiscard]] double Harm(const HarmTable& aTable, ImageIndex aFill,
                          ImageIndex aServing);

/** Lowers the image's floor to the tail if it is lower. */
void NoteTail(HarmTable& aTable, ImageIndex aServing, double aTailMs);

/** @return the load that the tail shows, in [0, 1). */
[[nodiscard]] double LoadOfTail(const HarmTable& aTable, ImageIndex aServing,
                                double aTailMs);

/** @return the load that the fills add, by the table. */
[[nodiscard]] double AddedLoad(const HarmTable& aTable,
                               const std::vector<UsedShare>& aUsed,
                               ImageIndex aServing);

/**
 * Takes in how a serving task's load changed between two measurements. Changes
 * are used, since the task's own load is not known and moves slowly.
 */
void LearnHarm(HarmTable& aTable, const std::vector<UsedShare>& aChanges,
               ImageIndex aServing, double aLoadChange);

/** @return what the table has learned. */
[[nodiscard]] StoredHarm ToStored(const HarmTable& aTable);

/** Enters what an earlier owner learned into a table that knows nothing yet. */
void RestoreHarm(HarmTable& aTable, const StoredHarm& aStored);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_HARM_FUNC_H_

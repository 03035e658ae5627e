/**
 * @file harm_func.h Learning and using the table of harm between images.
 */

#ifndef BRONZE_CORE_SCHED_HARM_FUNC_H_
#define BRONZE_CORE_SCHED_HARM_FUNC_H_

#include "core/sched/harm_type.h"

namespace bronze::sched {

/** @return the index of the image, entered if it is new. */
ImageIndex ImageByName(HarmTable& aTable, const std::string& aName);

[[nodiscard]] double Harm(const HarmTable& aTable, ImageIndex aFill,
                          ImageIndex aServing);

/** @return the sum of harm times share: the log of the factor on the tail. */
[[nodiscard]] double LogFactor(const HarmTable& aTable,
                               const std::vector<UsedShare>& aUsed,
                               ImageIndex aServing);

/**
 * Corrects the pairs' weights by one measurement of a serving task.
 * @param aLogRatio log(tail / baseline) as measured.
 */
void LearnHarm(HarmTable& aTable, const std::vector<UsedShare>& aUsed,
               ImageIndex aServing, double aLogRatio);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_HARM_FUNC_H_

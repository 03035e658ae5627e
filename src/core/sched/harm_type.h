/**
 * @file harm_type.h How much tasks that fill lengthen the tails of tasks that
 * serve, learned for each pair of images.
 */

#ifndef BRONZE_CORE_SCHED_HARM_TYPE_H_
#define BRONZE_CORE_SCHED_HARM_TYPE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/strong_type.h"

namespace bronze::sched {

/** Index of an image within one cell. */
using ImageIndex = NumberId<struct ImageIndexTag, uint32_t>;

/**
 * The model: log(tail / baseline) of a serving task is the sum, over the images
 * that fill beside it, of the pair's weight times the share of the runner's
 * cores that the image uses.
 */
struct HarmTable {
  std::map<std::string, ImageIndex> m_images;
  size_t m_stride = 0;            ///< Images that a row has space for.
  std::vector<double> m_weights;  ///< [fill * m_stride + serving], at least 0.
};

/** A serving task as placement and pacing see it. */
struct ServingView {
  ImageIndex m_image;
  double m_logBase = 0.0;   ///< log(baseline / target), without any fill.
  double m_pressure = 0.0;  ///< Last tail over target.
};

/** Share of a runner's cores that one image used in measurements. */
struct UsedShare {
  ImageIndex m_image;
  double m_share = 0.0;
};

/** Cores that one image's filling tasks ask for on a runner. */
struct FillLoad {
  ImageIndex m_image;
  int64_t m_millicores = 0;
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_HARM_TYPE_H_

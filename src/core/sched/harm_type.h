/**
 * @file harm_type.h How much tasks that fill lengthen the tails of tasks that
 * serve, learned for each pair of images.
 *
 * The model: a serving task's tail is floor / (1 - load), as in a queue. The
 * load is the task's own, which swings, plus, for each image that fills beside
 * it, the pair's weight times the share of the runner's cores that the image
 * uses. Trials on recorded days showed the same added load on tasks with
 * different loads of their own, while the factor on the tail differed.
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

/** Sums of a regression through zero of changes of load on changes of share. */
struct HarmPair {
  double m_cross = 0.0;   ///< Of share change times load change.
  double m_square = 0.0;  ///< Of share change squared.
};

struct HarmTable {
  std::map<std::string, ImageIndex> m_images;
  size_t m_stride = 0;            ///< Images that a row has space for.
  std::vector<HarmPair> m_pairs;  ///< [fill * m_stride + serving].
  std::vector<double> m_floor;    ///< Per image: lowest tail in ms; 0: none.
  uint64_t m_changes = 0;         ///< Rises with each thing learned.
};

/** What was learned, by names of images, as a successor gets it. */
struct StoredHarm {
  struct Floor {
    std::string m_image;
    double m_tailMs = 0.0;
  };
  struct Pair {
    std::string m_fill;
    std::string m_serving;
    HarmPair m_sums;
  };
  std::vector<Floor> m_floors;
  std::vector<Pair> m_pairs;
};

/** A serving task as placement and pacing see it. */
struct ServingView {
  ImageIndex m_image;
  double m_ownLoad = 0.0;    ///< Without any fill.
  double m_limitLoad = 1.0;  ///< Load at which the tail reaches the target.
  double m_pressure = 0.0;   ///< Last tail over target.
};

/** Share of a runner's cores that one image used, or a change of it. */
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

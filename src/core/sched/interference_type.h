/**
 * @file interference_type.h Interference of best-effort tasks with
 * latency-critical tasks on the same runner, learned for each pair of images.
 *
 * The model: a task's tail latency is lowest / (1 - load), as in a queue, where
 * lowest is the tail latency at no load. The load is the task's own, which
 * fluctuates, plus, for each best-effort image on the runner, the interference
 * of the pair of images times the share of the runner's cores that the
 * best-effort image uses. Interference adds to the load rather than multiplying
 * the tail latency, because a best-effort image adds the same load to tasks
 * with different loads of their own, while the factor by which it raises their
 * tail latency differs.
 */

#ifndef BRONZE_CORE_SCHED_INTERFERENCE_TYPE_H_
#define BRONZE_CORE_SCHED_INTERFERENCE_TYPE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/strong_type.h"

namespace bronze::sched {

/** Index of an image within one cell. */
using ImageIndex = NumberId<struct ImageIndexTag, uint32_t>;

/** Sums of a linear regression through the origin of load changes on changes
 *  of the share of cores. */
struct InterferenceSums {
  double m_cross = 0.0;   ///< Sum of share change times load change.
  double m_square = 0.0;  ///< Sum of squared share changes.
};

struct ImageInterferenceTable {
  std::map<std::string, ImageIndex> m_images;
  size_t m_stride = 0;  ///< Images that a row has space for.
  /** [best-effort * m_stride + latency-critical]. */
  std::vector<InterferenceSums> m_pairs;
  /** The same, learned by other cells; the sums of all of them. */
  std::vector<InterferenceSums> m_sharedPairs;
  /** Per image: lowest tail latency seen, in ms; 0: none. */
  std::vector<double> m_lowestTailMs;
  uint64_t m_changes = 0;  ///< Incremented by each update of the sums.
};

/** The learned values by image name, as stored for the next owner. */
struct StoredInterference {
  struct LowestTail {
    std::string m_image;
    double m_tailMs = 0.0;
  };
  struct Pair {
    std::string m_bestEffortImage;
    std::string m_latencyCriticalImage;
    InterferenceSums m_sums;
  };
  std::vector<LowestTail> m_lowestTails;
  std::vector<Pair> m_pairs;
};

/** A latency-critical task as placement and pacing see it. */
struct LatencyCriticalView {
  ImageIndex m_image;
  double m_ownLoad = 0.0;  ///< Load without best-effort tasks.
  /** Load at which the tail latency reaches its target. */
  double m_limitLoad = 1.0;
  double m_tailRatio = 0.0;  ///< Last tail latency over its target.
};

/** Share of a runner's cores that one image used, or a change of it. */
struct UsedShare {
  ImageIndex m_image;
  double m_share = 0.0;
};

/** Declared cores of one image's best-effort tasks on a runner. */
struct BestEffortDemand {
  ImageIndex m_image;
  int64_t m_millicores = 0;
};

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_INTERFERENCE_TYPE_H_

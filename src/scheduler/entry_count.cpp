/**
 * @file entry_count.cpp Adds up the pending jobs of all cells.
 */

#include "scheduler/boot_clock.h"
#include "scheduler/entry_node.h"

namespace bronze {

namespace {

/** A count of pending jobs may be this old, of the two seconds that the
 *  platform allows. */
constexpr Duration kCountReuse = milliseconds(500);
constexpr Duration kCountMaxAge = milliseconds(1800);

/** Answers of the cells to one request for a count. */
struct CountGathering {
  size_t m_left = 0;
  uint64_t m_sum = 0;
  std::optional<Error> m_error;
};

}  // namespace

void EntryNode::CountPending(const PeerCall& aCall,
                             const AnswerHandler& aHandler) {
  const auto gathering = std::make_shared<CountGathering>();
  gathering->m_left = m_layout.m_cells;
  const auto add = [gathering, aHandler](uint64_t aCount,
                                         std::optional<Error> aError) {
    gathering->m_sum += aCount;
    if (aError) gathering->m_error = std::move(aError);
    if (--gathering->m_left > 0) return;
    PeerAnswer answer;
    answer.m_count = gathering->m_sum;
    answer.m_error = gathering->m_error;
    aHandler(std::move(answer));
  };
  const TimePoint now = BootNow();
  for (uint32_t cell = 0; cell < m_layout.m_cells; ++cell) {
    const auto key = std::pair(aCall.m_queue, CellId(cell));
    const auto known = m_counts.find(key);
    if (known != m_counts.end() && now - known->second.m_at < kCountReuse) {
      add(known->second.m_count, {});
      continue;
    }
    PeerCall call = aCall;
    call.m_cell = CellId(cell);
    CallOwner(
        std::move(call), {}, [this, key, add, now](const PeerAnswer& aAnswer) {
          if (!aAnswer.m_error) {
            m_counts[key] = {aAnswer.m_count, now};
            add(aAnswer.m_count, {});
            return;
          }
          const auto last = m_counts.find(key);
          const bool recent = last != m_counts.end() &&
                              BootNow() - last->second.m_at < kCountMaxAge;
          add(recent ? last->second.m_count : 0,
              recent ? std::optional<Error>() : aAnswer.m_error);
        });
  }
}

}  // namespace bronze

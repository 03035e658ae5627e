/**
 * @file stored_size_func.h Upper bounds of the sizes of stored rows.
 *
 * The store refuses a transaction as a whole if one of its rows is too large.
 * So a row is divided, shortened or refused by these bounds before it is
 * written. They hold for each encoding that takes up to nine bytes for an
 * integer and, for a text, at most five bytes more than its length.
 */

#ifndef BRONZE_CORE_SCHED_STORED_SIZE_FUNC_H_
#define BRONZE_CORE_SCHED_STORED_SIZE_FUNC_H_

#include <cstddef>
#include <string_view>

#include "core/sched/interference_type.h"
#include "core/sched/stored_state_type.h"

namespace bronze::sched {

/** Longer checkpoints are not stored: a task that has one starts from its
 *  beginning after the next change of the owner. */
inline constexpr size_t kMaxStoredCheckpoint = 640;
/** A stored task takes no more than this: its numbers, and either its
 *  checkpoint or the id of its runner, which is a key of at most 200 bytes. */
inline constexpr size_t kMaxStoredTaskBytes = 1000;

[[nodiscard]] size_t TextBytesBound(std::string_view aText);
/** Does not count the id of the runner, which the row's tasks share. */
[[nodiscard]] size_t StoredBytesBound(const StoredTask& aTask);
[[nodiscard]] size_t StoredBytesBound(const StoredState& aState);
[[nodiscard]] size_t StoredBytesBound(const StoredTaskBlock& aBlock);
[[nodiscard]] size_t StoredBytesBound(const JobSpec& aSpec);
[[nodiscard]] size_t StoredBytesBound(const StoredInterference& aInterference);

/** @return the memory that a job's description takes in the process. */
[[nodiscard]] size_t MemoryBytes(const JobSpec& aSpec);

/** @return the number of tasks whose block fits into a row of aRowBytes. */
[[nodiscard]] uint32_t TasksPerBlock(size_t aRowBytes);

}  // namespace bronze::sched

#endif  // BRONZE_CORE_SCHED_STORED_SIZE_FUNC_H_

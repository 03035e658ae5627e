/**
 * @file row_key_func.cpp Keys of the rows of jobs and tasks.
 */

#include "core/batch/row_key_func.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>

namespace bronze {

namespace {

constexpr int kShardShift = 56;  // The high byte of a job id is its shard.
constexpr size_t kJobDigits = 16;
constexpr std::string_view kJobPrefix = "job/";
constexpr std::string_view kTaskPrefix = "task/";

template <class Number>
std::optional<Number> ParseNumber(std::string_view aText, int aBase) {
  Number value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value, aBase);
  if (aText.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

TeamShard ShardOf(const TeamId& aTeam) {
  const std::string& name = aTeam.Value();
  return TeamShard{static_cast<uint8_t>(XXH3_64bits(name.data(), name.size()))};
}

TeamShard ShardOf(JobId aJob) {
  return TeamShard{static_cast<uint8_t>(aJob.Value() >> kShardShift)};
}

JobId JobIdFor(const TeamId& aTeam, std::string_view aSubmissionId,
               uint64_t aRandom) {
  uint64_t low = aRandom;
  if (!aSubmissionId.empty()) {
    // The zero byte makes team "ab" with id "c" differ from "a" with "bc".
    const std::string text = aTeam.Value() + '\0' + std::string(aSubmissionId);
    low = XXH3_64bits(text.data(), text.size());
  }
  const uint64_t shard = ShardOf(aTeam).m_value;
  // The lowest bit is cleared because the largest number is not a valid id.
  return JobId((shard << kShardShift) |
               (low & ((uint64_t{1} << kShardShift) - 2)));
}

std::string JobText(JobId aJob) { return fmt::format("{:016x}", aJob.Value()); }

std::string TaskText(TaskId aTask) {
  return fmt::format("{:016x}/{}", aTask.m_job.Value(), aTask.m_index);
}

std::optional<JobId> ParseJobId(std::string_view aText) {
  if (aText.size() != kJobDigits) return std::nullopt;
  const auto value = ParseNumber<uint64_t>(aText, 16);
  if (!value || !JobId(*value).IsValid()) return std::nullopt;
  return JobId(*value);
}

std::optional<TaskId> ParseTaskId(std::string_view aText) {
  if (aText.size() < kJobDigits + 2 || aText[kJobDigits] != '/') {
    return std::nullopt;
  }
  const auto job = ParseJobId(aText.substr(0, kJobDigits));
  const auto index = ParseNumber<uint32_t>(aText.substr(kJobDigits + 1), 10);
  if (!job || !index) return std::nullopt;
  return TaskId{*job, *index};
}

std::string JobKey(JobId aJob) {
  return std::string(kJobPrefix) + JobText(aJob);
}

std::string TaskKey(TaskId aTask) {
  return std::string(kTaskPrefix) + TaskText(aTask);
}

std::string RackTaskKey(const RackId& aRack, TaskId aTask) {
  return RackPrefix(aRack) + TaskText(aTask);
}

std::string JobPrefix(TeamShard aShard) {
  return fmt::format("{}{:02x}", kJobPrefix, aShard.m_value);
}

std::string TaskPrefix(TeamShard aShard) {
  return fmt::format("{}{:02x}", kTaskPrefix, aShard.m_value);
}

std::string RackPrefix(const RackId& aRack) {
  return fmt::format("rack/{}/", aRack.Value());
}

std::optional<TaskId> TaskOfKey(std::string_view aKey) {
  const size_t index = aKey.rfind('/');
  if (index == std::string_view::npos || index < kJobDigits) {
    return std::nullopt;
  }
  return ParseTaskId(aKey.substr(index - kJobDigits));
}

std::optional<JobId> JobOfKey(std::string_view aKey) {
  if (!aKey.starts_with(kJobPrefix)) return std::nullopt;
  return ParseJobId(aKey.substr(kJobPrefix.size()));
}

}  // namespace bronze

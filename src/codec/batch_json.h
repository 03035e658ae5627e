/**
 * @file batch_json.h JSON form of the stored rows of batch jobs and tasks, and
 * of the calls on jobs.
 *
 * The fields of rows have names of one letter, because the rows of a task are
 * written several times; fields with default values are left out. docs/API.md
 * describes the calls.
 */

#ifndef BRONZE_CODEC_BATCH_JSON_H_
#define BRONZE_CODEC_BATCH_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/batch/batch_type.h"
#include "core/error/error_type.h"

namespace bronze {

[[nodiscard]] std::string EncodeJobRow(const JobRow& aRow);
[[nodiscard]] Result<JobRow> DecodeJobRow(std::string_view aText);

[[nodiscard]] std::string EncodeTaskRow(const TaskRow& aRow);
[[nodiscard]] Result<TaskRow> DecodeTaskRow(std::string_view aText);

/** Row of a task under its rack's key: the task row and the task's spec. */
[[nodiscard]] std::string EncodeRackRow(const TaskRow& aRow,
                                        const TaskSpec& aSpec);

/** Decode a row of a scan; its key identifies the job or task. */
[[nodiscard]] Result<JobRecord> DecodeJobRecord(const TableRow& aRow);
[[nodiscard]] Result<TaskRecord> DecodeTaskRecord(const TableRow& aRow);
[[nodiscard]] Result<RackRecord> DecodeRackRecord(const TableRow& aRow);

/** Encodes a change as keys and texts of rows, for the group commit. */
[[nodiscard]] TableChange EncodeChange(const SubmitChange& aChange);

/** Body of POST /v1/jobs. */
[[nodiscard]] Result<JobRow> DecodeSubmission(std::string_view aText);

/** Decodes query parameters; an empty one was not given. */
[[nodiscard]] Result<JobFilter> DecodeJobFilter(std::string_view aTeam,
                                                std::string_view aState,
                                                std::string_view aLimit);

/** Bodies of successful answers to calls on jobs. */
[[nodiscard]] std::string EncodeJobState(const JobView& aView);
[[nodiscard]] std::string EncodeJob(const JobView& aView);
[[nodiscard]] std::string EncodeJobList(const std::vector<JobView>& aViews);

}  // namespace bronze

#endif  // BRONZE_CODEC_BATCH_JSON_H_

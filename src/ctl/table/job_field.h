/**
 * @file job_field.h Fields of a job submission, and table columns of jobs.
 */

#ifndef BRONZE_CTL_TABLE_JOB_FIELD_H_
#define BRONZE_CTL_TABLE_JOB_FIELD_H_

#include <cstdint>
#include <limits>

#include "ctl/text_table.h"

namespace bronze {

enum class JobFieldType : uint8_t { Text, Number, Boolean };

/** One field of a job submission. */
struct JobField {
  std::string_view m_key;     ///< In a YAML file and in the JSON body.
  std::string_view m_option;  ///< Command-line option.
  JobFieldType m_type;
  bool m_required;
  int64_t m_min;  ///< Smallest number accepted; unused for other types.
  int64_t m_max;  ///< Largest number accepted; unused for other types.
};

/** Keeps numbers within 32 bits; the server checks the real limits. */
inline constexpr int64_t kMaxJobNumber = std::numeric_limits<int32_t>::max();

inline constexpr JobField kJobFields[] = {
    {"team", "--team", JobFieldType::Text, true, 0, 0},
    {"kind", "--kind", JobFieldType::Text, true, 0, 0},
    {"cores", "--cores", JobFieldType::Number, true, 1, kMaxJobNumber},
    {"memory", "--memory", JobFieldType::Number, true, 1, kMaxJobNumber},
    {"accelerators", "--accelerators", JobFieldType::Number, false, 0,
     kMaxJobNumber},
    {"tasks", "--tasks", JobFieldType::Number, false, 1, kMaxJobNumber},
    {"priority", "--priority", JobFieldType::Number, false, -kMaxJobNumber,
     kMaxJobNumber},
    {"urgent", "--urgent", JobFieldType::Boolean, false, 0, 0},
    {"input", "--input", JobFieldType::Text, false, 0, 0},
    {"submission_id", "--submission-id", JobFieldType::Text, false, 0, 0}};

inline constexpr TableColumn kJobColumns[] = {{"JOB", "/job"},
                                              {"TEAM", "/team"},
                                              {"KIND", "/kind"},
                                              {"STATE", "/state"},
                                              {"TASKS", "/tasks"},
                                              {"QUEUED", "/queued"},
                                              {"RUNNING", "/running"},
                                              {"FINISHED", "/finished"},
                                              {"FAILED", "/failed"},
                                              {"CANCELLED", "/cancelled"},
                                              {"WAITING_FOR", "/waiting_for"}};

inline constexpr TableColumn kTaskColumns[] = {
    {"INDEX", "/index"},           {"STATE", "/state"},
    {"WORKER", "/worker"},         {"ATTEMPTS", "/attempts"},
    {"WAITING_MS", "/waiting_ms"}, {"WAITING_FOR", "/waiting_for"},
    {"MESSAGE", "/message"}};

}  // namespace bronze

#endif  // BRONZE_CTL_TABLE_JOB_FIELD_H_

/**
 * @file usage.h Usage text of bronzectl; docopt derives the command-line
 * grammar from it.
 */

#ifndef BRONZE_CTL_TABLE_USAGE_H_
#define BRONZE_CTL_TABLE_USAGE_H_

namespace bronze {

inline constexpr char kCtlUsage[] =
    R"(bronzectl: the operators' tool of bronzeworks.

Usage:
  bronzectl [options] config check FOLDER [--node]
  bronzectl [options] config diff FOLDER
  bronzectl [options] config push FOLDER [--note TEXT]
  bronzectl [options] config pull FOLDER [--force]
  bronzectl [options] config put FILE [--note TEXT]
  bronzectl [options] config rm NAME [--note TEXT]
  bronzectl [options] config show [--origin] [--version N]
  bronzectl [options] config history [--limit N]
  bronzectl [options] config status
  bronzectl [options] job submit --file FILE
  bronzectl [options] job submit --team TEAM --kind KIND --cores N --memory N
            [--tasks N] [--accelerators N] [--priority N] [--urgent]
            [--input NAME] [--submission-id ID]
  bronzectl [options] job list [--team TEAM] [--state STATE] [--limit N]
  bronzectl [options] job show ID
  bronzectl [options] job cancel ID...
  bronzectl [options] job explain ID
  bronzectl [options] worker list
  bronzectl [options] worker drain ID
  bronzectl [options] vm list
  bronzectl [options] status
  bronzectl [options] settings
  bronzectl [options] errors
  bronzectl [options] completion bash
  bronzectl --help

Options:
  --server IP:PORT    Operators' address of any daemon; else BRONZE_SERVER.
  --token-file FILE   File with the operators' token; else BRONZE_TOKEN.
  --json              Print JSON for scripts, errors included.
  --help              Show this text.
  --node              Check the settings of one VM, not of the system.
  --note TEXT         Why the configuration is changed; kept in the history.
  --force             Replace local files that differ from those in force.
  --origin            Show the file and line that set each value.
  --version N         Show this version, not the one in force.
  --limit N           Show at most N rows.
  --file FILE         YAML file with the fields of the job.
  --team TEAM         Team that owns the job.
  --kind KIND         Kind of the job.
  --cores N           Cores per task, in thousandths of a core.
  --memory N          Memory per task, in MiB.
  --accelerators N    Accelerators per task.
  --tasks N           Number of tasks.
  --priority N        Priority within the team; higher starts first.
  --urgent            Start within batch.urgent_target, by preemption if needed.
  --input NAME        Name of the stored object with the input.
  --submission-id ID  Submitting again with the same ID returns the first job.
  --state STATE       Only jobs in this state.

Exit codes: 0 success, 1 internal error, 2 invalid input, 3 not authorized,
4 not done (may be retried), 5 conflict or unknown outcome, 6 not found.
"bronzectl errors" lists the code of each error.
)";

}  // namespace bronze

#endif  // BRONZE_CTL_TABLE_USAGE_H_

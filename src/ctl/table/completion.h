/**
 * @file completion.h Bash completion script of bronzectl.
 */

#ifndef BRONZE_CTL_TABLE_COMPLETION_H_
#define BRONZE_CTL_TABLE_COMPLETION_H_

namespace bronze {

inline constexpr char kBashCompletion[] = R"(# bash completion of bronzectl
_bronzectl() {
  local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
  local group= command= item
  for item in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case $item in
      -*) ;;
      config|job|worker|vm|completion) [ -z "$group" ] && group=$item ;;
      *) [ -n "$group" ] && [ -z "$command" ] && command=$item ;;
    esac
  done
  case $previous in
    --token-file|--file)
      COMPREPLY=($(compgen -f -- "$word")); return ;;
    --server|--note|--version|--limit|--team|--kind|--cores|--memory) return ;;
    --accelerators|--tasks|--priority|--input|--submission-id|--state) return ;;
  esac
  local words="--server --token-file --json --help"
  case "$group $command" in
    " ") words+=" config job worker vm status settings errors completion" ;;
    "config ") words="check diff push pull put rm show history status" ;;
    "config check") words+=" --node" ;;
    "config push"|"config put"|"config rm") words+=" --note" ;;
    "config pull") words+=" --force" ;;
    "config show") words+=" --origin --version" ;;
    "config history") words+=" --limit" ;;
    "job ") words="submit list show cancel explain" ;;
    "job submit") words+=" --file --team --kind --cores --memory --tasks"
      words+=" --accelerators --priority --urgent --input --submission-id" ;;
    "job list") words+=" --team --state --limit" ;;
    "worker ") words="list drain" ;;
    "vm ") words="list" ;;
    "completion ") words="bash" ;;
  esac
  COMPREPLY=($(compgen -W "$words" -- "$word"))
  case "$group $command" in
    "config check"|"config diff"|"config push"|"config pull"|"config put")
      COMPREPLY+=($(compgen -f -- "$word")) ;;
  esac
}
complete -o filenames -F _bronzectl bronzectl
)";

}  // namespace bronze

#endif  // BRONZE_CTL_TABLE_COMPLETION_H_

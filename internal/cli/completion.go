package cli

import "fmt"

const completionHelp = `Prints a completion script for bash. zsh can also load it after bashcompinit.

Example:
  source <(cyclamenhoist completion)`

const completionScript = `_cyclamenhoist() {
  local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _cyclamenhoist cyclamenhoist
`

type completionCommand struct{ *environment }

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	fmt.Fprint(c.stdout, completionScript)
	return nil
}

package ctl

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"
)

// bashCompletion asks the program itself for completions, which go-flags answers.
const bashCompletion = `_trefoilctl() {
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _trefoilctl trefoilctl
`

// zshCompletion uses the bash function.
const zshCompletion = "autoload -U +X bashcompinit && bashcompinit\n" + bashCompletion

type completionCommand struct {
	*app `no-flag:"yes"`
	Args struct {
		Shell shellName `positional-arg-name:"bash|zsh" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the completion script.
func (c *completionCommand) Execute([]string) error {
	switch c.Args.Shell {
	case "bash":
		_, err := fmt.Fprint(c.stdout, bashCompletion)
		return err
	case "zsh":
		_, err := fmt.Fprint(c.stdout, zshCompletion)
		return err
	}
	return usageError.New("completion takes bash or zsh, not %q", c.Args.Shell)
}

// Arguments with a fixed set of words, which complete them.
type (
	shellName    string
	documentName string
	subjectName  string
)

// Complete returns the words that begin with match.
func (*shellName) Complete(match string) []flags.Completion { return complete(match, "bash", "zsh") }

// Complete returns the words that begin with match.
func (*documentName) Complete(match string) []flags.Completion {
	return complete(match, "register", "rules")
}

// Complete returns the words that begin with match.
func (*subjectName) Complete(match string) []flags.Completion {
	return complete(match, "request", "job", "item", "upstream", "member", "configuration")
}

func complete(match string, words ...string) []flags.Completion {
	var found []flags.Completion
	for _, w := range words {
		if strings.HasPrefix(w, match) {
			found = append(found, flags.Completion{Item: w})
		}
	}
	return found
}

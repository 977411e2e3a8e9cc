package ctl

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"trefoilplank.example/pkg/commandline"
)

type completionCommand struct {
	*app `no-flag:"yes"`
	Args struct {
		Shell commandline.Shell `positional-arg-name:"bash|zsh" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the completion script.
func (c *completionCommand) Execute([]string) error {
	script, err := commandline.Completion("trefoilctl", string(c.Args.Shell))
	if err != nil {
		return usageError.Wrap(err)
	}
	_, err = fmt.Fprint(c.stdout, script)
	return err
}

// Arguments with a fixed set of words, which complete them.
type (
	documentName string
	subjectName  string
)

// Complete returns the words that begin with match.
func (*documentName) Complete(match string) []flags.Completion {
	return commandline.Words(match, "register", "rules")
}

// Complete returns the words that begin with match.
func (*subjectName) Complete(match string) []flags.Completion {
	return commandline.Words(match, "request", "job", "item", "upstream", "member", "configuration")
}

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

// Types of arguments that accept a fixed set of words and complete to them.
type (
	documentName string
	subjectName  string
)

// Complete implements flags.Completer.
func (*documentName) Complete(match string) []flags.Completion {
	return commandline.CompleteWords(match, "register", "rules")
}

// Complete implements flags.Completer.
func (*subjectName) Complete(match string) []flags.Completion {
	return commandline.CompleteWords(match, "request", "job", "item", "upstream", "member", "configuration")
}

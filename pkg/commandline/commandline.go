// Package commandline holds what the command lines of both programs share: help with examples that can be copied,
// and completion scripts.
package commandline

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Help holds the examples of a parser's commands. The flag library wraps descriptions and takes the leading space
// of their lines away, which breaks commands that are meant to be copied.
type Help struct {
	parser   *flags.Parser
	examples map[*flags.Command]string
}

// TakeExamples takes the examples out of the long descriptions of all commands. They begin with a line that starts
// with "Example" and reach to the end.
func TakeExamples(p *flags.Parser) *Help {
	h := &Help{p, map[*flags.Command]string{}}
	h.take(p.Command)
	return h
}

func (h *Help) take(c *flags.Command) {
	text, examples, found := strings.Cut(c.LongDescription, "\n\nExample")
	if found {
		h.examples[c] = "Example" + examples
	}
	// The library wraps each line by itself, so a paragraph must be one line.
	paragraphs := strings.Split(text, "\n\n")
	for i, x := range paragraphs {
		paragraphs[i] = strings.ReplaceAll(x, "\n", " ")
	}
	c.LongDescription = strings.Join(paragraphs, "\n\n")
	for _, sub := range c.Commands() {
		h.take(sub)
	}
}

// Text returns the help message of the parser with the examples of the command that it is about.
func (h *Help) Text(message string) string {
	c := h.parser.Command
	for c.Active != nil {
		c = c.Active
	}
	message = strings.TrimRight(message, "\n")
	if h.examples[c] == "" {
		return message
	}
	return message + "\n\n" + h.examples[c]
}

// bashCompletion asks the program itself for completions, which the flag library answers. Where it has none, such as
// for a file, the shell completes file names.
const bashCompletion = `_%[1]s() {
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _%[1]s %[1]s
`

// zshCompletion uses the bash function.
const zshCompletion = "autoload -U +X bashcompinit && bashcompinit\n" + bashCompletion

// Completion returns the completion script of a program for a shell.
func Completion(program, shell string) (string, error) {
	switch shell {
	case "bash":
		return fmt.Sprintf(bashCompletion, program), nil
	case "zsh":
		return fmt.Sprintf(zshCompletion, program), nil
	}
	return "", fmt.Errorf("completion takes bash or zsh, not %q", shell)
}

// Shell is an argument that names a shell and completes to those that Completion knows.
type Shell string

// Complete implements flags.Completer.
func (*Shell) Complete(match string) []flags.Completion { return Words(match, "bash", "zsh") }

// Words returns the words that begin with match.
func Words(match string, words ...string) []flags.Completion {
	var found []flags.Completion
	for _, w := range words {
		if strings.HasPrefix(w, match) {
			found = append(found, flags.Completion{Item: w})
		}
	}
	return found
}

// Package commandline holds what the command lines of both programs share: help texts with examples that can be copied
// to a shell, and shell completion.
package commandline

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Help adds examples to the help messages of a parser's commands. Examples can't be part of the descriptions: the flag
// library wraps those and removes the indentation of their lines, which breaks commands that are meant to be copied.
type Help struct {
	parser   *flags.Parser
	examples map[*flags.Command]string
}

// ExtractExamples removes the examples from the long descriptions of all commands and returns them as a Help. The
// examples of a command begin with the paragraph that starts with "Example" and continue to the end of the description.
func ExtractExamples(p *flags.Parser) *Help {
	h := &Help{p, map[*flags.Command]string{}}
	h.extractExamples(p.Command)
	return h
}

// extractExamples removes the examples of a command and its subcommands from their descriptions.
func (h *Help) extractExamples(c *flags.Command) {
	text, examples, found := strings.Cut(c.LongDescription, "\n\nExample")
	if found {
		h.examples[c] = "Example" + examples
	}
	// The flag library wraps each line separately, so each paragraph must be a single line.
	paragraphs := strings.Split(text, "\n\n")
	for i, x := range paragraphs {
		paragraphs[i] = strings.ReplaceAll(x, "\n", " ")
	}
	c.LongDescription = strings.Join(paragraphs, "\n\n")
	for _, sub := range c.Commands() {
		h.extractExamples(sub)
	}
}

// Text returns the parser's help message, followed by the examples of the active command.
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

// bashCompletion is a script that runs the program itself for completions, which the flag library then prints. When
// there are none, such as for a file argument, the shell completes file names.
const bashCompletion = `_%[1]s() {
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _%[1]s %[1]s
`

// zshCompletion loads zsh's support for bash completion and uses the bash script.
const zshCompletion = "autoload -U +X bashcompinit && bashcompinit\n" + bashCompletion

// Completion returns the completion script of a program for a shell.
func Completion(program, shell string) (string, error) {
	switch shell {
	case "bash":
		return fmt.Sprintf(bashCompletion, program), nil
	case "zsh":
		return fmt.Sprintf(zshCompletion, program), nil
	}
	return "", fmt.Errorf("no completion script for shell %q, only for bash and zsh", shell)
}

// Shell is a command-line argument that names a shell. It is completed to those that Completion supports.
type Shell string

// Complete implements flags.Completer.
func (*Shell) Complete(match string) []flags.Completion { return CompleteWords(match, "bash", "zsh") }

// CompleteWords returns those of words that begin with match, as completions.
func CompleteWords(match string, words ...string) []flags.Completion {
	var found []flags.Completion
	for _, w := range words {
		if strings.HasPrefix(w, match) {
			found = append(found, flags.Completion{Item: w})
		}
	}
	return found
}

// Package ctl implements trefoilctl, the command line for operators and for users who submit batch jobs.
package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/commandline"
)

// Exit statuses of trefoilctl.
const (
	exitSuccess = 0
	exitFailed  = 1
	exitUsage   = 2
)

// usageError is the class of errors in the use of the command line; they end the process with exitUsage.
var usageError = errs.Class("usage")

// globalFlags are the flags that all commands accept.
type globalFlags struct {
	Server       string `long:"server" env:"TREFOILCTL_SERVER" default:"127.0.0.1:18081" value-name:"ADDRESS" description:"operators' address of any node"`
	CallerServer string `long:"caller-server" env:"TREFOILCTL_CALLER_SERVER" default:"127.0.0.1:18080" value-name:"ADDRESS" description:"callers' address of any node"`
	Key          string `long:"key" env:"TREFOILCTL_KEY" value-name:"KEY" description:"operator key"`
	Operator     string `long:"operator" env:"TREFOILCTL_OPERATOR" value-name:"NAME" description:"who makes a change, for the history (default: the user name)"`
	CallerKey    string `long:"caller-key" env:"TREFOILCTL_CALLER_KEY" value-name:"KEY" description:"bearer key of a calling service, for addresses and job"`
	Timeout      int    `long:"timeout" env:"TREFOILCTL_TIMEOUT" default:"60" value-name:"SECONDS" description:"longest wait for one answer"`
	JSON         bool   `long:"json" env:"TREFOILCTL_JSON" description:"print JSON as the server sent it"`
	Version      bool   `long:"version" description:"print the version and exit"`
}

// app holds the global flags and the streams that all commands use.
type app struct {
	globalFlags
	stdin          io.Reader
	stdout, stderr io.Writer
}

// command is one entry of the command table. data points to the struct with its flags, which implements
// flags.Commander unless the command only groups subcommands.
type command struct {
	name, short, long string
	data              any
	subcommands       []command
}

// documentCommand is a command that accepts further positional arguments, as names of documents.
type documentCommand interface {
	readDocuments(stdin io.Reader, args []string) ([]byte, error)
}

// noFlags is the data of a command that only groups subcommands.
type noFlags struct{}

// commands returns the command table.
func commands(a *app) []command {
	return []command{
		{name: "apply", short: "Apply register and rules documents", long: applyHelp, data: &applyCommand{app: a}},
		{name: "diff", short: "Show what documents would change", long: diffHelp, data: &diffCommand{app: a}},
		{name: "get", short: "Print the register or rules in force", long: getHelp, data: &getCommand{app: a}},
		{name: "status", short: "Show problems first, then nodes and objects", long: statusHelp, data: &statusCommand{app: a}},
		{name: "explain", short: "Show the decisions about a request, job, item, upstream, node or version", long: explainHelp, data: &explainCommand{app: a}},
		{name: "drain", short: "Make the node at --server leave", long: drainHelp, data: &drainCommand{app: a}},
		{name: "addresses", short: "Show the node addresses that callers are given", long: addressesHelp, data: &addressesCommand{app: a}},
		{name: "job", short: "Work with batch jobs", data: &noFlags{}, subcommands: jobCommands(a)},
		{name: "bench", short: "Send load and compare targets", long: benchHelp, data: &benchCommand{app: a}},
		{name: "report", short: "Write reports", data: &noFlags{}, subcommands: []command{
			{name: "burn", short: "Show the burn of service-level objectives", long: burnHelp, data: &burnCommand{app: a}},
		}},
		{name: "completion", short: "Print the completion script of a shell", long: completionHelp, data: &completionCommand{app: a}},
	}
}

// Run executes one command line, given without the program name, and returns the exit status.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr}
	p := flags.NewNamedParser("trefoilctl", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "operate a Trefoilplank fleet"
	p.LongDescription = topHelp
	_, err := p.AddGroup("Global options", "", &a.globalFlags)
	for _, c := range commands(a) {
		err = errors.Join(err, addCommand(p.Command, c))
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "trefoilctl:", err)
		return exitFailed
	}
	p.SubcommandsOptional = true
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if a.Version {
			return printVersion(a)
		}
		if a.Timeout < 1 {
			return usageError.New("--timeout must be at least 1 second, not %d", a.Timeout)
		}
		if c == nil && len(rest) > 0 {
			return usageError.New("unknown command %q; see trefoilctl --help", rest[0])
		}
		if c == nil {
			return usageError.New("a command is needed; see trefoilctl --help")
		}
		if _, ok := c.(documentCommand); !ok && len(rest) > 0 {
			return usageError.New("unexpected argument %q", rest[0])
		}
		return c.Execute(rest)
	}
	help := commandline.ExtractExamples(p)
	_, err = p.ParseArgs(args)
	return exitStatus(err, help, stdout, stderr)
}

// addCommand registers a command and its subcommands with the flag parser.
func addCommand(parent *flags.Command, c command) error {
	added, err := parent.AddCommand(c.name, c.short, c.long, c.data)
	if err != nil {
		return err
	}
	for _, sub := range c.subcommands {
		if err := addCommand(added, sub); err != nil {
			return err
		}
	}
	return nil
}

// exitStatus prints err and returns the exit status for it.
func exitStatus(err error, help *commandline.Help, stdout, stderr io.Writer) int {
	var flagError *flags.Error
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, help.Text(flagError.Message))
		return exitSuccess
	case errors.As(err, &flagError), usageError.Has(err):
		_, _ = fmt.Fprintln(stderr, "trefoilctl:", err)
		return exitUsage
	}
	_, _ = fmt.Fprintln(stderr, "trefoilctl:", err)
	return exitFailed
}

// isTerminal reports whether w is a character device; progress bars are shown only there.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

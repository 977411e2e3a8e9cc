// Package daemon implements the command line of trefoilplank.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/commandline"
	"trefoilplank.example/pkg/logs"
	"trefoilplank.example/pkg/node"
	"trefoilplank.example/pkg/version"
	"trefoilplank.example/standin/dev"
)

// Exit statuses of failed commands.
const (
	exitFailed = 1
	exitUsage  = 2
)

type serveCommand struct{ node.Flags }

// Execute runs one node until SIGINT or SIGTERM stops it.
func (c *serveCommand) Execute(args []string) error {
	settings, err := c.Read()
	if err := errors.Join(rejectArguments(args), err); err != nil {
		return &usageError{err}
	}
	logs.Setup(settings.LogFormat, settings.Verbosity)
	logHangups()
	ctx, stop := signalContext()
	defer stop()
	n, err := node.New(settings)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

type devCommand struct{ dev.Options }

// Execute runs the development fleet until a signal stops it, or the demo until its end.
func (c *devCommand) Execute(args []string) error {
	if err := errors.Join(rejectArguments(args), c.Check()); err != nil {
		return &usageError{err}
	}
	logs.Setup(c.LogFormat, c.Verbosity)
	ctx, stop := signalContext()
	defer stop()
	return dev.Run(ctx, c.Options, os.Stdout)
}

type versionCommand struct{}

// Execute prints version and build information.
func (*versionCommand) Execute([]string) error {
	fmt.Println(version.String("trefoilplank"))
	return nil
}

type completionCommand struct {
	Args struct {
		Shell commandline.Shell `positional-arg-name:"bash|zsh" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints the completion script for a shell.
func (c *completionCommand) Execute(args []string) error {
	script, err := commandline.Completion("trefoilplank", string(c.Args.Shell))
	if err := errors.Join(rejectArguments(args), err); err != nil {
		return &usageError{err}
	}
	fmt.Print(script)
	return nil
}

// rejectArguments returns an error if positional arguments are left over. The flag parser accepts them silently.
func rejectArguments(args []string) error {
	if len(args) == 0 {
		return nil
	}
	return fmt.Errorf("unexpected argument %q", args[0])
}

// usageError marks an error caused by flags, environment or settings; it ends the process with exitUsage.
type usageError struct{ error }

// signalContext returns a context that SIGINT or SIGTERM ends. A second SIGINT kills the process. Further SIGTERMs change nothing: whoever
// stops a process may send it more than once, and the process ends when its requests have their answers.
func signalContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			signal.Reset(os.Interrupt)
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		signal.Stop(signals)
		cancel()
	}
}

const serveHelp = `Runs one node. Every VM runs the same program; each flag has an environment variable TREFOILPLANK_<FLAG>.

Example:
  trefoilplank serve --name node1 --availability-zone pamplemousses --region mu-north \
    --listen 10.0.0.1:8080 --admin-listen 10.0.0.1:8081 --peer-listen 10.0.0.1:8082 \
    --store 10.0.1.1:9000 --operator-key-file /etc/trefoilplank/operator.key \
    --peer-secret-file /etc/trefoilplank/peer.secret`

const devHelp = `Runs N nodes and all stand-ins in this process, on 127.0.0.1, with a sample register and rules applied.

Examples:
  trefoilplank dev
  trefoilplank dev --nodes 5 --base-port 19000
  trefoilplank dev --demo`

const completionHelp = `Prints a script that completes commands, flags and fixed words.

Example:
  source <(trefoilplank completion bash)`

const topHelp = `trefoilplank is one node of a Trefoilplank fleet, or a whole fleet for development.

Examples:
  trefoilplank dev
  trefoilplank serve --help`

// Run executes the command line of this process and returns its exit status.
func Run() int {
	defer klog.Flush()
	parser := flags.NewNamedParser("trefoilplank", flags.Default&^flags.PrintErrors)
	parser.LongDescription = topHelp
	mustAddCommand(parser.AddCommand("serve", "run one node", serveHelp, &serveCommand{}))
	mustAddCommand(parser.AddCommand("edge", "run one node on the users' platform", edgeHelp, &edgeCommand{}))
	mustAddCommand(parser.AddCommand("check-settings", "check a settings file of edge", checkSettingsHelp, &checkSettingsCommand{}))
	mustAddCommand(parser.AddCommand("dev", "run a development fleet", devHelp, &devCommand{}))
	mustAddCommand(parser.AddCommand("version", "print version and build information", "Prints version and build information.", &versionCommand{}))
	mustAddCommand(parser.AddCommand("completion", "print the completion script of a shell", completionHelp, &completionCommand{}))
	help := commandline.ExtractExamples(parser)
	_, err := parser.Parse()
	var flagErr *flags.Error
	var usageErr *usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Println(help.Text(flagErr.Message))
		return 0
	case errors.As(err, &flagErr), errors.As(err, &usageErr):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
}

// mustAddCommand panics if a command can't be added, which only a fault in its flag definitions causes.
func mustAddCommand(_ *flags.Command, err error) {
	if err != nil {
		panic(err)
	}
}

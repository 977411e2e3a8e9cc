package daemon

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"trefoilplank.example/pkg/edge"
	"trefoilplank.example/pkg/eventlog"
	"trefoilplank.example/platform"
)

type edgeCommand struct {
	Settings string `long:"settings" env:"TREFOILPLANK_EDGE_SETTINGS" required:"yes" description:"settings file (TOML)"`
}

// Execute runs one node on the users' platform until it is told to stop.
func (c *edgeCommand) Execute(args []string) error {
	settings, err := edge.ReadSettings(c.Settings)
	if err := errors.Join(noArguments(args), err); err != nil {
		return &usageError{err}
	}
	log := eventlog.New(os.Stdout, settings.Name)
	defer log.Close()
	n, err := edge.New(settings, platform.New(), log)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			reload(c.Settings, n, log)
		}
	}()
	return n.Run(ctx)
}

// reload reads the settings again after a SIGHUP. Faulty ones leave those in force.
func reload(path string, n *edge.Node, log *eventlog.Log) {
	settings, err := edge.ReadSettings(path)
	if err != nil {
		log.Notice("settings not reloaded; those in force stay", "error", err)
		return
	}
	n.Reload(settings)
}

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute checks a settings file and lists every finding.
func (c *checkCommand) Execute(args []string) error {
	_, err := edge.ReadSettings(c.Args.File)
	if err := errors.Join(noArguments(args), err); err != nil {
		return &usageError{err}
	}
	fmt.Println("settings are valid")
	return nil
}

const edgeHelp = `Runs one node that forwards requests unchanged and runs list jobs, on the users' platform.

Example:
  trefoilplank edge --settings /etc/trefoilplank/local.toml`

const checkHelp = `Checks a settings file of "trefoilplank edge" and lists every finding with its key.

Example:
  trefoilplank check-settings /etc/trefoilplank/local.toml`

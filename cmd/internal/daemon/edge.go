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

// Execute runs one node on the users' platform until a signal stops it. SIGHUP makes it read its settings again.
func (c *edgeCommand) Execute(args []string) error {
	ctx, stop := signalContext()
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // Before the settings are read, so that no change of them is missed, or ends the process.
	settings, err := edge.ReadSettings(c.Settings)
	if err := errors.Join(rejectArguments(args), err); err != nil {
		return &usageError{err}
	}
	log := eventlog.New(os.Stdout, settings.Name)
	defer log.Close()
	n, err := edge.New(settings, platform.New(), log)
	if err != nil {
		return err
	}
	go func() {
		for range hangups {
			reloadSettings(c.Settings, n, log)
		}
	}()
	return n.Run(ctx)
}

// reloadSettings applies the settings file after a SIGHUP. If the file is not valid, the settings in force remain.
func reloadSettings(path string, n *edge.Node, log *eventlog.Log) {
	settings, err := edge.ReadSettings(path)
	if err != nil {
		log.Notice("settings not reloaded; keeping the settings in force", "error", err)
		return
	}
	n.Reload(settings)
}

type checkSettingsCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute checks a settings file and reports all findings.
func (c *checkSettingsCommand) Execute(args []string) error {
	_, err := edge.ReadSettings(c.Args.File)
	if err := errors.Join(rejectArguments(args), err); err != nil {
		return &usageError{err}
	}
	fmt.Println("settings are valid")
	return nil
}

const edgeHelp = `Runs one node that forwards requests unchanged and runs list jobs, on the users' platform.

Example:
  trefoilplank edge --settings /etc/trefoilplank/local.toml`

const checkSettingsHelp = `Checks a settings file of "trefoilplank edge" and lists every finding with its key.

Example:
  trefoilplank check-settings /etc/trefoilplank/local.toml`

// Package logs sets up the process's structured log on standard error.
package logs

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"strconv"

	"k8s.io/klog/v2"
)

// CheckFormat returns an error for a format that Setup does not support. An empty format means text.
func CheckFormat(format string) error {
	switch format {
	case "", "text", "json":
		return nil
	}
	return fmt.Errorf("%q is not text or json", format)
}

// Setup sets the log format, "text" or "json", and the verbosity from 0 to 10.
func Setup(format string, verbosity int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// The errors can be ignored: the flag set is klog's own and accepts these values.
	_ = flags.Set("v", strconv.Itoa(verbosity))
	_ = flags.Set("logtostderr", "true")
	if format == "json" {
		klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.Level(-verbosity)})))
	}
}

// Package logs sets up structured logs on standard error.
package logs

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"strconv"

	"k8s.io/klog/v2"
)

// CheckFormat returns an error for a format that Setup does not know.
func CheckFormat(format string) error {
	switch format {
	case "", "text", "json":
		return nil
	}
	return fmt.Errorf("%q is not text or json", format)
}

// Setup selects the format, "text" or "json", and the verbosity from 0 to 10.
func Setup(format string, verbosity int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// The flag set is klog's own and takes any number.
	_ = flags.Set("v", strconv.Itoa(verbosity))
	_ = flags.Set("logtostderr", "true")
	if format == "json" {
		klog.SetSlogLogger(slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.Level(-verbosity)})))
	}
}

package node

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Flags are the settings of one node as given on the command line; each flag has an environment variable
// TREFOILPLANK_<FLAG>. Durations and numbers are text here and parsed by Read, since the flag library stops at the
// first value that it can't parse, whereas a failed start must list every fault.
type Flags struct {
	Settings

	CallerMemoryMB unparsed `long:"caller-memory-mb" env:"TREFOILPLANK_CALLER_MEMORY_MB" default:"0" description:"memory in MB that may be held for callers; 0 is an eighth of the machine's"`
	LeaseDuration  unparsed `long:"lease-duration" env:"TREFOILPLANK_LEASE_DURATION" default:"30s" description:"how long a node's lease lasts without renewal; the same on all nodes"`
	DrainTimeout   unparsed `long:"drain-timeout" env:"TREFOILPLANK_DRAIN_TIMEOUT" default:"10m" description:"longest time that a drain waits for requests in progress"`
	AddressTTL     unparsed `long:"address-ttl" env:"TREFOILPLANK_ADDRESS_TTL" default:"5s" description:"time for which callers keep an address answer"`
	Verbosity      unparsed `short:"v" long:"verbosity" env:"TREFOILPLANK_VERBOSITY" default:"0" description:"log verbosity, 0 to 10"`
}

// unparsed is the text of a number or duration.
type unparsed string

// IsValidValue allows a value to begin with a minus sign, which the flag library would otherwise take for an option.
func (unparsed) IsValidValue(text string) error {
	if strings.HasPrefix(text, "--") {
		return fmt.Errorf("a value is missing before option %s", text)
	}
	return nil
}

// Read parses and checks the flags and returns the settings, or a SettingsError with every fault.
func (f *Flags) Read() (Settings, error) {
	s := f.Settings
	var faults SettingsError
	// A value that can't be parsed is replaced by one that Check accepts, so that it is reported only once.
	parseDuration := func(to *time.Duration, flag string, text unparsed) {
		var err error
		if *to, err = time.ParseDuration(string(text)); err != nil {
			faults = append(faults, fmt.Sprintf("--%s: %q is not a duration such as 30s or 10m", flag, text))
			*to = time.Hour
		}
	}
	parseDuration(&s.LeaseDuration, "lease-duration", f.LeaseDuration)
	parseDuration(&s.DrainTimeout, "drain-timeout", f.DrainTimeout)
	parseDuration(&s.AddressTTL, "address-ttl", f.AddressTTL)
	var err error
	if s.CallerMemoryMB, err = strconv.Atoi(string(f.CallerMemoryMB)); err != nil {
		faults = append(faults, fmt.Sprintf("--caller-memory-mb: %q is not a number", f.CallerMemoryMB))
	}
	if s.Verbosity, err = strconv.Atoi(string(f.Verbosity)); err != nil {
		faults = append(faults, fmt.Sprintf("-v: %q is not a number", f.Verbosity))
	}
	var checkFaults SettingsError
	if err := s.Check(); errors.As(err, &checkFaults) {
		faults = append(faults, checkFaults...)
	}
	if len(faults) > 0 {
		return s, faults
	}
	return s, nil
}

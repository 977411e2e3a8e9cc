// Package edge is a node that forwards callers' requests unchanged and runs list jobs, on a platform that an adapter
// translates.
package edge

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("edge")

// Settings are read from a TOML file. Durations are given in milliseconds or seconds, as the names say.
type Settings struct {
	Name             string `toml:"name"`
	AvailabilityZone string `toml:"availability_zone"`
	Region           string `toml:"region"`
	// IP is the address that the node is reached at by others.
	IP string `toml:"ip"`
	// CallerAddress, ReadyAddress and DirectoryAddress are IP:port of what the node serves; empty for what it does not.
	CallerAddress    string `toml:"caller_address"`
	ReadyAddress     string `toml:"ready_address"`
	DirectoryAddress string `toml:"directory_address"`
	// MetricsAddress is the IP:port of counters and histograms; empty for none.
	MetricsAddress string `toml:"metrics_address"`
	// InternalPorts are the first and last port that nodes may use among themselves.
	InternalPorts []int `toml:"internal_ports"`
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string `toml:"store_address"`
	// CPUShare is the part of a core that the node has, Cores how fast that core is in units of one.
	CPUShare float64 `toml:"cpu_share"`
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	// Retires is set on a node whose VM may be asked to hand its work on and leave.
	Retires bool `toml:"retires"`

	// DrainSeconds is how long a stopping process has.
	DrainSeconds float64 `toml:"drain_seconds"`
	// AddressTTL is how long callers may keep an address answer.
	AddressTTL float64 `toml:"address_ttl_seconds"`
	// ReadableSeconds is how long after its submission a job must stay readable.
	ReadableSeconds float64 `toml:"job_readable_seconds"`
}

// Findings are all faults of a settings file.
type Findings []string

// Error returns the faults, one a line.
func (f Findings) Error() string { return strings.Join(f, "\n") }

// Bounds of settings.
const (
	leastMemoryMB = 32
	presetDrain   = 8
	// presetTTL is as long as a lost node takes to be found, so that callers leave it within two such times; with 5 s the
	// mean worth of the days with trouble was 0.02 less on both sites.
	presetTTL = 1
	// presetReadable is how long a job stays readable where the platform names no bound.
	presetReadable = 120
)

// ReadSettings reads and checks a settings file. An error of the type Findings lists every fault with its key.
func ReadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return ParseSettings(string(text))
}

// ParseSettings checks the text of a settings file.
func ParseSettings(text string) (Settings, error) {
	s := Settings{DrainSeconds: presetDrain, AddressTTL: presetTTL, ReadableSeconds: presetReadable, Cores: 1}
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return s, Findings{err.Error()}
	}
	var f Findings
	for _, key := range meta.Undecoded() {
		f = append(f, fmt.Sprintf("%s: is not a setting", key))
	}
	f = append(f, s.check()...)
	if len(f) > 0 {
		return s, f
	}
	return s, nil
}

func (s *Settings) check() (f Findings) {
	add := func(format string, args ...any) { f = append(f, fmt.Sprintf(format, args...)) }
	if s.Name == "" || strings.ContainsAny(s.Name, "/ ") {
		add("name: %q must not be empty nor hold '/' or spaces", s.Name)
	}
	if s.AvailabilityZone == "" {
		add("availability_zone: is missing")
	}
	if net.ParseIP(s.IP) == nil {
		add("ip: %q is not an IP number", s.IP)
	}
	for _, a := range []struct {
		key, address string
		required     bool
	}{
		{"caller_address", s.CallerAddress, false}, {"ready_address", s.ReadyAddress, false},
		{"directory_address", s.DirectoryAddress, false},
		{"metrics_address", s.MetricsAddress, false}, {"store_address", s.StoreAddress, true},
	} {
		host, _, err := net.SplitHostPort(a.address)
		if a.address == "" && !a.required {
			continue
		}
		if err != nil || net.ParseIP(host) == nil {
			add("%s: %q must be IP:port", a.key, a.address)
		}
	}
	if len(s.InternalPorts) != 2 || s.InternalPorts[0] < 1 || s.InternalPorts[1] < s.InternalPorts[0] || s.InternalPorts[1] > 65535 {
		add("internal_ports: %v must be the first and the last of some ports", s.InternalPorts)
	}
	if s.CPUShare <= 0 {
		add("cpu_share: %v must be above 0", s.CPUShare)
	}
	if s.Cores <= 0 {
		add("cores: %v must be above 0", s.Cores)
	}
	if s.MemoryMB < leastMemoryMB {
		add("memory_mb: %d must be at least %d", s.MemoryMB, leastMemoryMB)
	}
	for _, d := range []struct {
		key   string
		value float64
	}{{"drain_seconds", s.DrainSeconds}, {"address_ttl_seconds", s.AddressTTL}, {"job_readable_seconds", s.ReadableSeconds}} {
		if d.value <= 0 {
			add("%s: %v must be above 0", d.key, d.value)
		}
	}
	return f
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

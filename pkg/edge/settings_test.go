package edge

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	decision "trefoilplank.example/pkg/decision/drain"
	"trefoilplank.example/pkg/eventlog"
)

const validSettings = `name = "edge-1"
availability_zone = "z1"
region = "r"
ip = "10.0.0.1"
caller_address = "10.0.0.1:8000"
internal_ports = [7000, 7010]
store_address = "10.0.0.9:8142"
cpu_share = 0.4
cores = 1
memory_mb = 134
`

// Guards against rejecting a valid file.
func TestValidSettings(t *testing.T) {
	s, err := ParseSettings(validSettings)
	assert.NilError(t, err)
	assert.Equal(t, s.AddressTTL, float64(defaultAddressTTL))
	assert.Equal(t, s.MemoryMB, 134)
}

// Guards against reporting only the first fault of a file.
func TestAllFindingsAreReported(t *testing.T) {
	_, err := ParseSettings(`name = "a/b"
ip = "localhost"
caller_address = "10.0.0.1"
internal_ports = [7010, 7000]
store_address = ""
cpu_share = 0
memory_mb = 8
drain_seconds = -1
colour = "red"
`)
	var f Findings
	assert.Assert(t, errors.As(err, &f))
	assert.DeepEqual(t, []string(f), []string{
		"colour: unknown setting",
		`name: "a/b" must not be empty nor hold '/' or spaces`,
		"availability_zone: is missing",
		`ip: "localhost" is not an IP number`,
		`caller_address: "10.0.0.1" must be IP:port`,
		`store_address: "" must be IP:port`,
		"internal_ports: [7010 7000] must be the first and last port of a range",
		"cpu_share: 0 must be above 0",
		"memory_mb: 8 must be at least 32",
		"drain_seconds: -1 must be above 0",
	})
}

// Guards against treating a file that is not valid TOML as an empty one.
func TestInvalidTOML(t *testing.T) {
	_, err := ParseSettings("name = ")
	var f Findings
	assert.Assert(t, errors.As(err, &f))
	assert.Equal(t, len(f), 1)
}

// Fuzzes the parser of settings: no text may make it panic.
func FuzzSettings(f *testing.F) {
	f.Add(validSettings)
	f.Add("name = 1\n[ip]\n")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = ParseSettings(text) // Any error is allowed; a panic fails the run.
	})
}

// Guards against a node that closes its port while callers still connect to it: some cache an address answer for
// three times its TTL, also for the TTL that a change of the settings has shortened.
func TestDrainWaitsForCallersWithCachedAddresses(t *testing.T) {
	now := time.Now()
	n := &Node{settings: Settings{DrainSeconds: 10, AddressTTL: 1}}
	_, end := n.drainTimes(now)
	assert.Assert(t, end.Sub(now) >= 3*time.Second)
	n = &Node{settings: Settings{DrainSeconds: 10, AddressTTL: 1.3}, log: &eventlog.Log{}}
	n.Reload(Settings{DrainSeconds: 10, AddressTTL: 0.1})
	limit, end := n.drainTimes(now)
	assert.Assert(t, end.Sub(now) >= 3900*time.Millisecond)
	assert.Equal(t, decision.NewPlan(now, 7*time.Second, now.Add(30*time.Second)).Quiet, now.Add(3500*time.Millisecond))
	assert.Assert(t, limit < 10*time.Second)
	// The node stays for as long.
	assert.Assert(t, !decision.NewPlan(now, limit, now.Add(3*time.Second)).Quiet.Before(now.Add(3*time.Second)))
	assert.Assert(t, !decision.NewPlan(now, limit, end).Quiet.Before(now.Add(3900*time.Millisecond)))
}

package scenarios

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"trefoilplank.example/standin/network"
)

func splitGroup(arg string) []string { return strings.Split(arg, ",") }

// startNetwork sends the traffic of nodes that are started later through forwarders, which can cut it: network.
func startNetwork(ts *testscript.TestScript, _ bool, _ []string) {
	f := fleetOf(ts)
	f.network = network.New()
	ts.Defer(f.network.Close)
}

// cutNetwork stops the traffic between two groups of nodes: cut silent|refused|oneway GROUP GROUP. A group is a list of
// names separated by commas; "store" is the object store. silent drops the traffic, refused closes connections, and oneway
// drops only what the first group sends to the second.
func cutNetwork(ts *testscript.TestScript, _ bool, args []string) {
	kind, ok := map[string]network.Fault{"silent": network.Blackhole, "refused": network.Refused, "oneway": network.Blackhole}[args[0]]
	if !ok || len(args) != 3 {
		ts.Fatalf("usage: cut silent|refused|oneway GROUP GROUP")
	}
	n := fleetOf(ts).network
	n.SetFault(splitGroup(args[1]), splitGroup(args[2]), kind)
	if args[0] != "oneway" {
		n.SetFault(splitGroup(args[2]), splitGroup(args[1]), kind)
	}
}

// healNetwork ends all cuts of the network: heal.
func healNetwork(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).network.ClearFaults() }

// delayNetwork sets the delay of traffic in each direction between two groups: delay DURATION GROUP GROUP.
func delayNetwork(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	fleetOf(ts).network.SetDelay(splitGroup(args[1]), splitGroup(args[2]), d)
}

// flapNetwork cuts and heals the traffic between two groups repeatedly, for PERIOD each: flap TIMES PERIOD GROUP GROUP.
// The cuts are silent and refused in turn.
func flapNetwork(ts *testscript.TestScript, neg bool, args []string) {
	var times int
	_, err := fmt.Sscan(args[0], &times)
	ts.Check(err)
	for i := range times {
		kind := []string{"silent", "refused"}[i%2]
		cutNetwork(ts, neg, []string{kind, args[2], args[3]})
		sleep(ts, neg, args[1:2])
		healNetwork(ts, neg, nil)
		sleep(ts, neg, args[1:2])
	}
}

// pollUntil polls unmet until it returns "" and prints the time that this took. unmet returns why the condition does not
// hold yet; what names the condition.
func pollUntil(ts *testscript.TestScript, limit, what string, unmet func() string) {
	d, err := time.ParseDuration(limit)
	ts.Check(err)
	start, reason := time.Now(), ""
	for time.Since(start) < d {
		if reason = unmet(); reason == "" {
			fmt.Fprintf(ts.Stdout(), "%s after %d ms\n", what, time.Since(start).Milliseconds())
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s not within %s: %s", what, limit, reason)
}

// awaitVersion waits until a version is in force on the named nodes, and fails if a node goes back to an older version:
// inforce DURATION VERSION NODE...
func awaitVersion(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	pollUntil(ts, args[0], "version "+args[1], func() string {
		for _, name := range args[2:] {
			v := f.versionInForce(ts, name)
			if v < f.versions[name] {
				ts.Fatalf("node %s went back from version %d to %d", name, f.versions[name], v)
			}
			f.versions[name] = v
			if fmt.Sprint(v) != args[1] {
				return fmt.Sprintf("%s has version %d", name, v)
			}
		}
		return ""
	})
}

// awaitMembers waits until each of the named nodes has exactly these nodes as members: agree DURATION NODE...
func awaitMembers(ts *testscript.TestScript, _ bool, args []string) {
	f, names := fleetOf(ts), slices.Sorted(slices.Values(args[1:]))
	pollUntil(ts, args[0], "members "+strings.Join(names, ","), func() string {
		for _, name := range names {
			if got := f.memberNames(ts, name); !slices.Equal(got, names) {
				return fmt.Sprintf("%s gives callers the addresses of %v", name, got)
			}
		}
		return ""
	})
}

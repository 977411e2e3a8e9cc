package scenarios

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"trefoilplank.example/standin/network"
)

func group(arg string) []string { return strings.Split(arg, ",") }

// networkStart makes the nodes started after it talk through forwarders: network.
func networkStart(ts *testscript.TestScript, _ bool, _ []string) {
	f := fleetOf(ts)
	f.network = network.New()
	ts.Defer(f.network.Close)
}

// cut stops the traffic between two groups of nodes: cut silent|refused|oneway GROUP GROUP. A group is a list of names
// with commas; store is the object store. oneway drops only what the first group sends to the second.
func cut(ts *testscript.TestScript, _ bool, args []string) {
	kind, ok := map[string]network.Fault{"silent": network.Silent, "refused": network.Refused, "oneway": network.Silent}[args[0]]
	if !ok || len(args) != 3 {
		ts.Fatalf("usage: cut silent|refused|oneway GROUP GROUP")
	}
	n := fleetOf(ts).network
	n.Set(group(args[1]), group(args[2]), kind)
	if args[0] != "oneway" {
		n.Set(group(args[2]), group(args[1]), kind)
	}
}

// heal ends all cuts: heal.
func heal(ts *testscript.TestScript, _ bool, _ []string) { fleetOf(ts).network.Heal() }

// delay sets the time that traffic takes each way between two groups: delay DURATION GROUP GROUP.
func delay(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	fleetOf(ts).network.Delay(group(args[1]), group(args[2]), d)
}

// flap cuts and heals the traffic between two groups again and again: flap TIMES PERIOD GROUP GROUP.
func flap(ts *testscript.TestScript, neg bool, args []string) {
	var times int
	_, err := fmt.Sscan(args[0], &times)
	ts.Check(err)
	for i := range times {
		kind := []string{"silent", "refused"}[i%2]
		cut(ts, neg, []string{kind, args[2], args[3]})
		sleep(ts, neg, args[1:2])
		heal(ts, neg, nil)
		sleep(ts, neg, args[1:2])
	}
}

// until polls a condition that returns why it does not hold yet, and prints the time that it took.
func until(ts *testscript.TestScript, limit, what string, missing func() string) {
	d, err := time.ParseDuration(limit)
	ts.Check(err)
	start, why := time.Now(), ""
	for time.Since(start) < d {
		if why = missing(); why == "" {
			fmt.Fprintf(ts.Stdout(), "%s after %d ms\n", what, time.Since(start).Milliseconds())
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s not within %s: %s", what, limit, why)
}

// inForce waits until a version is in force on the named nodes, and checks that none goes back: inforce DURATION VERSION
// NODE...
func inForce(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	until(ts, args[0], "version "+args[1], func() string {
		for _, name := range args[2:] {
			v := f.version(ts, name)
			if v < f.versions[name] {
				ts.Fatalf("node %s went from version %d to %d", name, f.versions[name], v)
			}
			f.versions[name] = v
			if fmt.Sprint(v) != args[1] {
				return fmt.Sprintf("%s has version %d", name, v)
			}
		}
		return ""
	})
}

// agree waits until the named nodes have each other and no other node as members: agree DURATION NODE...
func agree(ts *testscript.TestScript, _ bool, args []string) {
	f, names := fleetOf(ts), slices.Sorted(slices.Values(args[1:]))
	until(ts, args[0], "members "+strings.Join(names, ","), func() string {
		for _, name := range names {
			if got := f.addresses(ts, name); !slices.Equal(got, names) {
				return fmt.Sprintf("%s answers the addresses of %v", name, got)
			}
		}
		return ""
	})
}

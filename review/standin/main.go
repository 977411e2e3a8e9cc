// Command standin plays the scripted cases of the review: it starts nodes as separate processes, stands in for the platform's
// store, the replicas and the clients, and exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by the number of their folder. Each reports whether its rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"freeze":  staleOwner,
	"escapes": largeResults,
	"limit":   limitOfReplicas,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, record string) int {
	run := cases[name]
	program, err := filepath.Abs(program)
	if err == nil {
		_, err = os.Stat(program)
	}
	if run == nil {
		err = errors.New("no such case")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		f.stop()
		os.Exit(2)
	}()
	defer f.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("case %s, with the disruption: %v", name, trouble)
	broken, err := run(f, trouble)
	switch {
	case err != nil:
		f.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		f.note("BROKEN")
		fmt.Println("broken")
		return 1
	}
	f.note("held")
	fmt.Println("held")
	return 0
}

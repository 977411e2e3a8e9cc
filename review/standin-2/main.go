// Command standin2 plays the cases of the second review: it starts nodes as processes of their own, before stand-ins of the
// platform's store, replicas and clients, disturbs them and judges a rule by what clients, replicas and the store have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var scenes = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"stale-registration": staleRegistration,
	"majority-lost":      majorityLost,
	"finished-jobs":      finishedJobs,
	"two-hubs":           twoHubs,
	"new-route":          newRoute,
	"stale-list":         staleList,
	"crashed-items":      crashedItems,
}

func main() {
	if len(os.Args) != 4 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCENE PROGRAM RECORD")
		os.Exit(2)
	}
	rec := &recorder{begun: time.Now()}
	f, err := newFleet(os.Args[2], rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.stop()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := scenes[os.Args[1]](f, trouble)
	f.stop()
	code := 0
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		code = 2
	case broken:
		rec.add("the rule was broken")
		code = 1
	default:
		rec.add("the rule held")
	}
	if err := rec.write(os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	rec.mu.Lock()
	fmt.Println(rec.lines[len(rec.lines)-1])
	rec.mu.Unlock()
	os.Exit(code)
}

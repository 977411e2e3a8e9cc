package main

import (
	"fmt"
	"time"
)

// majorityLost removes six of ten edge machines at once, for good and without SIGTERM, while batch jobs are in progress. Further batch jobs
// come to the others when all is calm again.
func majorityLost(f *fleet, trouble bool) (bool, error) {
	if err := startSmall(f, 10, 1, 2, 166); err != nil {
		return false, err
	}
	victims, survivors := f.nodes[:6], f.nodes[6:]
	var lots []*lot
	for i := range 10 {
		l, err := f.submit(f.nodes[i], fmt.Sprintf("7c41e09b52d6a%03x", 0x100+i*37), 5)
		if err != nil {
			return false, err
		}
		lots = append(lots, l)
	}
	time.Sleep(time.Second)
	if trouble {
		for _, n := range victims {
			n.signal(9)
		}
		for _, n := range victims {
			n.kill()
		}
		f.nodes = survivors
		defer func() { f.nodes = append(victims, survivors...) }()
	}
	time.Sleep(10 * time.Second)
	f.rec.add("the loss is %v ago; further batch jobs are submitted", 10*time.Second)
	for i := range 4 {
		l, err := f.submit(survivors[i%len(survivors)], fmt.Sprintf("8d41e09b52d6a%03x", 0x100+i*37), 6)
		if err != nil {
			return false, err
		}
		lots = append(lots, l)
	}
	return judgeFinished(f, lots)
}

package main

import (
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"
)

// limitOfReplicas freezes the hub while replicas name limits; the traffic grows shortly before it runs again. From contact after
// a replica first named its limit, it must not get more than 1.5 times what the limit allows, plus 5, in some 4 s. No request is
// sent to the machine that is frozen.
func limitOfReplicas(f *fleet, trouble bool) (bool, error) {
	// The traffic of the site file changes between 0.383 and 1.87 times its mean, 26.9 a second for this kind of request.
	const limit, replicas, low, high = 8, 3, 10, 50
	const beforeReturn = time.Second
	const window = 4 * time.Second
	for k := range replicas {
		r, err := newReplica(fmt.Sprintf("i-%08x", 0x2a0f9f00+k), 6, f.log, 60*time.Millisecond, nil, nil)
		if err != nil {
			return false, err
		}
		r.limit = fmt.Sprint(limit)
		f.replicas = append(f.replicas, r)
		f.store.put("servers", r.id, r.entry("xano55b", zones[k], "ready"))
	}
	f.configure(1, 0)
	if err := f.addNodes(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	hub := f.hub()
	var frozenNode *node
	var others []*node
	for _, n := range f.nodes {
		if n.name == hub {
			frozenNode = n
		} else if n.caller != "" {
			others = append(others, n)
		}
	}
	if frozenNode == nil {
		return false, fmt.Errorf("hub %q is not known", hub)
	}
	f.note("hub %s", hub)
	var calls sync.WaitGroup
	number := 0
	outcomes := map[int]int{}
	var mu sync.Mutex
	send := func(perSecond int, d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(time.Second / time.Duration(perSecond)) {
			number++
			n, id := others[number%len(others)], fmt.Sprintf("9c41d07be2%06x", number)
			calls.Go(func() {
				status, _ := f.call(n, "POST", "/puxa403/"+id, id, []byte("statement "+id), map[string]string{"Deadline-Ms": "3000"}, 3*time.Second)
				mu.Lock()
				defer mu.Unlock()
				outcomes[status]++
			})
		}
	}
	begun := time.Now()
	send(low, 6*time.Second)
	if trouble {
		f.note("SIGSTOP %s", hub)
		_ = frozenNode.cmd.Process.Signal(syscall.SIGSTOP)
	}
	send(low, frozen-beforeReturn)
	f.note("traffic grows")
	send(high, beforeReturn)
	if trouble {
		_ = frozenNode.cmd.Process.Signal(syscall.SIGCONT)
		f.note("SIGCONT %s", hub)
	}
	send(high, 5*time.Second)
	calls.Wait()
	broken := false
	arrivals := map[string][]time.Time{}
	for _, r := range f.log.all() {
		if r.at.Sub(begun) > contact {
			arrivals[r.replica] = append(arrivals[r.replica], r.at)
		}
	}
	allowed := int(1.5*limit*window.Seconds()) + 5
	for id, times := range arrivals {
		sort.Slice(times, func(a, b int) bool { return times[a].Before(times[b]) })
		most, at := 0, time.Time{}
		for n, from := range times {
			k := sort.Search(len(times), func(k int) bool { return times[k].Sub(from) > window }) - n
			if k > most {
				most, at = k, from
			}
		}
		f.note("replica %s got at most %d requests in 4 s, from %.3f on; %d are allowed", id, most, f.since(at), allowed)
		broken = broken || most > allowed
	}
	f.noteRuns()
	f.note("answers by status: %v", outcomes)
	return broken, nil
}

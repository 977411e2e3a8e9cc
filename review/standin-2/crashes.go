package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// crashFor is how long a replica that has crashed is down; the site's list has for_s = 4.5 for srv_crash.
	crashFor = 2500 * time.Millisecond
	// silenceLimit is the silence after which the platform removes the entry of a replica: three ping intervals.
	silenceLimit = 3 * heartbeat
	// failedLately is how long an item that failed at a replica doesn't count, by LOST.
	failedLately = 20 * time.Second
)

// crash ends the replica's process without a word. It is back at its address after a while, with a new id.
func (p *replica) crash(down time.Duration) {
	p.rec.add("replica %s at %s crashes", p.id, p.address)
	_ = p.server.Close()
	old := p.id
	time.AfterFunc(silenceLimit, func() {
		p.store.operatorDelete("servers", old)
		p.rec.add("store: the entry of replica %s is removed", old)
	})
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			p.rec.add("replica at %s is not back: %v", p.address, err)
			return
		}
		p.mu.Lock()
		p.id, p.born = fmt.Sprintf("i-%08x", uint32(time.Now().UnixNano())), time.Now().UnixMilli()
		p.server = &http.Server{Handler: p, IdleTimeout: 5 * time.Second}
		server := p.server
		p.mu.Unlock()
		go func() { _ = server.Serve(l) }()
		p.beat()
		p.rec.add("replica %s is back at %s", p.id, p.address)
	})
}

// crashedItems lets the replica crash that runs an item, again and again. Each time one of five replicas is lost, for two and a half seconds.
func crashedItems(f *fleet, trouble bool) (bool, error) {
	const crashes = 5
	f.eventTime = 30 * time.Millisecond
	if err := startSmall(f, 4, 0, 5, 266); err != nil {
		return false, err
	}
	l, err := f.submit(f.nodes[0], "7c41e09b52d6c100", 10)
	if err != nil {
		return false, err
	}
	item := l.items[0]
	var last time.Time
	for n := 0; trouble && n < crashes; n++ {
		p, err := f.awaitRun(item, 45*time.Second)
		if err != nil {
			return false, err
		}
		time.Sleep(max(600*time.Millisecond, time.Until(last.Add(3300*time.Millisecond))))
		if !p.runs(item) {
			return false, fmt.Errorf("item %s does not run any more", item)
		}
		last = time.Now()
		p.crash(crashFor)
	}
	if !trouble {
		last = time.Now()
	}
	f.rec.add("no replica crashes from now on")
	time.Sleep(time.Until(last.Add(failedLately + 2*time.Second)))
	return f.judgeLying(l, last)
}

// awaitRun waits until a replica runs an item.
func (f *fleet) awaitRun(item string, limit time.Duration) (*replica, error) {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(20 * time.Millisecond) {
		for _, p := range f.replicas {
			if p.runs(item) {
				return p, nil
			}
		}
	}
	return nil, fmt.Errorf("no replica runs item %s for %v", item, limit)
}

// judgeLying judges LOST: an item that is listed nowhere, although in the last 5 s no replica had an unlisted item of its batch job and the replicas
// were under half full, in the last 3 s no item was finished, and the item failed at no replica in the last 20 s.
func (f *fleet) judgeLying(l *lot, lastCrash time.Time) (bool, error) {
	broken := false
	for _, n := range f.nodes {
		states, status, err := f.read(n, l)
		if err != nil || status != http.StatusOK {
			return false, fmt.Errorf("lot %s could not be read at %s: status %d, error %v", l.id, n.name, status, err)
		}
		f.rec.add("client: lot %s read at %s, %v after the last crash: %d of %d items listed", l.id, n.name, time.Since(lastCrash).Round(100*time.Millisecond), len(states), len(l.items))
		for _, item := range l.items {
			if states[item] != "" {
				continue
			}
			had := time.Time{}
			for _, p := range f.replicas {
				if at := p.had(item); at.After(had) {
					had = at
				}
				if p.runs(item) {
					had = time.Now()
				}
			}
			f.rec.add("client: item %s is listed neither as completed nor as errored; a replica last had it %v ago", item, time.Since(had).Round(100*time.Millisecond))
			broken = broken || time.Since(had) > failedLately
		}
	}
	for _, p := range f.replicas {
		running, waiting := p.busy()
		f.rec.add("replica %s: %d requests run and %d wait, of %d slots", p.id, running, waiting, p.slots)
		broken = broken && 2*(running+waiting) < p.slots
	}
	return broken, nil
}

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// staleAge is how old the lists are that the store gives to calls with stale-ok, all the time: "seconds".
	staleAge = 4 * time.Second
	// cancelBound is cancel-ms of the small sites.
	cancelBound = 3 * time.Second
	// cutFor is for_s of node_cut in the site's list.
	cutFor = 5500 * time.Millisecond
)

// staleList cuts one machine after the other off from the other machines of the system. The store, the replicas and the clients reach it all the
// while. A client ends the batch job that the machine has accepted, at another machine.
func staleList(f *fleet, trouble bool) (bool, error) {
	f.store.staleAge = staleAge
	cuts := f.partitions()
	f.beforeStart = func(i int, n *node) error { return cuts.add(n, fmt.Sprintf("127.0.1.%d", i+1)) }
	if err := startSmall(f, 4, 0, 2, 60); err != nil {
		return false, err
	}
	broken := false
	for round := range 5 {
		n, other := f.nodes[round%len(f.nodes)], f.nodes[(round+1)%len(f.nodes)]
		l, err := f.submit(n, fmt.Sprintf("7c41e09b52d6b%03x", 0x100+round*37), 190)
		if err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond)
		if trouble {
			cuts.setCut(n.name, true)
			f.rec.add("%s is cut off from the other machines of the system", n.name)
		}
		begun := time.Now()
		time.Sleep(500 * time.Millisecond)
		var ended time.Time
		for ended.IsZero() {
			status, _, err := f.call(other, http.MethodDelete, "/-/lots/"+l.id, l.id, nil, nil)
			f.rec.add("client: end of lot %s sent to %s: status %d, error %v", l.id, other.name, status, err)
			if status == http.StatusOK {
				ended = time.Now()
			} else if time.Since(begun) > 4*time.Second {
				return false, fmt.Errorf("the end of lot %s was not confirmed", l.id)
			}
		}
		time.Sleep(time.Until(begun.Add(cutFor)))
		cuts.setCut(n.name, false)
		f.rec.add("%s reaches the others", n.name)
		time.Sleep(4 * time.Second)
		late := 0
		for _, item := range l.items {
			for _, p := range f.replicas {
				for _, at := range p.begins(item) {
					if after := at.Sub(ended); after > cancelBound {
						late++
						f.rec.add("replica %s: item %s of the ended lot %s reached it %v after the end was confirmed, and runs", p.id, item, l.id, after.Round(time.Millisecond))
					}
				}
			}
		}
		f.rec.add("lot %s: %d runs of its items reached a replica later than %v after the confirmation of its end", l.id, late, cancelBound)
		broken = broken || late > 0
		if err := f.awaitReady(10*time.Second, f.nodes...); err != nil {
			return false, err
		}
	}
	return broken, nil
}

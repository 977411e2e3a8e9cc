package main

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// startSmall starts replicas, storage machines and edge machines, and waits until the latter are ready.
func startSmall(f *fleet, nodes, storage, replicas, events int) error {
	f.putConfiguration(7)
	for i := range replicas {
		p, err := startReplica(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), serviceName, fmt.Sprintf("z%d", i%3+1), 8, events, f.store, f.rec)
		if err != nil {
			return err
		}
		p.eventTime = cmp.Or(f.eventTime, eventTime)
		f.replicas = append(f.replicas, p)
	}
	for i := range storage {
		f.addNode(fmt.Sprintf("storage-z%d-1", i+1), fmt.Sprintf("z%d", i+1)).storage = true
	}
	f.storage, f.nodes = f.nodes, nil
	for i := range nodes {
		f.addNode(fmt.Sprintf("edge-z%d-%d", i%3+1, i/3+1), fmt.Sprintf("z%d", i%3+1))
	}
	for i, n := range append(slices.Clone(f.storage), f.nodes...) {
		if f.beforeStart != nil {
			if err := f.beforeStart(i, n); err != nil {
				return err
			}
		}
	}
	starting := make(chan error, len(f.storage)+len(f.nodes))
	for _, n := range append(slices.Clone(f.storage), f.nodes...) {
		go func() { starting <- n.startWithFreePorts() }()
	}
	for range cap(starting) {
		if err := <-starting; err != nil {
			return err
		}
	}
	if err := f.awaitReady(20*time.Second, f.nodes...); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}

const (
	// lostFor and lostShare are the limits of platform_lost on the small sites; a late write is done 1 to 6 s later.
	lostFor, lostShare = 4500 * time.Millisecond, 0.35
	lateBy             = 5500 * time.Millisecond
	// contact is contact-ms, finish is finish-s, of the small sites.
	contact, finish = 3 * time.Second, 18 * time.Second
)

// staleRegistration kills half of the nodes twice, while some writes of the store get no answer and are carried out late. Then calm
// batch jobs are submitted at each of these nodes.
func staleRegistration(f *fleet, trouble bool) (bool, error) {
	if err := startSmall(f, 4, 0, 2, 166); err != nil {
		return false, err
	}
	victims := f.nodes[:2]
	if trouble {
		if err := killTwiceWhileWritesAreLate(f, victims); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15*time.Second, f.nodes...); err != nil {
		return false, err
	}
	// The last disturbance is over: the machines and the store are calm for more than contact-ms and catch-up-s.
	time.Sleep(2*contact + time.Second)
	f.rec.add("calm again; batch jobs are submitted")
	var lots []*lot
	for i := range 8 {
		l, err := f.submit(victims[i%len(victims)], fmt.Sprintf("7c41e09b52d6a%03x", 0x100+i*37), 8)
		if err != nil {
			return false, err
		}
		lots = append(lots, l)
	}
	return judgeFinished(f, lots)
}

func killTwiceWhileWritesAreLate(f *fleet, victims []*node) error {
	lostOnce := map[string]bool{}
	f.store.setFault(func(w write) fate {
		// The first registration of each killed node in this window is among the writes that get no answer.
		victim := slices.ContainsFunc(victims, func(n *node) bool { return n.name == w.Name })
		if w.Kind == "members" && w.Method == http.MethodPut && victim && !lostOnce[w.Name] {
			lostOnce[w.Name] = true
			return fate{lost: true, late: lateBy}
		}
		return fate{}
	})
	window := time.Now()
	f.rec.add("the store begins to lose answers")
	herd := func() error {
		for _, n := range victims {
			n.signal(9)
			n.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range victims {
			if err := n.start(); err != nil {
				return err
			}
		}
		return nil
	}
	if err := herd(); err != nil {
		return err
	}
	// Usual work at the other nodes, whose writes are answered.
	go func() {
		for i := range 4 {
			_, _ = f.submit(f.nodes[2+i%2], fmt.Sprintf("a41e09b52d6a3%03x", 0x100+i*37), 2)
			time.Sleep(400 * time.Millisecond)
		}
	}()
	time.Sleep(3 * time.Second)
	if err := herd(); err != nil {
		return err
	}
	time.Sleep(time.Until(window.Add(lostFor)))
	f.store.setFault(nil)
	writes, lost := f.store.counts()
	f.rec.add("the store loses no answers any longer: %d of %d writes got none", lost, writes)
	if lost != len(victims) || float64(lost) > lostShare*float64(writes) {
		return fmt.Errorf("%d of %d writes lost", lost, writes)
	}
	time.Sleep(lateBy)
	return nil
}

// judgeFinished checks LOST for batch jobs whose clients have nothing more to send: when finish-s is over, an item of an open job is listed
// neither as completed nor as errored, though in the last 5 s no replica had an unlisted item of that job, the replicas were under half full,
// and in the last 3 s no item of any job was finished.
func judgeFinished(f *fleet, lots []*lot) (bool, error) {
	over := time.Now().Add(finish)
	lastListed, listedBefore := time.Now(), 0
	lastHalfFull := time.Time{}
	for time.Now().Before(over) {
		time.Sleep(250 * time.Millisecond)
		running := 0
		for _, p := range f.replicas {
			r, w := p.busy()
			running += r + w
		}
		if 2*running >= 8*len(f.replicas) {
			lastHalfFull = time.Now()
		}
		listed, all := 0, 0
		for _, l := range lots {
			states, _, _ := f.read(f.nodes[len(f.nodes)-1], l)
			listed += len(states)
			all += len(l.items)
		}
		if listed != listedBefore {
			listedBefore, lastListed = listed, time.Now()
		}
		if listed == all {
			f.rec.add("all %d items are listed", all)
			return false, nil
		}
	}
	broken := false
	for _, l := range lots {
		// Every node is asked; an item counts as listed if any of them lists it.
		listed := map[string]string{}
		for _, n := range f.nodes {
			states, status, err := f.read(n, l)
			f.rec.add("client: lot %s read at %s: status %d, error %v, %d of %d items listed", l.id, n.name, status, err, len(states), len(l.items))
			for id, state := range states {
				listed[id] = state
			}
		}
		for _, item := range l.items {
			if listed[item] != "" {
				continue
			}
			had := time.Time{}
			for _, p := range f.replicas {
				if at := p.had(item); at.After(had) {
					had = at
				}
			}
			lying := time.Since(had) > 5*time.Second && time.Since(lastHalfFull) > 5*time.Second && time.Since(lastListed) > 3*time.Second
			note := "never sent to a replica"
			if !had.IsZero() {
				note = fmt.Sprintf("at a replica %.1f s ago", time.Since(had).Seconds())
			}
			f.rec.add("item %s of lot %s, accepted %.1f s ago by %s, is not listed; %s; left lying: %v", item, l.id, time.Since(l.accepted).Seconds(), l.at.name, note, lying)
			broken = broken || lying
		}
	}
	return broken, nil
}

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, and the length of a freeze by `fleetbench kinds` (5 s).
const (
	contact = 3 * time.Second
	settle  = time.Second
	cancel  = 3 * time.Second
	frozen  = 5 * time.Second
)

// staleOwner freezes a machine that owns jobs for some seconds. From contact after it runs again, it must not lack results
// that were read at other machines more than settle before, and no item of an ended job may reach a replica later than cancel
// after the confirmation of the end.
func staleOwner(f *fleet, trouble bool) (bool, error) {
	const events, perJob, jobsAtOwner, jobsElsewhere = 166, 10, 10, 4
	data := func(id string, n int) string {
		return fmt.Sprintf("%s event %d of a statement, text of a usual length, %d", id, n, n*7)
	}
	if err := f.addReplicas(4, 8, 15*time.Millisecond, func(string) int { return events }, data); err != nil {
		return false, err
	}
	f.configure(1, 0)
	if err := f.addNodes(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // The hub counts nodes as unresponsive only 2 s after its start.
	hub := f.hub()
	var owner *node
	var others []*node
	for _, n := range f.callers() {
		if owner == nil && n.name != hub {
			owner = n
		} else {
			others = append(others, n)
		}
	}
	f.note("hub %s, machine to be frozen %s", hub, owner.name)
	// Many jobs come at once, so that items wait for slots.
	var jobs []string
	for k := range jobsAtOwner {
		id := fmt.Sprintf("7a4729eaa046%04x", k)
		jobs = append(jobs, id)
		if status := f.submit(owner, id, newItems(id, perJob, 1500)); status != 202 {
			return false, fmt.Errorf("job %s was answered %d", id, status)
		}
	}
	for k := range jobsElsewhere {
		id := fmt.Sprintf("0e99a6fa89aa%04x", k)
		if status := f.submit(others[k], id, newItems(id, perJob, 1500)); status != 202 {
			return false, fmt.Errorf("job %s was answered %d", id, status)
		}
	}
	time.Sleep(500 * time.Millisecond)
	w := watcher{f: f, seen: map[string][]time.Time{}}
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for k, id := range jobs {
		readers.Go(func() { w.readAt(others[k%len(others)], id, stop) })
	}
	if trouble {
		f.note("SIGSTOP %s", owner.name)
		_ = owner.cmd.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(frozen)
	if trouble {
		_ = owner.cmd.Process.Signal(syscall.SIGCONT)
		f.note("SIGCONT %s", owner.name)
	}
	resumed := time.Now()
	// Half of the jobs are ended at another machine that was never disturbed.
	ended := map[string]time.Time{}
	for _, id := range jobs[:jobsAtOwner/2] {
		if f.end(others[0], id) == 200 {
			ended[id] = time.Now()
		}
	}
	time.Sleep(time.Until(resumed.Add(contact)))
	inTouch := time.Now()
	for time.Since(inTouch) < 20*time.Second {
		for _, id := range jobs {
			w.check(owner, id)
		}
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	readers.Wait()
	late := 0
	for _, r := range f.log.all() {
		for id, at := range ended {
			if strings.HasPrefix(r.id, id) && r.at.Sub(at) > cancel && r.at.After(inTouch) {
				late++
				f.note("UNASKED: item %s of the ended job %s ran %.3f s after the confirmation of the end", r.id, id, r.at.Sub(at).Seconds())
			}
		}
	}
	f.noteRuns()
	f.note("items of ended jobs that ran later than %v after the end: %d; reads that lacked a result: %d", cancel, late, w.lacking)
	return w.lacking > 0, nil
}

// watcher reads jobs and records when each position was first read.
type watcher struct {
	f       *fleet
	mu      sync.Mutex
	seen    map[string][]time.Time
	lacking int
}

// readAt reads a job at a machine twice a second until stop is closed.
func (w *watcher) readAt(n *node, job string, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		w.mu.Lock()
		after := len(w.seen[job])
		w.mu.Unlock()
		status, l := w.f.read(n, job, after)
		if status != 200 || len(l.Results) == 0 {
			continue
		}
		w.mu.Lock()
		for range l.Results {
			w.seen[job] = append(w.seen[job], time.Now())
		}
		w.f.note("job %s: %d results read at %s", job, len(w.seen[job]), n.name)
		w.mu.Unlock()
	}
}

// check reads a job at a machine from the last position that was read elsewhere more than settle ago, which must be there.
func (w *watcher) check(n *node, job string) {
	w.mu.Lock()
	position := -1
	for p, at := range w.seen[job] {
		if time.Since(at) > settle {
			position = p
		}
	}
	w.mu.Unlock()
	if position < 0 {
		return
	}
	if status, l := w.f.read(n, job, position); status == 200 && len(l.Results) == 0 {
		w.mu.Lock()
		w.lacking++
		w.mu.Unlock()
		w.f.note("LOST: job %s has nothing at position %d at %s, though it was read elsewhere more than %v before", job, position, n.name, settle)
	}
}

package main

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"
)

// Times of a small deployment: the longest outage of the store on its sheet, and how long jobs have after the last traffic.
const (
	storeOutage = 4500 * time.Millisecond
	finish      = 18 * time.Second
)

// largeResults takes the store away while a job of markup is run. When finish is over, all items must be listed.
func largeResults(f *fleet, trouble bool) (bool, error) {
	const items = 120
	data := func(id string, n int) string {
		return fmt.Sprintf(`<w id="%d"><l>tango</l><t>NN</t></w><w id="%d"><l>de</l></w>`, 2*n, 2*n+1)
	}
	if err := f.addReplicas(3, 8, 15*time.Millisecond, variedEvents, data); err != nil {
		return false, err
	}
	f.configure(1, 0)
	if err := f.addNodes(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	const job = "7a4729eaa0461335"
	callers := f.callers()
	if status := f.submit(callers[0], job, newItems(job, items, 1500)); status != 202 {
		return false, fmt.Errorf("job was answered %d", status)
	}
	time.Sleep(5 * time.Second)
	if trouble {
		f.note("store goes silent")
		f.store.setFault(func(string, string, string) fault { return silent })
	}
	time.Sleep(storeOutage)
	if trouble {
		f.store.setFault(nil)
		f.note("store answers again")
	}
	lastFinished := time.Now()
	listed := map[string]bool{}
	wrong := 0
	ended := time.Now().Add(finish)
	for time.Now().Before(ended) || time.Since(lastFinished) < 5*time.Second {
		for _, r := range f.log.all() {
			if r.ended == "running" {
				lastFinished = time.Now()
			}
		}
		time.Sleep(500 * time.Millisecond)
		if time.Since(f.begun) > 90*time.Second {
			return false, fmt.Errorf("replicas did not come to rest")
		}
	}
	for after := 0; ; {
		status, l := f.read(callers[1], job, after)
		if status != 200 || len(l.Results) == 0 {
			f.note("read from position %d: status %d, %d of %d items listed", after, status, after, l.Total)
			break
		}
		for _, x := range l.Results {
			listed[x.ID] = true
			if x.State != "completed" || x.Text != f.replicas[0].text(x.ID) {
				wrong++
			}
		}
		after = l.Next
	}
	whole := 0
	runs := map[string]bool{}
	for _, r := range f.log.all() {
		if r.ended == "ok" && !runs[r.id] {
			runs[r.id] = true
			whole++
		}
	}
	f.noteRuns()
	f.noteResults(job)
	f.note("%d items, %d with a whole run, %d listed, %d of them wrong; nothing ran in the last 5 s", items, whole, len(listed), wrong)
	return len(listed) < items, nil
}

// variedEvents returns 100 to 232 events, 166 on average, as the sheets of small deployments have it.
func variedEvents(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return 100 + int(h.Sum32()%133)
}

// noteResults writes the sizes of the stored entries of a job's results to the record.
func (f *fleet) noteResults(job string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, c := range f.store.log {
		if strings.HasSuffix(c.kind, job) {
			f.note("stored %s/%s: %d bytes", c.kind, c.object.Metadata.Name, len(c.object.Spec))
		}
	}
	f.note("%d writes above the limit of %d bytes were refused by the store", f.store.tooLarge, valueBytes)
}

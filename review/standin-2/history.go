package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// lotsPerSecond is the rate of batch jobs on the sheet of a small deployment.
const lotsPerSecond = 1.03

// rss returns the resident memory of a process in MB, without what it shares with its file: the least that can count.
func rss(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// historyAge is the age of the youngest copied job: older than what nodes keep in memory.
const historyAge = 160 * time.Second

// copyHistory stores the heads that the system wrote for finished batch jobs once more under other IDs, as it has written them for the batch
// jobs of the time before: count jobs, handed in at lotsPerSecond. Their items and results are derived from the originals when they are read.
func (f *fleet) copyHistory(lots []*lot, count int) error {
	s := f.store
	type head struct {
		fields map[string]any
		id     string
	}
	var heads []head
	s.mu.Lock()
	for _, l := range lots {
		var h map[string]any
		if err := json.Unmarshal(s.kind("jobs").objects[l.id].Spec, &h); err != nil {
			s.mu.Unlock()
			return fmt.Errorf("head of lot %s: %w", l.id, err)
		}
		heads = append(heads, head{h, l.id})
	}
	s.mu.Unlock()
	original := map[string]string{}
	copies := make([]object, 0, count)
	for n := range count {
		h := heads[n%len(heads)]
		id := fmt.Sprintf("%08x%08x", 0x51000000+n, 0x9c41d07b^n)
		age := historyAge + time.Duration(float64(count-n)/lotsPerSecond*float64(time.Second))
		h.fields["id"], h.fields["submitted"] = id, time.Now().Add(-age).UTC()
		text, err := json.Marshal(h.fields)
		if err != nil {
			return err
		}
		copies = append(copies, object{Metadata: metadata{Name: id}, Spec: text})
		original[id] = h.id
	}
	derive := func(o object, from, to string) object {
		o.Spec = json.RawMessage(strings.ReplaceAll(string(o.Spec), from, to))
		o.Metadata.Name = strings.ReplaceAll(o.Metadata.Name, from, to)
		return o
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range copies {
		s.revision++
		o.Metadata.Revision, o.Metadata.Created = s.revision, s.revision
		o.text, _ = json.Marshal(o)
		s.kind("jobs").objects[o.Metadata.Name] = o
	}
	s.kind("jobs").sorted = nil
	s.missing = func(kind, name string) (object, bool) {
		id, rest, _ := strings.Cut(name, ".")
		if kind != "jobitems" || original[id] == "" {
			return object{}, false
		}
		o, ok := s.kind(kind).objects[original[id]+"."+rest]
		return derive(o, original[id], id), ok
	}
	s.missingKind = func(kind string) map[string]object {
		id, ok := strings.CutPrefix(kind, "jobresults-")
		if !ok || original[id] == "" {
			return nil
		}
		objects := map[string]object{}
		for name, o := range s.kind("jobresults-" + original[id]).objects {
			objects[name] = derive(o, original[id], id)
		}
		return objects
	}
	return nil
}

// memoryMB is the memory of an edge machine of anldm-liquida.
const memoryMB = 134

// overLimit is a process that used more than memory-mb: the platform kills it, and starts it again after a short delay.
type overLimit struct {
	node string
	mb   int
}

// finishedJobs lets a small deployment go on in calm after three days on which it has finished the batch jobs of its sheet. The platform kills
// processes that use more than memory-mb.
func finishedJobs(f *fleet, trouble bool) (bool, error) {
	f.store.quiet = true
	hours := 72.0
	if text := os.Getenv("HOURS"); text != "" {
		hours, _ = strconv.ParseFloat(text, 64)
	}
	if err := startSmall(f, 4, 0, 6, 166); err != nil {
		return false, err
	}
	var lots []*lot
	for i := range 8 {
		l, err := f.submit(f.nodes[i%len(f.nodes)], fmt.Sprintf("7c41e09b52d6a%03x", 0x100+i*37), 10)
		if err != nil {
			return false, err
		}
		lots = append(lots, l)
	}
	if broken, err := judgeFinished(f, lots); err != nil || broken {
		return broken, err
	}
	if trouble {
		count := int(hours * 3600 * lotsPerSecond)
		if err := f.copyHistory(lots, count); err != nil {
			return false, err
		}
		f.rec.add("the store holds %d more finished batch jobs, those of %.1f h before", count, hours)
	}
	var ends []overLimit
	most := map[string]int{}
	for until, shown := time.Now().Add(90*time.Second), time.Now(); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		line := ""
		for _, n := range f.nodes {
			mb := rss(n.cmd.Process.Pid)
			most[n.name] = max(most[n.name], mb)
			line += fmt.Sprintf(" %d", mb)
			if mb <= memoryMB {
				continue
			}
			ends = append(ends, overLimit{n.name, mb})
			f.rec.add("platform: %s uses %d MB of %d MB and is killed", n.name, mb, memoryMB)
			n.kill()
			time.Sleep(300 * time.Millisecond)
			if err := n.start(); err != nil {
				return false, err
			}
		}
		if time.Since(shown) > 2*time.Second {
			shown = time.Now()
			f.rec.add("memory in MB:%s", line)
		}
	}
	count := map[string]int{}
	for _, e := range ends {
		count[e.node]++
	}
	three := 0
	for name, n := range count {
		f.rec.add("%s: killed %d times for its memory, with no disturbance", name, n)
		if n >= 3 {
			three++
		}
	}
	f.rec.add("most memory in MB: %v", most)
	return three >= 2, nil
}

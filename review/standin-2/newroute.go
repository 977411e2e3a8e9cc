package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// newRoute stops the machines in turn, twice, each right after it has accepted a batch job on a route that the operator has just added.
func newRoute(f *fleet, trouble bool) (bool, error) {
	if err := startSmall(f, 4, 0, 4, 60); err != nil {
		return false, err
	}
	var lots []*lot
	for round := range 2 * len(f.nodes) {
		n := f.nodes[round%len(f.nodes)]
		path := fmt.Sprintf("/added%d/", round)
		f.added = append(f.added, path)
		f.putConfiguration(10 + 3*round)
		f.rec.add("operator: the desired state %d with the batch route %s is confirmed", 10+3*round, path)
		time.Sleep(100 * time.Millisecond)
		l, err := f.submitAdded(n, path, fmt.Sprintf("7c41e09b52d%03x", 0x100+round*37))
		if err != nil {
			return false, err
		}
		lots = append(lots, l)
		if trouble {
			n.signal(15)
			select {
			case <-n.exited:
			case <-time.After(graceSeconds * time.Second):
				n.kill()
			}
			f.rec.add("%s: process has ended", n.name)
			time.Sleep(300 * time.Millisecond)
			if err := n.start(); err != nil {
				return false, err
			}
		}
		if err := f.awaitReady(10*time.Second, f.nodes...); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(5 * time.Second)
	broken := false
	for _, l := range lots {
		states, status, err := f.read(f.nodes[0], l)
		count := map[string]int{}
		for _, state := range states {
			count[state]++
		}
		atReplicas := 0
		for _, item := range l.items {
			for _, p := range f.replicas {
				if !p.had(item).IsZero() {
					atReplicas++
					break
				}
			}
		}
		f.rec.add("client: lot %s, accepted by %s, read at %s: status %d, error %v, of %d items %d completed, %d errored; %d were at a replica, which answered neither 422 nor 500",
			l.id, l.at.name, f.nodes[0].name, status, err, len(l.items), count["completed"], count["errored"], atReplicas)
		broken = broken || count["errored"] > 0
	}
	return broken, nil
}

// submitAdded sends batch jobs on a route that was just added until the node accepts one. A node may not know the route yet: a job that it
// answers with 404 is not sent again, and another client's comes next.
func (f *fleet) submitAdded(n *node, path, prefix string) (*lot, error) {
	for begun, client := time.Now(), 0; time.Since(begun) < 3*time.Second; client++ {
		if l := f.submitOnce(n, path, fmt.Sprintf("%s%02x", prefix, client)); l != nil {
			return l, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("no lot on %s was accepted", path)
}

// submitOnce sends a batch job, and returns it if it was accepted.
func (f *fleet) submitOnce(n *node, path, id string) *lot {
	l := &lot{id: id, at: n}
	var items []any
	for i := range 10 {
		item := fmt.Sprintf("%s%03d", id, i)
		l.items = append(l.items, item)
		items = append(items, map[string]any{
			"id": item, "path": path + "item/" + item, "headers": map[string]string{"Model": "m", "Token-Count": "350,166", "Prompt-Prefix": "9c2e41:100," + item[len(item)-6:] + ":250"},
			"body": base64.StdEncoding.EncodeToString([]byte("item " + item)), "tokens": 516,
		})
	}
	body, _ := json.Marshal(map[string]any{"items": items})
	status, _, err := f.call(n, http.MethodPost, path+id, id, body, map[string]string{"Content-Type": "application/json", "Deadline-Ms": "4000"})
	f.rec.add("client: lot %s (%d items) sent to %s: status %d, error %v", id, len(items), n.name, status, err)
	if status != http.StatusAccepted {
		return nil
	}
	l.accepted = time.Now()
	return l
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// limitPerS is what each replica names in Server-Limit.
const limitPerS = 10

// hub returns the node that divides the limits of replicas, by the last line of the nodes' logs about it.
func (f *fleet) hub() *node {
	last := ""
	for _, n := range f.nodes {
		text, _ := os.ReadFile(filepath.Join(f.folder, n.name+".log"))
		for _, line := range strings.Split(string(text), "\n") {
			var l struct{ Msg, Hub string }
			if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "load hub chosen" {
				last = l.Hub
			}
		}
	}
	for _, n := range f.nodes {
		if n.name == last {
			return n
		}
	}
	return nil
}

func twoHubs(f *fleet, trouble bool) (bool, error) {
	if err := startSmall(f, 3, 0, 2, 3); err != nil {
		return false, err
	}
	if trouble {
		if err := stopWhileWriteIsLate(f, f.hub()); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * contact)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var sent, answered, refused atomic.Int64
	for i := range 120 {
		clients.Go(func() { f.client(ctx, i, &sent, &answered, &refused) })
	}
	time.Sleep(2 * time.Second)
	for _, p := range f.replicas {
		p.mu.Lock()
		p.limit = limitPerS
		p.mu.Unlock()
	}
	named := time.Now()
	f.rec.add("both replicas name Server-Limit: %d", limitPerS)
	time.Sleep(contact + 15*time.Second)
	cancel()
	clients.Wait()
	f.rec.add("clients: %d requests sent, %d answered, %d refused", sent.Load(), answered.Load(), refused.Load())
	broken := false
	const window, allowed = 4 * time.Second, 1.5*limitPerS*4 + 5
	for _, p := range f.replicas {
		p.mu.Lock()
		most := 0
		for i, from := range p.starts {
			if from.Before(named.Add(contact)) {
				continue
			}
			n := 0
			for _, at := range p.starts[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			most = max(most, n)
		}
		p.mu.Unlock()
		f.rec.add("replica %s got at most %d requests in 4 s; its limit allows %.0f", p.id, most, allowed)
		broken = broken || float64(most) > allowed
	}
	return broken, nil
}

func stopWhileWriteIsLate(f *fleet, n *node) error {
	if n == nil {
		return fmt.Errorf("no hub is known")
	}
	f.store.setFault(func(w write) fate {
		if w.Kind == "members" && w.Name == n.name && w.Method == http.MethodPut {
			return fate{lost: true, late: 6 * time.Second}
		}
		return fate{}
	})
	f.rec.add("the store begins to lose answers")
	go func() {
		for i := range 4 {
			_, _ = f.submit(f.nodes[i%3], fmt.Sprintf("a41e09b52d6a3%03x", 0x100+i*37), 2)
		}
	}()
	n.signal(15)
	time.Sleep(2 * time.Second)
	f.store.setFault(nil)
	writes, lost := f.store.counts()
	f.rec.add("the store loses no answers any longer: %d of %d writes got none", lost, writes)
	if lost == 0 || float64(lost) > lostShare*float64(writes) {
		return fmt.Errorf("%d of %d writes lost", lost, writes)
	}
	select {
	case <-n.exited:
	case <-time.After(graceSeconds * time.Second):
		n.kill()
	}
	f.rec.add("%s: process has ended", n.name)
	time.Sleep(200 * time.Millisecond)
	if err := n.start(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return f.awaitReady(10*time.Second, f.nodes...)
}

// client asks the nearest node for addresses, and sends streams to one of them, each on a new channel.
func (f *fleet) client(ctx context.Context, i int, sent, answered, refused *atomic.Int64) {
	home := f.nodes[i%len(f.nodes)]
	var addresses []string
	var until time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if time.Now().After(until) {
			if list, ttl := lookup(home); len(list) > 0 {
				addresses, until = list, time.Now().Add(ttl)
			}
		}
		if len(addresses) == 0 {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%08x%04x%04x", 0x9c41d07b, i, n)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addresses[rand.IntN(len(addresses))]+streamPath+"2f", strings.NewReader("letter "+id))
		req.Host = host
		for k, v := range map[string]string{"Request-Id": id, "Model": "m", "Token-Count": "350,24", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%08x:250", rand.Uint32()), "Deadline-Ms": "5000"} {
			req.Header.Set(k, v)
		}
		sent.Add(1)
		resp, err := httpClient.Do(req)
		pause := time.Duration(float64(300*time.Millisecond) * rand.ExpFloat64())
		if err == nil {
			_, _ = io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				answered.Add(1)
			} else {
				refused.Add(1)
				if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
					pause = max(pause, time.Duration(s*float64(time.Second)))
				}
			}
		}
		time.Sleep(min(pause, 2*time.Second))
	}
}

func lookup(n *node) ([]string, time.Duration) {
	resp, err := httpClient.Get("http://" + n.directory + "/-/lookup?name=" + host + "&region=r&zone=" + n.zone)
	if err != nil {
		return nil, 0
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl-s"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil, 0
	}
	return answer.Addresses, time.Duration(answer.TTL * float64(time.Second))
}

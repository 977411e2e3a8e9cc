package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// node is a process of the system.
type node struct {
	name, caller, ready, settings, logFile string
	cmd                                    *exec.Cmd
	exited                                 chan struct{}
}

// fleet is a small deployment: the nodes, the store, the replicas and the record of what was seen.
type fleet struct {
	binary, folder string
	store          *store
	log            *runLog
	replicas       []*replica
	nodes          []*node
	begun          time.Time
	nextPort       int
	mu             sync.Mutex
	record         *os.File
}

var zones = []string{"sala-centro", "sala-cordon", "sala-pocitos", "sala-prado"}

func newFleet(binary, recordFile string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &fleet{binary: binary, folder: folder, store: s, log: &runLog{}, begun: time.Now(), record: record}, nil
}

// note writes a line to the record, with the time since the start.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.begun).Seconds(), fmt.Sprintf(format, args...))
}

// since is the time of an event as the record shows it.
func (f *fleet) since(t time.Time) float64 { return t.Sub(f.begun).Seconds() }

// Ports of nodes are taken from a range that systems do not use for outgoing connections.
const firstPort, lastPort = 11000, 31000

// freePorts returns n free ports of an address that follow each other, none of which was returned before.
func (f *fleet) freePorts(ip string, n int) (int, error) {
	if f.nextPort == 0 {
		f.nextPort = firstPort + rand.IntN((lastPort-firstPort)/2)
	}
	for ; f.nextPort+n < lastPort; f.nextPort += n {
		free := true
		for p := f.nextPort; free && p < f.nextPort+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			f.nextPort += n
			return f.nextPort - n, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

// addNode writes the settings of a node as the template deploy/settings.toml.tmpl gives them, and starts it. A storage node
// takes no callers.
func (f *fleet) addNode(name, zone string, storage bool) error {
	const ip, ports = "127.0.0.1", 8
	first, err := f.freePorts(ip, ports)
	if err != nil {
		return err
	}
	n := &node{name: name, settings: filepath.Join(f.folder, name+".toml"), logFile: filepath.Join(f.folder, name+".log")}
	share, memory := 0.4, 134
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\navailability_zone = %q\nregion = \"montevideo\"\nip = %q\n", name, zone, ip)
	if storage {
		share, memory = 0.8, 154
	} else {
		n.caller, n.ready = fmt.Sprintf("%s:%d", ip, first), fmt.Sprintf("%s:%d", ip, first+1)
		fmt.Fprintf(&b, "caller_address = %q\nready_address = %q\ndirectory_address = \"%s:%d\"\n", n.caller, n.ready, ip, first+2)
	}
	fmt.Fprintf(&b, "internal_ports = [%d,%d]\nstore_address = %q\nmetrics_address = \"%s:%d\"\n", first+3, first+ports-1, f.store.address, ip, first+ports-1)
	fmt.Fprintf(&b, "cpu_share = %v\ncores = 1\nmemory_mb = %d\nfirst_start = true\n", share, memory)
	if storage {
		b.WriteString("retires = true\n")
	}
	b.WriteString("drain_seconds = 8\njob_readable_seconds = 120\n")
	if err := os.WriteFile(n.settings, []byte(b.String()), 0o600); err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	return f.start(n)
}

// start starts the process of a node with the command of the deploy file.
func (f *fleet) start(n *node) error {
	out, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command(f.binary, "edge", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func() {
		_ = n.cmd.Wait() // The process is killed at the end.
		close(n.exited)
	}()
	return nil
}

// stop ends all processes and removes their files.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		_ = n.cmd.Process.Kill()
	}
	for _, n := range f.nodes {
		<-n.exited
	}
	f.store.server.Close()
	for _, r := range f.replicas {
		r.server.Close()
	}
	f.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// callers are the nodes that take callers.
func (f *fleet) callers() (list []*node) {
	for _, n := range f.nodes {
		if n.caller != "" {
			list = append(list, n)
		}
	}
	return list
}

// awaitReady waits until all nodes that take callers are ready.
func (f *fleet) awaitReady() error {
	until := time.Now().Add(15 * time.Second)
	for _, n := range f.callers() {
		for {
			resp, err := http.Get("http://" + n.ready + "/-/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// hub returns the hub that a node's own log names last.
func (f *fleet) hub() string {
	found := ""
	text, _ := os.ReadFile(f.nodes[0].logFile)
	for _, line := range strings.Split(string(text), "\n") {
		var l struct{ Msg, Hub string }
		if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "load hub chosen" {
			found = l.Hub
		}
	}
	return found
}

const host = "wuny96.example"

// item is an item of a job as a client sends it.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// newItems returns n items of a job.
func newItems(job string, n, tokens int) []item {
	var items []item
	for k := range n {
		id := fmt.Sprintf("%s%04x", job, k)
		items = append(items, item{
			ID: id, Path: "/volo102/3/" + id, Body: base64.StdEncoding.EncodeToString([]byte("prompt " + id)), Tokens: tokens,
			Headers: map[string]string{"Model": "m", "Token-Count": fmt.Sprintf("350,%d", tokens-350), "Prompt-Prefix": "9c2e41:100," + id + ":250"},
		})
	}
	return items
}

// call makes a call on a new channel and returns the status and the body; status 0 means that there was no answer.
func (f *fleet) call(n *node, method, path, id string, body []byte, header map[string]string, timeout time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+n.caller+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	if id != "" {
		req.Header.Set("Request-Id", id)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// submit hands in a job.
func (f *fleet) submit(n *node, job string, items []item) int {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		panic(err)
	}
	status, _ := f.call(n, http.MethodPost, "/volo102/"+job, job, body, map[string]string{"Content-Type": "application/json", "Deadline-Ms": "4000"}, 4*time.Second)
	f.note("job %s (%d items) sent to %s: %d", job, len(items), n.name, status)
	return status
}

// listing is the answer to a read of results.
type listing struct {
	Total, Next int
	Results     []struct{ ID, State, Text string }
}

// read reads the results of a job from a position on.
func (f *fleet) read(n *node, job string, after int) (int, listing) {
	status, body := f.call(n, http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", job, after), "", nil, nil, 2500*time.Millisecond)
	var l listing
	if status == http.StatusOK && json.Unmarshal(body, &l) != nil {
		return 0, l
	}
	return status, l
}

// end ends a job.
func (f *fleet) end(n *node, job string) int {
	status, _ := f.call(n, http.MethodDelete, "/-/lots/"+job, "", nil, nil, 4*time.Second)
	f.note("end of job %s asked at %s: %d", job, n.name, status)
	return status
}

// configure writes a desired state with the batch route of a small deployment.
func (f *fleet) configure(version int, maxCount int64) {
	route := map[string]any{
		"name": "draft-statement", "host": host, "path-prefix": "/volo102/", "kind": "batch", "service": "dele69a", "timeout-ms": 15000, "slo-ms": 400,
		"priority": 2, "max-attempts": 3, "completion-ms": 18000, "retention-s": 60, "resumable": true, "gap-aim-ms": 300,
	}
	if maxCount > 0 {
		route["max-count"] = maxCount
	}
	online := map[string]any{
		"name": "fetch-statement", "host": host, "path-prefix": "/puxa403/", "kind": "idempotent", "service": "xano55b", "timeout-ms": 3000, "slo-ms": 300,
		"priority": 2, "max-attempts": 3,
	}
	f.store.put("config", "main", map[string]any{
		"version": version, "routes": []any{route, online},
		"services": []any{
			map[string]any{"name": "dele69a", "max-conns": 200, "engine": map[string]any{"stride": 7}}, map[string]any{"name": "xano55b", "max-conns": 100},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 10000},
	})
	f.note("desired state %d written, max-count %d", version, maxCount)
}

// addReplicas starts and registers replicas.
func (f *fleet) addReplicas(n, slots int, interval time.Duration, events func(string) int, data func(string, int) string) error {
	for k := range n {
		r, err := newReplica(fmt.Sprintf("i-%08x", 0x18ca9f00+k), slots, f.log, interval, events, data)
		if err != nil {
			return err
		}
		f.replicas = append(f.replicas, r)
		f.store.put("servers", r.id, r.entry("dele69a", zones[k%len(zones)], "ready"))
	}
	return nil
}

// addNodes starts the machines of a small deployment: 7 that take callers and 4 with disks, in 4 zones.
func (f *fleet) addNodes() error {
	for k := range 7 {
		if err := f.addNode(fmt.Sprintf("edge-%s-%d", zones[k%4], 1+k/4), zones[k%4], false); err != nil {
			return err
		}
	}
	for _, zone := range zones {
		if err := f.addNode("storage-"+zone+"-1", zone, true); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// noteRuns writes the runs of all replicas to the record.
func (f *fleet) noteRuns() {
	for _, r := range f.log.all() {
		f.note("run of %s at %s began at %.3f after event %d: %s", r.id, r.replica, f.since(r.at), r.after, r.ended)
	}
}

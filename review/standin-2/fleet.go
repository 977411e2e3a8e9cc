package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
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
	"syscall"
	"time"
)

// recorder collects what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	begun time.Time
	lines []string
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f  ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// node is a process of the system, run by the command of the deploy file.
type node struct {
	name, zone, front, ready, directory string
	internal                            int
	fleet                               *fleet
	cmd                                 *exec.Cmd
	exited                              chan struct{}
	started                             bool
	// storage is set for a process on a storage machine, which takes no callers.
	storage bool
	// ip is the address of the machine towards other nodes; 127.0.0.1 if it is empty.
	ip string
}

type fleet struct {
	program, folder string
	rec             *recorder
	store           *store
	storeAddress    string
	// nodes are those on edge machines, storage those on storage machines.
	nodes, storage []*node
	// added are the path prefixes of the batch routes that the operator has added.
	added    []string
	replicas []*replica
	// memoryMB is the memory of an edge machine.
	memoryMB int
	// eventTime is the replicas' pause between events, if it is not the usual one.
	eventTime time.Duration
	// beforeStart is called for each node of startSmall before it starts; nil if there is nothing to do.
	beforeStart func(i int, n *node) error
}

const graceSeconds = 8

// freePorts returns ports below those that the system gives to connections, so that none of them is taken before it is used.
func freePorts(n int) ([]int, error) {
	var ports []int
	for try := 0; len(ports) < n && try < 1000; try++ {
		p := 15000 + rand.IntN(15000)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		defer l.Close()
		ports = append(ports, p)
	}
	if len(ports) < n {
		return nil, errors.New("no free ports")
	}
	return ports, nil
}

func newFleet(program string, rec *recorder) (*fleet, error) {
	folder, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, folder: folder, rec: rec, store: newStore(rec), storeAddress: l.Addr().String(), memoryMB: memoryMB}
	go f.store.serve(l)
	return f, nil
}

func (f *fleet) addNode(name, zone string) *node {
	n := &node{name: name, zone: zone, fleet: f}
	f.nodes = append(f.nodes, n)
	return n
}

// startWithFreePorts starts a process for the first time, with other ports if one of them was taken meanwhile.
func (n *node) startWithFreePorts() error {
	for range 5 {
		ports, err := freePorts(4)
		if err != nil {
			return err
		}
		address := func(p int) string { return fmt.Sprintf("127.0.0.1:%d", p) }
		n.front, n.ready, n.directory, n.internal = address(ports[0]), address(ports[1]), address(ports[2]), ports[3]
		n.started = false
		if err := n.start(); err != nil {
			return err
		}
		select {
		case <-n.exited:
			n.fleet.rec.add("%s: process ended at its start, trying other ports", n.name)
		case <-time.After(200 * time.Millisecond):
			return nil
		}
	}
	return fmt.Errorf("%s does not start", n.name)
}

// start starts the process with the settings that deploy/settings.toml.tmpl gives on anldm-liquida.
func (n *node) start() error {
	path := filepath.Join(n.fleet.folder, n.name+".toml")
	text := fmt.Sprintf("name = %q\navailability_zone = %q\nregion = \"r\"\nip = %q\ninternal_ports = [%d,%d]\nstore_address = %q\ncores = 1\n",
		n.name, n.zone, cmp.Or(n.ip, "127.0.0.1"), n.internal, n.internal, n.fleet.storeAddress)
	if n.storage {
		text += "cpu_share = 0.8\nmemory_mb = 154\nmax_descriptors = 8200\nretires = true\n"
	} else {
		text += fmt.Sprintf("caller_address = %q\nready_address = %q\ndirectory_address = %q\ncpu_share = 0.4\nmemory_mb = %d\nmax_descriptors = 4200\n", n.front, n.ready, n.directory, n.fleet.memoryMB)
	}
	if !n.started {
		text += "first_start = true\n"
	}
	n.started = true
	text += fmt.Sprintf("drain_seconds = %d\njob_readable_seconds = 120\n", graceSeconds)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.fleet.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(n.fleet.program, "edge", "--settings", path)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.fleet.rec.add("%s: process started", n.name)
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		log.Close()
		close(exited)
	}(n.cmd, n.exited)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.fleet.rec.add("%s: %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// kill kills the process and waits until it is gone.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	<-n.exited
}

func (f *fleet) stop() {
	for _, n := range append(f.storage, f.nodes...) {
		n.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}

func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/-/readiness", nil)
	resp, err := httpClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(limit time.Duration, nodes ...*node) error {
	for until := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range nodes {
			all = all && n.isReady()
		}
		if all {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("nodes are not ready after %v", limit)
		}
	}
}

const (
	host        = "front.example"
	batchPath   = "/lots/"
	streamPath  = "/stream/"
	serviceName = "llm"
)

// putConfiguration writes the desired state.
func (f *fleet) putConfiguration(version int) {
	routes := []any{
		map[string]any{"name": "r-stream", "host": host, "path-prefix": streamPath, "kind": "streaming", "timeout-ms": 5000, "slo-ms": 300, "priority": 0, "service": serviceName, "max-attempts": 2, "sticky": true, "resumable": true, "gap-aim-ms": 300},
		map[string]any{"name": "r-lots", "host": host, "path-prefix": batchPath, "kind": "batch", "timeout-ms": 15000, "slo-ms": 400, "priority": 2, "service": serviceName, "max-attempts": 3, "sticky": true, "gap-aim-ms": 300, "completion-ms": 18000, "retention-s": 600},
	}
	for _, path := range f.added {
		routes = append(routes, map[string]any{"name": "r-" + strings.Trim(path, "/"), "host": host, "path-prefix": path, "kind": "batch", "timeout-ms": 15000, "slo-ms": 400, "priority": 2, "service": serviceName, "max-attempts": 3, "sticky": true, "gap-aim-ms": 300, "completion-ms": 18000, "retention-s": 600})
	}
	f.store.operatorPut("config", "main", map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{map[string]any{"name": serviceName, "health-path": "/health", "max-conns": 240}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
	})
}

// call makes a client's call, each on a new channel.
func (f *fleet) call(n *node, method, path, id string, body []byte, header map[string]string) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

type lot struct {
	id    string
	items []string
	at    *node
	// accepted is when the 202 came.
	accepted time.Time
}

// submit sends a batch job to a node, again after 429, 5xx or no answer, as clients do.
func (f *fleet) submit(n *node, id string, count int) (*lot, error) {
	l := &lot{id: id, at: n}
	var items []any
	for i := range count {
		item := fmt.Sprintf("%s%03d", id, i)
		l.items = append(l.items, item)
		items = append(items, map[string]any{
			"id": item, "path": batchPath + "item/" + item, "headers": map[string]string{"Model": "m", "Token-Count": "350,166", "Prompt-Prefix": "9c2e41:100," + item[len(item)-6:] + ":250"},
			"body": base64.StdEncoding.EncodeToString([]byte("item " + item)), "tokens": 516,
		})
	}
	body, _ := json.Marshal(map[string]any{"items": items})
	for try := range 3 {
		status, _, err := f.call(n, http.MethodPost, batchPath+id, id, body, map[string]string{"Content-Type": "application/json", "Deadline-Ms": "4000"})
		f.rec.add("client: lot %s (%d items) sent to %s, try %d: status %d, error %v", id, count, n.name, try+1, status, err)
		if status == http.StatusAccepted {
			l.accepted = time.Now()
			return l, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return nil, fmt.Errorf("lot %s was not accepted", id)
}

type listing struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// read reads all listed results of a batch job at a node.
func (f *fleet) read(n *node, l *lot) (map[string]string, int, error) {
	states := map[string]string{}
	for after := 0; ; {
		status, text, err := f.call(n, http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", l.id, after), "read", nil, nil)
		if err != nil || status != http.StatusOK {
			return states, status, err
		}
		var page listing
		if err := json.Unmarshal(text, &page); err != nil {
			return states, status, err
		}
		for _, r := range page.Results {
			states[r.ID] = r.State
		}
		if len(page.Results) == 0 {
			return states, status, nil
		}
		after = page.Next
	}
}

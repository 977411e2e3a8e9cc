package scenarios

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/standin/devfleet"
)

const (
	// restTime is how long a fleet is watched without requests or changes.
	restTime = 20 * time.Second
	// settleTime lets the work of the start end before a fleet is watched. For ten seconds after the start of 128 nodes
	// each opens 1.8 connections/s, later 0.04.
	settleTime = 15 * time.Second
	// clockTicksPerSecond is the unit of processor time in /proc/PID/stat.
	clockTicksPerSecond = 100
	// lostPart is the part of the nodes that are killed at once.
	lostPart = 0.05
)

// benchFleet is a fleet of node processes before the sample stand-ins.
type benchFleet struct {
	standins *devfleet.Fleet
	nodes    []*process
	client   http.Client
}

// BenchmarkFleet measures whole fleets of separate processes: what a node uses at rest, the time until an accepted
// change is in force on every node, and the time until every node counts killed nodes as dead.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{8, 24, 64, 190} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				measureFleet(b, size)
			}
		})
	}
}

func measureFleet(b *testing.B, size int) {
	f := startFleet(b, size)
	time.Sleep(settleTime)
	before, started := f.use(b), time.Now()
	time.Sleep(restTime)
	f.use(b).since(before).report(b, size, time.Since(started))

	change := f.register()
	var worst time.Duration
	for i := range 3 {
		change.Institutions[0].DisplayName = fmt.Sprint("changed ", i)
		worst = max(worst, f.timeToAll(b, f.apply(b, change)))
	}
	b.ReportMetric(worst.Seconds(), "s/change")

	lost := max(1, int(float64(size)*lostPart))
	b.ReportMetric(f.kill(b, lost).Seconds(), "s/loss")
	b.ReportMetric(0, "ns/op")
}

// startFleet starts nodes in the zones of the sample fleet, in turn, and waits until each knows all others.
func startFleet(b *testing.B, size int) *benchFleet {
	f := &benchFleet{client: http.Client{Timeout: startTimeout}}
	var err error
	f.standins, err = devfleet.Start(1)
	assert.NilError(b, err)
	b.Cleanup(f.close)
	for i := range size {
		f.start(b, i)
	}
	f.apply(b, f.register())
	for _, p := range f.nodes {
		f.until(b, 2*startTimeout, func() bool { return f.vars(p).known() == size }, "node %s does not know all others", p.address)
	}
	return f
}

func (f *benchFleet) start(b *testing.B, i int) {
	zone := devfleet.Zones[i%len(devfleet.Zones)]
	binary, err := exec.LookPath("trefoilplank")
	assert.NilError(b, err)
	p, err := launch(binary, []string{
		"serve", "--name", fmt.Sprintf("n%d", i), "--availability-zone", zone.Name, "--region", zone.Region, "--log-format", "json",
		"--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
		"--store", f.standins.StoreAddress, "--vm-list", f.standins.VMListAddress, "--weight-store", f.standins.WeightStoreAddress,
		"--operator-key", operatorKey, "--peer-secret", peerSecret})
	if p != nil {
		f.nodes = append(f.nodes, p)
	}
	assert.NilError(b, err)
}

func (f *benchFleet) close() {
	for _, p := range f.nodes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	_ = f.standins.Close()
}

func (f *benchFleet) until(b *testing.B, limit time.Duration, holds func() bool, format string, args ...any) {
	b.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatalf(format, args...)
		}
	}
}

// call makes a call of the operator interface, decodes its answer into body, and returns the answer's headers; nil when
// it failed.
func (f *benchFleet) call(method, url, content string, body any) http.Header {
	q, err := http.NewRequest(method, "http://"+url, strings.NewReader(content))
	if err != nil {
		return nil
	}
	q.Header.Set("Authorization", "Bearer "+operatorKey)
	r, err := f.client.Do(q)
	if err != nil {
		return nil
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK || json.NewDecoder(r.Body).Decode(body) != nil {
		return nil
	}
	return r.Header
}

// register returns a copy of the sample register.
func (f *benchFleet) register() api.Register {
	r := f.standins.Register
	r.Institutions = append([]api.Institution(nil), r.Institutions...)
	return r
}

// apply applies the register with the sample rules at a random node and returns the version.
func (f *benchFleet) apply(b *testing.B, r api.Register) int64 {
	b.Helper()
	documents, err := json.Marshal([]any{r, f.standins.Rules})
	assert.NilError(b, err)
	var accepted struct{ Version int64 }
	p := f.nodes[rand.N(len(f.nodes))]
	f.until(b, startTimeout, func() bool {
		return f.call(http.MethodPost, p.admin+"/v1/admin/apply", string(documents), &accepted) != nil
	}, "node %s does not apply", p.admin)
	return accepted.Version
}

// timeToAll returns the time until a version is in force on every node.
func (f *benchFleet) timeToAll(b *testing.B, version int64) time.Duration {
	started := time.Now()
	want := strconv.Quote(strconv.FormatInt(version, 10))
	for _, p := range f.nodes {
		f.until(b, startTimeout, func() bool {
			h := f.call(http.MethodGet, p.admin+"/v1/admin/rules", "", &struct{}{})
			return h != nil && h.Get("ETag") == want
		}, "version %d is not in force on node %s", version, p.admin)
	}
	return time.Since(started)
}

// vars are the expvar variables of a node process that the benchmark reads.
type vars struct {
	PeerBytes   map[string]int64 `json:"peer_bytes"`
	StoreCalls  map[string]int64 `json:"store_calls"`
	LiveMembers map[string]int   `json:"live_members"`
	Connects    int64            `json:"peer_connects"`
}

func (f *benchFleet) vars(p *process) vars {
	var v vars
	f.call(http.MethodGet, p.admin+"/debug/vars", "", &v)
	return v
}

// known returns the number of live nodes that the node knows of.
func (v vars) known() int {
	for _, n := range v.LiveMembers {
		return n
	}
	return 0
}

// kill kills the last nodes and returns the time until every other node counts them as dead.
func (f *benchFleet) kill(b *testing.B, lost int) time.Duration {
	left := len(f.nodes) - lost
	for _, p := range f.nodes[left:] {
		assert.NilError(b, p.cmd.Process.Kill())
	}
	started := time.Now()
	for _, p := range f.nodes[:left] {
		f.until(b, startTimeout, func() bool { return f.vars(p).known() == left }, "node %s still counts lost nodes as live", p.address)
	}
	return time.Since(started)
}

// use is what the nodes of a fleet have used since their start, in all.
type use struct {
	processor   time.Duration
	residentMax int64
	peerBytes   int64
	storeCalls  int64
	connects    int64
}

func (u use) since(before use) use {
	u.processor -= before.processor
	u.peerBytes -= before.peerBytes
	u.storeCalls -= before.storeCalls
	u.connects -= before.connects
	return u
}

func (u use) report(b *testing.B, nodes int, d time.Duration) {
	each := float64(nodes) * d.Seconds()
	b.ReportMetric(u.processor.Seconds()/each*100, "%core/node")
	b.ReportMetric(float64(u.peerBytes)/each, "peer-B/s/node")
	b.ReportMetric(float64(u.storeCalls)/d.Seconds(), "store-calls/s")
	b.ReportMetric(float64(u.connects)/each, "connects/s/node")
	b.ReportMetric(float64(u.residentMax)/(1<<20), "MB/node-max")
}

func (f *benchFleet) use(b *testing.B) use {
	var sum use
	for _, p := range f.nodes {
		sum.processor += processorTime(b, p.cmd.Process.Pid)
		sum.residentMax = max(sum.residentMax, residentBytes(b, p.cmd.Process.Pid))
		vars := f.vars(p)
		for _, n := range vars.PeerBytes {
			sum.peerBytes += n
		}
		sum.connects += vars.Connects
		for _, n := range vars.StoreCalls {
			sum.storeCalls += n
		}
	}
	return sum
}

func processorTime(b *testing.B, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(b, err)
	// The name in the second field may hold spaces; user and system time are fields 14 and 15.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var ticks int
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		assert.NilError(b, err)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond
}

func residentBytes(b *testing.B, pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	assert.NilError(b, err)
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	assert.NilError(b, err)
	return pages * int64(os.Getpagesize())
}

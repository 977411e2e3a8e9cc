package scenarios

import (
	"bufio"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"trefoilplank.example/standin/devfleet"
	"trefoilplank.example/standin/network"
)

const (
	operatorKey = "scenario-operator-key"
	// startTimeout bounds the time that a process needs to start on a busy machine.
	startTimeout = 30 * time.Second
)

type fleetKey struct{}

// fleet holds the stand-ins and the node processes of one script.
type fleet struct {
	standins *devfleet.StandIns
	// peerSecret keeps nodes of other scripts apart, since the port of a node that was killed may be taken by one of them.
	peerSecret  string
	nodes       map[string]*process
	startedRuns map[string]int
	// crashing holds the texts of requests that crash upstreams, by request id.
	crashing map[string]string
	loads    map[string]*loadRun
	// network is nil in scripts without the command "network".
	network *network.Network
	// versions holds the newest version seen in force on each node.
	versions map[string]int64
}

// process is a running "trefoilplank serve".
type process struct {
	cmd                  *exec.Cmd
	address, admin, peer string
	// peerListens is the address on which the node listens for peers, and peer the one at which they reach it.
	peerListens string
	done        chan struct{}
	log         *logTail
}

// newFleet returns a fleet without stand-ins and nodes; the commands of a script start them.
func newFleet() *fleet {
	return &fleet{peerSecret: rand.Text(), nodes: map[string]*process{}, startedRuns: map[string]int{}, crashing: map[string]string{}, loads: map[string]*loadRun{}, versions: map[string]int64{}}
}

func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value(fleetKey{}).(*fleet) }

// close ends the loads, kills all nodes and stops the stand-ins.
func (f *fleet) close() {
	for _, l := range f.loads {
		l.cancel()
	}
	for _, p := range f.nodes {
		// SIGKILL also ends a process that SIGSTOP has stopped.
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if f.standins != nil {
		_ = f.standins.Close()
	}
}

// logNodesIfFailed logs the last lines of all nodes if the script has failed.
func (f *fleet) logNodesIfFailed(t testscript.T) {
	if result, ok := t.(interface{ Failed() bool }); !ok || !result.Failed() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(f.nodes)) {
		t.Log(fmt.Sprintf("last lines of node %s:\n%s", name, f.nodes[name].log))
	}
}

// startStandins starts all stand-ins, writes register.json and rules.json and sets STORE, KEY_<institution> and the
// variables of trefoilctl: standins.
func startStandins(ts *testscript.TestScript, _ bool, _ []string) {
	f := fleetOf(ts)
	var err error
	f.standins, err = devfleet.Start(1)
	ts.Check(err)
	for name, document := range map[string]any{"register.json": f.standins.Register, "rules.json": f.standins.Rules} {
		data, err := json.MarshalIndent(document, "", "  ")
		ts.Check(err)
		ts.Check(os.WriteFile(ts.MkAbs(name), data, 0o600))
	}
	ts.Setenv("STORE", f.standins.StoreAddress)
	ts.Setenv("TREFOILCTL_KEY", operatorKey)
	for institution, key := range f.standins.Keys {
		ts.Setenv("KEY_"+institution, key)
	}
	ts.Setenv("TREFOILCTL_CALLER_KEY", f.standins.Keys["board"])
}

// startNode starts a node process and sets NAME, NAME_admin and NAME_peer to its addresses: node NAME ZONE [FLAG...].
func startNode(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: node NAME ZONE [FLAG...]")
	}
	f, name := fleetOf(ts), args[0]
	ip, peer, store := "127.0.0.1", "", f.standins.StoreAddress
	if f.network != nil {
		var err error
		ip, peer, store, err = f.network.AddNode(name, store)
		ts.Check(err)
	}
	flags := append([]string{
		"serve", "--name", name, "--availability-zone", args[1], "--region", "test", "--log-format", "json",
		"--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", ip + ":0", "--peer-advertise", peer,
		"--store", store, "--vm-list", f.standins.VMListAddress, "--weight-store", f.standins.WeightStoreAddress,
		"--operator-key", operatorKey, "--peer-secret", f.peerSecret, "--address-ttl", "1s",
		"--lease-duration", "6s",
	}, args[2:]...)
	binary, err := lookPath(ts, "trefoilplank")
	ts.Check(err)
	p, err := startProcess(binary, flags)
	if p != nil {
		f.nodes[name] = p
	}
	ts.Check(err)
	if f.network != nil {
		f.network.SetTarget(name, p.peerListens)
	}
	ts.Setenv(name, p.address)
	ts.Setenv(name+"_admin", p.admin)
	ts.Setenv(name+"_peer", p.peer)
	ts.Setenv("TREFOILCTL_SERVER", p.admin)
	ts.Setenv("TREFOILCTL_CALLER_SERVER", p.address)
}

// startProcess starts a node process and waits until it logs that it serves. If it fails after the process was started,
// the process is returned along with the error.
func startProcess(binary string, flags []string) (*process, error) {
	p := &process{cmd: exec.Command(binary, flags...), done: make(chan struct{}), log: &logTail{}}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	served := make(chan [4]string, 1)
	go p.readLog(stderr, served)
	select {
	case a := <-served:
		p.address, p.admin, p.peer, p.peerListens = a[0], a[1], a[2], a[3]
		return p, nil
	case <-p.done:
		return p, fmt.Errorf("the node ended before it served:\n%s", p.log)
	case <-time.After(startTimeout):
		return p, fmt.Errorf("the node does not serve after %s:\n%s", startTimeout, p.log)
	}
}

// lookPath returns the path of a program in the script's PATH.
func lookPath(ts *testscript.TestScript, name string) (string, error) {
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		path := filepath.Join(dir, name)
		if info, err := os.Stat(path); err == nil && !info.IsDir() {
			return path, nil
		}
	}
	return "", fmt.Errorf("%s is not in PATH", name)
}

// readLog reads the log of the process until it ends. It sends the addresses of the line "Node serves" to served, and
// closes done after the process has ended.
func (p *process) readLog(stderr io.Reader, served chan<- [4]string) {
	scanner := bufio.NewScanner(stderr)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.log.add(scanner.Text())
		var line struct{ Msg, Address, AdminAddress, PeerAddress, PeerListens string }
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Msg == "Node serves" {
			served <- [4]string{line.Address, line.AdminAddress, line.PeerAddress, line.PeerListens}
		}
	}
	_ = p.cmd.Wait()
	close(p.done)
}

// logTail keeps the last 200 lines of a log.
type logTail struct {
	mu    sync.Mutex
	lines []string
}

func (l *logTail) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
	l.lines = l.lines[max(0, len(l.lines)-200):]
}

// String returns the last lines of the log, joined by newlines.
func (l *logTail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n")
}

func (f *fleet) node(ts *testscript.TestScript, name string) *process {
	p := f.nodes[name]
	if p == nil {
		ts.Fatalf("there is no node %q", name)
	}
	return p
}

// awaitReady waits until each of the named nodes is ready and sees as many nodes with the accepted configuration in force
// as are named: ready NAME...
func awaitReady(ts *testscript.TestScript, _ bool, names []string) {
	f := fleetOf(ts)
	deadline := time.Now().Add(startTimeout)
	for _, name := range names {
		p := f.node(ts, name)
		for !p.isReady(len(names)) {
			if time.Now().After(deadline) {
				ts.Fatalf("node %s is not ready:\n%s", name, p.log)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// isReady reports whether the node is ready and its status shows at least the given number of nodes that answer and have
// the accepted configuration in force.
func (p *process) isReady(members int) bool {
	r, err := http.Get("http://" + p.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return false
	}
	q, _ := http.NewRequest(http.MethodGet, "http://"+p.admin+"/v1/admin/status", nil)
	q.Header.Set("Authorization", "Bearer "+operatorKey)
	if r, err = http.DefaultClient.Do(q); err != nil {
		return false
	}
	defer r.Body.Close()
	var status struct {
		VersionAccepted int64 `json:"version_accepted"`
		Nodes           []struct {
			Answered       bool
			VersionInForce int64 `json:"version_in_force"`
		}
	}
	if json.NewDecoder(r.Body).Decode(&status) != nil {
		return false
	}
	answered := 0
	for _, n := range status.Nodes {
		if n.Answered && n.VersionInForce == status.VersionAccepted {
			answered++
		}
	}
	return answered >= members
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "INT": syscall.SIGINT, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "HUP": syscall.SIGHUP,
}

// signalNode sends a signal to a node, and after KILL waits for its end: signal NAME KILL|TERM|INT|STOP|CONT|HUP.
func signalNode(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 || signals[args[1]] == 0 {
		ts.Fatalf("usage: signal NAME KILL|TERM|INT|STOP|CONT|HUP")
	}
	p := fleetOf(ts).node(ts, args[0])
	ts.Check(p.cmd.Process.Signal(signals[args[1]]))
	if args[1] == "KILL" {
		<-p.done
	}
}

// awaitExit waits until a node has ended, and fails unless its exit status is 0: exited NAME DURATION.
func awaitExit(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: exited NAME DURATION")
	}
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	p := fleetOf(ts).node(ts, args[0])
	select {
	case <-p.done:
	case <-time.After(limit):
		ts.Fatalf("node %s has not ended after %s:\n%s", args[0], limit, p.log)
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		ts.Fatalf("node %s ended with status %d:\n%s", args[0], code, p.log)
	}
}

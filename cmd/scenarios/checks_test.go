package scenarios

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"trefoilplank.example/api"
)

// poison sends a request that crashes its upstream again and again: poison TIMES NODE...
func poison(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	var times int
	_, err := fmt.Sscan(args[0], &times)
	ts.Check(err)
	counts := map[string]int{}
	for i := range times {
		address := f.node(ts, args[1+i%(len(args)-1)]).address
		text, err := doHTTP(f.standins.Keys["board"], []string{http.MethodPost, address + "/v1/chat/completions",
			`{"model":"reference-summary","messages":[{"role":"user","content":"POISON"}]}`})
		switch {
		case err != nil:
			counts["broken"]++
		case strings.HasPrefix(text, "status=422"):
			counts["quarantined"]++
		default:
			counts["other"]++
			ts.Logf("answer %d: %s", i, text)
		}
	}
	fmt.Fprintf(ts.Stdout(), "quarantined=%d other=%d broken=%d\n", counts["quarantined"], counts["other"], counts["broken"])
}

// crashes counts the crashes of upstreams, each of which ends several runs at the same moment: crashes NAME. NAME is
// only for the reader.
func crashes(ts *testscript.TestScript, _ bool, _ []string) {
	total := 0
	for _, rows := range fleetOf(ts).executions(ts) {
		moments := map[int64]bool{}
		for _, r := range rows {
			if r.Crashed {
				// Runs that end by one crash are marked within a few milliseconds; a restart takes longer.
				moments[r.Finished.UnixMilli()/100] = true
			}
		}
		for m := range moments {
			if !moments[m-1] {
				total++
			}
		}
	}
	fmt.Fprintf(ts.Stdout(), "crashes=%d\n", total)
}

// jobID sets JOB to the id of the Board's newest job, as node n1 lists it.
func jobID(ts *testscript.TestScript, _ bool, _ []string) {
	f := fleetOf(ts)
	text, err := doHTTP(f.standins.Keys["board"], []string{http.MethodGet, f.node(ts, "n1").address + "/v1/batches"})
	ts.Check(err)
	_, body, _ := strings.Cut(text, "\n\n")
	// Headers end with CR LF.
	body = body[strings.Index(body, "{"):]
	var list struct{ Data []struct{ ID string } }
	ts.Check(json.Unmarshal([]byte(body), &list))
	if len(list.Data) == 0 {
		ts.Fatalf("there is no job")
	}
	ts.Setenv("JOB", list.Data[0].ID)
}

// leave marks upstreams as leaving in a register file: leave FILE NAME...
func leave(ts *testscript.TestScript, _ bool, args []string) {
	var r api.Register
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &r))
	for i := range r.Upstreams {
		for _, name := range args[1:] {
			if r.Upstreams[i].Name == name {
				r.Upstreams[i].Leaving = true
			}
		}
	}
	data, err := json.Marshal(r)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), data, 0o600))
}

// started notes how many runs the named upstreams have had; with ! no run may have started since: started NAME...
func started(ts *testscript.TestScript, neg bool, args []string) {
	f := fleetOf(ts)
	all := f.executions(ts)
	for _, name := range args {
		if n := len(all[name]); neg && n != f.started[name] {
			ts.Fatalf("%s has started %d runs since", name, n-f.started[name])
		}
		f.started[name] = len(all[name])
	}
}

// exits runs a program that must end with an exit status: exits STATUS PROGRAM [ARG]...
func exits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if args[0] != strconv.Itoa(got) {
		ts.Fatalf("exit status %d, %s wanted", got, args[0])
	}
}

// presented prints a digest of the certificate that an address presents: presented ADDRESS.
func presented(ts *testscript.TestScript, _ bool, args []string) {
	// The certificate itself is what is looked at, so that no chain is checked.
	conn, err := tls.Dial("tcp", args[0], &tls.Config{InsecureSkipVerify: true})
	ts.Check(err)
	defer conn.Close()
	fmt.Fprintf(ts.Stdout(), "%x\n", sha256.Sum256(conn.ConnectionState().PeerCertificates[0].Raw))
}

// version returns the configuration version in force on a node.
func (f *fleet) version(ts *testscript.TestScript, name string) int64 {
	text, err := doHTTP(operatorKey, []string{http.MethodGet, f.node(ts, name).admin + "/v1/admin/register"})
	ts.Check(err)
	var v int64
	_, tag, _ := strings.Cut(text, "Etag: \"")
	_, err = fmt.Sscan(strings.Split(tag, "\"")[0], &v)
	ts.Check(err)
	return v
}

// addresses returns the names of the nodes whose addresses a node answers, sorted.
func (f *fleet) addresses(ts *testscript.TestScript, name string) []string {
	text, err := doHTTP(f.standins.Keys["board"], []string{http.MethodGet, f.node(ts, name).address + "/v1/addresses"})
	ts.Check(err)
	var names []string
	for n, p := range f.nodes {
		if strings.Contains(text, `"`+p.address+`"`) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

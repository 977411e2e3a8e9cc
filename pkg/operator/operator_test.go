package operator

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/operator/status"
)

// Guards against calls that are allowed without the operator key, also on a node whose operator key is empty, and
// against health checks that need one.
func TestOperatorKeyRequired(t *testing.T) {
	f := newFixture(t)
	empty := sha256.Sum256(nil)
	emptyKeyHandler := New(Options{Node: "n1", Board: f.board, KeyDigests: []string{hex.EncodeToString(empty[:])}})
	w := httptest.NewRecorder()
	r := httptest.NewRequest("POST", "/v1/admin/drain", nil)
	r.Header.Set("Authorization", "Bearer ")
	emptyKeyHandler.ServeHTTP(w, r)
	assert.Equal(t, w.Code, 401, "an empty operator key must not allow calls without a key")
	for _, key := range []string{"", "Bearer ", "Bearer other", operatorKey} {
		w := f.call("GET", "/v1/admin/status", "", "Authorization", key)
		assert.Equal(t, w.Code, 401)
		assert.Equal(t, w.Header().Get(api.HeaderOutcome), "not-run")
	}
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 503, "/debug/vars": 200} {
		w := f.call("GET", path, "", "Authorization", "")
		assert.Equal(t, w.Code, want, path)
		assert.Assert(t, !strings.Contains(w.Body.String(), "cmdline"))
	}
}

// Guards against accepting more than one of eight concurrent changes of the same version, and against accepting a resent
// change twice.
func TestConcurrentChanges(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.apply(register+"---\n"+rules, "If-Match", `"0"`).Code, 200)
	var wg sync.WaitGroup
	codes := make([]int, 8)
	for i := range codes {
		wg.Go(func() {
			body := strings.Replace(rules, "share: 1", fmt.Sprintf("share: %d", i+2), 1)
			codes[i] = f.apply(body, "If-Match", `"1"`, "Idempotency-Key", fmt.Sprint("k", i)).Code
		})
	}
	wg.Wait()
	won := -1
	for i, c := range codes {
		if c == 200 {
			assert.Equal(t, won, -1, "two changes were accepted on version 1: %v", codes)
			won = i
		} else {
			assert.Equal(t, c, 412)
		}
	}
	lost := decodeBody[versionRaceBody](t, f.apply(rules, "If-Match", "1"))
	assert.Equal(t, lost.Version, int64(2))
	assert.Equal(t, lost.Error.Code, api.CodeVersionRace)
	again := f.apply(rules, "If-Match", "1", "Idempotency-Key", fmt.Sprint("k", won))
	assert.Equal(t, decodeBody[ApplyResult](t, again).Version, int64(2))
	assert.Equal(t, f.apply(rules).Code, 200, "without If-Match a change applies to any version")
	assert.Equal(t, f.apply(rules, "If-Match", "x").Code, 400)
	assert.Equal(t, f.apply(rules, "If-Match", `"0"`).Code, 412, "version 0 is an empty configuration, not any")
	f.accepter.unaware = true
	assert.Equal(t, f.apply(rules, "If-Match", `"0"`).Code, 412, "on a node that does not know a version yet, version 0 must not match either")
}

// Guards against a wrong outcome when the store fails before or after it has accepted a change, and against a resend
// that creates a second version.
func TestStoreFailures(t *testing.T) {
	f := newFixture(t)
	f.accepter.err = store.ErrUnavailable
	w := f.apply(register)
	e := decodeBody[api.ErrorBody](t, w).Error
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, e.Outcome, api.NotRun)
	assert.Assert(t, e.RetryAfterSeconds > 0)
	assert.Equal(t, f.board.Config.Value().Version, int64(0))

	f.accepter.err, f.accepter.errAfterChange = store.ErrUnknown, true
	w = f.apply(register, "Idempotency-Key", "k")
	e = decodeBody[api.ErrorBody](t, w).Error
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, e.Outcome, api.Unknown)
	assert.Assert(t, e.RetryAfterSeconds > 0)
	f.accepter.err = nil
	// Another change in between makes the resent documents invalid.
	assert.Equal(t, f.apply(rules).Code, 200)
	w = f.apply(strings.Replace(register, "name: a", "name: b", 1), "Idempotency-Key", "k")
	assert.Equal(t, w.Code, 200, w.Body.String())
	replay := decodeBody[ApplyResult](t, w)
	assert.Equal(t, replay.Version, int64(1))
	assert.Assert(t, replay.Replayed && len(replay.Changes) == 0, "a replay must not claim changes")
	assert.Equal(t, f.board.Config.Value().Version, int64(2))
}

// Guards against an apply call that waits longer than applyTimeout for a store that never answers, and against reporting
// its outcome as not-run.
func TestUnresponsiveStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.accepter.blocks = true
		start := time.Now()
		w := f.apply(register)
		assert.Equal(t, time.Since(start), applyTimeout)
		assert.Equal(t, w.Code, 503)
		assert.Equal(t, w.Header().Get(api.HeaderOutcome), "unknown")
		assert.Assert(t, w.Header().Get(api.HeaderIdempotencyKey) != "", "the change can't be resent without its key")
	})
}

// Guards against reporting only some of the faults in the documents, and against accepting a part of a refused change.
func TestFindings(t *testing.T) {
	f := newFixture(t)
	body := strings.Replace(register, "models: [m]}", "models: [x], extra: 1}", 1) + "---\n" + strings.Replace(rules, "share: 1", "share: many", 1)
	w := f.apply(body)
	assert.Equal(t, w.Code, 422)
	found := decodeBody[findingsBody](t, w)
	documents := map[int]bool{}
	for _, x := range found.Findings {
		documents[x.Document] = true
		assert.Assert(t, x.Line > 0 && x.Column > 0 && x.Path != "" && x.Message != "", x.String())
	}
	assert.Equal(t, len(documents), 2, w.Body.String())
	var paths []string
	wrong := strings.NewReplacer("share: 1", "share: many", "target: 0.9", "target: 9").Replace(rules)
	for _, x := range decodeBody[findingsBody](t, f.apply(register+"---\n"+wrong)).Findings {
		paths = append(paths, x.Path)
	}
	assert.DeepEqual(t, paths, []string{"rules.institutions[0].share", "rules.institutions[0].objectives[0].target"})
	assert.Equal(t, found.Error.Outcome, api.NotRun)
	assert.Equal(t, f.board.Config.Value().Version, int64(0))
}

// Guards against a dry run that changes the configuration, a diff that misses a change, and documents read from the
// node that can't be applied unchanged.
func TestDryRunAndDocumentsInForce(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.apply(register+"---\n"+rules).Code, 200)
	changed := strings.Replace(strings.Replace(register, "name: a}", "name: a, display_name: A}, {name: b}", 1), "vm: v", "vm: w", 1)
	r := decodeBody[ApplyResult](t, f.call("POST", "/v1/admin/apply?dry_run=true", changed))
	assert.Equal(t, r.Version, int64(1))
	var got []string
	for _, c := range r.Changes {
		got = append(got, fmt.Sprint(c.Operation, " ", c.Kind, " ", c.Name, len(c.Fields)))
	}
	assert.DeepEqual(t, got, []string{"changed institution a1", "added institution b0", "changed upstream e1"})
	assert.Equal(t, f.board.Config.Value().Version, int64(1))
	assert.Equal(t, f.call("POST", "/v1/admin/apply?dry_run=true", changed, "If-Match", "7").Code, 412)
	for _, what := range []string{"register", "rules"} {
		doc := f.call("GET", "/v1/admin/"+what, "")
		assert.Equal(t, doc.Header().Get("ETag"), `"1"`)
		r := decodeBody[ApplyResult](t, f.call("POST", "/v1/admin/apply?dry_run=true", doc.Body.String(), "If-Match", doc.Header().Get("ETag")))
		assert.Equal(t, len(r.Changes), 0, "%s: %v", what, r.Changes)
		assert.Equal(t, f.call("GET", "/v1/admin/"+what, "", "If-None-Match", `"1"`).Code, http.StatusNotModified)
	}
}

// Guards against a status call that waits longer than MemberTimeout for a member that does not answer, omits it, or does
// not list the problems first.
func TestStatusListsUnresponsiveMembers(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.apply(register+"---\n"+rules).Code, 200)
	f.board.Upstreams.Set(map[string]blackboard.UpstreamStatus{"e": {Health: blackboard.HealthEjected, Since: time.Unix(9, 0), Reason: "broke 3 connections"}})
	*f.n2Report = status.Report{
		Objects: []status.Object{
			{Kind: status.KindUpstream, Name: "e", Part: "reconcile", Desired: "m v2", Observed: "holds m v1", Why: "backoff", LastChange: time.Unix(20, 0)},
			{Kind: status.KindJob, Name: "j", Part: "batch", Observed: "running"},
		},
		Problems: []status.Problem{{Kind: status.KindUpstream, Name: "e", Cause: "load failed", Since: time.Unix(2, 0), System: "s", Operator: "o"}},
	}
	start := time.Now()
	w := f.call("GET", "/v1/admin/status", "")
	assert.Assert(t, time.Since(start) < 2*time.Second)
	assert.Assert(t, strings.HasPrefix(w.Body.String(), `{"problems":[`))
	s := decodeBody[FleetStatus](t, w)
	assert.Equal(t, len(s.Nodes), 3)
	assert.Assert(t, s.Nodes[0].Answered && s.Nodes[1].Answered && !s.Nodes[2].Answered)
	assert.Equal(t, s.Nodes[0].VersionInForce, int64(1))
	assert.Equal(t, s.Nodes[2].VersionInForce, int64(1), "the last known version of a member that does not answer")
	assert.Equal(t, s.Upstreams[0].Observed, "ejected; holds m v1")
	assert.Equal(t, s.Upstreams[0].Why, "broke 3 connections; backoff")
	assert.Equal(t, s.Jobs[0].Observed, "running")
	var causes []string
	for _, p := range s.Problems {
		assert.Assert(t, p.System != "" && p.Operator != "", p.Cause)
		causes = append(causes, p.Name+": "+strings.SplitN(p.Cause, ":", 2)[0])
	}
	assert.DeepEqual(t, causes, []string{"e: load failed", "n3: the node gave no status", "e: ejected", "n2: version 0 is in force, version 1 is accepted"})
}

// Guards against explain entries of other nodes that are missing or out of order, and against values that gob can't
// encode.
func TestExplainMergesNodes(t *testing.T) {
	f := newFixture(t)
	for i, explainLog := range []*explain.Log{f.explainLog, f.n2.Explain, f.explainLog, f.n2.Explain} {
		explainLog.Record(explain.Entry{Request: "n1-X", Decision: fmt.Sprint(i),
			Values: map[string]any{"at": time.Now(), "list": []string{"a"}}})
	}
	f.explainLog.Record(explain.Entry{Request: "other"})
	x := decodeBody[Explanation](t, f.call("GET", "/v1/admin/explain?request=n1-X", ""))
	var got []string
	for _, e := range x.Entries {
		got = append(got, e.Node+" "+e.Decision)
	}
	assert.DeepEqual(t, got, []string{"n1 0", "n2 1", "n1 2", "n2 3"})
	assert.Equal(t, len(x.Unanswered), 1)
	assert.Equal(t, x.Unanswered[0].Node, "n3")
	assert.Equal(t, f.call("GET", "/v1/admin/explain", "").Code, 400)
}

// Guards against burn rates that count the requests of only one node, an alert that is missing in status, and a start
// time of the alert that changes from one status call to the next.
func TestBurnAddsNodes(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.apply(register+"---\n"+rules).Code, 200)
	for range 10 {
		f.burn.Observe("a", "", api.MetricDuration, 2*time.Second, true)
		f.n2.Burn.Observe("a", "", api.MetricDuration, time.Second, false)
	}
	r := decodeBody[BurnReport](t, f.call("GET", "/v1/admin/burn", ""))
	assert.Equal(t, len(r.Objectives), 1)
	assert.Equal(t, len(r.Nodes), 2)
	o := r.Objectives[0]
	for _, w := range []string{"5m", "1h", "6h", "3d"} {
		assert.Equal(t, o.Windows[w].Bad, uint64(20))
		assert.Assert(t, o.Windows[w].BurnRate > 9.99 && o.Windows[w].BurnRate < 10.01)
	}
	assert.Assert(t, !o.Alerts.Fast && o.Alerts.Slow, "a burn of 10 is below the fast threshold")
	s := decodeBody[FleetStatus](t, f.call("GET", "/v1/admin/status", ""))
	assert.Equal(t, s.Institutions[0].Observed, "o 0 of 20 good in 1h, slow alert")
	var alert *status.Problem
	for i := range s.Problems {
		assert.Assert(t, !s.Problems[i].Since.IsZero(), s.Problems[i].Cause)
		if s.Problems[i].Name == "a" {
			alert = &s.Problems[i]
		}
	}
	assert.Assert(t, alert != nil, "status does not list the alert as a problem")
	time.Sleep(time.Millisecond)
	again := decodeBody[FleetStatus](t, f.call("GET", "/v1/admin/status", ""))
	for _, p := range again.Problems {
		assert.Assert(t, p.Name != "a" || p.Since.Equal(alert.Since), "a problem must keep its start time")
	}
}

// Guards against a node that still reports ready after a drain was started.
func TestDrain(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.apply(register).Code, 200)
	assert.Equal(t, f.call("GET", "/readyz", "").Code, 200)
	assert.Equal(t, f.call("POST", "/v1/admin/drain", "").Code, 200)
	assert.Equal(t, f.call("GET", "/readyz", "").Code, 503)
	assert.Assert(t, f.board.Draining.Value())
}

// BenchmarkStatus measures a status call with 380 members that answer over net/rpc in the same process.
func BenchmarkStatus(b *testing.B) {
	f := newFixture(b)
	peers, live := &fakePeers{map[string]*rpc.Server{}}, map[string]blackboard.Member{}
	for i := range 380 {
		name := fmt.Sprintf("m%03d", i)
		server := rpc.NewServer()
		o := f.n2
		o.Node = name
		assert.NilError(b, NewLocalNode(o).Register(registrar{server}))
		peers.servers[name], live[name] = server, blackboard.Member{Name: name}
	}
	f.board.Members.Set(blackboard.Members{Self: "n1", Live: live})
	f.handler = New(Options{Node: "n1", Board: f.board, Peers: peers, KeyDigests: f.digests})
	for b.Loop() {
		assert.Equal(b, f.call("GET", "/v1/admin/status", "").Code, 200)
	}
}

// Guards against applying a change whose dry_run parameter is not a valid boolean: the operator meant a dry run.
func TestDryRunIsNeverAppliedByMistake(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.apply(register).Code, 200)
	for _, query := range []string{"?dry_run=yes", "?dry_run", "?dry_run=", "?dry_run=true&dry_run=false"} {
		w := f.call("POST", "/v1/admin/apply"+query, rules)
		assert.Equal(t, w.Code, 400, query)
		assert.Equal(t, w.Header().Get(api.HeaderOutcome), "not-run")
	}
	assert.Equal(t, f.call("POST", "/v1/admin/apply?dry_run=true", rules).Code, 200)
	assert.Equal(t, f.accepter.Accepted(), int64(1))
}

// Guards against refusals without a request ID or outcome, which the operator needs to look up the call and to decide
// whether to resend it.
func TestRefusalsCarryRequestIDAndOutcome(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.apply(register).Code, 200)
	for _, c := range []struct {
		method, path, body, ifMatch string
		status                      int
	}{
		{"GET", "/v1/admin/nothing", "", "", 404}, {"PUT", "/v1/admin/apply", "", "", 404}, {"GET", "/v1//admin/status", "", "", 404},
		{"GET", "/v1/admin/explain", "", "", 400}, {"POST", "/v1/admin/apply", "kind: Nothing", "", 422},
		{"POST", "/v1/admin/apply", rules, "7", 412}, {"OPTIONS", "*", "", "", 404},
	} {
		w := f.call(c.method, c.path, c.body, "If-Match", c.ifMatch)
		assert.Equal(t, w.Code, c.status, "%s %s", c.method, c.path)
		assert.Equal(t, w.Header().Get(api.HeaderOutcome), "not-run")
		body := decodeBody[api.ErrorBody](t, w)
		assert.Assert(t, strings.HasPrefix(body.Error.RequestID, "n1-"), w.Body.String())
		assert.Equal(t, body.Error.RequestID, w.Header().Get(api.HeaderRequestID))
	}
}

// Guards against accepting only one spelling of an authorization scheme or an entity tag, and against accepting headers
// that are too long or given twice.
func TestRequestHeaders(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.apply(register).Code, 200)
	assert.Equal(t, f.call("GET", "/v1/admin/rules", "", "Authorization", "bearer  "+operatorKey).Code, 200)
	assert.Equal(t, f.call("GET", "/v1/admin/rules", "", "Authorization", "x").Header().Get("WWW-Authenticate"), "Bearer")
	for _, tags := range []string{`"1"`, `W/"1"`, `"7", "1"`, "*"} {
		w := f.call("GET", "/v1/admin/rules", "", "If-None-Match", tags)
		assert.Equal(t, w.Code, 304, tags)
		assert.Equal(t, w.Header().Get(api.HeaderOutcome), "not-run")
	}
	assert.Equal(t, f.call("GET", "/v1/admin/rules", "", "If-None-Match", `"2"`).Code, 200)
	assert.Equal(t, f.apply(rules, "Idempotency-Key", strings.Repeat("k", 256)).Code, 400)
	for _, name := range []string{"If-Match", "Idempotency-Key"} {
		r := httptest.NewRequest("POST", "/v1/admin/apply", strings.NewReader(rules))
		r.Header = http.Header{"Authorization": {"Bearer " + operatorKey}, name: {"1", "2"}}
		w := httptest.NewRecorder()
		f.handler.ServeHTTP(w, r)
		assert.Equal(t, w.Code, 400, name)
	}
	assert.Equal(t, f.accepter.Accepted(), int64(1))
}

// Guards against a connection that breaks while a client still sends documents that are too large. Most clients read
// the 413 answer only after they have sent the whole body.
func TestTooLargeDocumentsAreAnswered(t *testing.T) {
	const size = maxDocumentBytes + 24<<20
	server := httptest.NewServer(newFixture(t).handler)
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	_, err = fmt.Fprintf(c, "POST /v1/admin/apply HTTP/1.1\r\nHost: n1\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", operatorKey, size)
	assert.NilError(t, err)
	_, err = c.Write(make([]byte, size))
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, 413)
	assert.Equal(t, answer.Header.Get(api.HeaderOutcome), "not-run")
}

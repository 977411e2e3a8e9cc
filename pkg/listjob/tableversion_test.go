package listjob

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/decision/routing"
)

// setTable puts a configuration in force at a node, or the one of the others if it is nil.
func (n *network) setTable(name string, table *routing.Table) {
	n.tablesMu.Lock()
	defer n.tablesMu.Unlock()
	if n.tables == nil {
		n.tables = map[string]*routing.Table{}
	}
	n.tables[name] = table
}

func (n *network) tableOf(name string, others *routing.Table) *routing.Table {
	n.tablesMu.Lock()
	defer n.tablesMu.Unlock()
	if table := n.tables[name]; table != nil {
		return table
	}
	return others
}

// tableBefore returns the configuration before that of the tests: without their route, or with one that gives items up at once.
func tableBefore(route *routing.Route) *routing.Table {
	c := routing.Configuration{Version: testTable().Version - 1}
	if route != nil {
		c.Routes = []routing.Route{*route}
	}
	return routing.NewTable(c)
}

func shortRoute() *routing.Route {
	r := testTable().Routes[0]
	r.Retention, r.MaxAttempts = time.Nanosecond, 1
	return &r
}

// Guards against items that are failed for good because the node to which their job passed did not know the configuration yet by which it had
// been accepted: the route was added, or changed, just before.
func TestJobThatPassesToANodeWithAnOlderConfigurationIsRun(t *testing.T) {
	passes := map[string]func(*testing.T, *network, *node, *node){
		"handed over": func(_ *testing.T, _ *network, a, _ *node) { a.HandOver(context.Background()) },
		"taken over": func(t *testing.T, net *network, _, b *node) {
			net.cutOff("a", true)
			assert.NilError(t, b.adopt(context.Background(), "j", nil))
		},
	}
	tables := map[string]*routing.Table{"route added": tableBefore(nil), "route changed": tableBefore(shortRoute())}
	for way, pass := range passes {
		for change, before := range tables {
			t.Run(way+", "+change, func(t *testing.T) {
				s, net, e := memstore.New(), newNetwork(), newEngine(t, 20, 30*time.Millisecond)
				a := net.addNode(t, s, e, "a", "b")
				b := net.addNode(t, s, e, "b", "a")
				net.setTable("b", before)
				assert.NilError(t, a.Accept(context.Background(), submission("j", 3)))
				pass(t, net, a, b)
				time.Sleep(2 * scheduleInterval)
				assert.Assert(t, b.ownedJob("j") != nil)
				assert.Equal(t, len(b.Wants()["model"].Zone), 0, "the node asks for slots for items that it can't run yet")
				net.setTable("b", nil)
				checkCompleted(t, b, e, 3)
			})
		}
	}
}

func checkCompleted(t *testing.T, n *node, e *engine, items int) {
	t.Helper()
	results := readResults(t, n, "j", items)
	for _, r := range results {
		assert.Equal(t, r.State, Completed, r.ID)
		assert.Equal(t, r.Text, e.text(r.ID))
	}
}

// readResults reads the results of a job until all items are listed.
func readResults(t *testing.T, n *node, id string, items int) (results []Result) {
	t.Helper()
	for until := time.Now().Add(15 * time.Second); len(results) < items; {
		assert.Assert(t, time.Now().Before(until), "%d of %d results", len(results), items)
		l, err := n.Read(context.Background(), id, len(results), 200*time.Millisecond)
		assert.NilError(t, err)
		results = append(results, l.Results...)
	}
	return results
}

// Guards against a job that is accepted for a stopping node by one that does not know its route yet, and against one that is lost because no
// other node does.
func TestJobIsAcceptedElsewhereOnlyByItsConfiguration(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 5, time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	net.setTable("b", tableBefore(nil))
	a.HandOver(context.Background())
	assert.ErrorIs(t, a.Accept(context.Background(), submission("j", 2)), ErrRefused)
	accepted := make(chan error, 1)
	go func() { accepted <- a.Accept(context.Background(), submission("j", 2)) }()
	time.Sleep(awaitTableTime / 3)
	net.setTable("b", nil)
	assert.NilError(t, <-accepted)
	checkCompleted(t, b, e, 2)
}

// Guards against items of a removed route that wait for ever, and against items of a job whose head an earlier build wrote that are failed before
// this node can know their route.
func TestItemsOfARemovedRouteFail(t *testing.T) {
	for name, rewrite := range map[string]bool{"version known": false, "head of an earlier build": true} {
		t.Run(name, func(t *testing.T) {
			s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 30*time.Millisecond)
			a := net.addNode(t, s, e, "a", "b")
			b := net.addNode(t, s, e, "b", "a")
			assert.NilError(t, a.Accept(context.Background(), submission("j", 1)))
			if rewrite {
				dropTableVersion(t, s, "j")
			}
			removed := routing.NewTable(routing.Configuration{Version: testTable().Version + 1})
			net.setTable("b", removed)
			net.cutOff("a", true)
			assert.NilError(t, b.adopt(context.Background(), "j", nil))
			if rewrite {
				time.Sleep(2 * scheduleInterval)
				l, err := b.Read(context.Background(), "j", 0, 0)
				assert.NilError(t, err)
				assert.Equal(t, len(l.Results), 0)
				j := &job{ownedAt: time.Now()}
				assert.Assert(t, !j.routeRemoved(j.ownedAt.Add(unknownRouteTime)) && j.routeRemoved(j.ownedAt.Add(unknownRouteTime+1)))
				return
			}
			assert.Equal(t, readResults(t, b, "j", 1)[0].State, Failed)
		})
	}
}

// dropTableVersion writes the head of a job as builds do that do not know the version of the configuration.
func dropTableVersion(t *testing.T, s store.Store, id string) {
	o, err := s.Get(context.Background(), headKind+id)
	assert.NilError(t, err)
	var fields map[string]any
	assert.NilError(t, json.Unmarshal(o.Value, &fields))
	delete(fields, "table_version")
	value, err := json.Marshal(fields)
	assert.NilError(t, err)
	_, err = s.Put(context.Background(), headKind+id, value, o.Revision)
	assert.NilError(t, err)
}

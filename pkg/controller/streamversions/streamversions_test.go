package streamversions

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/softwareversion"
	"trefoilplank.example/pkg/eventlog"
)

// network connects the controllers of several nodes.
type network map[string]*Controller

func (n network) Call(_ context.Context, node, _ string, args, reply any) error {
	if n[node] == nil {
		return peer.ErrUnreachable
	}
	return n[node].Receiver().Find(args.(FindArgs), reply.(*FindReply))
}

func (network) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

func joined() bool { return true }

// age is how long nodes have run.
const age = 10 * time.Second

// add adds a node whose list of upstreams has the given age and versions, and which knows that no process ran before.
func (n network) add(name string, listAge time.Duration, versions ...string) *Controller {
	c := n.addWithoutHistory(name, listAge, versions...)
	c.restore(softwareversion.History{CoveredSince: time.UnixMilli(0)})
	return c
}

// addWithoutHistory is add for a node that does not know what served before its start.
func (n network) addWithoutHistory(name string, listAge time.Duration, versions ...string) *Controller {
	c := New(Options{
		Peers: n, Hubs: func() []string { return []string{"lost", "hub", "successor"} }, Exchange: func() {},
		ListAge: func() time.Duration { return listAge }, Joined: joined, Asked: joined, Log: &eventlog.Log{},
	})
	c.versions.Observe(list(versions...), time.Now().Add(-age))
	n[name] = c
	return c
}

// Guards against a stream that continues at a version which nobody knows to have begun it, and against one that is refused
// although a node that answers knows it.
func TestVersionOfAStream(t *testing.T) {
	const recent, old = 0, 2 * softwareversion.MaxListAge
	for name, c := range map[string]struct {
		own, hub func(network) *Controller
		stream   string
		want     string
	}{
		"one version, history known": {
			func(n network) *Controller { return n.add("own", recent, "v1") }, nil, "", "v1"},
		"one version, history not known": {
			func(n network) *Controller { return n.addWithoutHistory("own", recent, "v1") }, nil, "", "?"},
		"one version, history known to the hub": {
			func(n network) *Controller { return n.addWithoutHistory("own", recent, "v1") },
			func(n network) *Controller { return n.add("hub", recent, "v1") }, "", "v1"},
		"old list": {
			func(n network) *Controller { return n.add("own", old, "v1") }, nil, "", "?"},
		"old list, the hub's is recent": {
			func(n network) *Controller { return n.add("own", old, "v1") },
			func(n network) *Controller { return n.add("hub", recent, "v1") }, "", "v1"},
		"old list, the hub knows another version": {
			func(n network) *Controller { return n.add("own", old, "v1") },
			func(n network) *Controller { return n.add("hub", recent, "v1", "v2") }, "", "?"},
		"two versions, recorded at the hub": {
			func(n network) *Controller { return n.add("own", recent, "v1", "v2") },
			func(n network) *Controller { return n.add("hub", old, "v1", "v2") }, "stream", "v2"},
		"two versions, recorded nowhere": {
			func(n network) *Controller { return n.add("own", recent, "v1", "v2") },
			func(n network) *Controller { return n.add("hub", recent, "v1", "v2") }, "other", "?"},
	} {
		t.Run(name, func(t *testing.T) {
			n := network{}
			own := c.own(n)
			if c.hub != nil {
				c.hub(n).Began("stream", "s", "v2", "")
			}
			version, ok := own.VersionOf(context.Background(), c.stream, "s", "")
			assert.Equal(t, ok, c.want != "?")
			if ok {
				assert.Equal(t, version, c.want)
			}
		})
	}
}

// Guards against records of streams that stay at the node that began them, from the time before it knew a second version
// too, and against records of another service of the same name of stream.
func TestRecordsAreExchangedOnceVersionsDiffer(t *testing.T) {
	n := network{}
	a, b := n.add("a", 0, "v1"), n.add("b", 0, "v1")
	a.Began("early", "s", "v1", "")
	a.Observe([]dispatch.Upstream{{ID: "u", Service: "s", SoftwareVersion: "v1"}, {ID: "v", Service: "s", SoftwareVersion: "v2"}})
	a.Began("late", "s", "v2", "")
	records, revision := a.Since(0, "b")
	assert.Equal(t, len(records), 2)
	b.Add("a", records)
	for stream, want := range map[string]string{"early": "v1", "late": "v2"} {
		version, ok := b.VersionOf(context.Background(), stream, "s", "")
		assert.Assert(t, ok)
		assert.Equal(t, version, want)
	}
	_, ok := b.VersionOf(context.Background(), "late", "other", "")
	assert.Assert(t, !ok)
	records, _ = a.Since(revision, "b")
	assert.Equal(t, len(records), 0)
}

// Guards against a history that is not written when versions change, that another node has changed, or that a fresh node does
// not read or misreads.
func TestHistoryReachesLaterProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := memstore.New()
		add := func(hub, first bool, versions ...string) *Controller {
			c := New(Options{
				Peers: network{}, Hubs: func() []string { return nil }, Exchange: func() {}, ListAge: func() time.Duration { return 0 },
				Store: s, IsHub: func() bool { return hub }, Joined: joined, Asked: joined, FirstStart: first, Log: &eventlog.Log{},
			})
			go func() { _ = c.Run(ctx) }()
			c.Observe(list(versions...))
			return c
		}
		known := func(c *Controller) string {
			time.Sleep(time.Second)
			version, ok := c.VersionOf(ctx, "unknown stream", "s", "")
			if !ok {
				return "?"
			}
			return version
		}
		hub, other := add(true, true, "v1"), add(false, true, "v1")
		assert.Equal(t, known(hub), "v1")
		assert.Equal(t, known(other), "v1")
		assert.Equal(t, known(add(false, false, "v1")), "v1")
		assert.Equal(t, known(add(false, false, "v2")), "?", "v1 served before")
		hub.Observe(list("v1", "v2"))
		second := add(true, false, "v1", "v2")
		time.Sleep(time.Second)
		second.Observe(list("v2"))
		time.Sleep(time.Second)
		hub.Observe(list("v2"))
		time.Sleep(time.Second)
		assert.Equal(t, known(add(false, false, "v2")), "?", "v1 is gone lately")
		time.Sleep(time.Minute)
		assert.Equal(t, known(add(false, false, "v2")), "v2")
		cancel()
		synctest.Wait()
	})
}

// Guards against streams of a service with several versions that can't be taken up after all nodes are lost, and against writes
// to the store for streams of a service with one version.
func TestRecordsOutliveAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		start := func(versions ...string) (c *Controller, stop func()) {
			ctx, cancel := context.WithCancel(t.Context())
			c = New(Options{
				Peers: network{}, Hubs: func() []string { return nil }, Exchange: func() {}, ListAge: func() time.Duration { return 0 },
				Store: s, IsHub: func() bool { return true }, Joined: joined, Asked: joined, FirstStart: true, Log: &eventlog.Log{},
			})
			go func() { _ = c.Run(ctx) }()
			c.Observe(list(versions...))
			time.Sleep(100 * time.Millisecond)
			return c, cancel
		}
		written := func() int {
			page, err := s.List(t.Context(), segmentPrefix, "", 1000)
			assert.NilError(t, err)
			return len(page.Objects)
		}
		c, stop := start("v1")
		c.Began("early", "s", "v1", "")
		time.Sleep(time.Second)
		assert.Equal(t, written(), 0)
		c.Observe(list("v1", "v2"))
		for n := range 40 {
			c.Began(fmt.Sprint("stream", n), "s", fmt.Sprint("v", 1+n%2), "")
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(2 * segmentInterval)
		assert.Assert(t, written() >= 2)
		stop()
		synctest.Wait()
		c, stop = start("v1", "v2")
		for n := range 40 {
			version, ok := c.VersionOf(t.Context(), fmt.Sprint("stream", n), "s", "")
			assert.Assert(t, ok)
			assert.Equal(t, version, fmt.Sprint("v", 1+n%2))
		}
		version, ok := c.VersionOf(t.Context(), "early", "s", "")
		assert.Assert(t, ok)
		assert.Equal(t, version, "v1")
		stop()
		synctest.Wait()
		time.Sleep(softwareversion.Lifetime)
		c, stop = start("v1", "v2")
		_, ok = c.VersionOf(t.Context(), "stream0", "s", "")
		assert.Assert(t, !ok, "the stream can't last that long")
		stop()
		synctest.Wait()
	})
}

// Guards against streams that are refused since a node has just started and does not know the others yet, or those that it asks
// have not read what earlier processes left.
func TestStreamsWaitForRecordsAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network{}
		hub := n.addWithoutHistory("hub", 0, "v1", "v2")
		hub.reading.Store(true)
		own := n.addWithoutHistory("own", 0, "v1", "v2")
		ready := time.Now().Add(300 * time.Millisecond)
		own.options.Joined = func() bool { return time.Now().After(ready) }
		time.AfterFunc(600*time.Millisecond, func() {
			hub.Add("store", []softwareversion.Record{{Stream: "stream", Service: "s", Version: "v2"}})
			hub.reading.Store(false)
		})
		version, ok := own.VersionOf(t.Context(), "stream", "s", "")
		assert.Assert(t, ok)
		assert.Equal(t, version, "v2")
		begun := time.Now()
		_, ok = own.VersionOf(t.Context(), "unknown", "s", "")
		assert.Assert(t, !ok)
		assert.Equal(t, time.Since(begun), time.Duration(0), "nobody will know more")
		hub.reading.Store(true)
		_, ok = own.VersionOf(t.Context(), "unknown", "s", "")
		assert.Assert(t, !ok)
		assert.Equal(t, time.Since(begun), startWait)
	})
}

// list returns a list of upstreams of the versions.
func list(versions ...string) (l []dispatch.Upstream) {
	for _, v := range versions {
		l = append(l, dispatch.Upstream{ID: v, Service: "s", SoftwareVersion: v})
	}
	return l
}

// Guards against a stream that another customer takes up at a node that asks the hub, and against one that its customer can't take up there,
// or whose customer a node of an earlier build did not pass on.
func TestStreamBelongsToItsCustomerAtAllNodes(t *testing.T) {
	n := network{}
	own, hub, begun := n.add("own", 0, "v1", "v2"), n.add("hub", 0, "v1", "v2"), n.add("begun", 0, "v1", "v2")
	begun.Began("north's", "s", "v2", "north")
	records, _ := begun.Since(0, "hub")
	hub.Add("begun", records)
	hub.Began("unknown", "s", "v1", "")
	for _, c := range []struct {
		stream, customer string
		ok               bool
	}{{"north's", "north", true}, {"north's", "south", false}, {"north's", "", false}, {"unknown", "south", true}, {"unknown", "", true}} {
		for _, node := range []*Controller{own, hub} {
			_, ok := node.VersionOf(t.Context(), c.stream, "s", c.customer)
			assert.Equal(t, ok, c.ok, "%+v", c)
		}
	}
}

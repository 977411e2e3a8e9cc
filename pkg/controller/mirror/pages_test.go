package mirror

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

// measuringPeers records the largest message, and the calls by method.
type measuringPeers struct {
	peers
	t       *testing.T
	largest int
	calls   map[string]int
}

func (p *measuringPeers) Call(ctx context.Context, node, method string, args, reply any) error {
	if err := p.peers.Call(ctx, node, method, args, reply); err != nil {
		return err
	}
	p.calls[method]++
	for _, message := range []any{args, reply} {
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(message); err != nil {
			p.t.Error(err)
		}
		p.largest = max(p.largest, b.Len())
	}
	return nil
}

// pair returns a hub before the store and a follower of it, with what the follower sees.
func pair(t *testing.T, s store.Store) (*Mirror, *Mirror, *view, *measuringPeers) {
	hub, _ := startMirror(t, s, nil, nil, 0)
	hub.WatchStore(context.Background())
	p := &measuringPeers{peers: peers{"hub": hub}, t: t, calls: map[string]int{}}
	v := &view{}
	m := New(Options{Store: memstore.New(), Peers: p, Others: func() []string { return nil }}, Prefix{Name: "k/", Handle: v.handle})
	return hub, m, v, p
}

// follow reads the hub's copy until the follower sees want.
func follow(t *testing.T, hub, m *Mirror, v *view, want map[string]string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if revisions := hub.Revisions(); len(revisions) > 0 {
			c := m.copy["k/"]
			c.mu.Lock()
			revision := c.revision
			if !c.loaded {
				revision = -1
			}
			c.mu.Unlock()
			m.readPeer(context.Background(), c, "hub", revision, true)
		}
		return v.showing(want)(t)
	}, soon...)
}

// Guards against messages as large as a whole copy or a large configuration: the buffers of the hub's connections to 294 nodes
// took 309 MB.
func TestCopiesAreReadInSmallMessages(t *testing.T) {
	s := memstore.New()
	want := map[string]string{}
	for n := range 300 {
		key, value := fmt.Sprint("k/member-", n), fmt.Sprintf("%0300d", n)
		put(t, s, key, value)
		want[key] = value
	}
	var routes strings.Builder
	for n := range 1300 {
		fmt.Fprintf(&routes, `{"name":"r-%08x","host":"h%d.example","path-prefix":"/p%06x/","kind":"streaming","timeout-ms":5000,"slo-ms":300,"priority":0,"service":"s","max-attempts":2,"sticky":true}`, n*2654435761, n, n*40503)
	}
	put(t, s, "k/config", routes.String())
	want["k/config"] = routes.String()
	hub, m, v, p := pair(t, s)
	follow(t, hub, m, v, want)
	assert.Assert(t, p.largest < 2*maxPageBytes, "%d bytes", p.largest)
	assert.Assert(t, p.calls["Mirror.ReadPart"] < len(routes.String())/maxPageBytes/2, "%d parts", p.calls["Mirror.ReadPart"])

	// One change takes one small message, although the copy has many objects.
	p.largest = 0
	put(t, s, "k/member-7", "changed")
	want["k/member-7"] = "changed"
	follow(t, hub, m, v, want)
	assert.Assert(t, p.largest < 1000, "%d bytes", p.largest)
	// A deleted object is found by the digest.
	assert.NilError(t, s.Delete(context.Background(), "k/member-8", store.AnyRevision))
	delete(want, "k/member-8")
	follow(t, hub, m, v, want)
}

// Guards against a node that does not understand an earlier build, or is not understood by it: both read the whole copy in
// one reply.
func TestEarlierBuildsReadAndServeWholeCopies(t *testing.T) {
	s := memstore.New()
	put(t, s, "k/a", strings.Repeat("a", 2*maxPageBytes))
	put(t, s, "k/b", "b")
	hub, m, v, _ := pair(t, s)
	want := map[string]string{"k/a": strings.Repeat("a", 2*maxPageBytes), "k/b": "b"}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var reply ReadReply
		if err := hub.Receiver().Read(ReadArgs{Prefix: "k/", Revision: -1}, &reply); err != nil || len(reply.Objects) != 2 || len(reply.Revisions) != 2 {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, soon...)
	m.options.Peers = earlierBuild{hub}
	follow(t, hub, m, v, want)
	assert.NilError(t, s.Delete(context.Background(), "k/b", store.AnyRevision))
	delete(want, "k/b")
	follow(t, hub, m, v, want)
}

// earlierBuild serves a mirror as builds did that do not know MaxBytes and Keys.
type earlierBuild struct{ m *Mirror }

func (e earlierBuild) Call(_ context.Context, _, method string, args, reply any) error {
	if method != "Mirror.Read" {
		return peer.ErrUnknownMethod
	}
	a := args.(ReadArgs)
	return e.m.Receiver().Read(ReadArgs{Prefix: a.Prefix, Revision: a.Revision, Any: a.Any}, reply.(*ReadReply))
}

func (earlierBuild) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

package confsync_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/peer/peertest"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/adapter/store/storetest"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/confsync"
	leasectl "trefoilplank.example/pkg/controller/lease"
	"trefoilplank.example/pkg/controller/membership"
	"trefoilplank.example/pkg/decision/confchain"
	"trefoilplank.example/pkg/decision/dissemination"
	"trefoilplank.example/pkg/decision/lease"
)

// loopbackNode is a node whose peer calls go over loopback TCP connections.
type loopbackNode struct {
	*confsync.Controller
	board  *blackboard.Board
	server *peer.Server
	stop   context.CancelFunc
}

// startLoopbackNode starts a node with its membership, lease and configuration controllers; cache is the file of its
// cached peer addresses.
func startLoopbackNode(t *testing.T, s *storetest.Faulty, name, cache string) *loopbackNode {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := lease.Record{Name: name, AvailabilityZone: "z", PeerAddress: l.Addr().String(), Incarnation: time.Now().UnixMilli()}
	n := &loopbackNode{board: blackboard.New(), server: peer.NewServer("secret", nil)}
	client := peer.NewClient(peer.ClientOptions{Self: name, Server: n.server, Secret: "secret", Resolve: membership.Resolver(n.board)})
	members := membership.New(membership.Options{Store: s, Board: n.board, Peers: client, Self: self, CacheFile: cache})
	n.Controller = confsync.New(s, n.board, client, name)
	assert.NilError(t, n.server.Register("Membership", members.Receiver()))
	assert.NilError(t, n.server.Register("Config", n.Receiver()))
	ctx, cancel := context.WithCancel(t.Context())
	n.stop = func() { cancel(); n.server.Close(); client.Close() }
	t.Cleanup(n.stop)
	go n.server.Serve(l)
	go members.Run(ctx)
	go n.Run(ctx)
	go leasectl.New(s, n.board, self, lease.Default).Run(ctx)
	return n
}

// eventually fails the test unless ok returns true within limit.
func eventually(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %s", what, limit)
		}
	}
}

// TestOverConnections guards against messages that lose content in their gob encoding, and against a node that does not
// find its peers by their cached addresses while the store is down.
func TestOverConnections(t *testing.T) {
	s := storetest.New(memstore.New())
	cache := filepath.Join(t.TempDir(), "peers")
	var nodes []*loopbackNode
	for i := range 4 {
		nodes = append(nodes, startLoopbackNode(t, s, fmt.Sprint("n", i), map[bool]string{true: cache}[i == 3]))
	}
	live := func(n *loopbackNode) int { return len(n.board.Members.Value().Live) }
	for _, n := range nodes {
		eventually(t, "members", 10*time.Second, func() bool { return live(n) == 4 })
	}
	_, err := nodes[0].Apply(t.Context(), newChange("a", "", 0))
	assert.NilError(t, err)
	for _, n := range nodes {
		eventually(t, "first version", 5*time.Second, func() bool { return n.board.Config.Value().Version == 1 })
	}
	_, err = nodes[1].Apply(t.Context(), newChange("b", "", 1))
	assert.NilError(t, err)
	for _, n := range nodes {
		eventually(t, "second version", 5*time.Second, func() bool { return n.InForce() == 2 })
		assert.Equal(t, n.board.Config.Value().Register.Institutions[0].Name, "b")
		eventually(t, "versions in status", 10*time.Second, func() bool {
			for _, m := range n.board.Members.Value().Live {
				if m.ConfigVersion != 2 {
					return false
				}
			}
			return true
		})
	}
	eventually(t, "cached addresses", 15*time.Second, func() bool { return fileExists(cache) })
	nodes[3].stop()
	s.SetDown(true)
	for _, n := range nodes[:3] {
		eventually(t, "removal", 10*time.Second, func() bool { return live(n) == 3 })
	}
	again := startLoopbackNode(t, s, "n3", cache)
	eventually(t, "start in an outage", 10*time.Second, func() bool { return again.InForce() == 2 && live(again) == 4 })
	eventually(t, "return", 10*time.Second, func() bool { return live(nodes[0]) == 4 })
}

func fileExists(path string) bool {
	matches, err := filepath.Glob(path)
	return err == nil && len(matches) == 1
}

// FuzzPush guards against an announcement that makes a node panic, or that brings content into force which does not
// match its digest.
func FuzzPush(f *testing.F) {
	base, _ := confchain.EncodePayload(api.Config{})
	next, _ := confchain.EncodePayload(api.Config{Version: 1})
	delta, _ := next.Delta(base)
	f.Add(int64(1), int64(0), delta, confchain.Digest(next.JSON), "zones", "z")
	f.Add(int64(9), int64(3), []byte("x"), "", "members", "")
	f.Fuzz(func(t *testing.T, version, baseVersion int64, delta []byte, digest, stage, root string) {
		board := blackboard.New()
		s := storetest.New(memstore.New())
		s.SetDown(true)
		caller := &peertest.Caller{Network: peertest.New(), Resolve: membership.Resolver(board)}
		c := confsync.New(s, board, caller, "n")
		args := &confsync.PushArgs{From: "m", Base: baseVersion, Delta: delta}
		args.Entry.Version, args.Entry.Digest = version, digest
		args.Route = dissemination.Route{Stage: dissemination.Stage(stage), Root: root}
		for range 2 {
			if err := c.Receiver().Push(args, &confsync.PushReply{}); err != nil {
				return
			}
		}
		time.Sleep(time.Millisecond)
		if v, revision := board.Config.Get(); revision > 0 {
			p, err := confchain.EncodePayload(v)
			if err != nil || v.Version != version || confchain.Digest(p.JSON) != digest {
				t.Fatalf("version %d with digest %q came into force", v.Version, digest)
			}
		}
	})
}

package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/wait"
)

// ReadArgs asks a peer for its copy of a prefix if it is newer than Revision.
type ReadArgs struct {
	Prefix   string
	Revision int64
	// Any asks also for a copy that the peer can't follow now: a node that knows nothing serves better by it than not at all.
	Any bool
}

// ReadReply holds a copy; Fresh is false when the peer has nothing newer or is not served itself.
type ReadReply struct {
	Fresh    bool
	Revision int64
	// Revisions are those of all objects of the copy, Objects the ones that changed after the asker's revision: a whole copy
	// for each of 65 nodes at each change took the link of the node that watches.
	Revisions map[string]int64
	Objects   []store.Object
}

// Receiver answers peers.
type Receiver struct{ m *Mirror }

// Receiver returns the receiver for net/rpc.
func (m *Mirror) Receiver() *Receiver { return &Receiver{m} }

// Read answers with the copy of a prefix.
func (r *Receiver) Read(args ReadArgs, reply *ReadReply) error {
	c := r.m.copy[args.Prefix]
	if c == nil {
		return peer.Error.New("prefix %q is not mirrored", args.Prefix)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.healthy && !args.Any || !c.known || c.revision <= args.Revision {
		return nil
	}
	reply.Fresh, reply.Revision = true, c.revision
	reply.Revisions = make(map[string]int64, len(c.objects))
	for key, o := range c.objects {
		reply.Revisions[key] = o.Revision
		if o.Revision > args.Revision {
			reply.Objects = append(reply.Objects, o)
		}
	}
	return nil
}

// merge completes a peer's answer by the objects that the copy holds already; false when one is not there as the peer has it.
func (c *copied) merge(reply ReadReply) ([]store.Object, bool) {
	changed := make(map[string]store.Object, len(reply.Objects))
	for _, o := range reply.Objects {
		changed[o.Key] = o
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]store.Object, 0, len(reply.Revisions))
	for key, revision := range reply.Revisions {
		o, ok := changed[key]
		if !ok {
			o, ok = c.objects[key]
		}
		if !ok || o.Revision != revision {
			return nil, false
		}
		list = append(list, o)
	}
	return list, true
}

// followPeers reads from peers while the own watch is broken.
func (m *Mirror) followPeers(ctx context.Context, c *copied) {
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, peerEvery)
		c.mu.Lock()
		broken, revision, known := m.following() == "" && !c.healthy && time.Since(c.brokenAt) > peerAfter, c.revision, c.known
		c.mu.Unlock()
		if !broken {
			continue
		}
		others := m.o.Others()
		if len(others) == 0 {
			continue
		}
		if !known {
			revision = -1
		}
		m.readPeer(ctx, c, others[rand.IntN(len(others))], revision)
	}
}

// Introduce reads the copies of a peer, as far as this node has none: it has started while the store does not serve it.
func (m *Mirror) Introduce(ctx context.Context, node string) {
	for _, c := range m.copy {
		c.mu.Lock()
		known := c.known
		c.mu.Unlock()
		if !known {
			m.readPeer(ctx, c, node, -1)
		}
	}
}

// readPeer reads the copy of a peer that is further than revision, and reports whether it was taken.
func (m *Mirror) readPeer(ctx context.Context, c *copied, node string, revision int64) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	args := ReadArgs{Prefix: c.prefix.Name, Revision: revision, Any: revision < 0}
	for {
		var reply ReadReply
		if err := m.o.Peers.Call(ctx, node, "Mirror.Read", args, &reply); err != nil {
			m.o.Log.Routine("peer gave no copy of the store", "prefix", c.prefix.Name, "peer", node, "error", err)
			return false
		}
		if !reply.Fresh {
			return false
		}
		list, whole := c.merge(reply)
		if !whole && args.Revision >= 0 {
			args.Revision = -1 // What both hold differs; all of it is read.
			continue
		}
		m.o.Log.Routine("copy of the store taken from a peer", "prefix", c.prefix.Name, "peer", node, "revision", reply.Revision,
			"changed", len(reply.Objects), "objects", len(list))
		c.mu.Lock()
		healthy := c.healthy
		c.mu.Unlock()
		return whole && !healthy && c.replace(list, reply.Revision, time.Now())
	}
}

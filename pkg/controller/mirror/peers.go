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
	// Any also accepts a copy that the peer can't keep up to date now, since for a node without a copy an old one is
	// better than none.
	Any bool
}

// ReadReply holds a copy. Fresh is false if the peer has nothing newer, or if its own watch is broken and Any is not set.
type ReadReply struct {
	Fresh    bool
	Revision int64
	// Revisions holds the revision of each object of the copy, and Objects only those that changed after the caller's
	// revision: sending the full copy to each of 65 nodes at each change used up the link of the watching node.
	Revisions map[string]int64
	Objects   []store.Object
}

// Receiver holds the method that other nodes call over net/rpc.
type Receiver struct{ m *Mirror }

// Receiver returns the receiver to register as "Mirror".
func (m *Mirror) Receiver() *Receiver { return &Receiver{m} }

// Read returns the changes of this node's copy of a prefix since the caller's revision.
func (r *Receiver) Read(args ReadArgs, reply *ReadReply) error {
	c := r.m.copy[args.Prefix]
	if c == nil {
		return peer.Error.New("prefix %q is not mirrored", args.Prefix)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.watching && !args.Any || !c.loaded || c.revision <= args.Revision {
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

// mergeReply returns all objects of a peer's copy, from its reply and, for unchanged ones, from this copy. It returns
// false if this copy lacks an unchanged object or has another revision of it.
func (c *prefixCopy) mergeReply(reply ReadReply) ([]store.Object, bool) {
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

// readPeersWhileBroken reads from random peers while this node's watch is broken.
func (m *Mirror) readPeersWhileBroken(ctx context.Context, c *prefixCopy) {
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, peerReadInterval)
		c.mu.Lock()
		broken, revision, loaded := m.followedNode() == "" && !c.watching && time.Since(c.brokenAt) > peerReadAfter, c.revision, c.loaded
		c.mu.Unlock()
		if !broken {
			continue
		}
		others := m.options.Others()
		if len(others) == 0 {
			continue
		}
		if !loaded {
			revision = -1
		}
		m.readPeer(ctx, c, others[rand.IntN(len(others))], revision)
	}
}

// ReadMissing reads from a peer those copies that this node does not have yet, when it starts while the store is down.
func (m *Mirror) ReadMissing(ctx context.Context, node string) {
	for _, c := range m.copy {
		c.mu.Lock()
		loaded := c.loaded
		c.mu.Unlock()
		if !loaded {
			m.readPeer(ctx, c, node, -1)
		}
	}
}

// readPeer reads the copy of a peer if it is newer than revision, and reports whether it replaced this node's copy.
func (m *Mirror) readPeer(ctx context.Context, c *prefixCopy, node string, revision int64) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	args := ReadArgs{Prefix: c.prefix.Name, Revision: revision, Any: revision < 0}
	for {
		var reply ReadReply
		if err := m.options.Peers.Call(ctx, node, "Mirror.Read", args, &reply); err != nil {
			m.options.Log.Routine("reading a store copy from a peer failed", "prefix", c.prefix.Name, "peer", node, "error", err)
			return false
		}
		if !reply.Fresh {
			return false
		}
		list, complete := c.mergeReply(reply)
		if !complete && args.Revision >= 0 {
			args.Revision = -1 // The unchanged objects differ, so the full copy is read.
			continue
		}
		m.options.Log.Routine("store copy read from a peer", "prefix", c.prefix.Name, "peer", node, "revision", reply.Revision,
			"changed", len(reply.Objects), "objects", len(list))
		c.mu.Lock()
		watching := c.watching
		c.mu.Unlock()
		return complete && !watching && c.replace(list, reply.Revision, time.Now())
	}
}

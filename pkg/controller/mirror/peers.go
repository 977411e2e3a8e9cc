package mirror

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/zeebo/xxh3"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/keyvalidity"
	"trefoilplank.example/pkg/wait"
)

// maxPageBytes limits the values in one reply. net/rpc keeps a buffer as large as the largest message for each connection, and
// the watching node of a large deployment has hundreds of them.
const maxPageBytes = 16 << 10

// ReadArgs asks a peer for its copy of a prefix if it is newer than Revision.
type ReadArgs struct {
	Prefix   string
	Revision int64
	// Any also accepts a copy that the peer can't keep up to date now, since for a node without a copy an old one is
	// better than none.
	Any bool
	// MaxBytes limits the values in the reply; 0, from earlier builds, asks for the whole copy in one reply.
	MaxBytes int
	// Same also accepts a copy of the same revision, whose content changes when a vanished entry is dropped.
	Same bool
	// Keys asks for the revisions of all objects, with which deleted ones are found.
	Keys bool
}

// ReadReply holds a copy. Fresh is false if the peer has nothing newer, or if its own watch is broken and Any is not set.
type ReadReply struct {
	Fresh    bool
	Revision int64
	// Revisions holds the revision of each object of the copy, and Objects only those that changed after the caller's
	// revision: sending the full copy to each of 65 nodes at each change used up the link of the watching node.
	Revisions map[string]int64
	Objects   []store.Object
	// Paged is set by builds that know MaxBytes, also if Fresh is not. Their last page has a digest of the revisions of all objects, and Revisions
	// only if that was asked for. More is set if Objects ends at Revision and further objects changed after it.
	Paged  bool
	More   bool
	Digest uint64
	// Large are changed objects that are too large for a page, without their values; see ReadPart.
	Large []LargeObject
	// Current is set if the peer's watch works and its copy holds nothing newer than the caller's revision. Earlier builds do not set it.
	Current bool
	// Age is that of the peer's copy, also if Fresh is not set; nil if the peer does not keep it.
	Age *keyvalidity.Age
}

// LargeObject is an object whose value is read in parts.
type LargeObject struct {
	Key      string
	Revision int64
}

// ReadPartArgs asks a peer for a part of an object's compressed value.
type ReadPartArgs struct {
	Prefix string
	Object LargeObject
	Offset int
}

// ReadPartReply holds a part of at most maxPageBytes. Found is false if the peer no longer has the object at this revision.
type ReadPartReply struct {
	Found bool
	// Total is the length of the compressed value.
	Total int
	Data  []byte
}

// Receiver holds the methods that other nodes call over net/rpc.
type Receiver struct{ m *Mirror }

// Receiver returns the receiver to register as "Mirror".
func (m *Mirror) Receiver() *Receiver { return &Receiver{m} }

func (r *Receiver) copyOf(prefix string) (*prefixCopy, error) {
	c := r.m.copy[prefix]
	if c == nil {
		return nil, peer.Error.New("prefix %q is not mirrored", prefix)
	}
	return c, nil
}

// Read returns the changes of this node's copy of a prefix since the caller's revision.
func (r *Receiver) Read(args ReadArgs, reply *ReadReply) error {
	c, err := r.copyOf(args.Prefix)
	if err != nil {
		return err
	}
	r.m.look(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Paged = args.MaxBytes > 0
	reply.Age = r.m.ageOf(c)
	if !c.watching && !args.Any || !c.loaded || c.revision < args.Revision || c.revision == args.Revision && !args.Same {
		reply.Current = c.watching && c.loaded
		return nil
	}
	reply.Fresh, reply.Revision = true, c.revision
	var changed []store.Object
	for _, o := range c.objects {
		if o.Revision > args.Revision {
			changed = append(changed, o)
		}
	}
	if args.MaxBytes > 0 {
		c.firstPage(changed, args.MaxBytes, reply)
	} else {
		reply.Objects = changed
	}
	if args.MaxBytes == 0 || args.Keys && !reply.More {
		reply.Revisions = make(map[string]int64, len(c.objects))
		for key, o := range c.objects {
			reply.Revisions[key] = o.Revision
		}
	}
	return nil
}

// firstPage fills a reply with the changed objects of the lowest revisions, up to maxBytes.
func (c *prefixCopy) firstPage(changed []store.Object, maxBytes int, reply *ReadReply) {
	slices.SortFunc(changed, func(a, b store.Object) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	size := 0
	for n, o := range changed {
		large := len(o.Value) > maxBytes
		if large {
			size += len(o.Key)
		} else {
			size += len(o.Key) + len(o.Value)
		}
		if n > 0 && size > maxBytes && o.Revision > changed[n-1].Revision {
			reply.More, reply.Revision = true, changed[n-1].Revision
			return
		}
		if large {
			reply.Large = append(reply.Large, LargeObject{o.Key, o.Revision})
		} else {
			reply.Objects = append(reply.Objects, o)
		}
	}
	reply.Digest = digest(c.objects)
}

// digest returns a digest of the keys and revisions of objects.
func digest(objects map[string]store.Object) (sum uint64) {
	for key, o := range objects {
		sum += xxh3.HashStringSeed(key, uint64(o.Revision))
	}
	return sum
}

// ReadPart returns a part of the compressed value of an object.
func (r *Receiver) ReadPart(args ReadPartArgs, reply *ReadPartReply) error {
	c, err := r.copyOf(args.Prefix)
	if err != nil {
		return err
	}
	value, ok := c.compressedValue(args.Object)
	if !ok || args.Offset < 0 || args.Offset > len(value) {
		return nil
	}
	*reply = ReadPartReply{Found: true, Total: len(value), Data: value[args.Offset:min(len(value), args.Offset+maxPageBytes)]}
	return nil
}

// compressedObject is the compressed value of an object at a revision.
type compressedObject struct {
	revision int64
	value    []byte
}

// compressedValue returns the compressed value of an object, which is kept for the other nodes that read it.
func (c *prefixCopy) compressedValue(object LargeObject) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.objects[object.Key]
	if !ok || o.Revision != object.Revision {
		return nil, false
	}
	if kept, ok := c.compressed[object.Key]; ok && kept.revision == o.Revision {
		return kept.value, true
	}
	value := s2.Encode(nil, o.Value)
	c.compressed[object.Key] = compressedObject{o.Revision, value}
	return value, true
}

// mergeChanges returns all objects of a peer's copy: those that changed, and the unchanged ones of this copy. It returns
// false if the result is not what the last page says of the peer's copy: an object was deleted there, or this copy differs.
func (c *prefixCopy) mergeChanges(changed map[string]store.Object, last ReadReply) ([]store.Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	merged := make(map[string]store.Object, len(c.objects)+len(changed))
	if last.Revisions == nil {
		maps.Copy(merged, c.objects)
		maps.Copy(merged, changed)
		return slices.Collect(maps.Values(merged)), digest(merged) == last.Digest
	}
	for key, revision := range last.Revisions {
		o, ok := changed[key]
		if !ok {
			o, ok = c.objects[key]
		}
		if !ok || o.Revision != revision {
			return nil, false
		}
		merged[key] = o
	}
	return slices.Collect(maps.Values(merged)), true
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
		m.readPeer(ctx, c, others[rand.IntN(len(others))], revision, false)
	}
}

// ReadMissing reads from a peer those copies that this node does not have yet, when it starts while the store is down.
func (m *Mirror) ReadMissing(ctx context.Context, node string) {
	for _, c := range m.copy {
		c.mu.Lock()
		loaded := c.loaded
		c.mu.Unlock()
		if !loaded {
			m.readPeer(ctx, c, node, -1, false)
		}
	}
}

// peerRead is the result of a read of a peer's copy.
type peerRead int

const (
	// notRead means that the peer did not answer, or can't keep its copy up to date.
	notRead peerRead = iota
	// nothingNewer means that the peer keeps its copy up to date and has no newer one.
	nothingNewer
	// replaced means that the peer's copy has replaced this node's.
	replaced
)

// readPeer reads the copy of a peer if it is newer than revision, or of the same revision if same is set.
func (m *Mirror) readPeer(ctx context.Context, c *prefixCopy, node string, revision int64, same bool) peerRead {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	args := ReadArgs{Prefix: c.prefix.Name, Revision: revision, Any: revision < 0, Same: same, MaxBytes: maxPageBytes}
	stalls, begun := c.stallCount(), m.options.Now()
	for {
		changed, last, err := m.readPages(ctx, node, args)
		if err != nil {
			m.options.Log.Routine("reading a store copy from a peer failed", "prefix", c.prefix.Name, "peer", node, "error", err)
			return notRead
		}
		if !last.Fresh && args.Same && !last.Paged {
			args.Revision, args.Same = args.Revision-1, false // An earlier build does not know Same.
			continue
		}
		if !last.Fresh {
			m.confirmAge(c, last.Age, begun)
			if last.Current && !args.Any {
				c.confirm(stalls)
				return nothingNewer
			}
			return notRead
		}
		list, complete := c.mergeChanges(changed, last)
		if !complete {
			switch {
			case !args.Keys && last.Paged:
				args.Keys = true
			case args.Revision >= 0:
				args.Revision = -1 // The unchanged objects differ, so the full copy is read.
			default:
				return notRead // The peer's copy changed meanwhile; the next answer of the hub names its new state.
			}
			continue
		}
		m.options.Log.Routine("store copy read from a peer", "prefix", c.prefix.Name, "peer", node, "revision", last.Revision,
			"changed", len(changed), "objects", len(list))
		c.mu.Lock()
		watching := c.watching
		c.mu.Unlock()
		if watching || !c.replace(list, last.Revision, node, knownFrom(last.Age, begun), time.Now()) {
			return notRead
		}
		if !args.Any {
			c.confirm(stalls)
		}
		return replaced
	}
}

// readPages reads all pages of the objects that changed after args.Revision, and returns them with the last reply.
func (m *Mirror) readPages(ctx context.Context, node string, args ReadArgs) (map[string]store.Object, ReadReply, error) {
	changed := map[string]store.Object{}
	for {
		var reply ReadReply
		if err := m.options.Peers.Call(ctx, node, "Mirror.Read", args, &reply); err != nil || !reply.Fresh {
			return nil, reply, err
		}
		for _, o := range reply.Objects {
			changed[o.Key] = o
		}
		for _, large := range reply.Large {
			value, err := m.readParts(ctx, node, args.Prefix, large)
			if err != nil {
				return nil, reply, err
			}
			changed[large.Key] = store.Object{Key: large.Key, Value: value, Revision: large.Revision}
		}
		if !reply.More {
			return changed, reply, nil
		}
		args.Revision = reply.Revision
	}
}

// readParts reads the value of a large object.
func (m *Mirror) readParts(ctx context.Context, node, prefix string, object LargeObject) ([]byte, error) {
	var compressed []byte
	for {
		var reply ReadPartReply
		args := ReadPartArgs{Prefix: prefix, Object: object, Offset: len(compressed)}
		if err := m.options.Peers.Call(ctx, node, "Mirror.ReadPart", args, &reply); err != nil {
			return nil, err
		}
		if !reply.Found || len(reply.Data) == 0 {
			return nil, peer.Error.New("object %q changed while it was read", object.Key)
		}
		if compressed == nil {
			compressed = make([]byte, 0, min(reply.Total, store.MaxValueBytes))
		}
		if compressed = append(compressed, reply.Data...); len(compressed) >= reply.Total {
			return s2.Decode(nil, compressed)
		}
	}
}

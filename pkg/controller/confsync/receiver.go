package confsync

import (
	"context"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/decision/confchain"
	"trefoilplank.example/pkg/decision/dissemination"
)

// Receiver holds the methods that other nodes call over net/rpc.
type Receiver struct{ c *Controller }

// Receiver returns the receiver to register as "Config".
func (c *Controller) Receiver() *Receiver { return &Receiver{c} }

// PushArgs announces an accepted version.
type PushArgs struct {
	From  string
	Entry confchain.Entry
	// Base is the version that Delta applies to; Delta is empty if the receiver must fetch the payload.
	Base  int64
	Delta []byte
	Route dissemination.Route
}

// PushReply confirms that the announcement arrived.
type PushReply struct {
	// Version is the newest accepted version that the receiver knows.
	Version int64
}

// DigestArgs asks for the entry of the version in force.
type DigestArgs struct{}

// DigestReply holds the entry of the version in force. Ready is false until the node has learned the accepted version.
type DigestReply struct {
	Ready bool
	Entry confchain.Entry
}

// FetchArgs asks for the payload of a version. Have is the version in force at the caller.
type FetchArgs struct{ Version, Have int64 }

// FetchReply carries a payload: all of it if Whole is set, else a delta to Base.
type FetchReply struct {
	Whole bool
	Base  int64
	Data  []byte
}

// Push handles an announced version in the background. It answers before the version is in force, so that the sender
// does not treat a node with a slow transfer as dead.
func (r *Receiver) Push(args *PushArgs, reply *PushReply) error {
	c := r.c
	c.mu.Lock()
	newest := max(c.inForce.Version, c.fetching)
	fresh := confchain.IsNewer(newest, args.Entry.Version)
	if fresh {
		c.fetching = args.Entry.Version
	}
	c.known = c.known.Advance(args.Entry.Version, false)
	reply.Version = c.known.Version
	c.mu.Unlock()
	if args.Entry.Version >= newest {
		go c.handlePush(args, fresh)
	}
	return nil
}

// handlePush brings the announced version into force if it is fresh, and forwards the announcement along its route.
func (c *Controller) handlePush(args *PushArgs, fresh bool) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if fresh && c.applyDelta(args) != nil {
		if err := c.adoptVersion(ctx, args.Entry, args.From); err != nil {
			klog.Warningf("bring configuration version %d, pushed by %s, into force: %v", args.Entry.Version, args.From, err)
			c.mu.Lock()
			c.fetching = min(c.fetching, c.inForce.Version)
			c.mu.Unlock()
			return
		}
	}
	next := PushArgs{From: c.self, Entry: args.Entry, Base: args.Base, Delta: args.Delta}
	c.pushAll(next, c.steps(func(v dissemination.View) []dissemination.Step {
		return c.forwarder.Forward(v, c.self, uint64(args.Entry.Version), args.Route)
	}))
}

// steps returns the result of compute for the current view. It holds c.mu meanwhile, since compute uses c.forwarder.
func (c *Controller) steps(compute func(dissemination.View) []dissemination.Step) []dissemination.Step {
	v := c.view()
	c.mu.Lock()
	defer c.mu.Unlock()
	return compute(v)
}

// applyDelta brings the version of a push into force from its inline delta.
func (c *Controller) applyDelta(args *PushArgs) error {
	c.mu.Lock()
	base, ok := c.payloads[args.Base]
	c.mu.Unlock()
	if !ok || len(args.Delta) == 0 {
		return confchain.Error.New("the push has no delta to a version kept in memory")
	}
	p, err := confchain.ApplyDelta(base, args.Entry.Version, args.Delta)
	if err != nil {
		return err
	}
	return c.install(args.Entry, p, "pushed by "+args.From)
}

// Digest returns the entry of the version in force.
func (r *Receiver) Digest(_ *DigestArgs, reply *DigestReply) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	reply.Ready, reply.Entry = r.c.known.Ready, r.c.inForce
	return nil
}

// Fetch returns a payload, as a delta if the version that the caller has is still in memory.
func (r *Receiver) Fetch(args *FetchArgs, reply *FetchReply) error {
	c := r.c
	c.mu.Lock()
	p, ok := c.payloads[args.Version]
	base, hasBase := c.payloads[args.Have]
	c.mu.Unlock()
	if !ok {
		return confchain.Error.New("version %d is not kept", args.Version)
	}
	var err error
	if hasBase && args.Have > 0 {
		reply.Base = args.Have
		reply.Data, err = p.Delta(base)
	} else {
		reply.Whole = true
		reply.Data, err = p.Compress()
	}
	return err
}

// fetchPayload fetches and verifies the payload of an entry from a peer.
func (c *Controller) fetchPayload(ctx context.Context, e confchain.Entry, from string) (confchain.Payload, error) {
	var reply FetchReply
	args := FetchArgs{Version: e.Version, Have: c.InForce()}
	if err := c.peers.Call(ctx, from, "Config.Fetch", &args, &reply); err != nil {
		return confchain.Payload{}, err
	}
	var p confchain.Payload
	var err error
	if reply.Whole {
		p, err = confchain.Decompress(e.Version, reply.Data)
	} else {
		c.mu.Lock()
		base, ok := c.payloads[reply.Base]
		c.mu.Unlock()
		if !ok {
			return confchain.Payload{}, confchain.Error.New("base version %d is not kept", reply.Base)
		}
		p, err = confchain.ApplyDelta(base, e.Version, reply.Data)
	}
	if err != nil {
		return confchain.Payload{}, err
	}
	return p, p.Verify(e)
}

// announce pushes the version in force along steps, with a delta to base if that is small enough.
func (c *Controller) announce(base int64, steps []dissemination.Step) {
	if len(steps) == 0 {
		return
	}
	c.mu.Lock()
	args := PushArgs{From: c.self, Entry: c.inForce, Base: base}
	from, ok := c.payloads[base]
	to := c.payloads[c.inForce.Version]
	c.mu.Unlock()
	if ok {
		if delta, err := to.Delta(from); err == nil && len(delta) <= maxInlineDelta {
			args.Delta = delta
		}
	}
	c.pushAll(args, steps)
}

// pushAll starts to push an announcement along steps.
func (c *Controller) pushAll(args PushArgs, steps []dissemination.Step) {
	for _, s := range steps {
		go c.push(args, s)
	}
}

// push pushes an announcement along one step of the tree. If the receiver does not answer, this node pushes to the
// receiver's children itself.
func (c *Controller) push(args PushArgs, s dissemination.Step) {
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	args.Route = s.Route
	if err := c.peers.Call(ctx, s.To, "Config.Push", &args, &PushReply{}); err == nil {
		return
	}
	c.pushAll(args, c.view().ReplaceReceiver(c.self, s))
}

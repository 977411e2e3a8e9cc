// Package confsync accepts changes of the configuration, distributes accepted versions along a tree of nodes, and brings
// them into force on this node.
package confsync

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/config"
	"trefoilplank.example/pkg/decision/confchain"
	"trefoilplank.example/pkg/decision/dissemination"
	"trefoilplank.example/pkg/explain"
)

const (
	// pushTimeout bounds a push to a child in the tree; after it this node pushes to the child's children itself.
	pushTimeout = time.Second
	// peerFetchTimeout bounds the fetch of a payload from a peer, after which the store is read. A peer behind a network
	// partition never answers.
	peerFetchTimeout = 2 * time.Second
	// fetchTimeout bounds the fetch of a version, from a peer and then from the store.
	fetchTimeout = 5 * time.Second
	// secondRelayDelay is how long the second relay of a zone waits for the first one to push.
	secondRelayDelay = time.Second
	// pushWait is how long a relay that sees a new head in the store waits for a push before it fetches the payload.
	pushWait = 200 * time.Millisecond
	// maxInlineDelta is the size in bytes of the largest delta that a push carries; nodes fetch larger ones.
	maxInlineDelta = 32 << 10
	// maxPayloads is the number of payloads kept in memory to compute deltas from.
	maxPayloads = 4
	// retryMin is the time between the first attempts to learn or fetch a version; it doubles up to retryMax, so that
	// nodes that start in an outage do not add much load.
	retryMin, retryMax = 500 * time.Millisecond, 4 * time.Second
	// relayStartDelay prevents a node that knows no members yet from acting as its zone's relay.
	relayStartDelay = 3 * time.Second
)

// Controller keeps the configuration of one node. It implements config.Accepter.
type Controller struct {
	store store.Store
	board *blackboard.Board
	peers peer.Caller
	self  string
	// Log, when set before Run, records the decisions about versions and their reasons.
	Log *explain.Log
	// applying holds an element while Apply runs, so that this node makes one change at a time.
	applying chan struct{}

	mu    sync.Mutex
	known confchain.KnownVersion
	// inForce is the entry of the version in force; payloads holds its payload as the newest one.
	inForce  confchain.Entry
	payloads map[int64]confchain.Payload
	// ready is closed once known.Ready is set.
	ready chan struct{}
	// fetching is the newest version that was pushed to this node and is being brought into force.
	fetching  int64
	forwarder *dissemination.Forwarder
	// cachedView is the view of the live members at viewRevision of the Members section.
	cachedView   dissemination.View
	viewRevision int64
	// storeHead is the newest entry of the head as last read from the store.
	storeHead blackboard.Section[confchain.Entry]
}

var _ config.Accepter = (*Controller)(nil)

// New returns a controller. Register its Receiver as "Config" with the peer server.
func New(s store.Store, b *blackboard.Board, peers peer.Caller, self string) *Controller {
	return &Controller{
		store: s, board: b, peers: peers, self: self,
		payloads: map[int64]confchain.Payload{0: emptyPayload()}, ready: make(chan struct{}),
		applying: make(chan struct{}, 1), viewRevision: -1, forwarder: dissemination.NewForwarder(),
	}
}

// emptyPayload returns the payload of version 0.
func emptyPayload() confchain.Payload {
	p, err := confchain.EncodePayload(api.Config{})
	if err != nil {
		panic(err)
	}
	return p
}

// Ready returns a channel that is closed once this node knows the accepted version from the store or a quorum of peers.
func (c *Controller) Ready() <-chan struct{} { return c.ready }

// Accepted returns the newest accepted version that this node knows. It implements config.Accepter.
func (c *Controller) Accepted() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.Version
}

// InForce returns the version in force on this node.
func (c *Controller) InForce() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce.Version
}

// Run learns the first version and then follows changes until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.learnFirst(ctx) })
	group.Go(func() error { return c.watchAsRelay(ctx) })
	group.Go(func() error { return c.followHead(ctx) })
	group.Go(func() error { return c.catchUp(ctx) })
	return group.Wait()
}

// view returns the dissemination view of the live members.
func (c *Controller) view() dissemination.View {
	members, revision := c.board.Members.Get()
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision != c.viewRevision {
		c.viewRevision, c.cachedView = revision, dissemination.ViewOf(members)
	}
	return c.cachedView
}

// learnFirst learns the accepted version from the store, or from a quorum of the zone's peers while the store is down.
func (c *Controller) learnFirst(ctx context.Context) error {
	for pause := retryMin; ctx.Err() == nil; pause = min(2*pause, retryMax) {
		err := c.readHead(ctx)
		if err == nil {
			return nil
		}
		if c.learnFromPeers(ctx) {
			return nil
		}
		if pause == retryMin {
			klog.Warningf("read the first configuration version: %v", err)
		}
		wait(ctx, pause+rand.N(pause))
	}
	return ctx.Err()
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// readHead brings the version that the head in the store names into force; an empty store means version 0.
func (c *Controller) readHead(ctx context.Context) error {
	o, err := c.store.Get(ctx, confchain.HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		c.markReady(0)
		return nil
	}
	if err != nil {
		return err
	}
	head, err := confchain.DecodeHead(o.Value)
	if err != nil {
		return err
	}
	if err := c.adoptVersion(ctx, head.History[0], ""); err != nil {
		return err
	}
	c.markReady(head.Version())
	return nil
}

// markReady records that this node learned the accepted version from the store or from a quorum. A version from a single
// peer comes into force without making the node ready, since that peer may be behind.
func (c *Controller) markReady(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasReady := c.known.Ready
	c.known = c.known.Advance(version, true)
	if !wasReady {
		close(c.ready)
		if c.inForce.Version == 0 {
			c.board.Config.Set(api.Config{})
		}
	}
}

// learnFromPeers asks the zone's peers for their versions. If a quorum of them answers, it brings the highest version
// into force, marks the node ready and returns true.
func (c *Controller) learnFromPeers(ctx context.Context) bool {
	view := c.view()
	peers := view.Peers(c.self)
	if len(peers) == 0 {
		// This node is alone in its zone, so it asks all members.
		peers = view.OtherMembers(c.self)
	}
	type reply struct {
		from string
		DigestReply
	}
	replies := make(chan reply, len(peers))
	for _, p := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, pushTimeout)
			defer cancel()
			var r DigestReply
			if c.peers.Call(ctx, p, "Config.Digest", &DigestArgs{}, &r) != nil {
				r = DigestReply{}
			}
			replies <- reply{p, r}
		}()
	}
	var answers []confchain.PeerAnswer
	var best reply
	for range peers {
		r := <-replies
		answers = append(answers, confchain.PeerAnswer{Version: r.Entry.Version, Ready: r.Ready})
		if r.Ready && r.Entry.Version > best.Entry.Version {
			best = r
		}
	}
	version, ok := confchain.Quorum(len(peers), answers)
	if !ok {
		return false
	}
	if version == 0 {
		c.markReady(0)
		return true
	}
	if err := c.adoptVersion(ctx, best.Entry, best.from); err != nil {
		klog.Warningf("bring configuration version %d of a quorum, from %s, into force: %v", version, best.from, err)
		return false
	}
	c.markReady(version)
	return true
}

// watchAsRelay watches the head in the store while this node is a relay of its zone. All other nodes learn versions from
// peers.
func (c *Controller) watchAsRelay(ctx context.Context) error {
	wait(ctx, relayStartDelay)
	for ctx.Err() == nil {
		_, revision := c.board.Members.Get()
		changed := c.board.Members.Changed(revision)
		if c.view().RelayRank(c.self) < 0 {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		watching, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = store.Follow(watching, c.store, confchain.HeadKey, c.handleHead)
		}()
		for ctx.Err() == nil && c.view().RelayRank(c.self) >= 0 {
			_, revision := c.board.Members.Get()
			select {
			case <-c.board.Members.Changed(revision):
			case <-ctx.Done():
			}
		}
		cancel()
		<-done
	}
	return ctx.Err()
}

// handleHead decodes the head in an update of the watch and sets storeHead.
func (c *Controller) handleHead(u store.Update) {
	value := u.Event.Object.Value
	if u.Full {
		if len(u.Objects) == 0 {
			c.markReady(0)
			return
		}
		value = u.Objects[0].Value
	} else if u.Event.Type != store.EventPut {
		return
	}
	head, err := confchain.DecodeHead(value)
	if err != nil {
		klog.Errorf("decode %s: %v", confchain.HeadKey, err)
		return
	}
	c.storeHead.Set(head.History[0])
}

// followHead brings each version that storeHead names into force. It retries after a failure until it succeeds or a
// newer version replaces this one, since the watch may report no further event.
func (c *Controller) followHead(ctx context.Context) error {
	pause := retryMin
	for ctx.Err() == nil {
		entry, revision := c.storeHead.Get()
		err := c.adoptHead(ctx, entry)
		if err != nil {
			klog.Warningf("bring configuration version %d of the head into force: %v", entry.Version, err)
			wait(ctx, pause+rand.N(pause))
			pause = min(2*pause, retryMax)
			continue
		}
		pause = retryMin
		select {
		case <-c.storeHead.Changed(revision):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// adoptHead brings a version that the store's head names into force and, on a relay, starts to push it in its zone.
func (c *Controller) adoptHead(ctx context.Context, entry confchain.Entry) error {
	base := c.InForce()
	if entry.Version == 0 {
		return nil
	}
	if confchain.IsNewer(base, entry.Version) && entry.Node != "" {
		// The accepting node pushes a delta, while the payload in the store is the complete configuration.
		wait(ctx, pushWait)
	}
	if err := c.adoptVersion(ctx, entry, entry.Node); err != nil {
		return err
	}
	c.markReady(entry.Version)
	rank := c.view().RelayRank(c.self)
	if !confchain.IsNewer(base, entry.Version) || c.InForce() != entry.Version || rank < 0 {
		return nil
	}
	if rank > 0 {
		wait(ctx, secondRelayDelay)
	}
	c.announce(base, c.steps(func(v dissemination.View) []dissemination.Step {
		return c.forwarder.OriginateFromStore(v, c.self, uint64(entry.Version))
	}))
	return nil
}

// catchUp fetches the version of a live member that has a newer one in force, as the Members section shows.
func (c *Controller) catchUp(ctx context.Context) error {
	for ctx.Err() == nil {
		members, revision := c.board.Members.Get()
		best := blackboard.Member{ConfigVersion: c.InForce()}
		for _, m := range members.Live {
			if m.Name != c.self && m.ConfigVersion > best.ConfigVersion {
				best = m
			}
		}
		if best.Name != "" {
			if err := c.pullFrom(ctx, best.Name); err != nil {
				klog.V(1).Infof("fetch a newer configuration from %s: %v", best.Name, err)
				wait(ctx, retryMin+rand.N(retryMin))
				continue
			}
		}
		select {
		case <-c.board.Members.Changed(revision):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// pullFrom asks a peer for its version and brings it into force.
func (c *Controller) pullFrom(ctx context.Context, from string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var r DigestReply
	if err := c.peers.Call(ctx, from, "Config.Digest", &DigestArgs{}, &r); err != nil {
		return err
	}
	return c.adoptVersion(ctx, r.Entry, from)
}

// adoptVersion brings an accepted version into force unless it or a newer one is. It fetches the payload from the named
// peer or, if there is none or that fails, reads it from the store.
func (c *Controller) adoptVersion(ctx context.Context, e confchain.Entry, from string) error {
	c.mu.Lock()
	c.known = c.known.Advance(e.Version, false)
	have := c.inForce.Version
	c.mu.Unlock()
	if !confchain.IsNewer(have, e.Version) {
		return nil
	}
	payload, source, err := c.findPayload(ctx, e, from)
	if err != nil {
		return err
	}
	return c.install(e, payload, source)
}

// findPayload returns the payload of an entry from memory, the named peer or the store, and its source in words.
func (c *Controller) findPayload(ctx context.Context, e confchain.Entry, from string) (p confchain.Payload, source string, err error) {
	c.mu.Lock()
	p, ok := c.payloads[e.Version]
	c.mu.Unlock()
	if ok && p.Verify(e) == nil {
		return p, "kept in memory", nil
	}
	var fetchErr error
	if from != "" {
		fetching, cancel := context.WithTimeout(ctx, peerFetchTimeout)
		p, err := c.fetchPayload(fetching, e, from)
		cancel()
		if err == nil {
			return p, "fetched from " + from, nil
		}
		fetchErr = err
	}
	if p, err = c.loadPayload(ctx, e); err != nil {
		return confchain.Payload{}, "", errors.Join(fetchErr, err)
	}
	return p, "read from the store", nil
}

// install verifies a payload and puts it into force unless a newer version is in force.
func (c *Controller) install(e confchain.Entry, p confchain.Payload, source string) error {
	if err := p.Verify(e); err != nil {
		return err
	}
	next, err := p.Config()
	if err != nil {
		return err
	}
	c.mu.Lock()
	if confchain.IsNewer(c.inForce.Version, e.Version) {
		c.inForce = e
		c.payloads[e.Version] = p
		for v := range c.payloads {
			if len(c.payloads) > maxPayloads && v == slices.Min(slices.Collect(maps.Keys(c.payloads))) {
				delete(c.payloads, v)
			}
		}
		c.board.Config.Set(next)
		c.recordDecision(e.Version, "in-force", source, e.Record)
	}
	c.mu.Unlock()
	return nil
}

// decisions counts the decisions on configuration versions, by kind.
var decisions = expvar.NewMap("configuration_decisions")

// recordDecision counts a decision about a version and records it in Log.
func (c *Controller) recordDecision(version int64, decision, reason string, r config.Record) {
	decisions.Add(decision, 1)
	if c.Log != nil {
		c.Log.Record(explain.Entry{Configuration: strconv.FormatInt(version, 10), Decision: decision, Reason: reason,
			Values: map[string]any{"key": r.Key, "who": r.Who}})
	}
}

// loadPayload reads the payload of an entry from the store.
func (c *Controller) loadPayload(ctx context.Context, e confchain.Entry) (confchain.Payload, error) {
	keys, err := e.ChunkKeys()
	if err != nil {
		return confchain.Payload{}, err
	}
	var data []byte
	for _, k := range keys {
		o, err := c.store.Get(ctx, k)
		if err != nil {
			return confchain.Payload{}, fmt.Errorf("%s: %w", k, err)
		}
		data = append(data, o.Value...)
	}
	p, err := confchain.Decompress(e.Version, data)
	if err != nil {
		return confchain.Payload{}, err
	}
	return p, p.Verify(e)
}

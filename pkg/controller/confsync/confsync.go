// Package confsync accepts changes of the configuration and brings the accepted version into force on this node.
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
	// pushTimeout is how long a child in the tree may take before its own children are served directly.
	pushTimeout = time.Second
	// peerTimeout bounds the transfer from a peer before the store is asked: a peer behind a silent cut never answers.
	peerTimeout = 2 * time.Second
	// fetchTimeout bounds the transfer of a whole configuration.
	fetchTimeout = 5 * time.Second
	// secondRelayDelay lets the head of the zone push first; the second relay only fills in for it.
	secondRelayDelay = time.Second
	// pushGrace is how long a relay that saw a new head waits for the push before it fetches.
	pushGrace = 200 * time.Millisecond
	// inlineBytes is the largest delta that a push carries; larger ones are fetched by nodes that need them.
	inlineBytes = 32 << 10
	// keptInMemory is the number of payloads kept to compute deltas from.
	keptInMemory = 4
	// startRetry is the time between the first attempts to learn a version; it doubles up to startRetryMax, so
	// that nodes that start in an outage do not add to it.
	startRetry, startRetryMax = 500 * time.Millisecond, 4 * time.Second
	// relayDelay keeps a node that knows no members yet from taking itself for its zone's relay.
	relayDelay = 3 * time.Second
)

// Controller keeps the configuration of one node. It implements config.Accepter.
type Controller struct {
	store store.Store
	board *blackboard.Board
	peers peer.Caller
	self  string
	// Log, when set before Run, keeps the decisions about versions, and why.
	Log *explain.Log
	// applying holds a token while a change is made through this node; changes are made one at a time.
	applying chan struct{}

	mu    sync.Mutex
	known confchain.Known
	// inForce is the entry of the version in force; its payload is the newest in payloads.
	inForce  confchain.Entry
	payloads map[int64]confchain.Payload
	// ready is closed once known.Ready is set.
	ready chan struct{}
	// fetching holds the version that a fetch in progress will bring.
	fetching int64
	spread   *dissemination.Spread
	// members is the view of revision viewed of the Members section.
	members dissemination.View
	viewed  int64
	// target is the accepted version as the store last showed it.
	target blackboard.Section[confchain.Entry]
}

var _ config.Accepter = (*Controller)(nil)

// New returns a controller. Register its Receiver as "Config" with the peer server.
func New(s store.Store, b *blackboard.Board, peers peer.Caller, self string) *Controller {
	return &Controller{
		store: s, board: b, peers: peers, self: self,
		payloads: map[int64]confchain.Payload{0: emptyPayload()}, ready: make(chan struct{}),
		applying: make(chan struct{}, 1), viewed: -1, spread: dissemination.NewSpread(),
	}
}

func emptyPayload() confchain.Payload {
	p, err := confchain.Encode(api.Config{})
	if err != nil {
		panic(err)
	}
	return p
}

// Ready returns a channel that is closed once this node knows the configuration in force.
func (c *Controller) Ready() <-chan struct{} { return c.ready }

// Accepted implements config.Accepter.
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
	group.Go(func() error { return c.start(ctx) })
	group.Go(func() error { return c.relay(ctx) })
	group.Go(func() error { return c.follow(ctx) })
	group.Go(func() error { return c.catchUp(ctx) })
	return group.Wait()
}

// view returns the live members.
func (c *Controller) view() dissemination.View {
	members, revision := c.board.Members.Get()
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision != c.viewed {
		c.viewed, c.members = revision, dissemination.ViewOf(members)
	}
	return c.members
}

// start reads the first version from the store, or from a quorum of the zone's peers while the store is down.
func (c *Controller) start(ctx context.Context) error {
	for pause := startRetry; ctx.Err() == nil; pause = min(2*pause, startRetryMax) {
		err := c.readHead(ctx)
		if err == nil {
			return nil
		}
		if c.startFromPeers(ctx) {
			return nil
		}
		if pause == startRetry {
			klog.Warningf("no configuration yet: %v", err)
		}
		wait(ctx, pause+rand.N(pause))
	}
	return ctx.Err()
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// readHead takes the accepted version from the store; an empty store is version 0.
func (c *Controller) readHead(ctx context.Context) error {
	o, err := c.store.Get(ctx, confchain.HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		c.markReady(0)
		return nil
	}
	if err != nil {
		return err
	}
	head, err := confchain.Decode(o.Value)
	if err != nil {
		return err
	}
	if err := c.take(ctx, head.History[0], ""); err != nil {
		return err
	}
	c.markReady(head.Version())
	return nil
}

// markReady records that this node learned the accepted version from the store or from a quorum. A version that
// a single peer sent comes into force, but does not make the node ready, since that peer may be behind.
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

// startFromPeers takes the highest version that a quorum of the zone's peers knows.
func (c *Controller) startFromPeers(ctx context.Context) bool {
	view := c.view()
	peers := view.Peers(c.self)
	if len(peers) == 0 {
		// The only node of its zone asks all members.
		peers = view.Others(c.self)
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
	if err := c.take(ctx, best.Entry, best.from); err != nil {
		klog.Warningf("configuration version %d from %s: %v", version, best.from, err)
		return false
	}
	c.markReady(version)
	return true
}

// relay watches the head while this node is a relay of its zone. All other nodes learn versions from peers.
func (c *Controller) relay(ctx context.Context) error {
	wait(ctx, relayDelay)
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
			_ = store.Follow(watching, c.store, confchain.HeadKey, c.seen)
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

// seen handles the head as the watch reports it.
func (c *Controller) seen(u store.Update) {
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
	head, err := confchain.Decode(value)
	if err != nil {
		klog.Errorf("%s: %v", confchain.HeadKey, err)
		return
	}
	c.target.Set(head.History[0])
}

// follow brings the version that the head names into force and starts the tree of the zone. A failure is tried
// again until it succeeds or a newer version replaces it: no later event may come.
func (c *Controller) follow(ctx context.Context) error {
	pause := startRetry
	for ctx.Err() == nil {
		entry, revision := c.target.Get()
		err := c.reach(ctx, entry)
		if err != nil {
			klog.Warningf("configuration version %d: %v", entry.Version, err)
			wait(ctx, pause+rand.N(pause))
			pause = min(2*pause, startRetryMax)
			continue
		}
		pause = startRetry
		select {
		case <-c.target.Changed(revision):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// reach takes the version of an entry that the store holds and passes it on as a relay.
func (c *Controller) reach(ctx context.Context, entry confchain.Entry) error {
	base := c.InForce()
	if entry.Version == 0 {
		return nil
	}
	if confchain.Takes(base, entry.Version) && entry.Node != "" {
		// The accepting node's push brings a delta; the payload in the store is the whole configuration.
		wait(ctx, pushGrace)
	}
	if err := c.take(ctx, entry, entry.Node); err != nil {
		return err
	}
	c.markReady(entry.Version)
	rank := c.view().RelayRank(c.self)
	if !confchain.Takes(base, entry.Version) || c.InForce() != entry.Version || rank < 0 {
		return nil
	}
	if rank > 0 {
		wait(ctx, secondRelayDelay)
	}
	c.announce(base, c.steps(func(v dissemination.View) []dissemination.Step {
		return c.spread.FromStore(v, c.self, uint64(entry.Version))
	}))
	return nil
}

// catchUp fetches from a live member that has a newer version in force, which the membership exchange reports.
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
			if err := c.pull(ctx, best.Name); err != nil {
				klog.V(1).Infof("fetch from %s: %v", best.Name, err)
				wait(ctx, startRetry+rand.N(startRetry))
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

// pull asks a peer for its version and takes it.
func (c *Controller) pull(ctx context.Context, from string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var r DigestReply
	if err := c.peers.Call(ctx, from, "Config.Digest", &DigestArgs{}, &r); err != nil {
		return err
	}
	return c.take(ctx, r.Entry, from)
}

// take brings an accepted version into force, with the payload from a peer or, failing that, from the store.
func (c *Controller) take(ctx context.Context, e confchain.Entry, from string) error {
	c.mu.Lock()
	c.known = c.known.Advance(e.Version, false)
	have := c.inForce.Version
	c.mu.Unlock()
	if !confchain.Takes(have, e.Version) {
		return nil
	}
	payload, source, err := c.payload(ctx, e, from)
	if err != nil {
		return err
	}
	return c.install(e, payload, source)
}

// payload returns the payload of an entry and where it is from.
func (c *Controller) payload(ctx context.Context, e confchain.Entry, from string) (p confchain.Payload, source string, err error) {
	c.mu.Lock()
	p, ok := c.payloads[e.Version]
	c.mu.Unlock()
	if ok && p.Verify(e) == nil {
		return p, "kept here", nil
	}
	var fault error
	if from != "" {
		fetching, cancel := context.WithTimeout(ctx, peerTimeout)
		p, err := c.fetch(fetching, e, from)
		cancel()
		if err == nil {
			return p, "fetched from " + from, nil
		}
		fault = err
	}
	if p, err = c.load(ctx, e); err != nil {
		return confchain.Payload{}, "", errors.Join(fault, err)
	}
	return p, "read from the store", nil
}

// install puts a payload into force unless a newer one is; versions only grow.
func (c *Controller) install(e confchain.Entry, p confchain.Payload, source string) error {
	if err := p.Verify(e); err != nil {
		return err
	}
	next, err := p.Config()
	if err != nil {
		return err
	}
	c.mu.Lock()
	if confchain.Takes(c.inForce.Version, e.Version) {
		c.inForce = e
		c.payloads[e.Version] = p
		for v := range c.payloads {
			if len(c.payloads) > keptInMemory && v == slices.Min(slices.Collect(maps.Keys(c.payloads))) {
				delete(c.payloads, v)
			}
		}
		c.board.Config.Set(next)
		c.record(e.Version, "in-force", source, e.Record)
	}
	c.mu.Unlock()
	return nil
}

// decisions counts what was decided on versions of the configuration.
var decisions = expvar.NewMap("configuration_decisions")

// record keeps a decision about a version.
func (c *Controller) record(version int64, decision, reason string, r config.Record) {
	decisions.Add(decision, 1)
	if c.Log != nil {
		c.Log.Record(explain.Entry{Configuration: strconv.FormatInt(version, 10), Decision: decision, Reason: reason,
			Values: map[string]any{"key": r.Key, "who": r.Who}})
	}
}

// load reads the payload of an entry from the store.
func (c *Controller) load(ctx context.Context, e confchain.Entry) (confchain.Payload, error) {
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

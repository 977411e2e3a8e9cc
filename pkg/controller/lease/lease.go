// Package lease acquires and renews this node's lease object, and decides from the lease objects of other nodes whether
// their roles may be taken over.
package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/lease"
)

const (
	// retryInterval is the minimum time between attempts after an error; up to half of it is added at random.
	retryInterval = time.Second
	// releaseTimeout bounds the release at shutdown; a lease that is not released expires.
	releaseTimeout = 2 * time.Second
)

// ErrSuperseded means that a process with the same node name started later and holds the lease.
var ErrSuperseded = lease.Error.New("another process holds the lease of this node name")

// Controller acquires and renews the lease of one node and writes the board's Lease section.
type Controller struct {
	store  store.Store
	board  *blackboard.Board
	params lease.Params
	self   lease.Record

	mu          sync.Mutex
	state       lease.State
	incarnation int64
	// acquired is set after the first acquisition. From then on a larger incarnation in the store means that this
	// process is superseded.
	acquired bool
}

// New returns a controller. self holds the node's name, zone, region, addresses and incarnation.
func New(s store.Store, b *blackboard.Board, self lease.Record, p lease.Params) *Controller {
	return &Controller{store: s, board: b, params: p, self: self, incarnation: self.Incarnation}
}

// Holds reports whether this node may act now under the token that Lease returned. Call it right before each effect,
// such as an order to an engine.
func (c *Controller) Holds() bool { return lease.Holds(c.board.Lease.Value(), time.Now()) }

// Lease returns this node's lease; Token is 0 when none is held.
func (c *Controller) Lease() blackboard.Lease { return c.board.Lease.Value() }

// Incarnation returns the incarnation that the lease is held with.
func (c *Controller) Incarnation() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation
}

// Run acquires and renews the lease until ctx ends. It does not release it: call Release once no effect can follow.
func (c *Controller) Run(ctx context.Context) error {
	ctx = store.WithPriority(ctx, store.PriorityLease)
	draining := c.board.Draining.Value()
	for ctx.Err() == nil {
		action, wait := c.params.Next(c.currentState(), time.Now())
		if now := c.board.Draining.Value(); action == lease.ActionWait && now != draining {
			action = lease.ActionRenew
		}
		draining = c.board.Draining.Value()
		var err error
		switch action {
		case lease.ActionAcquire:
			err = c.acquire(ctx)
		case lease.ActionRenew:
			err = c.renew(ctx)
		}
		if err != nil {
			klog.Warningf("lease %s: %v", action, err)
			wait = retryInterval + rand.N(retryInterval/2)
		}
		c.sleep(ctx, wait)
	}
	return ctx.Err()
}

// sleep returns after d, when the drain state changes, so that Run writes it without delay, or when ctx ends.
func (c *Controller) sleep(ctx context.Context, d time.Duration) {
	_, revision := c.board.Draining.Get()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.board.Draining.Changed(revision):
	case <-ctx.Done():
	}
}

// currentState returns the lease state.
func (c *Controller) currentState() lease.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// setState sets the lease state and publishes it on the board.
func (c *Controller) setState(s lease.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	c.board.Lease.Set(s.Lease())
}

// nextRecord returns the record to write with the given token and renewal number.
func (c *Controller) nextRecord(token, renewal int64) lease.Record {
	r := c.self
	r.Incarnation, r.Token, r.Renewal = c.Incarnation(), token, renewal
	r.Draining = c.board.Draining.Value()
	r.Expiry = time.Now().Add(c.params.Duration).UTC().Truncate(time.Millisecond)
	return r
}

// acquire writes the lease object on condition of its current revision. The new revision becomes the token.
func (c *Controller) acquire(ctx context.Context) error {
	c.setState(lease.State{})
	key := lease.Prefix + c.self.Name
	o, err := c.store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	expect := store.CreateOnly
	if err == nil {
		expect = o.Revision
		if old, err := lease.Decode(key, o.Value, o.Revision); err == nil {
			if err := c.checkReplaced(old); err != nil {
				return err
			}
		}
	}
	sent := time.Now()
	revision, err := c.store.Put(ctx, key, c.nextRecord(0, 0).Encode(), expect)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.acquired = true
	c.mu.Unlock()
	c.setState(c.params.Acquired(sent, revision))
	return nil
}

// checkReplaced compares the incarnation in the record that acquire is about to replace. The process that started last
// keeps the name: one that starts raises its incarnation above the record's, in case the clock went back between two
// starts, and one that held the lease before gets ErrSuperseded if the record's incarnation is larger.
func (c *Controller) checkReplaced(old lease.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old.Incarnation > c.incarnation || old.Incarnation == c.incarnation && !c.acquired {
		if c.acquired {
			return ErrSuperseded
		}
		c.incarnation = old.Incarnation + 1
	}
	return nil
}

// renew extends the lease. After a conflict it drops the lease, since another process wrote the object.
func (c *Controller) renew(ctx context.Context) error {
	s := c.currentState()
	key := lease.Prefix + c.self.Name
	sent := time.Now()
	// An answer after the deadline is useless, since the lease must be acquired again then.
	ctx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	revision, err := c.store.Put(ctx, key, c.nextRecord(s.Token, s.Renewal+1).Encode(), s.Revision)
	switch {
	case err == nil:
		c.setState(c.params.Renewed(s, sent, time.Now(), revision))
	case errors.Is(err, store.ErrConflict):
		c.setState(lease.State{})
	case errors.Is(err, store.ErrUnknown):
		// The write may have been applied, so the revision is not known. Reading it back keeps the token.
		return errors.Join(err, c.confirmRenewal(ctx, s, sent))
	}
	return err
}

// confirmRenewal reads the object to find out whether a renewal sent at sent was applied, and drops the lease if another
// process wrote the object.
func (c *Controller) confirmRenewal(ctx context.Context, s lease.State, sent time.Time) error {
	key := lease.Prefix + c.self.Name
	o, err := c.store.Get(ctx, key)
	if err != nil {
		return err
	}
	r, err := lease.Decode(key, o.Value, o.Revision)
	switch {
	case err != nil || r.Token != s.Token || r.Incarnation != c.Incarnation():
		c.setState(lease.State{})
	case r.Renewal == s.Renewal+1:
		c.setState(c.params.Renewed(s, sent, time.Now(), o.Revision))
	}
	return nil
}

// Release marks the lease as released after the last effect, so that other nodes need not wait for its expiry.
func (c *Controller) Release(ctx context.Context) error {
	s := c.currentState()
	if s.Token == 0 {
		return nil
	}
	c.setState(lease.State{})
	ctx, cancel := context.WithTimeout(store.WithPriority(ctx, store.PriorityLease), releaseTimeout)
	defer cancel()
	r := c.nextRecord(s.Token, s.Renewal+1)
	r.Released, r.Draining = true, true
	_, err := c.store.Put(ctx, lease.Prefix+c.self.Name, r.Encode(), s.Revision)
	return err
}

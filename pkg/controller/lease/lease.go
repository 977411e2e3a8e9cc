// Package lease keeps this node's lease object renewed and observes those of others.
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
	// retryInterval is the time between attempts while the store does not answer, plus up to half of it at random.
	retryInterval = time.Second
	// releaseTimeout bounds the release at shutdown; without it the lease runs out by itself.
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
	// acquired is set after the first acquisition; a later one never outbids a larger incarnation.
	acquired bool
}

// New returns a controller. self holds the node's name, zone, region, addresses and incarnation.
func New(s store.Store, b *blackboard.Board, self lease.Record, p lease.Params) *Controller {
	return &Controller{store: s, board: b, params: p, self: self, incarnation: self.Incarnation}
}

// Holds reports whether this node may act now under the token that Lease gave. Call it right before each effect.
func (c *Controller) Holds() bool { return lease.Holds(c.board.Lease.Value(), time.Now()) }

// Lease returns the own lease; Number is 0 when none is held.
func (c *Controller) Lease() blackboard.Lease { return c.board.Lease.Value() }

// Incarnation returns the incarnation that the lease is held with.
func (c *Controller) Incarnation() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation
}

// Run renews the lease until ctx ends. It does not release it: call Release once no effect can follow.
func (c *Controller) Run(ctx context.Context) error {
	ctx = store.WithPriority(ctx, store.PriorityLease)
	draining := c.board.Draining.Value()
	for ctx.Err() == nil {
		action, wait := c.params.Next(c.current(), time.Now())
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

// sleep waits for d, or until the node starts to drain, which renews the record at once.
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

func (c *Controller) current() lease.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *Controller) set(s lease.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	c.board.Lease.Set(s.Lease())
}

// record returns the value of the next write.
func (c *Controller) record(token, renewal int64) lease.Record {
	r := c.self
	r.Incarnation, r.Token, r.Renewal = c.Incarnation(), token, renewal
	r.Draining = c.board.Draining.Value()
	r.Expiry = time.Now().Add(c.params.Duration).UTC().Truncate(time.Millisecond)
	return r
}

// acquire writes the object under a new token.
func (c *Controller) acquire(ctx context.Context) error {
	c.set(lease.State{})
	key := lease.Prefix + c.self.Name
	o, err := c.store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	expect := store.CreateOnly
	if err == nil {
		expect = o.Revision
		if old, err := lease.Decode(key, o.Value, o.Revision); err == nil {
			if err := c.succeed(old); err != nil {
				return err
			}
		}
	}
	sent := time.Now()
	revision, err := c.store.Put(ctx, key, c.record(0, 0).Encode(), expect)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.acquired = true
	c.mu.Unlock()
	c.set(c.params.Acquired(sent, revision))
	return nil
}

// succeed checks the record that is about to be replaced. The process that started last keeps the name, even
// when the clock went back between two starts.
func (c *Controller) succeed(old lease.Record) error {
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

// renew extends the lease. A conflict means that another process wrote the object, so the token is given up.
func (c *Controller) renew(ctx context.Context) error {
	s := c.current()
	key := lease.Prefix + c.self.Name
	sent := time.Now()
	// A renewal that is answered after the deadline is useless; the attempt ends there and the next acquires.
	ctx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	revision, err := c.store.Put(ctx, key, c.record(s.Token, s.Renewal+1).Encode(), s.Revision)
	switch {
	case err == nil:
		c.set(c.params.Renewed(s, sent, time.Now(), revision))
	case errors.Is(err, store.ErrConflict):
		c.set(lease.State{})
	case errors.Is(err, store.ErrUnknown):
		// The write may have been applied, so the revision is not known. Reading it back keeps the token.
		return errors.Join(err, c.reread(ctx, s, sent))
	}
	return err
}

// reread finds out whether a renewal sent at sent was applied, and gives up the token when another process wrote.
func (c *Controller) reread(ctx context.Context, s lease.State, sent time.Time) error {
	key := lease.Prefix + c.self.Name
	o, err := c.store.Get(ctx, key)
	if err != nil {
		return err
	}
	r, err := lease.Decode(key, o.Value, o.Revision)
	switch {
	case err != nil || r.Token != s.Token || r.Incarnation != c.Incarnation():
		c.set(lease.State{})
	case r.Renewal == s.Renewal+1:
		c.set(c.params.Renewed(s, sent, time.Now(), o.Revision))
	}
	return nil
}

// Release gives the lease up after the last effect, so that others need not wait for its expiry.
func (c *Controller) Release(ctx context.Context) error {
	s := c.current()
	if s.Token == 0 {
		return nil
	}
	c.set(lease.State{})
	ctx, cancel := context.WithTimeout(store.WithPriority(ctx, store.PriorityLease), releaseTimeout)
	defer cancel()
	r := c.record(s.Token, s.Renewal+1)
	r.Released, r.Draining = true, true
	_, err := c.store.Put(ctx, lease.Prefix+c.self.Name, r.Encode(), s.Revision)
	return err
}

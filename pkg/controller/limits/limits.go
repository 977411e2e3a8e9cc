// Package limits drives the rate and concurrency limits of institutions over all nodes: it serves grants for the
// institutions that this node owns and spends grants of the owners of the others.
package limits

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/singleflight"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/ratelimit"
	"trefoilplank.example/pkg/explain"
)

// Error is the class of the errors of this package.
var Error = errs.Class("limits")

const (
	// ownerSilence is how long a request waits for the limit owner's answer (design section 6.1).
	ownerSilence = 5 * time.Millisecond
	// silencePause is how long a silent owner is not asked again.
	silencePause = 100 * time.Millisecond
	// renewInterval keeps concurrency grants well within ratelimit.SlotLife.
	renewInterval = time.Second
	// idleAfter is when the bucket and allocator of an institution without requests are forgotten.
	idleAfter = time.Minute
)

// Options are the collaborators of a Controller.
type Options struct {
	// Self is the name of this node.
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	// Registrar gets the receiver "Limits"; nil when the node has no peers.
	Registrar peer.Registrar
	// Log records refusals; nil records none.
	Log *explain.Log
}

// Controller applies the limits on this node. It is safe for concurrent use.
type Controller struct {
	Options
	flight singleflight.Group

	mu         sync.Mutex
	buckets    map[string]*bucket
	allocators map[string]*allocator
	silent     map[string]time.Time
	owners     owners
	// renewedAt is the time of the last pass of renew, and live the members then.
	renewedAt time.Time
	live      map[string]blackboard.Member

	life       context.Context
	end        context.CancelFunc
	background sync.WaitGroup
}

type bucket struct {
	ratelimit.LocalBucket
	used time.Time
	// owner is the process that granted the concurrency.
	owner process
	// asking is set while a grant is asked for ahead of need, and asks counts the calls to the owner in progress.
	asking bool
	asks   int
	// renewing is closed when the renewal in progress has ended; nil without one.
	renewing chan struct{}
}

// process is a node from one start to the next: an owner that was restarted knows nothing of earlier grants.
type process struct {
	node        string
	incarnation int64
}

// processOf returns the process that a node runs now.
func (c *Controller) processOf(node string) process {
	return process{node, c.Board.Members.Value().Live[node].Incarnation}
}

type allocator struct {
	*ratelimit.Allocator
	used time.Time
}

// New returns a controller and registers its receiver.
func New(o Options) (*Controller, error) {
	c := &Controller{Options: o, buckets: map[string]*bucket{}, allocators: map[string]*allocator{}, silent: map[string]time.Time{}}
	c.life, c.end = context.WithCancel(context.Background())
	if o.Registrar != nil {
		if err := o.Registrar.Register("Limits", &Service{c}); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return c, nil
}

// Run renews concurrency grants until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.end()
			c.background.Wait()
			return nil
		case <-tick.C:
			c.renew()
		}
	}
}

// limit returns the limit of an institution in the configuration in force.
func (c *Controller) limit(institution string) ratelimit.Limit {
	rules, _ := c.Board.Config.Value().Rules.ForInstitution(institution)
	return ratelimit.LimitOf(rules.Rate)
}

// bucket returns the bucket of an institution; c.mu is held.
func (c *Controller) bucket(institution string, now time.Time) *bucket {
	p, ok := c.buckets[institution]
	if !ok {
		p = &bucket{}
		c.buckets[institution] = p
	}
	p.used = now
	return p
}

// Take books one request of the institution. An error is an *api.Error with status 429 and a retry time.
func (c *Controller) Take(ctx context.Context, institution string) error {
	lim := c.limit(institution)
	if lim.Rate <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.bucket(institution, time.Now())
	p.Arrive(time.Now())
	v, retry := p.Take(time.Now())
	p.WaitForToken(1)
	defer p.WaitForToken(-1)
	// An ask counts all requests that wait; one that was sent before this request came may bring too few tokens.
	for v == ratelimit.AskOwner && ctx.Err() == nil {
		c.mu.Unlock()
		err := c.ask(ctx, institution, 1, 0)
		c.mu.Lock()
		if err != nil {
			ok, retry := p.TakeFairShare(time.Now(), lim, c.liveNodes())
			if ok {
				return nil
			}
			return c.refuse(institution, "request rate", "limit owner is silent; fair share is used up", retry)
		}
		v, retry = p.Take(time.Now())
	}
	if v == ratelimit.Pass {
		if p.Low(time.Now()) {
			c.askAhead(institution, p)
		}
		return nil
	}
	return c.refuse(institution, "request rate", "limit over all nodes is reached", max(retry, time.Duration(float64(time.Second)/lim.Rate)))
}

// Enter books one request in flight; leave ends it. An error is an *api.Error with status 429 and a retry time.
func (c *Controller) Enter(ctx context.Context, institution string) (leave func(), err error) {
	lim := c.limit(institution)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.bucket(institution, time.Now())
	if !p.Enter(time.Now(), lim) && !c.enterWithGrant(ctx, institution, p, lim) {
		return nil, c.refuse(institution, "concurrency", "limit over all nodes is reached", time.Second)
	}
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.Leave()
	}), nil
}

// enterWithGrant asks the owner for slots until the request has one or the owner grants fewer than asked for. One
// answer may not be enough: an ask that was sent before the request arrived does not count it. c.mu is held.
func (c *Controller) enterWithGrant(ctx context.Context, institution string, p *bucket, lim ratelimit.Limit) bool {
	p.Wait(1)
	defer p.Wait(-1)
	for {
		c.mu.Unlock()
		err := c.ask(ctx, institution, 0, slotsAhead)
		c.mu.Lock()
		if err != nil {
			return p.EnterFairShare(time.Now(), lim, c.liveNodes())
		}
		if p.Enter(time.Now(), lim) {
			return true
		}
		if p.Short() || ctx.Err() != nil {
			return false
		}
	}
}

// slotsAhead is the concurrency asked for beyond the requests in flight: one more than needed at once, so that
// a steady arrival asks the owner every second time, and little is held idle.
const slotsAhead = 2

// ask asks the limit owner for a grant. Concurrent calls for an institution share one call to the owner: two at once
// would return in any order, and the older answer would take back slots of the newer one.
func (c *Controller) ask(ctx context.Context, institution string, least float64, moreSlots int) error {
	_, err, _ := c.flight.Do(institution, func() (any, error) {
		return nil, c.askOnce(context.WithoutCancel(ctx), institution, least, moreSlots)
	})
	return err
}

func (c *Controller) askOnce(ctx context.Context, institution string, least float64, moreSlots int) error {
	owner := c.owner(institution)
	c.mu.Lock()
	p := c.bucket(institution, time.Now())
	for p.renewing != nil {
		// A renewal that returned after this call would take back the slots that this call brings.
		renewed := p.renewing
		c.mu.Unlock()
		<-renewed
		c.mu.Lock()
	}
	now := time.Now()
	if now.Before(c.silent[owner]) {
		c.mu.Unlock()
		return peer.ErrUnreachable
	}
	p.asks++
	granting := c.processOf(owner)
	args := &GrantArgs{Node: c.Self, Institution: institution, Ask: p.Ask(now, least, moreSlots)}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, ownerSilence)
	defer cancel()
	reply := &GrantReply{}
	var err error
	if owner == c.Self {
		err = (&Service{c}).Grant(args, reply)
	} else {
		err = c.Peers.Call(ctx, owner, "Limits.Grant", args, reply)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.asks--
	if err != nil {
		c.silent[owner] = time.Now().Add(silencePause)
		return Error.Wrap(err)
	}
	delete(c.silent, owner)
	p.Granted(time.Now(), reply.Grant)
	p.owner = granting
	return nil
}

// askAhead asks for a grant without making the request wait; c.mu is held.
func (c *Controller) askAhead(institution string, p *bucket) {
	if p.asking || c.life.Err() != nil {
		return
	}
	p.asking = true
	c.background.Go(func() {
		_ = c.ask(c.life, institution, 1, 0)
		c.mu.Lock()
		p.asking = false
		c.mu.Unlock()
	})
}

// owner returns the limit owner of an institution.
func (c *Controller) owner(institution string) string {
	return c.owners.of(&c.Board.Members, institution)
}

func (c *Controller) liveNodes() int { return len(c.Board.Members.Value().Live) }

func (c *Controller) refuse(institution, what, why string, retry time.Duration) *api.Error {
	if c.Log != nil {
		c.Log.Record(explain.Entry{Decision: "limit", Reason: what + ": " + why,
			Values: map[string]any{"institution": institution, "retry_after_ms": retry.Milliseconds()}})
	}
	e := api.Errorf(http.StatusTooManyRequests, api.CodeRateLimited, api.NotRun, "%s limit of institution %s reached", what, institution)
	e.RetryAfter = retry
	return e
}

// GrantArgs asks the limit owner of an institution for a grant.
type GrantArgs struct {
	Node        string
	Institution string
	Ask         ratelimit.Ask
}

// GrantReply answers GrantArgs.
type GrantReply struct{ Grant ratelimit.Grant }

// Service is the net/rpc receiver "Limits".
type Service struct{ c *Controller }

// Grant decides on a node's ask.
func (s *Service) Grant(a *GrantArgs, reply *GrantReply) error {
	reply.Grant = s.c.grant(a.Node, a.Institution, a.Ask)
	return nil
}

// grant decides on an ask as the limit owner.
func (c *Controller) grant(node, institution string, ask ratelimit.Ask) ratelimit.Grant {
	now, lim := time.Now(), c.limit(institution)
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.allocators[institution]
	if !ok {
		l = &allocator{Allocator: ratelimit.NewAllocator()}
		c.allocators[institution] = l
	}
	l.used = now
	return l.Grant(now, lim, node, ask)
}

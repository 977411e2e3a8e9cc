// Package limits enforces the rate and concurrency limits of institutions over all nodes. It grants tokens and slots for
// the institutions whose limit owner this node is, and uses the grants of the limit owners of the others.
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
	// ownerTimeout is how long a request waits for the limit owner's answer (design section 6.1).
	ownerTimeout = 5 * time.Millisecond
	// ownerBackoff is how long an owner that did not answer is not asked again.
	ownerBackoff = 100 * time.Millisecond
	// renewInterval is the time between checks for renewals. It is well below ratelimit.SlotLife, so that concurrency
	// grants do not expire.
	renewInterval = time.Second
	// idleAfter is the time without requests after which the bucket and the allocator of an institution are dropped.
	idleAfter = time.Minute
)

// Options configures a Controller.
type Options struct {
	// Self is the name of this node.
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	// Registrar gets the receiver "Limits"; nil when the node has no peers.
	Registrar peer.Registrar
	// Log records refusals; if it is nil, none are recorded.
	Log *explain.Log
}

// Controller enforces the limits on this node. It is safe for concurrent use.
type Controller struct {
	Options
	calls singleflight.Group

	mu           sync.Mutex
	buckets      map[string]*bucket
	allocators   map[string]*allocator
	backoffUntil map[string]time.Time
	owners       owners
	// renewedAt is the time of the last call of renew, and live the live members at that time.
	renewedAt time.Time
	live      map[string]blackboard.Member

	runCtx          context.Context
	cancelRunCtx    context.CancelFunc
	backgroundCalls sync.WaitGroup
}

type bucket struct {
	ratelimit.LocalBucket
	usedAt time.Time
	// grantedBy is the process that granted the concurrency.
	grantedBy process
	// askingAhead is set while a grant is requested ahead of need. asks counts the calls to the owner in progress.
	askingAhead bool
	asks        int
	// renewing is closed when the renewal in progress ends; nil if there is none.
	renewing chan struct{}
}

// process identifies one process of a node. An owner that was restarted knows nothing of earlier grants.
type process struct {
	node        string
	incarnation int64
}

// processOf returns the current process of a node.
func (c *Controller) processOf(node string) process {
	return process{node, c.Board.Members.Value().Live[node].Incarnation}
}

type allocator struct {
	*ratelimit.Allocator
	usedAt time.Time
}

// New returns a controller and registers its receiver.
func New(o Options) (*Controller, error) {
	c := &Controller{Options: o, buckets: map[string]*bucket{}, allocators: map[string]*allocator{}, backoffUntil: map[string]time.Time{}}
	c.runCtx, c.cancelRunCtx = context.WithCancel(context.Background())
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
			c.cancelRunCtx()
			c.backgroundCalls.Wait()
			return nil
		case <-tick.C:
			c.renew()
		}
	}
}

// limitOf returns the limit of an institution in the configuration in force.
func (c *Controller) limitOf(institution string) ratelimit.Limit {
	rules, _ := c.Board.Config.Value().Rules.ForInstitution(institution)
	return ratelimit.LimitFromRules(rules.Rate)
}

// bucket returns the bucket of an institution; c.mu is held.
func (c *Controller) bucket(institution string, now time.Time) *bucket {
	b, ok := c.buckets[institution]
	if !ok {
		b = &bucket{}
		c.buckets[institution] = b
	}
	b.usedAt = now
	return b
}

// TakeToken counts one request against the institution's request rate. Its error is an *api.Error with status 429 and a
// retry time.
func (c *Controller) TakeToken(ctx context.Context, institution string) error {
	lim := c.limitOf(institution)
	if lim.Rate <= 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.bucket(institution, time.Now())
	b.Arrive(time.Now())
	v, retry := b.Take(time.Now())
	b.AddWaitingForToken(1)
	defer b.AddWaitingForToken(-1)
	// A call to the owner asks for tokens for all requests that wait. A call that was sent before this request arrived
	// may bring too few.
	for v == ratelimit.AskOwner && ctx.Err() == nil {
		c.mu.Unlock()
		err := c.ask(ctx, institution, 1, 0)
		c.mu.Lock()
		if err != nil {
			ok, retry := b.TakeFairShare(time.Now(), lim, c.liveNodes())
			if ok {
				return nil
			}
			return c.refuse(institution, "request rate", "limit owner did not answer and this node's fair share is used up", retry)
		}
		v, retry = b.Take(time.Now())
	}
	if v == ratelimit.Pass {
		if b.TokensLow(time.Now()) {
			c.askAhead(institution, b)
		}
		return nil
	}
	return c.refuse(institution, "request rate", "limit over all nodes is reached", max(retry, time.Duration(float64(time.Second)/lim.Rate)))
}

// Enter counts one request in flight against the institution's concurrency; leave ends it. Its error is an *api.Error
// with status 429 and a retry time.
func (c *Controller) Enter(ctx context.Context, institution string) (leave func(), err error) {
	lim := c.limitOf(institution)
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.bucket(institution, time.Now())
	if !b.Enter(time.Now(), lim) && !c.enterWithGrant(ctx, institution, b, lim) {
		return nil, c.refuse(institution, "concurrency", "limit over all nodes is reached", time.Second)
	}
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		b.Leave()
	}), nil
}

// enterWithGrant asks the owner for slots until the request has one or the owner grants fewer than asked for. One answer
// may not be enough, since a call that was sent before the request arrived does not include it. If the owner does not
// answer, the node's fair share decides. c.mu is held, but not during calls.
func (c *Controller) enterWithGrant(ctx context.Context, institution string, b *bucket, lim ratelimit.Limit) bool {
	b.AddWaiting(1)
	defer b.AddWaiting(-1)
	for {
		c.mu.Unlock()
		err := c.ask(ctx, institution, 0, slotsAhead)
		c.mu.Lock()
		if err != nil {
			return b.EnterFairShare(time.Now(), lim, c.liveNodes())
		}
		if b.Enter(time.Now(), lim) {
			return true
		}
		if b.SlotsShort() || ctx.Err() != nil {
			return false
		}
	}
}

// slotsAhead is the number of slots asked for beyond the requests in flight: one more than is needed at once, so that
// with steady arrivals only every second request needs a call to the owner, and few slots are held idle.
const slotsAhead = 2

// ask asks the limit owner for a grant of at least minTokens tokens, and of moreSlots slots beyond those in flight.
// Concurrent callers for an institution share one call to the owner: two calls at once could return in any order, and the
// older answer would take back slots of the newer one.
func (c *Controller) ask(ctx context.Context, institution string, minTokens float64, moreSlots int) error {
	_, err, _ := c.calls.Do(institution, func() (any, error) {
		return nil, c.askOnce(context.WithoutCancel(ctx), institution, minTokens, moreSlots)
	})
	return err
}

// askOnce makes one call to the limit owner and adds the grant to the bucket.
func (c *Controller) askOnce(ctx context.Context, institution string, minTokens float64, moreSlots int) error {
	owner := c.owner(institution)
	c.mu.Lock()
	b := c.bucket(institution, time.Now())
	for b.renewing != nil {
		// If the renewal returned after this call, it would take back the slots that this call brings.
		renewed := b.renewing
		c.mu.Unlock()
		<-renewed
		c.mu.Lock()
	}
	now := time.Now()
	if now.Before(c.backoffUntil[owner]) {
		c.mu.Unlock()
		return peer.ErrUnreachable
	}
	b.asks++
	owningProcess := c.processOf(owner)
	args := &GrantArgs{Node: c.Self, Institution: institution, Ask: b.Ask(now, minTokens, moreSlots)}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
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
	b.asks--
	if err != nil {
		c.backoffUntil[owner] = time.Now().Add(ownerBackoff)
		return Error.Wrap(err)
	}
	delete(c.backoffUntil, owner)
	b.Granted(time.Now(), reply.Grant)
	b.grantedBy = owningProcess
	return nil
}

// askAhead asks for a grant in the background, before the tokens are used up; c.mu is held.
func (c *Controller) askAhead(institution string, b *bucket) {
	if b.askingAhead || c.runCtx.Err() != nil {
		return
	}
	b.askingAhead = true
	c.backgroundCalls.Go(func() {
		_ = c.ask(c.runCtx, institution, 1, 0)
		c.mu.Lock()
		b.askingAhead = false
		c.mu.Unlock()
	})
}

// owner returns the limit owner of an institution.
func (c *Controller) owner(institution string) string {
	return c.owners.of(&c.Board.Members, institution)
}

func (c *Controller) liveNodes() int { return len(c.Board.Members.Value().Live) }

// refuse records the refusal and returns the error for it.
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

// Grant decides what a node gets of an institution's limit.
func (s *Service) Grant(a *GrantArgs, reply *GrantReply) error {
	reply.Grant = s.c.grant(a.Node, a.Institution, a.Ask)
	return nil
}

// grant decides, as the limit owner, what a node gets of an institution's limit.
func (c *Controller) grant(node, institution string, ask ratelimit.Ask) ratelimit.Grant {
	now, lim := time.Now(), c.limitOf(institution)
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.allocators[institution]
	if !ok {
		l = &allocator{Allocator: ratelimit.NewAllocator()}
		c.allocators[institution] = l
	}
	l.usedAt = now
	return l.Grant(now, lim, node, ask)
}

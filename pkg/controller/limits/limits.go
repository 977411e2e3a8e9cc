// Package limits holds the rate and concurrency limits of institutions over all nodes.
package limits

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/explain"
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
	mu       sync.Mutex
	buckets  map[string]*rate.Limiter
	inFlight map[string]int
}

// New returns a controller.
func New(o Options) (*Controller, error) {
	return &Controller{Options: o, buckets: map[string]*rate.Limiter{}, inFlight: map[string]int{}}, nil
}

// Run keeps grants current until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Take books one request of the institution. An error is an *api.Error with status 429 and a retry time.
func (c *Controller) Take(_ context.Context, institution string) error {
	rules, ok := c.Board.Config.Value().Rules.ForInstitution(institution)
	if !ok || rules.Rate.RequestsPerSecond <= 0 {
		return nil
	}
	share := 1 / float64(max(1, len(c.Board.Members.Value().Live)))
	burst := float64(rules.Rate.Burst)
	if burst == 0 {
		burst = rules.Rate.RequestsPerSecond
	}
	c.mu.Lock()
	l, ok := c.buckets[institution]
	if !ok {
		l = rate.NewLimiter(0, 0)
		c.buckets[institution] = l
	}
	l.SetLimit(rate.Limit(rules.Rate.RequestsPerSecond * share))
	l.SetBurst(max(1, int(burst*share)))
	c.mu.Unlock()
	if l.Allow() {
		return nil
	}
	return refusal(institution, "request rate", time.Second)
}

// Enter books one request in flight; leave ends it. An error is an *api.Error with status 429.
func (c *Controller) Enter(_ context.Context, institution string) (leave func(), err error) {
	rules, _ := c.Board.Config.Value().Rules.ForInstitution(institution)
	bound := rules.Rate.Concurrency
	c.mu.Lock()
	defer c.mu.Unlock()
	share := max(1, bound/max(1, len(c.Board.Members.Value().Live)))
	if bound > 0 && c.inFlight[institution] >= share {
		return nil, refusal(institution, "concurrency", time.Second)
	}
	c.inFlight[institution]++
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inFlight[institution]--
	}), nil
}

func refusal(institution, what string, retry time.Duration) *api.Error {
	e := api.Errorf(http.StatusTooManyRequests, api.CodeRateLimited, api.NotRun, "%s limit of institution %s reached", what, institution)
	e.RetryAfter = retry
	return e
}

package service

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/serving"
)

const (
	// probeTimeout bounds the call that asks whether an upstream still answers.
	probeTimeout = 250 * time.Millisecond
	// siblingWait is how long the other calls of an upstream may take to break as well when it dies.
	siblingWait = 30 * time.Millisecond
	// aliveFor is how long an answer of an upstream shows that it lives. It is short, since requests that meet
	// upstreams which went down before them must not become suspects. With 500 calls/s over 12 upstreams each
	// answers every 24 ms.
	aliveFor = 500 * time.Millisecond
)

// flight is a call in progress.
type flight struct {
	owner        *flights
	upstream, id string
	answers      chan *Answer
	started      time.Time
	// cancel ends the call's own round trip.
	cancel context.CancelFunc
	// settled and abandon are guarded by owner.mu.
	settled bool
	abandon *time.Timer
	ended   bool
	// brokenAt is when the connection broke, guarded by owner.mu.
	brokenAt time.Time
}

// flights holds the calls in progress of all upstreams.
type flights struct {
	mu         sync.Mutex
	byUpstream map[string][]*flight
	// aliveAt is the time of the last answer by upstream; a broken connection removes it.
	aliveAt map[string]time.Time
}

func (s *flights) answered(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aliveAt == nil {
		s.aliveAt = map[string]time.Time{}
	}
	s.aliveAt[upstream] = time.Now()
}

func (s *flights) recentlyAlive(upstream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.aliveAt[upstream]) < aliveFor
}

func (s *flights) add(upstream, id string, cancel context.CancelFunc) *flight {
	f := &flight{
		owner: s, upstream: upstream, id: id, started: time.Now(), cancel: cancel,
		answers: make(chan *Answer, 1),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byUpstream == nil {
		s.byUpstream = map[string][]*flight{}
	}
	s.byUpstream[upstream] = append(s.byUpstream[upstream], f)
	return f
}

// settle records that the call's own round trip has ended.
func (f *flight) settle() {
	f.owner.mu.Lock()
	defer f.owner.mu.Unlock()
	f.settled = true
	if f.abandon != nil {
		f.abandon.Stop()
	}
}

// end removes the call and drops an answer that nobody took.
func (f *flight) end() {
	s := f.owner
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	left := slices.DeleteFunc(s.byUpstream[f.upstream], func(o *flight) bool { return o == f })
	if len(left) == 0 {
		delete(s.byUpstream, f.upstream)
	} else {
		s.byUpstream[f.upstream] = left
	}
	select {
	case a := <-f.answers:
		a.Body.Close()
		a.cancel()
	default:
	}
}

// take gives the call an answer that arrived on another connection; false when it has one already or has ended.
// The call's own connection may carry the answer of that other call, and has matchWait to do so. owner.mu is held.
func (f *flight) take(a *Answer) bool {
	if f.ended {
		return false
	}
	select {
	case f.answers <- a:
		if !f.settled {
			f.abandon = time.AfterFunc(matchWait, f.cancel)
		}
		return true
	default:
		return false
	}
}

// deliver hands an answer to a call with that id; false when there is none that waits.
func (s *flights) deliver(upstream, id string, a *Answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.byUpstream[upstream] {
		if f.id == id && f.take(a) {
			return true
		}
	}
	return false
}

// siblings counts the other calls that were in progress when f broke, by whether they broke as well.
func (s *flights) siblings(f *flight) (broken, alive int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.byUpstream[f.upstream] {
		switch {
		case o == f || o.started.After(f.brokenAt):
		case o.brokenAt.IsZero():
			alive++
		default:
			broken++
		}
	}
	return broken, alive
}

// evidence is what a call saw of its own connection before it broke.
type evidence struct {
	// reused is set when the connection had served another call before.
	reused bool
	// answered is set when the headers of the answer had arrived.
	answered bool
}

// broken decides whether a broken connection means that the upstream died. A dead upstream refuses a new
// connection or breaks all its calls together. An upstream that answers a probe and keeps its other calls lives.
// A single call that breaks without an answer on a fresh connection counts as a death although the probe
// succeeds, because a process that restarts quickly looks the same and the price of that error is only that the
// request next runs alone.
func (c *Client) broken(ctx context.Context, u api.Upstream, f *flight, e evidence, cause error) error {
	c.flights.mu.Lock()
	f.brokenAt = time.Now()
	delete(c.flights.aliveAt, u.Name)
	c.flights.mu.Unlock()
	if c.dead(ctx, u, f, e) {
		return errs.Combine(serving.ErrUpstreamDied, serving.ErrInterrupted, cause)
	}
	return errs.Combine(serving.ErrInterrupted, cause)
}

func (c *Client) dead(ctx context.Context, u api.Upstream, f *flight, e evidence) bool {
	if !c.Alive(ctx, u) {
		return true
	}
	timer := time.NewTimer(siblingWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	switch broken, alive := c.flights.siblings(f); {
	case alive > 0:
		return false
	case broken > 0:
		return true
	default:
		return !e.reused && !e.answered
	}
}

// Alive asks the upstream for its load on a connection of its own. A probe that times out counts as alive: a
// slow or unreachable upstream is not known to have died.
func (c *Client) Alive(ctx context.Context, u api.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+"/load", nil)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
	}
	resp.Body.Close()
	return true
}

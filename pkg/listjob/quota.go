package listjob

import (
	"context"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/quota"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/wait"
)

// ErrTooLarge means that a job is larger than the limit on the waiting tokens of its route and will never be accepted. It
// accompanies ErrRefused.
var ErrTooLarge = Error.New("job is larger than the limit on waiting tokens")

// FullError means that a job does not fit into the limit on the waiting tokens of its route now. It matches ErrRefused.
type FullError struct {
	// RetryAfter is when the job is likely to fit.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string {
	return "list job: limit on waiting tokens reached, retry in " + e.RetryAfter.String()
}

// Is reports whether the target is ErrRefused.
func (e *FullError) Is(target error) bool { return target == ErrRefused }

const (
	// withdrawTimeout bounds one attempt to withdraw a job that does not fit, and withdrawRetry is the pause between attempts.
	withdrawTimeout, withdrawRetry = 2 * time.Second, 300 * time.Millisecond
	// hubWaitingTimeout bounds the question to the hub how many tokens wait.
	hubWaitingTimeout = 150 * time.Millisecond
	// markDoneTimeout bounds the write that marks a job as done.
	markDoneTimeout = 3 * time.Second
)

func totalTokens(items []Item) int64 {
	sum := int64(0)
	for _, it := range items {
		sum += int64(it.Tokens)
	}
	return sum
}

// batchRoute returns the route of a job, or nil.
func (c *Controller) batchRoute(host, path string) *routing.Route {
	table := c.options.Table()
	if table == nil {
		return nil
	}
	return table.Match(host, path)
}

// waitingLimit returns the limit on the waiting tokens of a job's route, 0 if there is none.
func (c *Controller) waitingLimit(host, path string) int64 {
	if r := c.batchRoute(host, path); r != nil {
		return r.MaxWaitingTokens
	}
	return 0
}

// Waiting returns what waits of this node's jobs on routes with a limit on waiting tokens, by job. A finished job is included,
// with 0, until its stored head says that it is done.
func (c *Controller) Waiting() map[string]quota.Waiting {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waiting map[string]quota.Waiting
	for id, j := range c.jobs {
		route := c.batchRoute(j.head.Host, j.head.Path)
		if route == nil || route.MaxWaitingTokens == 0 {
			continue
		}
		j.mu.Lock()
		if !j.head.Done && !j.head.Ended && !j.released {
			if waiting == nil {
				waiting = map[string]quota.Waiting{}
			}
			waiting[id] = quota.Waiting{Route: limitName(route.Name, j.head.Customer), Tokens: j.waitingTokens()}
		}
		j.mu.Unlock()
	}
	return waiting
}

// waitingTokens returns the tokens of the unfinished items. The caller holds j.mu.
func (j *job) waitingTokens() int64 {
	sum := int64(0)
	for _, it := range j.items {
		if it.phase == waiting || it.phase == running {
			sum += int64(it.Tokens)
		}
	}
	return sum
}

// beginDecision marks a job as undecided. isFirst is false if another call decides on it; decided is closed with the
// decision.
func (c *Controller) beginDecision(id string) (decided chan struct{}, isFirst bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if decided, ok := c.undecided[id]; ok {
		return decided, false
	}
	decided = make(chan struct{})
	c.undecided[id] = decided
	return decided, true
}

// endDecision ends the decision on a job, unless the job is to be withdrawn and that is not stored yet.
func (c *Controller) endDecision(id string, decided chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current, ok := c.undecided[id]; ok && !c.withdrawing[id] && current == decided {
		delete(c.undecided, id)
		close(decided)
	}
}

// awaitDecision waits for the decision that another call makes on the same job.
func (c *Controller) awaitDecision(ctx context.Context, id string, decided chan struct{}) error {
	select {
	case <-decided:
	case <-ctx.Done():
		return errors.Join(ErrUnknown, ctx.Err())
	}
	if c.ownedJob(id) != nil {
		return nil
	}
	return errors.Join(ErrUnknown, Error.New("another submission of the job was not accepted"))
}

// ownerHasJob reports whether another node confirms that it runs a job, which implies that the job was accepted.
func (c *Controller) ownerHasJob(ctx context.Context, jobOwner owner, id string) bool {
	if jobOwner.Node == c.self().Node || !c.options.Fleet.Alive(jobOwner.Node, jobOwner.Incarnation) {
		return false
	}
	var reply ReadReply
	err := c.callOwner(ctx, jobOwner, id, "Jobs.Read", ReadArgs{ID: id, After: math.MaxInt}, 0, &reply)
	return err == nil && reply.Found
}

// checkExisting returns the answer to the submission of a job whose head another submission has stored.
func (c *Controller) checkExisting(ctx context.Context, s Submission) error {
	if c.waitingLimit(s.Host, s.Path) > 0 {
		h, _, err := c.readHead(ctx, s.ID)
		if err != nil {
			return errors.Join(ErrUnknown, err)
		}
		if !h.Done && !h.Ended && c.ownedJob(s.ID) == nil && !c.ownerHasJob(ctx, owner{h.Owner, h.Incarnation}, s.ID) {
			c.options.Log.Notice("job not stored for certain, it may have been accepted", "job", s.ID, "owner", h.Owner)
			return errors.Join(ErrUnknown, Error.New("the job's owner has not confirmed it"))
		}
	}
	c.options.Log.Routine("job is already accepted", "job", s.ID)
	return nil
}

// fullMemory is how long the refusal of a job stands for further jobs of at least its size, which then cost no call to the
// store: tokens that are given back must be available within a second.
const fullMemory = 400 * time.Millisecond

// lastRefusal is the last refusal of a job on a route because of its limit.
type lastRefusal struct {
	until  time.Time
	tokens int64
	err    *FullError
}

// refuseEarly returns the error for a job that certainly or most probably does not fit, before anything of it is stored, or
// nil: if a job of at most its size was refused a short time ago, or if it does not fit by what the nodes reported to the hub.
func (c *Controller) refuseEarly(ctx context.Context, s Submission) error {
	route, tokens := c.batchRoute(s.Host, s.Path), totalTokens(s.Items)
	c.mu.Lock()
	last, ok := c.lastRefusals[limitName(route.Name, s.Customer)]
	c.mu.Unlock()
	if ok && time.Now().Before(last.until) && tokens >= last.tokens {
		return last.err
	}
	ask, cancel := context.WithTimeout(ctx, hubWaitingTimeout)
	defer cancel()
	excess, err := c.options.ReserveWaiting(ask, quota.Reservation{Job: s.ID, Route: limitName(route.Name, s.Customer), Tokens: tokens, Limit: route.MaxWaitingTokens})
	if err != nil || excess == 0 {
		return nil // Without the hub the claims in the store decide.
	}
	return c.rememberRefusal(route, s.Customer, tokens, excess)
}

// rememberRefusal returns the error for a job that exceeds the limit of its route, and keeps it for other jobs of its customer.
func (c *Controller) rememberRefusal(route *routing.Route, customer string, tokens, excess int64) error {
	full := &FullError{RetryAfter: quota.RetryAfter(route.MaxWaitingTokens, excess, route.Completion)}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.lastRefusals, func(_ string, r lastRefusal) bool { return now.After(r.until) })
	c.lastRefusals[limitName(route.Name, customer)] = lastRefusal{now.Add(fullMemory), tokens, full}
	return full
}

// admit decides whether a job whose head was stored at revision fits into the limit on the waiting tokens of its route, and
// withdraws the job if not.
func (c *Controller) admit(ctx context.Context, h head, revision int64) error {
	route := c.batchRoute(h.Host, h.Path)
	if route == nil || route.MaxWaitingTokens == 0 {
		return nil
	}
	d, err := c.decideQuota(ctx, route, h.Customer, quota.Claim{Job: h.ID, Order: revision, Tokens: h.Tokens})
	if err == nil && d.Verdict == quota.Admitted {
		return nil
	}
	c.options.Log.Notice("job refused", "job", h.ID, "reason", "limit on waiting tokens", "verdict", d.Verdict, "tokens", h.Tokens, "ahead", d.Ahead,
		"limit", route.MaxWaitingTokens, "error", err)
	if withdrawErr := c.withdraw(ctx, h, revision); withdrawErr != nil {
		return errors.Join(ErrUnknown, withdrawErr)
	}
	if err != nil {
		return errors.Join(ErrRefused, err)
	}
	return c.rememberRefusal(route, h.Customer, h.Tokens, d.Excess)
}

// decideQuota decides on a claim by the stored heads. The hub is asked for the tokens of unfinished items only if the job
// does not fit beside the full claims of the others.
func (c *Controller) decideQuota(ctx context.Context, route *routing.Route, customer string, claim quota.Claim) (quota.Decision, error) {
	claims, err := c.readClaims(ctx, route, customer)
	if err != nil {
		return quota.Decision{}, err
	}
	own := map[string]int64{}
	for job, w := range c.Waiting() {
		own[job] = w.Tokens
	}
	lowerClaims(claims, own)
	d := quota.Decide(route.MaxWaitingTokens, claim, claims)
	if d.Verdict != quota.Full {
		return d, nil
	}
	ask, cancel := context.WithTimeout(ctx, hubWaitingTimeout)
	defer cancel()
	reported, err := c.options.HubWaiting(ask)
	if err != nil {
		c.options.Log.Notice("hub did not say how many tokens wait", "job", claim.Job, "error", err)
		return d, nil
	}
	lowerClaims(claims, reported)
	return quota.Decide(route.MaxWaitingTokens, claim, claims), nil
}

// lowerClaims lowers claims to what owners report. An old report is an upper bound too, since jobs only shrink.
func lowerClaims(claims []quota.Claim, reported map[string]int64) {
	for i := range claims {
		if tokens, ok := reported[claims[i].Job]; ok {
			claims[i].Tokens = min(claims[i].Tokens, tokens)
		}
	}
}

// readClaims returns the claims of all jobs of a customer on a route that are stored and neither refused, ended, done nor over.
func (c *Controller) readClaims(ctx context.Context, route *routing.Route, customer string) ([]quota.Claim, error) {
	var claims []quota.Claim
	table, now := c.options.Table(), time.Now()
	_, err := store.ListEach(store.WithFresh(ctx), c.options.Store, headKind, func(page []store.Object) {
		for _, o := range page {
			h, err := decodeHead(o)
			if err != nil {
				c.options.Log.Notice("job head can't be decoded", "key", o.Key, "error", err)
				continue
			}
			if h.Refused || h.Ended || h.Done || h.Customer != customer || c.isOver(h, table, now) {
				continue
			}
			if r := c.batchRoute(h.Host, h.Path); r != nil && r.Name == route.Name {
				claims = append(claims, quota.Claim{Job: h.ID, Order: h.order(o.Revision), Tokens: h.Tokens})
			}
		}
	})
	if err != nil {
		return nil, err
	}
	return claims, nil
}

// withdraw replaces the head of a job that was not admitted, or creates it if it is not stored: a job that was only removed
// could come back with a delayed create. revision is that of the head, or CreateOnly if it is not known to be stored. If the
// store does not confirm the write, withdraw returns an error and goes on in the background; the job stays undecided until
// then.
func (c *Controller) withdraw(ctx context.Context, h head, revision int64) error {
	refused := h
	refused.Refused, refused.Ended = true, true
	attempt := func(ctx context.Context) (bool, error) {
		ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
		defer cancel()
		for {
			_, err := c.replaceHead(ctx, refused, revision)
			if err == nil || !isConflict(err) {
				return err == nil, err
			}
			stored, storedRevision, err := c.readStoredHead(ctx, h.ID)
			own := stored.Owner == h.Owner && stored.Incarnation == h.Incarnation
			switch {
			case err != nil:
				return false, err
			case stored.Refused && own && stored.Submitted.Equal(h.Submitted):
				return true, nil
			case stored.Refused:
				// That was an earlier submission. The write of h in its place may be carried out later, while the revision stays.
				revision = storedRevision
				continue
			case !own:
				return true, Error.New("node %s took the job over", stored.Owner)
			}
			revision = storedRevision
			return false, Error.New("job was stored in the meantime")
		}
	}
	done, err := attempt(ctx)
	if done {
		return err
	}
	c.mu.Lock()
	c.withdrawing[h.ID] = true
	if c.undecided[h.ID] == nil { // The route had no limit when the job came.
		c.undecided[h.ID] = make(chan struct{})
	}
	c.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), repairTimeout)
		defer cancel()
		for done := false; !done && ctx.Err() == nil; {
			_ = wait.Sleep(ctx, withdrawRetry+rand.N(withdrawRetry/2))
			done, _ = attempt(ctx)
		}
		c.mu.Lock()
		delete(c.withdrawing, h.ID)
		decided := c.undecided[h.ID]
		c.mu.Unlock()
		c.endDecision(h.ID, decided)
	}()
	return err
}

// withdrawUnknown withdraws a job whose head may be stored, on a route with a limit: nothing has decided whether it fits.
func (c *Controller) withdrawUnknown(ctx context.Context, h head) error {
	if c.waitingLimit(h.Host, h.Path) == 0 {
		return nil
	}
	return c.withdraw(ctx, h, store.CreateOnly)
}

// markDone stores that all results of a job are listed, so that it no longer counts against the limit of its route. A write
// that fails is repeated by the next sweep.
func (c *Controller) markDone(j *job) {
	if c.waitingLimit(j.head.Host, j.head.Path) == 0 {
		return
	}
	j.mu.Lock()
	h, revision := j.head, j.revision
	complete := len(j.results) == len(j.items) && !j.released && !h.Done && !h.Ended
	j.mu.Unlock()
	if !complete {
		return
	}
	h.Done = true
	ctx, cancel := context.WithTimeout(context.Background(), markDoneTimeout)
	defer cancel()
	stored, err := c.putHead(ctx, h, revision)
	if err != nil {
		c.options.Log.Routine("job could not be marked as done", "job", h.ID, "error", err)
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.head.Done, j.revision = true, max(j.revision, stored)
}

// markDoneJobs marks those of this node's jobs as done that are, and whose heads do not say so.
func (c *Controller) markDoneJobs() {
	for _, j := range c.ownedJobs() {
		c.markDone(j)
	}
}

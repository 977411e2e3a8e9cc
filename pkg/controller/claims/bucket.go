package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/store"
)

const (
	// retention is how long a claim is kept, as the contract with callers promises.
	retention = 24 * time.Hour
	// commitTimeout bounds the store calls for one group of claims. After it callers get the answer that their requests
	// did not run.
	commitTimeout = 1500 * time.Millisecond
	// maxCommitTries bounds the attempts to commit one group; conflicts with a second owner and lost answers need a few.
	maxCommitTries = 6
	// retryDelay is the mean delay between two attempts.
	retryDelay = 10 * time.Millisecond
	// withdrawRetryMin is the time from a failed commit to the first attempt to withdraw its claims; it doubles up to
	// withdrawRetryMax during a store outage.
	withdrawRetryMin = 200 * time.Millisecond
	withdrawRetryMax = 30 * time.Second
	// maxOpenClaims is the number of claims in the head of a bucket above which they move to a segment. A claim rewrites
	// half of them on average, about 2 KB.
	maxOpenClaims = 32
	// maxGroup bounds the claims in one commit; at about 130 bytes each they stay far below the store's limit of 1 MB.
	maxGroup = 1000
)

// entry is one claim. An entry without a Request marks the earlier claims of its key as withdrawn.
type entry struct {
	Request string `json:"r"`
	Digest  string `json:"d"`
	// At is the unix time in seconds.
	At int64 `json:"t"`
}

// operation is a claim, or a withdrawal of one, that waits for the next commit. done is closed once result is set.
type operation struct {
	key        string
	entry      entry
	withdrawal bool
	result     Result
	done       chan struct{}
}

// bucket commits the claims of one range of hashed keys. It works on a copy of the bucket's objects in the store; since
// each commit is a conditional update of the head, a stale copy causes a conflict and no wrong write.
type bucket struct {
	name    string
	store   store.Store
	now     func() time.Time
	maxOpen int

	mu      sync.Mutex
	pending []*operation
	running bool
	// withdrawPlanned is set while a timer runs for the next attempt to commit toWithdraw, and withdrawDelay is its delay.
	withdrawPlanned bool
	withdrawDelay   time.Duration

	// Only the committing goroutine uses the fields below.

	// toWithdraw holds, by request, the keys of requests that do not run although their claim may be in the store or may
	// reach it late. The next successful write removes the claim, and its new revision makes a late write fail.
	toWithdraw map[string]string
	loaded     bool
	head       head
	revision   int64
	// segmentClaims holds the newest claim of each key in the segments, the last of which is head.Last.
	segmentClaims map[string]entry
	segments      []segmentRef
	lastPurge     time.Time
}

// submit adds an operation to the next group and waits for its result.
func (b *bucket) submit(o *operation) Result {
	o.done = make(chan struct{})
	b.mu.Lock()
	b.pending = append(b.pending, o)
	if !b.running {
		b.running = true
		go b.commitAll()
	}
	b.mu.Unlock()
	<-o.done
	return o.result
}

// commitAll commits groups until no operation waits.
func (b *bucket) commitAll() {
	for {
		b.mu.Lock()
		group := b.pending[:min(len(b.pending), maxGroup)]
		b.pending = b.pending[len(group):]
		if len(group) == 0 {
			b.running = false
			b.planWithdrawal()
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		b.commit(group)
		for _, o := range group {
			close(o.done)
		}
	}
}

// planWithdrawal starts a timer to commit toWithdraw, unless one runs; b.mu must be held. Without it a claim that was
// written late would stay until this node commits another claim of the bucket.
func (b *bucket) planWithdrawal() {
	switch {
	case len(b.toWithdraw) == 0:
		b.withdrawDelay = 0
	case !b.withdrawPlanned:
		b.withdrawPlanned = true
		b.withdrawDelay = min(max(2*b.withdrawDelay, withdrawRetryMin), withdrawRetryMax)
		time.AfterFunc(b.withdrawDelay, b.retryWithdrawal)
	}
}

// retryWithdrawal commits toWithdraw. It leaves that to a commit that is in progress, which plans the next attempt at its
// end.
func (b *bucket) retryWithdrawal() {
	b.mu.Lock()
	b.withdrawPlanned = false
	if b.running {
		b.mu.Unlock()
		return
	}
	b.running = true
	b.mu.Unlock()
	if len(b.toWithdraw) > 0 {
		b.commit(nil)
	}
	b.commitAll()
}

// commit writes a group with one conditional update. After a conflict or a lost answer it reads the head again and
// applies the group to it: a claim that is already there for the same request is granted without a write.
func (b *bucket) commit(group []*operation) {
	ctx, stop := context.WithTimeout(context.Background(), commitTimeout)
	defer stop()
	failed := false
	for try := range maxCommitTries {
		if failed && !sleepRetry(ctx) {
			break
		}
		if !b.loaded && b.load(ctx) != nil {
			failed = true
			continue
		}
		next, changed := b.applyGroup(group)
		// A write whose answer was lost may still take effect, until any other write changes the revision.
		if changed || len(b.toWithdraw) > 0 {
			if b.commitHead(ctx, next) != nil {
				b.loaded, failed = false, true
				continue
			}
		} else if needsFreshRead(group) && try == 0 {
			// Another writer may have claimed or withdrawn a key since the copy was read.
			b.loaded = false
			continue
		}
		return
	}
	for _, o := range group {
		o.result = Unavailable
		b.toWithdraw[o.entry.Request] = o.key
		if o.withdrawal {
			b.toWithdraw[fallbackRequest(o.entry.Request)] = o.key
		}
	}
}

// fallbackRequest returns the request ID under which the serving node claims a key itself when the owner returned no
// result. It differs from the request's own ID, since the owner may still withdraw the claim that it wrote under that.
func fallbackRequest(request string) string { return request + "/2" }

// needsFreshRead reports whether the group, which needed no write, has a result that must be based on the store and not
// on the copy.
func needsFreshRead(group []*operation) bool {
	for _, o := range group {
		if o.withdrawal || o.result == HeldByOther || o.result == BodyMismatch {
			return true
		}
	}
	return false
}

// sleepRetry waits for a random time of retryDelay on average and returns true, or false when ctx ends before.
func sleepRetry(ctx context.Context) bool {
	select {
	case <-time.After(retryDelay/2 + rand.N(retryDelay)):
		return true
	case <-ctx.Done():
		return false
	}
}

// findClaim returns the valid claim of a key, given the open claims and the oldest time of valid claims.
func (b *bucket) findClaim(open map[string]entry, key string, oldest int64) (entry, bool) {
	e, ok := open[key]
	if !ok {
		e, ok = b.segmentClaims[key]
	}
	return e, ok && e.Request != "" && e.At >= oldest
}

// withdraw removes the claim of a key from the open claims. It overrides a claim in a segment by an entry without a
// request.
func (b *bucket) withdraw(open map[string]entry, key string) {
	if e, ok := b.segmentClaims[key]; ok && e.Request != "" {
		open[key] = entry{At: b.now().Unix()}
		return
	}
	delete(open, key)
}

// applyGroup returns the open claims after toWithdraw and the group are applied, and whether they must be written. It
// sets the results of the group.
func (b *bucket) applyGroup(group []*operation) (map[string]entry, bool) {
	next, changed := make(map[string]entry, len(b.head.Entries)+len(group)), false
	oldest := b.now().Add(-retention).Unix()
	for key, e := range b.head.Entries {
		if e.At >= oldest {
			next[key] = e
		}
	}
	for request, key := range b.toWithdraw {
		if e, ok := b.findClaim(next, key, oldest); ok && e.Request == request {
			b.withdraw(next, key)
			changed = true
		}
	}
	for _, o := range group {
		changed = b.applyOperation(next, o, oldest) || changed
	}
	return next, changed
}

// applyOperation applies an operation to the open claims, sets its result, and reports whether it changed them. The
// result of a withdrawal is Granted.
func (b *bucket) applyOperation(open map[string]entry, o *operation, oldest int64) bool {
	e, ok := b.findClaim(open, o.key, oldest)
	switch {
	case o.withdrawal:
		o.result = Granted
		if !ok || e.Request != o.entry.Request && e.Request != fallbackRequest(o.entry.Request) {
			return false
		}
		b.withdraw(open, o.key)
		return true
	case ok && e.Digest != o.entry.Digest:
		o.result = BodyMismatch
	case ok && e.Request == o.entry.Request:
		o.result = Granted
	case ok && fallbackRequest(e.Request) != o.entry.Request:
		o.result = HeldByOther
	default:
		o.result = Granted
		open[o.key] = o.entry
		return true
	}
	return false
}

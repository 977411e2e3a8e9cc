// Package claims ensures that requests which must not be repeated run at most once. Before the first byte of such a
// request is sent to an upstream, its key is claimed durably in the object claims/BUCKET, where the bucket is a hash of
// institution and key.
//
// That object, the head of the bucket, holds the newest claims, called the open ones. When there are many of them they
// move to a segment, an object claims/BUCKET/ID that is written once. The head names the newest segment, and each
// segment the one before it, so the bytes written for a claim do not grow with the number of claims of a day. Every claim
// is a conditional update of the head, which makes it unique over all segments. A segment is deleted when its claims have
// expired.
//
// The rendezvous owner of a bucket commits all waiting claims in one conditional update. When the owner does not answer
// or can't reach the store, the serving node writes the bucket itself. Concurrent writers conflict and read again, so a
// key is still claimed only once. A commit that failed may have reached the store nevertheless; its requests do not run,
// and the writer withdraws their claims with its next commit.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/lease"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// Error is the class of the errors of this package.
var Error = errs.Class("claims")

const (
	// bucketDigits is the number of hex digits of the hashed key that name the bucket. There are 256 buckets, whose claims
	// commit in parallel.
	bucketDigits = 2
	// callTimeout bounds the call to a bucket's owner, which includes the owner's commit.
	callTimeout = commitTimeout + 250*time.Millisecond
	// digestLength is the number of characters of a body digest that are stored.
	digestLength = 32
)

// Result is the result of a claim.
type Result int

// Results of a claim.
const (
	// Unavailable means that the claim could not be committed; the request must not run.
	Unavailable Result = iota
	// Granted means that the claim is durable and belongs to this request.
	Granted
	// HeldByOther means that another request has claimed the key for the same body.
	HeldByOther
	// BodyMismatch means that another request has claimed the key for a different body.
	BodyMismatch
)

// Args names a claim: the hashed key, the digest of the request body, and the request ID.
type Args struct{ Key, Digest, Request string }

// Reply is the answer to a claim or withdrawal.
type Reply struct{ Result Result }

// Options holds the dependencies of a Controller.
type Options struct {
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	Store store.Store
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
}

// Controller claims keys for the requests of one node and commits the claims of the buckets that the node owns.
type Controller struct {
	Options
	// maxOpen is the limit of open claims for new buckets, maxOpenClaims outside of tests.
	maxOpen int
	mu      sync.Mutex
	buckets map[string]*bucket
}

// New returns a controller and registers the receiver "Claims".
func New(o Options, r peer.Registrar) (*Controller, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	c := &Controller{Options: o, maxOpen: maxOpenClaims, buckets: map[string]*bucket{}}
	return c, r.Register("Claims", &Receiver{c})
}

// Receiver holds the methods that other nodes call over net/rpc.
type Receiver struct{ c *Controller }

// Claim claims a key in a bucket of this node.
func (r *Receiver) Claim(a *Args, reply *Reply) error {
	reply.Result = r.c.commit(a, false)
	return nil
}

// Finish withdraws the claim of a request that did not run.
func (r *Receiver) Finish(a *Args, reply *Reply) error {
	reply.Result = r.c.commit(a, true)
	return nil
}

// commit applies a claim, or the withdrawal of one, to its bucket and waits for the commit.
func (c *Controller) commit(a *Args, withdrawal bool) Result {
	name := bucketOf(a.Key)
	c.mu.Lock()
	b, ok := c.buckets[name]
	if !ok {
		b = &bucket{name: name, store: c.Store, now: c.Now, maxOpen: c.maxOpen, toWithdraw: map[string]string{}}
		c.buckets[name] = b
	}
	c.mu.Unlock()
	return b.submit(&operation{
		key: a.Key, withdrawal: withdrawal, entry: entry{Request: a.Request, Digest: a.Digest, At: c.Now().Unix()},
	})
}

// bucketOf returns the name of the bucket of a hashed key, which is the key of its head object.
func bucketOf(key string) string { return "claims/" + key[:bucketDigits] }

// hashKey returns a hash of institution and key in hex; its first digits name the bucket.
func hashKey(institution, key string) string {
	h := sha256.New()
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(institution)))
	h.Write(size[:])
	fmt.Fprint(h, institution, key)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// newArgs returns the arguments for the claim of a key.
func newArgs(institution, key, digest, request string) *Args {
	return &Args{Key: hashKey(institution, key), Digest: digest[:min(len(digest), digestLength)], Request: request}
}

// Claim claims the key for the request. The request may run only if the result is Granted. Claim returns when ctx ends,
// at the latest.
func (c *Controller) Claim(ctx context.Context, institution, key, digest, request string) Result {
	done := make(chan Result, 1)
	go func() { done <- c.claim(ctx, newArgs(institution, key, digest, request)) }()
	select {
	case result := <-done:
		if result == Unavailable {
			// The claim may still be committed, or be so already, although the request does not run.
			go c.Release(ctx, institution, key, digest, request)
		}
		return result
	case <-ctx.Done():
		go func() {
			<-done
			c.Release(ctx, institution, key, digest, request)
		}()
		return Unavailable
	}
}

// claim claims a key through the owner of its bucket, or writes the bucket itself if the owner returns no result.
func (c *Controller) claim(ctx context.Context, args *Args) Result {
	owner := c.owner(args.Key)
	if owner == c.Self {
		return c.commit(args, false)
	}
	var reply Reply
	callCtx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	err := c.Peers.Call(callCtx, owner, "Claims.Claim", args, &reply)
	if err == nil && (reply.Result != Unavailable || c.lostLease()) {
		return reply.Result
	}
	klog.V(1).InfoS("Bucket owner returned no claim result", "node", owner, "request", args.Request, "err", err)
	if ctx.Err() != nil {
		return Unavailable
	}
	args.Request = fallbackRequest(args.Request)
	result := c.commit(args, false)
	if err == nil && result == HeldByOther {
		// This request itself may be the holder, through a write of the owner that was considered failed.
		return Unavailable
	}
	return result
}

// lostLease reports whether this node had a lease and lost it, which means that it can't reach the store either.
func (c *Controller) lostLease() bool {
	l, revision := c.Board.Lease.Get()
	return revision > 0 && !lease.Holds(l, time.Now())
}

// Release withdraws the claim of a request that no upstream started, so that another request with its key may run.
func (c *Controller) Release(ctx context.Context, institution, key, digest, request string) {
	args := newArgs(institution, key, digest, request)
	owner := c.owner(args.Key)
	callCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer stop()
	if owner == c.Self || c.Peers.Call(callCtx, owner, "Claims.Finish", args, &Reply{}) != nil {
		c.commit(args, true)
	}
}

// owner returns the rendezvous owner of the key's bucket among the live members.
func (c *Controller) owner(key string) string {
	live := c.Board.Members.Value().Live
	names := make([]string, 0, len(live))
	for name := range live {
		names = append(names, name)
	}
	if owner := rendezvous.Owner(bucketOf(key), names); owner != "" {
		return owner
	}
	return c.Self
}

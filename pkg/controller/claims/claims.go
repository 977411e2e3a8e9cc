// Package claims makes requests that must not be repeated run at most once. Before its first byte is sent, such a
// request is claimed durably in the object claims/BUCKET, where the bucket is a hash of institution and key.
//
// That object, the head of the bucket, holds the newest claims. When they are many they move to a segment, an object
// claims/BUCKET/ID that is written once. The head names the newest segment, and each segment the one before it, so the
// bytes of a claim do not grow with the claims of the day. Every claim is a conditional update of the head, which makes
// it unique over all segments. A segment is deleted when its claims have expired.
//
// The rendezvous owner of a bucket packs the claims that wait into one conditional update. When the owner gives
// no answer or does not reach the store, the serving node writes the bucket itself. Two writers at once conflict and read again, so a key is
// claimed once in any case. An operation that failed may still have reached the store; its request never ran, and
// the writer removes such a claim with its next commit.
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
	// bucketDigits is the number of hex digits of the hashed key that name the bucket: 256 heads, so that the claims of
	// different buckets commit in parallel.
	bucketDigits = 2
	// callTimeout bounds the call to the owner; it includes the owner's commit.
	callTimeout = commitTimeout + 250*time.Millisecond
	// digestLength is the part of a body digest that is kept.
	digestLength = 32
)

// Result is the result of a claim.
type Result int

// Results of a claim.
const (
	// Unavailable means that the store gave no answer; the request must not run.
	Unavailable Result = iota
	// Granted means that the claim is durable and belongs to this request.
	Granted
	// Held means that another request has claimed the key for the same body.
	Held
	// OtherBody means that the key was claimed for another body.
	OtherBody
)

// Args names a claim.
type Args struct{ Key, Digest, Request string }

// Reply is the answer to a claim.
type Reply struct{ Result Result }

// Options are the collaborators of a Controller.
type Options struct {
	Self  string
	Board *blackboard.Board
	Peers peer.Caller
	Store store.Store
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
}

// Controller claims keys for a node's callers and writes the buckets that the node owns.
type Controller struct {
	Options
	// maxOpen is that of new buckets.
	maxOpen int
	mu      sync.Mutex
	buckets map[string]*bucket
}

// New returns a controller and registers the receiver "Claims".
func New(o Options, r peer.Registrar) (*Controller, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	c := &Controller{Options: o, maxOpen: maxOpen, buckets: map[string]*bucket{}}
	return c, r.Register("Claims", &Receiver{c})
}

// Receiver serves the calls of other nodes.
type Receiver struct{ c *Controller }

// Claim claims a key.
func (r *Receiver) Claim(a *Args, reply *Reply) error {
	reply.Result = r.c.apply(a, false)
	return nil
}

// Finish withdraws the claim of a request that did not run.
func (r *Receiver) Finish(a *Args, reply *Reply) error {
	reply.Result = r.c.apply(a, true)
	return nil
}

func (c *Controller) apply(a *Args, undo bool) Result {
	name := bucketOf(a.Key)
	c.mu.Lock()
	b, ok := c.buckets[name]
	if !ok {
		b = &bucket{name: name, store: c.Store, now: c.Now, limit: c.maxOpen, undone: map[string]string{}}
		c.buckets[name] = b
	}
	c.mu.Unlock()
	return b.submit(&operation{
		key: a.Key, undo: undo, entry: entry{Request: a.Request, Digest: a.Digest, At: c.Now().Unix()},
	})
}

// bucketOf returns the object that holds a hashed key.
func bucketOf(key string) string { return "claims/" + key[:bucketDigits] }

// hashKey returns the hashed form of institution and key; its first digits name the bucket.
func hashKey(institution, key string) string {
	h := sha256.New()
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(institution)))
	h.Write(size[:])
	fmt.Fprint(h, institution, key)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func arguments(institution, key, digest, request string) *Args {
	return &Args{Key: hashKey(institution, key), Digest: digest[:min(len(digest), digestLength)], Request: request}
}

// Claim claims the key for the request. Only Granted allows a run. It returns at the latest when ctx ends.
func (c *Controller) Claim(ctx context.Context, institution, key, digest, request string) Result {
	done := make(chan Result, 1)
	go func() { done <- c.claim(ctx, arguments(institution, key, digest, request)) }()
	select {
	case result := <-done:
		if result == Unavailable {
			// The claim may be durable or become so; its request does not run.
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

func (c *Controller) claim(ctx context.Context, args *Args) Result {
	owner := c.owner(args.Key)
	if owner == c.Self {
		return c.apply(args, false)
	}
	var reply Reply
	callCtx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	err := c.Peers.Call(callCtx, owner, "Claims.Claim", args, &reply)
	if err == nil && (reply.Result != Unavailable || c.cutOff()) {
		return reply.Result
	}
	klog.V(1).InfoS("Claim owner gave no claim", "node", owner, "request", args.Request, "err", err)
	if ctx.Err() != nil {
		return Unavailable
	}
	args.Request = second(args.Request)
	result := c.apply(args, false)
	if err == nil && result == Held {
		// The holder may be this request, in a write of the owner that was thought to have failed.
		return Unavailable
	}
	return result
}

// cutOff reports whether this node had a lease and lost it, and so does not reach the store either.
func (c *Controller) cutOff() bool {
	l, revision := c.Board.Lease.Get()
	return revision > 0 && !lease.Holds(l, time.Now())
}

// Release withdraws the claim of a request that no upstream began, so that a resend of its key may run.
func (c *Controller) Release(ctx context.Context, institution, key, digest, request string) {
	args := arguments(institution, key, digest, request)
	owner := c.owner(args.Key)
	callCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer stop()
	if owner == c.Self || c.Peers.Call(callCtx, owner, "Claims.Finish", args, &Reply{}) != nil {
		c.apply(args, true)
	}
}

// owner returns the owner of the key's bucket.
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

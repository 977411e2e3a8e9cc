package admission

import (
	"time"

	"trefoilplank.example/pkg/blackboard"
	decision "trefoilplank.example/pkg/decision/admission"
	"trefoilplank.example/pkg/serving"
)

// Work describes a request to an admission owner. Times are relative, since clocks of nodes differ.
type Work struct {
	// Ticket is unique for each attempt to get a slot, so that an attempt that was given up is not mistaken for a
	// later one of the same request.
	Ticket      string
	Request     string
	Institution string
	Class       string
	Rank        int
	Share       float64
	Cost        float64
	Batch       bool
	Alone       bool
	// MaxTokens bounds the length of the answer; 0 means that no bound is known.
	MaxTokens int
	// Queued is the time waited so far in an Acquire call, and the total wait for the slot in a Release call.
	Queued time.Duration
	// DeadlineIn is the time left until the answer is due; 0 means no deadline.
	DeadlineIn time.Duration
}

func workOf(r serving.Request, ticket string, now time.Time) Work {
	w := Work{Ticket: ticket, Request: r.ID, Institution: r.Institution, Class: r.Class, Rank: r.Rank, Share: r.Share,
		Cost: float64(r.MaxTokens) + float64(r.PromptTokens)/promptTokensPerToken, Batch: r.Batch, Alone: r.Alone, MaxTokens: r.MaxTokens}
	if !r.Deadline.IsZero() {
		w.DeadlineIn = max(1, r.Deadline.Sub(now))
	}
	return w
}

// promptTokensPerToken is the number of prompt tokens that cost as much as one generated token. Engines process prompts
// in parallel, so a prompt token takes a small part of the time of a generated one.
const promptTokensPerToken = 16

func (w Work) toItem(node string, now time.Time) decision.Item {
	it := decision.Item{ID: w.Ticket, Request: w.Request, Node: node, Institution: w.Institution, Class: w.Class, Rank: w.Rank,
		Share: w.Share, Cost: w.Cost, Batch: w.Batch, Alone: w.Alone}
	if w.DeadlineIn > 0 {
		it.Deadline = now.Add(w.DeadlineIn)
	}
	return it
}

// Status is an owner's decision on a request.
type Status string

// Decisions of an owner.
const (
	StatusGranted Status = "granted"
	StatusQueued  Status = "queued"
	StatusRefused Status = "refused"
	// StatusUnknown means that the owner does not know the ticket: it was restarted or is no longer the owner.
	StatusUnknown Status = "unknown"
)

// AcquireArgs asks the owner of an upstream for a slot.
type AcquireArgs struct {
	Upstream string
	Node     string
	Work     Work
	// MaxWait is the longest expected wait at which the owner may queue the request; with 0 it grants a slot at once
	// or refuses.
	MaxWait time.Duration
	// PrefixHashes are the hashes of the prompt's blocks, by which the owner finds how much of it the upstream has
	// cached.
	PrefixHashes []uint64
}

// AcquireReply answers AcquireArgs and WaitArgs.
type AcquireReply struct {
	Status Status
	Reason string
	// Wait is the expected time to a slot on this upstream.
	Wait       time.Duration
	RetryAfter time.Duration
	// Elsewhere marks a refusal whose only reason is MaxWait.
	Elsewhere bool
	// Waited is set by the serving node for a reply to Wait. A request that was dropped from a queue has used up
	// its time and is not offered to another upstream.
	Waited bool
	// CachedBlocks is the number of leading blocks of the prompt in the upstream's cache, and CacheTrust the owner's
	// trust in that number between 0 and 1; 0 means that the owner does not know.
	CachedBlocks int
	CacheTrust   float64
	// Loads are the loads of this owner's upstreams, so that the serving node gets them without polling.
	Loads []Load
}

// WaitArgs waits for the decision on a queued request.
type WaitArgs struct {
	Upstream string
	Node     string
	Ticket   string
	// Poll is how long the owner keeps the call open while nothing is decided.
	Poll time.Duration
}

// ReleaseArgs returns a slot or a place in the queue.
type ReleaseArgs struct {
	Upstream string
	Node     string
	Work     Work
	Usage    serving.Usage
}

// ReleaseReply carries the owner's loads.
type ReleaseReply struct{ Loads []Load }

// HeldSlot is a slot that a serving node holds.
type HeldSlot struct {
	Upstream string
	Work     Work
}

// LoadArgs reports the slots that a node holds on upstreams of the callee and asks for the load of all of them.
type LoadArgs struct {
	Node string
	Held []HeldSlot
	// Owners is the digest of the nodes among which the reporting node chose the owners; 0 from nodes that do not send it.
	Owners uint64
}

// LoadReply answers LoadArgs.
type LoadReply struct{ Loads []Load }

// Load is an owner's view of one upstream.
type Load struct {
	Upstream string
	Limit    int
	Online   int
	Batch    int
	Waiting  int
	// Hold is the moving average of the time for which an online run holds a slot.
	Hold time.Duration
	// BatchSlots is how many slots batch work may use.
	BatchSlots int
	// Age is the age of the upstream's own report in Observed.
	Age      time.Duration
	Observed blackboard.UpstreamStatus
}

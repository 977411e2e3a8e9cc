// Package serving holds the types and interfaces that the parts of the request path share. It has no logic.
package serving

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/api"
)

// Error is the class of the errors of this package.
var Error = errs.Class("serving")

// Errors of a call to an upstream; test with errors.Is.
var (
	// ErrNotStarted means that the upstream can't have begun the request.
	ErrNotStarted = Error.New("request not started")
	// ErrInterrupted means that the upstream may have begun the request and gave no whole answer.
	ErrInterrupted = Error.New("request interrupted")
	// ErrMismatch means that the answer belongs to another request or is not whole.
	ErrMismatch = Error.New("answer does not match the request")
	// ErrUpstreamDied means that the upstream broke the connection or stopped while it ran the request.
	// An error of this kind also matches ErrInterrupted.
	ErrUpstreamDied = Error.New("upstream died")
	// ErrPreempted is the cause of a batch run that gave its slot to online work.
	ErrPreempted = Error.New("preempted by online work")
	// ErrNotResumed means that an exported state could not be used; the run can only start again.
	ErrNotResumed = Error.New("state not resumed")
)

// Request describes one unit of work to admission and placement.
type Request struct {
	// ID has the form NODE-ULID.
	ID          string
	Institution string
	Caller      string
	// Class and Rank come from the rules; rank 0 goes first.
	Class string
	Rank  int
	// Share is the institution's weight.
	Share float64
	// Model or Service says which upstreams can run the request; the other is empty. Model is the base
	// model, Adapter the adapter on it or "".
	Model   string
	Adapter string
	Service string
	Batch   bool
	// Deadline is when the answer is due.
	Deadline     time.Time
	PromptTokens int
	MaxTokens    int
	// PrefixHashes are chained hashes of the prompt's blocks; entry i covers blocks 0 to i.
	PrefixHashes []uint64
	// Fingerprint identifies institution, model and canonical body.
	Fingerprint string
	// Exclude names upstreams that a retry must avoid.
	Exclude []string
	// Alone asks for an upstream on which nothing else runs, for a request suspected of crashing upstreams.
	Alone bool
}

// Slot is the permission to run one request on one upstream.
type Slot struct {
	Upstream  api.Upstream
	RequestID string
	// Owner is the node whose admission controller granted the slot; empty for a grant on the local estimate.
	Owner string
	// Queued is the time spent waiting for the slot.
	Queued time.Duration
}

// RunResult says how a run ended, for health and limit learning.
type RunResult string

// Results of a run.
const (
	RunOK RunResult = "ok"
	// RunRejected means that the upstream answered with an error of its own.
	RunRejected RunResult = "rejected"
	// RunDied means that the upstream broke off.
	RunDied RunResult = "died"
	// RunNotStarted means that the upstream could not be reached.
	RunNotStarted RunResult = "not-started"
	// RunCancelled means that the caller or the system gave the run up.
	RunCancelled RunResult = "cancelled"
)

// Usage reports a finished run to admission. Zero times are unknown.
type Usage struct {
	Result        RunResult
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Duration      time.Duration
	Tokens        int
}

// Slots gives out slots on upstreams for online work.
type Slots interface {
	// Acquire chooses an upstream and waits for a slot on it. An error is an *api.Error with outcome not-run.
	Acquire(ctx context.Context, r Request) (*Slot, error)
	// Release returns the slot; it does not block on the network.
	Release(s *Slot, u Usage)
}

// BatchSource supplies batch items to the admission owner of an upstream. Methods must return at once.
type BatchSource interface {
	// Next takes an item that upstream u can run out of the local stock; false when there is none.
	Next(u api.Upstream) (BatchRun, bool)
	// Pressure is between 0 (no item is urgent) and 1 (items will miss their completion window).
	Pressure(model string) float64
	// Waiting returns a channel that is closed when stock may have become available after this call.
	Waiting() <-chan struct{}
}

// BatchRun is one batch item that was taken from stock.
type BatchRun interface {
	// Request describes the item to admission.
	Request() Request
	// Run executes the item on the slot's upstream and returns when the slot is free again. When ctx ends
	// with cause ErrPreempted the item goes back to stock.
	Run(ctx context.Context, s *Slot) Usage
	// Progress reports the tokens generated and whether the engine can resume the run elsewhere.
	Progress() (tokens int, resumable bool)
}

// Call is one HTTP call to an upstream.
type Call struct {
	RequestID      string
	CustomID       string
	IdempotencyKey string
	Method         string
	// Path starts with "/" and includes the query.
	Path   string
	Header http.Header
	Body   []byte
}

// Result is the whole answer of an upstream.
type Result struct {
	Status        int
	Header        http.Header
	Body          []byte
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Tokens        int
}

// StreamEvent is one server-sent event of a streamed answer.
type StreamEvent struct {
	// Data is the event's payload without "data: ".
	Data []byte
	// Offset is the number of tokens before this event.
	Offset int
}

// Invoker calls upstreams and checks that each answer belongs to its request and is whole.
type Invoker interface {
	// Do runs a call and returns its whole answer. Errors match ErrNotStarted, ErrInterrupted or ErrMismatch.
	Do(ctx context.Context, u api.Upstream, c Call) (*Result, error)
	// Stream runs a streamed call and hands each event to emit in order; an error of emit ends the call.
	// It returns nil only when the stream was whole.
	Stream(ctx context.Context, u api.Upstream, c Call, emit func(StreamEvent) error) (*Result, error)
	// Cancel asks the upstream to stop a run.
	Cancel(ctx context.Context, u api.Upstream, requestID string) error
}

// Resumer moves a streamed run from one engine to another.
type Resumer interface {
	// Export stops a run and returns its state, which only engines read. After an error the run may go on.
	Export(ctx context.Context, u api.Upstream, requestID string) ([]byte, error)
	// Resume hands an exported state to the engine and the events that follow to emit, as Invoker.Stream does. c
	// is the call that was exported, tail the events received last: all those with the highest offset. An error
	// that matches ErrNotResumed says nothing about the request; the engine may still have taken the state.
	Resume(ctx context.Context, u api.Upstream, c Call, state []byte, tail []StreamEvent, emit func(StreamEvent) error) (*Result, error)
}

// Verdict is the state of a fingerprint.
type Verdict string

// Verdicts on a fingerprint.
const (
	// VerdictClear lets the request run as usual.
	VerdictClear Verdict = "clear"
	// VerdictSuspect lets the request run only alone on an upstream.
	VerdictSuspect Verdict = "suspect"
	// VerdictQuarantined refuses the request.
	VerdictQuarantined Verdict = "quarantined"
)

// Quarantine isolates requests that crash upstreams, over all nodes.
type Quarantine interface {
	// Check returns the verdict and, for VerdictQuarantined, how long it still holds. For a suspect it also
	// reserves the single trial run: a second suspect run at the same time is refused with a retry time.
	Check(ctx context.Context, fingerprint, requestID string) (Verdict, time.Duration)
	// Finished reports the end of a run with a suspect verdict or one that died with its upstream.
	Finished(ctx context.Context, fingerprint, requestID string, upstream string, died bool)
}

// Package serving holds the types and interfaces that are shared by the stages of request handling. It has no logic.
package serving

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/decision/failedruns"
)

// Error is the class of the errors of this package.
var Error = errs.Class("serving")

// Errors of a call to an upstream; test with errors.Is.
var (
	// ErrNotStarted means that the upstream has certainly not started the request.
	ErrNotStarted = Error.New("request not started")
	// ErrInterrupted means that the upstream may have started the request and did not return a complete response.
	ErrInterrupted = Error.New("request interrupted")
	// ErrMismatch means that the response belongs to another request or is incomplete.
	ErrMismatch = Error.New("answer does not match the request")
	// ErrUpstreamCrashed means that the upstream closed the connection or stopped while it ran the request. An error of
	// this kind also matches ErrInterrupted.
	ErrUpstreamCrashed = Error.New("upstream died")
	// ErrPreempted is the cancellation cause of a batch run whose slot was needed for online work.
	ErrPreempted = Error.New("preempted by online work")
	// ErrNotResumed means that an exported state could not be used; the run has to start from the beginning.
	ErrNotResumed = Error.New("state not resumed")
)

// Request describes one unit of work to admission and placement.
type Request struct {
	// ID has the form NODE-ULID.
	ID          string
	Institution string
	Caller      string
	// Class and Rank come from the rules; requests with a lower rank are served first.
	Class string
	Rank  int
	// Share is the institution's weight in fair sharing.
	Share float64
	// Model or Service selects the upstreams that can run the request; the other is empty. Model is the base model,
	// Adapter the adapter on it or "".
	Model   string
	Adapter string
	Service string
	Batch   bool
	// Deadline is when the response is due.
	Deadline     time.Time
	PromptTokens int
	MaxTokens    int
	// PrefixHashes are chained hashes of the prompt's blocks; entry i covers blocks 0 to i.
	PrefixHashes []uint64
	// Fingerprint identifies requests with the same institution, model and canonical body.
	Fingerprint string
	// Parts are the works of the parts of the prompt that other requests may share.
	Parts []string
	// Exclude names upstreams that a retry must avoid.
	Exclude []string
	// Alone requires an upstream on which nothing else runs, for a request suspected of crashing upstreams.
	Alone bool
}

// Works returns what a run of the request can be blamed for.
func (r *Request) Works() failedruns.Works {
	return failedruns.Works{Request: r.Fingerprint, Parts: r.Parts}
}

// Slot permits one request to run on one upstream.
type Slot struct {
	Upstream  api.Upstream
	RequestID string
	// Owner is the node whose admission controller granted the slot; it is empty if the slot was granted on this
	// node's own load estimate.
	Owner string
	// QueueTime is the time spent waiting for the slot.
	QueueTime time.Duration
}

// RunResult is the outcome of a run, which is used to judge upstream health and to adapt limits.
type RunResult string

// Results of a run.
const (
	RunOK RunResult = "ok"
	// RunRejected means that the upstream itself answered with an error.
	RunRejected RunResult = "rejected"
	// RunCrashed means that the upstream stopped or closed the connection during the run.
	RunCrashed RunResult = "died"
	// RunNotStarted means that the upstream could not be reached.
	RunNotStarted RunResult = "not-started"
	// RunCancelled means that the caller or the system cancelled the run.
	RunCancelled RunResult = "cancelled"
)

// Usage reports a finished run to admission. Zero durations are unknown.
type Usage struct {
	Result        RunResult
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Duration      time.Duration
	Tokens        int
}

// SlotAllocator grants slots on upstreams for online work.
type SlotAllocator interface {
	// Acquire chooses an upstream and waits for a slot on it. An error is an *api.Error with outcome not-run.
	Acquire(ctx context.Context, r Request) (*Slot, error)
	// Release returns the slot; it does not wait for the network.
	Release(s *Slot, u Usage)
}

// BatchSource supplies batch items to the admission owner of an upstream. Methods must return at once.
type BatchSource interface {
	// Next removes an item that upstream u can run from the items waiting on this node. It returns false if there is
	// none.
	Next(u api.Upstream) (BatchRun, bool)
	// Pressure returns how urgent the model's items are, from 0 (no item is urgent) to 1 (items will miss their
	// completion window).
	Pressure(model string) float64
	// ItemsReady returns a channel that is closed when items may have been added since this call.
	ItemsReady() <-chan struct{}
}

// BatchRun is a batch item returned by BatchSource.Next.
type BatchRun interface {
	// Request describes the item to admission.
	Request() Request
	// Run executes the item on the slot's upstream and returns when the slot is free again. If ctx ends with cause
	// ErrPreempted, the item waits again.
	Run(ctx context.Context, s *Slot) Usage
	// Progress returns the number of tokens generated and whether the run can be resumed at another engine.
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

// Result is the complete response of an upstream.
type Result struct {
	Status        int
	Header        http.Header
	Body          []byte
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Tokens        int
}

// StreamEvent is one server-sent event of a streamed response.
type StreamEvent struct {
	// Data is the payload of the event without the prefix "data: ".
	Data []byte
	// Offset is the number of tokens before this event.
	Offset int
}

// Invoker calls upstreams and checks that each response is complete and belongs to its request.
type Invoker interface {
	// Do makes a call and returns its complete response. Errors match ErrNotStarted, ErrInterrupted or ErrMismatch.
	Do(ctx context.Context, u api.Upstream, c Call) (*Result, error)
	// Stream makes a streamed call and passes each event to emit in order; an error of emit ends the call. The error
	// is nil only if the stream was complete.
	Stream(ctx context.Context, u api.Upstream, c Call, emit func(StreamEvent) error) (*Result, error)
	// Cancel asks the upstream to stop the run of a request.
	Cancel(ctx context.Context, u api.Upstream, requestID string) error
}

// Resumer moves a streamed run from one engine to another.
type Resumer interface {
	// Export stops a run and returns its state, which only engines can interpret. After an error the run may
	// continue.
	Export(ctx context.Context, u api.Upstream, requestID string) ([]byte, error)
	// Resume sends an exported state to the engine and passes the events that follow to emit, as Invoker.Stream does.
	// c is the exported call; tail holds the events received last: all those with the highest offset. An error that
	// matches ErrNotResumed says nothing about the outcome of the request; the engine may still have resumed the run.
	Resume(ctx context.Context, u api.Upstream, c Call, state []byte, tail []StreamEvent, emit func(StreamEvent) error) (*Result, error)
}

// Verdict is how requests with a fingerprint are treated.
type Verdict string

// Verdicts on a fingerprint.
const (
	// VerdictClear means that the request may run as usual.
	VerdictClear Verdict = "clear"
	// VerdictSuspect means that the request may run only alone on an upstream.
	VerdictSuspect Verdict = "suspect"
	// VerdictQuarantined means that the request is refused.
	VerdictQuarantined Verdict = "quarantined"
)

// Quarantine isolates requests and parts of prompts that crash upstreams, across all nodes.
type Quarantine interface {
	// Check returns the verdict and, for VerdictQuarantined, how long it still applies. For a suspect it also
	// reserves the single trial run: a second suspect run at the same time is refused with a retry time, and so is a
	// request that must wait beyond the deadline of ctx before it may run.
	Check(ctx context.Context, works failedruns.Works, requestID string) (Verdict, time.Duration)
	// ReportRun reports the end of a run that had a suspect verdict or that ended because its upstream crashed. It returns
	// whether the crash has a cause other than the request. works has no parts if the upstream crashed after it had gone on
	// with the answer, since a part of the prompt crashes it before.
	ReportRun(ctx context.Context, works failedruns.Works, requestID string, upstream string, crashed bool) (excused bool)
}

// Package gateway serves callers over HTTP. It authenticates a request, gets a slot on an upstream from admission,
// runs the request there and answers with the headers, error codes and outcomes of the public API.
//
// Inference requests, and GET, HEAD and OPTIONS calls of plain services, may be retried at any time, unless the caller
// set Trefoil-Non-Idempotent. Any other call of a plain service is retried only if no upstream can have started it. An
// Idempotency-Key does not change that: it identifies the request to this system, but does not make the service
// recognise a repetition. A resend with the same key joins the run in progress or gets the first answer, even if that
// answer is an error with outcome unknown.
//
// A run with an Idempotency-Key continues for rejoinWindow after its caller disconnects, so that a resend can join
// it. Any other run is cancelled at the upstream when its caller disconnects. A resend that joins a streamed run gets
// the complete stream after the run has ended.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/controller/callerbudget"
	"trefoilplank.example/pkg/controller/claims"
	"trefoilplank.example/pkg/controller/drain"
	"trefoilplank.example/pkg/controller/idempotency"
	decision "trefoilplank.example/pkg/decision/drain"
	"trefoilplank.example/pkg/decision/retry"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// Limiter enforces the request rate and concurrency limits of an institution over all nodes. Its errors are
// *api.Error with status 429.
type Limiter interface {
	// TakeToken counts one request against the request rate.
	TakeToken(ctx context.Context, institution string) error
	// Enter counts one request in flight until leave is called.
	Enter(ctx context.Context, institution string) (leave func(), err error)
}

// Options are the dependencies and limits of a gateway. Limiter, Quarantine, Idempotency and Explain may be nil;
// without Claims every request with Trefoil-Non-Idempotent is refused.
type Options struct {
	// Node is the name of this node; it prefixes request IDs.
	Node        string
	Board       *blackboard.Board
	Slots       serving.SlotAllocator
	Invoker     serving.Invoker
	Limiter     Limiter
	Quarantine  serving.Quarantine
	Idempotency *idempotency.Controller
	Claims      *claims.Controller
	Explain     *explain.Log
	// Objectives may be nil.
	Objectives Objectives
	// AddressTTL is how long callers may cache the answer to GET /v1/addresses.
	AddressTTL time.Duration
	// MaxBodyBytes bounds the body of inference and service calls.
	MaxBodyBytes int64
	// BodyTimeout bounds the time to receive a body; for mounted handlers it bounds the time without new data.
	BodyTimeout time.Duration
	// Timeout applies to a request without Trefoil-Timeout-Ms; MaxTimeout is the upper bound of that header.
	Timeout, MaxTimeout time.Duration
	// StallTimeout is how long the write of one stream event may block on the caller before the run is cancelled.
	StallTimeout time.Duration
	// MemberLoad returns the number of requests in progress on a node, negative if unknown. If MemberLoad is nil,
	// callers are spread evenly over the nodes.
	MemberLoad func(node string) float64
	// Random returns a number in [0,1).
	Random func() float64
	// Gate lets requests in until the node stops. New makes one if it is nil.
	Gate *drain.Gate
	// DrainPlan returns the schedule of the drain, or the zero plan while the node does not drain; nil if it never does.
	DrainPlan func() decision.Plan
}

// Defaults of Options.
const (
	DefaultAddressTTL   = 5 * time.Second
	DefaultMaxBodyBytes = 8 << 20
	defaultBodyTimeout  = 30 * time.Second
	DefaultTimeout      = 2 * time.Minute
	DefaultMaxTimeout   = 15 * time.Minute
	DefaultStallTimeout = 30 * time.Second
)

func (o *Options) setDefaults() {
	setDefault(&o.AddressTTL, DefaultAddressTTL)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.BodyTimeout, defaultBodyTimeout)
	setDefault(&o.Timeout, DefaultTimeout)
	setDefault(&o.MaxTimeout, DefaultMaxTimeout)
	setDefault(&o.StallTimeout, DefaultStallTimeout)
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.Gate == nil {
		o.Gate = drain.NewGate()
	}
	if o.DrainPlan == nil {
		o.DrainPlan = func() decision.Plan { return decision.Plan{} }
	}
	if o.Explain == nil {
		o.Explain = explain.NewLog(o.Node, 1, time.Now)
	}
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Gateway serves callers. It implements http.Handler.
type Gateway struct {
	Options
	mux         *http.ServeMux
	configIndex atomic.Pointer[configIndex]

	mu          sync.Mutex
	retryBudget *retry.Budget
	hedgeBudget *retry.Budget
	// lookupDurations holds, by service, the recent durations of successful hedgeable calls, which set the hedge delay.
	lookupDurations map[string]*retry.LookupDurations
	// firstCrashes holds the time of the first crash within retry.Window by upstream.
	firstCrashes map[string]time.Time

	// addressesValidUntil is the Unix time in nanoseconds at which the last answer to GET /v1/addresses expires.
	addressesValidUntil atomic.Int64
}

// New returns a gateway with the routes of the public API.
func New(o Options) *Gateway {
	o.setDefaults()
	g := &Gateway{
		Options: o, mux: http.NewServeMux(), lookupDurations: map[string]*retry.LookupDurations{},
		firstCrashes: map[string]time.Time{},
		retryBudget:  retry.NewBudget(retry.DefaultShare, retry.RetryReserve),
		hedgeBudget:  retry.NewBudget(retry.HedgeShare, retry.HedgeReserve),
	}
	g.mux.HandleFunc("GET /v1/models", g.models)
	g.mux.HandleFunc("GET /v1/models/{name}", g.model)
	g.mux.HandleFunc("GET /v1/addresses", g.addresses)
	g.mux.HandleFunc("POST /v1/chat/completions", g.inference)
	g.mux.HandleFunc("POST /v1/completions", g.inference)
	return g
}

// Mount adds a handler of another package. The handler runs after authentication, with the identity and the request
// ID in its context. A read of the body fails when the caller sends nothing for BodyTimeout; the entire upload may
// take longer. A draining node accepts requests as if their callers waited for Timeout. Mount must be called before the gateway serves.
func (g *Gateway) Mount(pattern string, h http.Handler) {
	g.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if now := time.Now(); g.DrainPlan().Admit(now, now.Add(g.Timeout), 0) == decision.Refused {
			refuseUnread(w, r, errStopping())
			return
		}
		if r.Body != http.NoBody {
			r.Body = &idleBody{callerbudget.Uncounted(r.Body), r.Context(), http.NewResponseController(w), g.BodyTimeout}
		}
		h.ServeHTTP(w, r)
	})
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.Gate.Active() }

// servicePrefix is handled before the mux, which would redirect a path with "//" or ".." to its cleaned form.
const servicePrefix = "/v1/services/"

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := g.Node + "-" + ulid.Make().String()
	w.Header().Set(api.HeaderRequestID, id)
	ctx := serving.WithRequestID(r.Context(), id)
	if g.Board.Draining.Value() {
		// Closing the connection makes the caller send its next request to another node.
		w.Header().Set("Connection", "close")
	}
	if !g.Gate.Enter() {
		refuseUnread(w, r.WithContext(ctx), errStopping())
		return
	}
	defer g.Gate.Leave()
	defer func() {
		if p := recover(); p != nil {
			if p == http.ErrAbortHandler {
				panic(p)
			}
			klog.ErrorS(nil, "Handler panicked", "request", id, "path", r.URL.Path, "panic", p)
			WriteError(w, r.WithContext(ctx), api.Errorf(http.StatusInternalServerError, api.CodeInternal, api.Unknown,
				"internal error"))
		}
	}()
	if headerBytes(r) > MaxHeaderBytes {
		refuseUnread(w, r.WithContext(ctx), api.Errorf(http.StatusRequestHeaderFieldsTooLarge, api.CodeTooLarge, api.NotRun,
			"the header is larger than %d bytes", MaxHeaderBytes))
		return
	}
	identity, err := g.identify(r)
	if err != nil {
		refuseUnread(w, r.WithContext(ctx), err)
		return
	}
	r = r.WithContext(serving.WithIdentity(ctx, identity))
	if strings.HasPrefix(r.URL.Path, servicePrefix) {
		g.service(w, r)
		return
	}
	// The mux would redirect a path that is not clean, and a redirect would carry no outcome.
	if _, pattern := g.mux.Handler(r); pattern == "" || path.Clean(r.URL.Path) != r.URL.Path {
		refuseUnread(w, r, api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no such path or method"))
		return
	}
	g.mux.ServeHTTP(w, r)
}

// errStopping refuses a request that the node would have to end before its deadline. Other nodes can serve it.
func errStopping() *api.Error {
	e := api.Errorf(http.StatusServiceUnavailable, api.CodeNotReady, api.NotRun, "the node stops")
	e.RetryAfter = retryAfter
	return e
}

// unreadBodyTimeout bounds how long the server reads the unread body of a refused request before it answers.
const unreadBodyTimeout = time.Second

// refuseUnread answers a request whose body has not been read with an error. net/http reads the rest of a short body
// before it answers; without a read deadline, a caller that stops sending would keep the connection open forever.
func refuseUnread(w http.ResponseWriter, r *http.Request, err error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	WriteError(w, r, err)
}

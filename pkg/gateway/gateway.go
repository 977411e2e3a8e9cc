// Package gateway is the interface to callers over HTTP. It authenticates a request, runs it on an upstream
// through admission, and answers with the headers, codes and outcomes of the external contract.
//
// What may be repeated: inference requests, and GET, HEAD and OPTIONS calls of plain services, unless the caller
// set Trefoil-Non-Idempotent. Any other call of a plain service is sent again only if no upstream can have begun
// it. An Idempotency-Key does not change that, because it says how the caller names the request and not that the
// service recognises a repetition; the key lets a resend join the run or get the first answer, also when that
// answer is an error with the outcome unknown.
//
// A request with an Idempotency-Key goes on for a while after its caller has gone, so that a resend can join it.
// Any other run is cancelled at the upstream when its caller disconnects. A resend that joins a streamed run gets
// the whole stream when the run has ended.
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
	"trefoilplank.example/pkg/controller/claims"
	"trefoilplank.example/pkg/controller/idempotency"
	"trefoilplank.example/pkg/decision/retry"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/serving"
)

// Limiter holds an institution's limits over all nodes. Errors are *api.Error with status 429.
type Limiter interface {
	// Take books one request against the request rate.
	Take(ctx context.Context, institution string) error
	// Enter books one request in flight; leave ends it.
	Enter(ctx context.Context, institution string) (leave func(), err error)
}

// Options are the parts that a gateway works with. Limiter, Quarantine, Idempotency and Explain may be nil;
// without Claims every request marked non-idempotent is refused.
type Options struct {
	// Node is the name of this node; it prefixes request ids.
	Node        string
	Board       *blackboard.Board
	Slots       serving.Slots
	Invoker     serving.Invoker
	Limiter     Limiter
	Quarantine  serving.Quarantine
	Idempotency *idempotency.Controller
	Claims      *claims.Controller
	Explain     *explain.Log
	// Objectives may be nil.
	Objectives Objectives
	// AddressTTL is how long callers may keep an address answer.
	AddressTTL time.Duration
	// MaxBodyBytes bounds the body of inference and service calls.
	MaxBodyBytes int64
	// BodyTimeout bounds the time in which a caller sends its body.
	BodyTimeout time.Duration
	// Timeout is the deadline of a request that names none; MaxTimeout bounds the one it names.
	Timeout, MaxTimeout time.Duration
	// StallTimeout is how long a caller of a stream may take no data before its run is cancelled.
	StallTimeout time.Duration
	// MemberLoad returns the requests in progress on a node, negative if unknown; nil spreads callers evenly.
	MemberLoad func(node string) float64
	// Random returns a number in [0,1).
	Random func() float64
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
	mux        *http.ServeMux
	identities atomic.Pointer[identities]

	mu     sync.Mutex
	budget *retry.Budget
	hedges *retry.Budget
	// lookups holds the durations of lookups by service.
	lookups map[string]*retry.Durations
	// deaths holds the last death by upstream.
	deaths map[string]time.Time
	// firstDeaths holds the first death within retry.Window by upstream.
	firstDeaths map[string]time.Time

	// active counts the requests in progress.
	active atomic.Int64
	// answersUntil is the unix time in nanoseconds at which the last address answer runs out.
	answersUntil atomic.Int64
}

// New returns a gateway.
func New(o Options) *Gateway {
	o.setDefaults()
	g := &Gateway{
		Options: o, mux: http.NewServeMux(), lookups: map[string]*retry.Durations{}, deaths: map[string]time.Time{},
		firstDeaths: map[string]time.Time{},
		budget:      retry.NewBudget(retry.DefaultShare, retry.Reserve),
		hedges:      retry.NewBudget(retry.HedgeShare, retry.HedgeReserve),
	}
	g.mux.HandleFunc("GET /v1/models", g.models)
	g.mux.HandleFunc("GET /v1/models/{name}", g.model)
	g.mux.HandleFunc("GET /v1/addresses", g.addresses)
	g.mux.HandleFunc("POST /v1/chat/completions", g.inference)
	g.mux.HandleFunc("POST /v1/completions", g.inference)
	return g
}

// Mount adds a handler of another part. It runs after authentication, with the identity and the request id in
// its context. Reading the body fails when the caller sends nothing for BodyTimeout; an upload as a whole may take
// longer. It must be called before the gateway serves.
func (g *Gateway) Mount(pattern string, h http.Handler) {
	g.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			r.Body = &idleBody{r.Body, http.NewResponseController(w), g.BodyTimeout}
		}
		h.ServeHTTP(w, r)
	})
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// servicePrefix is handled before the mux, which would redirect paths that are not in their shortest form.
const servicePrefix = "/v1/services/"

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	id := g.Node + "-" + ulid.Make().String()
	w.Header().Set(api.HeaderRequestID, id)
	ctx := serving.WithRequestID(r.Context(), id)
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
	if g.Board.Draining.Value() {
		// The caller takes its next request to another node.
		w.Header().Set("Connection", "close")
	}
	if headerBytes(r) > MaxHeaderBytes {
		refuse(w, r.WithContext(ctx), api.Errorf(http.StatusRequestHeaderFieldsTooLarge, api.CodeTooLarge, api.NotRun,
			"the header is larger than %d bytes", MaxHeaderBytes))
		return
	}
	who, err := g.identify(r)
	if err != nil {
		refuse(w, r.WithContext(ctx), err)
		return
	}
	r = r.WithContext(serving.WithIdentity(ctx, who))
	if strings.HasPrefix(r.URL.Path, servicePrefix) {
		g.service(w, r)
		return
	}
	// The mux would redirect a path that is not in its shortest form; a redirect has no outcome.
	if _, pattern := g.mux.Handler(r); pattern == "" || path.Clean(r.URL.Path) != r.URL.Path {
		refuse(w, r, api.Errorf(http.StatusNotFound, api.CodeNotFound, api.NotRun, "no such path or method"))
		return
	}
	g.mux.ServeHTTP(w, r)
}

// refuseTimeout bounds how long a refusal waits for a body that nobody reads.
const refuseTimeout = time.Second

// refuse answers a request whose body has not been read. The server reads the rest of a short body before it
// answers; without a deadline, a caller that stalls would hold the connection for ever.
func refuse(w http.ResponseWriter, r *http.Request, err error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refuseTimeout))
	WriteError(w, r, err)
}

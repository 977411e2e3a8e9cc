package upstreams

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/decision/placement"
	"trefoilplank.example/pkg/decision/reconcile"
)

// Load is the load that an upstream reports about itself.
type Load struct {
	Running, Waiting, Slots int
	KVUsed, KVCapacity      int
	// At is when the upstream measured the load; zero when it did not report the time.
	At time.Time
}

// State is what an engine has loaded.
type State struct {
	// Models are the models and adapters that are loaded.
	Models []string
	// Engine is the complete answer. NoOrders is set when the engine has no state endpoint; such an engine takes no orders
	// to load or unload models.
	Engine   reconcile.State
	NoOrders bool
}

// Events are the cache events after a requested sequence number.
type Events struct {
	Events []placement.CacheEvent
	// Next is the engine's latest sequence number, which is smaller than the requested one after a restart of the
	// engine; 0 when the engine did not report it.
	Next int64
}

// Prober polls upstreams.
type Prober interface {
	Load(ctx context.Context, u api.Upstream) (Load, error)
	// State and CacheEvents are called for engines only.
	State(ctx context.Context, u api.Upstream) (State, error)
	CacheEvents(ctx context.Context, u api.Upstream, after int64) (Events, error)
}

// HTTPProber reads /load, /state and /cache/events (design section 3.3).
type HTTPProber struct {
	// Client is used for all calls; nil means http.DefaultClient.
	Client *http.Client
}

// errNotFound means that the upstream has no endpoint at the path.
var errNotFound = Error.New("HTTP status 404")

// maxProbeBytes bounds the size of one response body.
const maxProbeBytes = 4 << 20

// getJSON decodes the JSON response to a GET of the path. The error is errNotFound after status 404.
func (p *HTTPProber) getJSON(ctx context.Context, u api.Upstream, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+path, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	client := p.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return errNotFound
	}
	if resp.StatusCode != http.StatusOK {
		return Error.New("GET %s: status %d", path, resp.StatusCode)
	}
	return Error.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxProbeBytes)).Decode(into))
}

// timestamp decodes a time given as RFC 3339 text or as a number of seconds or milliseconds since 1970.
type timestamp struct{ time.Time }

func (m *timestamp) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '"' {
		return m.Time.UnmarshalJSON(b)
	}
	n, err := strconv.ParseFloat(string(b), 64)
	if err != nil {
		return fmt.Errorf("time %s is neither text nor a number", b)
	}
	if n > 1e11 {
		n /= 1e3
	}
	m.Time = time.UnixMicro(int64(n * 1e6))
	return nil
}

// Load implements Prober.
func (p *HTTPProber) Load(ctx context.Context, u api.Upstream) (Load, error) {
	var body struct {
		Running    int       `json:"running"`
		Waiting    int       `json:"waiting"`
		Slots      int       `json:"slots"`
		KVUsed     int       `json:"kv_used"`
		KVCapacity int       `json:"kv_capacity"`
		At         timestamp `json:"at"`
	}
	err := p.getJSON(ctx, u, "/load", &body)
	return Load{Running: body.Running, Waiting: body.Waiting, Slots: body.Slots, KVUsed: body.KVUsed,
		KVCapacity: body.KVCapacity, At: body.At.Time}, err
}

// State implements Prober.
func (p *HTTPProber) State(ctx context.Context, u api.Upstream) (State, error) {
	var s reconcile.State
	err := p.getJSON(ctx, u, "/state", &s)
	if errors.Is(err, errNotFound) {
		return State{NoOrders: true}, nil
	}
	models := slices.Sorted(maps.Keys(s.Models))
	return State{Models: append(models, s.Adapters...), Engine: s}, err
}

// CacheEvents implements Prober. The body is
// {"events":[{"seq":1,"type":"stored|evicted|cleared","hashes":[...]}],"next":1}, with the hashes in the form of
// serving.Request.PrefixHashes and next the latest sequence number.
func (p *HTTPProber) CacheEvents(ctx context.Context, u api.Upstream, after int64) (Events, error) {
	var body struct {
		Events []struct {
			Seq    int64                    `json:"seq"`
			Type   placement.CacheEventKind `json:"type"`
			Hashes []uint64                 `json:"hashes"`
		} `json:"events"`
		Next int64 `json:"next"`
	}
	if err := p.getJSON(ctx, u, fmt.Sprintf("/cache/events?after=%d", after), &body); err != nil {
		return Events{}, err
	}
	out := Events{Next: body.Next}
	for _, e := range body.Events {
		out.Events = append(out.Events, placement.CacheEvent{Seq: e.Seq, Kind: e.Type, Hashes: e.Hashes})
	}
	return out, nil
}

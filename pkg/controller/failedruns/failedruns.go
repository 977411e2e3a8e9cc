// Package failedruns spreads the records of failed runs over all nodes, so that a request that crashes upstreams is not
// sent to more of them by another node, and an item's failed runs still count when another node takes over its job.
//
// A node tells two others of a failed run before the work is repeated. All nodes get the records with the exchanges of
// load. Quarantined requests are also stored, for nodes that start later or reach no other node.
package failedruns

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"trefoilplank.example/pkg/adapter/dial"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/eventlog"
)

const (
	// checkTimeout bounds the connection attempt that tells whether an upstream has crashed. Upstreams are a few
	// milliseconds away.
	checkTimeout = 100 * time.Millisecond
	// confirmTime is how long after a run broke off the end of its upstream still counts as its cause: entries of
	// upstreams are removed after some seconds of silence.
	confirmTime = 6 * time.Second
	// maxSilent limits the runs that were given up and may turn out to have crashed their upstreams.
	maxSilent = 1024
	// maxSurvived limits the fingerprints of requests that were run without a crash, and the parts of those, at about 150 bytes
	// each. survivedTime is how long such a run speaks for equal requests, and partSurvivedTime for others with the same part.
	maxSurvived, survivedTime = 4096, time.Minute
	partSurvivedTime          = time.Second
	// holders is the number of other nodes that are told of a failed run at once, and shareTimeout bounds the calls.
	holders, shareTimeout = 2, 150 * time.Millisecond
	// exchangeRecords limits the records in one exchange, and startRecords those in the answer to a node that has
	// started, at about 150 bytes each.
	exchangeRecords, startRecords = 256, 4096
	// startTime is how long a node that has started tries to read the records of others, and startRetry the pause
	// between attempts. Within it a node learns of the others.
	startTime, startRetry = 10 * time.Second, 100 * time.Millisecond
)

// Options configures a Controller.
type Options struct {
	// Node is this node's name, and Incarnation the start of its process.
	Node        string
	Incarnation int64
	Store       store.Store
	Peers       peer.Caller
	// Others returns the names of the other live nodes, in the order in which they are told.
	Others func() []string
	// Owner returns the live node that grants the trials of a quarantined request.
	Owner func(fingerprint string) string
	// Connect opens and closes a connection to an upstream. The error matches syscall.ECONNREFUSED if nothing listens at its
	// address. If it is nil, this node's own connections tell alone.
	Connect func(ctx context.Context, address string) error
	// Exchange starts an exchange with the hub. Without a hub it is nil, and changes are sent to all other nodes.
	Exchange func()
	// Prefix is the key prefix of quarantines in the store. Without a mirror that passes them to SetStored, ReadStored makes
	// Run read them once.
	Prefix     string
	ReadStored bool
	Log        *eventlog.Log
	Metrics    *Metrics
}

// Controller records this node's failed runs and keeps those of all nodes. A nil Controller records nothing. It is safe
// for concurrent use.
type Controller struct {
	options Options
	runs    atomic.Int64
	// blames is set while the ledger holds records that speak against requests, and records while it holds any, so that
	// requests and items are checked without a lock otherwise.
	blames, records atomic.Bool

	mu     sync.Mutex
	ledger *failedruns.Ledger
	// survived holds when upstreams last ran the last requests without crashing, by fingerprint, each until a run breaks off
	// here or elsewhere.
	survived *lru.Cache[string, time.Time]
	// survivedParts holds when upstreams last ran requests with each part without crashing.
	survivedParts *lru.Cache[string, time.Time]
	// silent holds the runs of this node that were given up, as long as their upstreams may turn out to have crashed.
	silent      []silentRun
	quarantines quarantines
	spread      spread
	// trials holds when this node last granted a trial of a request.
	trials map[string]time.Time
}

// silentRun is a run that was given up, as the record of a crash at the time since which no data came.
type silentRun struct {
	record failedruns.Record
	at     time.Time
}

func (c *Controller) newRecord(kind failedruns.Kind, u dispatch.Upstream) failedruns.Record {
	return failedruns.Record{Run: c.newRun(), Kind: kind, Upstream: u.ID, Incarnation: u.Incarnation}
}

// New returns a controller. Run stores and reads quarantines.
func New(o Options) *Controller {
	if o.Prefix == "" {
		o.Prefix = Prefix
	}
	if o.Connect == nil {
		o.Connect = tryConnect
	}
	return &Controller{
		options: o, spread: newSpread(), survived: newSurvived(), survivedParts: newSurvived(), ledger: failedruns.NewLedger(), quarantines: newQuarantines(),
		trials: map[string]time.Time{},
	}
}

// newRun returns a name for a run that no other run has.
func (c *Controller) newRun() string {
	return fmt.Sprintf("%s/%x/%d", c.options.Node, c.options.Incarnation, c.runs.Add(1))
}

// QuarantinedFor returns how long a request must not be sent to upstreams, or 0 if it may be sent. works is only called when
// upstreams have crashed recently.
func (c *Controller) QuarantinedFor(works func() failedruns.Works) time.Duration {
	if c == nil || !c.blames.Load() {
		return 0
	}
	w := works()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.QuarantinedFor(w, time.Now())
}

// MayRepeat reports whether a request whose run has crashed its upstream may be sent to another one.
func (c *Controller) MayRepeat(works failedruns.Works) bool {
	if c == nil || !c.blames.Load() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.MayRepeat(works, time.Now())
}

// PausedUntil returns the time before which a batch item must not be sent to upstreams, or zero. Items that share a part
// under which upstreams have crashed are sent one after the other.
func (c *Controller) PausedUntil(works func() failedruns.Works) time.Time {
	if c == nil || !c.blames.Load() {
		return time.Time{}
	}
	w := works()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	until := c.ledger.PausedUntil(w, now)
	if now.Before(until) || until.IsZero() {
		return until
	}
	for _, work := range c.ledger.Blamed(failedruns.Works{Parts: w.Parts}, now) {
		if last, ok := c.trials[work]; ok && now.Sub(last) < trialTime {
			return last.Add(trialTime)
		}
	}
	return until
}

// Broken records that a run ended without an answer. It finds out whether the upstream refuses connections, and if so,
// tells other nodes of the crash before it returns. Otherwise the crash is only suspected until the upstream's entry
// shows its end.
func (c *Controller) Broken(ctx context.Context, works failedruns.Works, u dispatch.Upstream, began time.Time) {
	if c == nil {
		return
	}
	if works = c.unproven(works, time.Now()); works.Request == "" && len(works.Parts) == 0 {
		c.options.Log.Routine("broken run ignored, since the request was run before without a crash", "upstream", u.ID)
		return
	}
	r := c.newRecord(failedruns.Crashed, u)
	r.Lasted = time.Since(began)
	ctx = context.WithoutCancel(ctx)
	if errors.Is(c.options.Connect(ctx, u.Address), syscall.ECONNREFUSED) {
		c.add(ctx, "upstream crashed while it ran a request", works.Records(r)...)
		return
	}
	// Other nodes get suspected crashes with the exchange of load: they are too frequent to wait for each.
	r.Kind = failedruns.Suspected
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Merge(works.Records(r), "", time.Now())
	c.updated()
}

// Crash is a crash that Crashed has recorded.
type Crash struct {
	controller *Controller
	records    []failedruns.Record
	// LostTogether is set if other upstreams crashed within the time of Crashed without running the request.
	LostTogether bool
}

// Crashed records that an upstream crashed while it ran a request, and decides whether it was lost together with others in
// the given time. The caller must call Share on the result.
func (c *Controller) Crashed(works failedruns.Works, upstream string, began time.Time, within time.Duration) Crash {
	now := time.Now()
	request := works.Request
	works = c.unproven(works, now)
	works.Request = request // Runs that equal requests survived are the caller's to weigh.
	r := c.newRecord(failedruns.Crashed, dispatch.Upstream{ID: upstream})
	r.Lasted = now.Sub(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	records := c.merge("upstream crashed while it ran a request", works.Records(r)...)
	return Crash{c, records, c.ledger.LostTogether(request, r.Run, within)}
}

// Share tells other nodes of the crash. It returns when those that must know before the request is repeated do.
func (c *Crash) Share(ctx context.Context) {
	c.controller.share(ctx, c.records)
	c.controller.exchange()
}

// Convict records that a request caused the crashes under it.
func (c *Controller) Convict(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Convict(request)
}

// exchange makes other nodes learn of changes.
func (c *Controller) exchange() {
	if c.options.Exchange != nil {
		c.options.Exchange()
		return
	}
	c.spread.signal()
}

// Silent records that a run was given up because its upstream sent no data since the given time. That is usual while
// upstreams are full, so the run does not count, and other nodes do not learn of it, unless the upstream's entry shows
// its end.
func (c *Controller) Silent(works failedruns.Works, u dispatch.Upstream, since time.Time) {
	if c == nil {
		return
	}
	works = c.unproven(works, since)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.silent = slices.DeleteFunc(c.silent, func(old silentRun) bool { return now.Sub(old.at) >= confirmTime })
	for _, r := range works.Records(c.newRecord(failedruns.Crashed, u)) {
		if len(c.silent) < maxSilent {
			c.silent = append(c.silent, silentRun{r, since})
		}
	}
}

// tryConnect opens and closes a connection of this node's own to an upstream.
func tryConnect(ctx context.Context, address string) error {
	conn, err := dial.Dialer(checkTimeout).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // Nothing was sent.
	}
	return err
}

// UpstreamsEnded records the crashes of upstreams that have ended, unless they were leaving. One whose entry is gone may
// leave without notice and still serve, so it counts only if it takes no connections. Every node does this for the
// suspected crashes that it knows, since the node that saw them may be lost by then.
func (c *Controller) UpstreamsEnded(ended []dispatch.EndedUpstream) {
	if c == nil {
		return
	}
	for _, u := range ended {
		if u.Draining {
			continue
		}
		if records := c.takeSuspects(u); len(records) > 0 {
			go c.recordEnded(context.Background(), u, records)
		}
	}
}

// takeSuspects returns the runs whose upstream may have crashed, as crashes.
func (c *Controller) takeSuspects(u dispatch.EndedUpstream) []failedruns.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	records := c.ledger.Suspects(u.ID, u.Incarnation, confirmTime, now)
	for n := range records {
		records[n].Kind = failedruns.Crashed
	}
	c.silent = slices.DeleteFunc(c.silent, func(run silentRun) bool {
		if run.record.Upstream != u.ID || run.record.Incarnation != u.Incarnation {
			return false
		}
		if run.record.Age = now.Sub(run.at); run.record.Age < confirmTime {
			records = append(records, run.record)
		}
		return true
	})
	return records
}

func (c *Controller) recordEnded(ctx context.Context, u dispatch.EndedUpstream, records []failedruns.Record) {
	if u.Restarted || c.options.Connect(ctx, u.Address) != nil {
		c.add(ctx, "upstream whose run broke off has ended", records...)
	}
}

// Failed records that an upstream answered a run of an item with an error, and tells other nodes before it returns.
func (c *Controller) Failed(ctx context.Context, item string, kind failedruns.Kind, upstream string) {
	if c == nil {
		return
	}
	r := c.newRecord(kind, dispatch.Upstream{ID: upstream})
	r.Work = item
	c.add(context.WithoutCancel(ctx), "upstream answered an item with an error", r)
}

// Failures returns the number of an item's runs, at all nodes, that upstreams answered with an error of the kind.
func (c *Controller) Failures(item string, kind failedruns.Kind) int {
	if c == nil || !c.records.Load() {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Failures(item, kind)
}

// Alive records that an upstream delivers data on a connection that has been in use since the given time.
func (c *Controller) Alive(upstream string, inUseSince time.Time) {
	if c == nil || !c.blames.Load() {
		return
	}
	c.clear("upstream is alive", func() []failedruns.Record { return c.ledger.Alive(upstream, inUseSince, time.Now()) })
}

// clear clears records and tells other nodes in the background.
func (c *Controller) clear(reason string, update func() []failedruns.Record) {
	c.mu.Lock()
	cleared := update()
	if len(cleared) > 0 {
		c.updated()
	}
	c.mu.Unlock()
	if len(cleared) == 0 {
		return
	}
	for _, r := range cleared {
		if r.Kind == failedruns.Suspected {
			continue
		}
		c.options.Log.Routine("crash no longer counts", "fingerprint", r.Work, "upstream", r.Upstream, "reason", reason)
	}
	c.exchange()
}

// add adds records of this node and tells other nodes.
func (c *Controller) add(ctx context.Context, reason string, records ...failedruns.Record) {
	c.mu.Lock()
	records = c.merge(reason, records...)
	c.mu.Unlock()
	if len(records) > 0 {
		c.share(ctx, records)
		c.exchange()
	}
}

// merge adds records of this node, and returns those that are new; other nodes may have recorded the same crashes meanwhile.
// c.mu is held.
func (c *Controller) merge(reason string, records ...failedruns.Record) []failedruns.Record {
	records = c.ledger.Merge(records, "", time.Now())
	c.updated()
	for _, r := range records {
		c.options.Metrics.countFailedRun(r.Kind)
		c.options.Log.Notice("failed run recorded", "work", r.Work, "run", r.Run, "upstream", r.Upstream, "age_ms", r.Age.Milliseconds(),
			"crash_runs", c.ledger.Failures(r.Work, failedruns.Crashed), "errors", c.ledger.Failures(r.Work, failedruns.Errored), "reason", reason)
		c.logQuarantine(r.Work)
	}
	return records
}

// logQuarantine logs a quarantine that is new to this node; c.mu is held.
func (c *Controller) logQuarantine(work string) {
	if now := time.Now(); c.ledger.IsQuarantined(work, now) && c.quarantines.begin(work, now) {
		c.options.Metrics.countQuarantine()
		c.options.Log.Notice("request quarantined", "fingerprint", work, "part_of_prompts", failedruns.IsPart(work),
			"crash_runs", c.ledger.Failures(work, failedruns.Crashed), "for_ms", failedruns.Lifetime.Milliseconds())
	}
}

// updated is called after each change of the ledger, with c.mu held.
func (c *Controller) updated() {
	c.setFlags()
	c.quarantines.signal()
}

func (c *Controller) setFlags() {
	c.blames.Store(c.ledger.BlamesRequests())
	c.records.Store(c.ledger.Len() > 0)
}

package listjob

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventstream"
	"trefoilplank.example/pkg/forward"
)

const (
	// scheduleEvery is the longest time between two looks for a free slot.
	scheduleEvery = 250 * time.Millisecond
	// commitDelay gathers results into one entry of the log, unless the job waits for nothing else; each entry is a priced
	// call, and what a crash within the delay costs is run again.
	commitDelay = time.Second
	// commitStep is how often a gathering commit looks whether the job's last item is finished.
	commitStep = 100 * time.Millisecond
	// commitRetry is the first pause after a commit that the store did not take; it doubles up to commitRetryMax.
	commitRetry, commitRetryMax = 100 * time.Millisecond, time.Second
	// firstSilence is how long a run may give nothing at first, and eventSilence between events, before the item goes on at
	// another upstream. Engines queue for less than two seconds and give an event every 30 ms.
	firstSilence, eventSilence = 2500 * time.Millisecond, 700 * time.Millisecond
	// brokenPause is the pause after a run that broke without an event; it doubles with each up to brokenPauseMax.
	brokenPause, brokenPauseMax = 200 * time.Millisecond, 4 * time.Second
	// yieldMargin is the slack beyond the rest of an item's run that it needs to be stopped.
	yieldMargin = 1500 * time.Millisecond
	// urgentSlack is the slack below which an item may take the slots kept free for online requests.
	urgentSlack = 3 * time.Second
	// maxWant bounds the slots asked for at once.
	maxWant = 64
)

// schedule starts waiting items while slots are free.
func (c *Controller) schedule(ctx context.Context) {
	tick := time.NewTicker(scheduleEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.wake:
		case <-c.o.Placer.Freed():
		}
		c.startWaiting(ctx)
	}
}

// startWaiting starts the most urgent items.
func (c *Controller) startWaiting(ctx context.Context) {
	table := c.o.Table()
	if table == nil {
		return
	}
	now := time.Now()
	blocked := map[string]bool{}
	list := c.waitingItems(now)
	slices.SortFunc(list, urgency)
	for _, it := range list {
		route := table.Match(it.job.head.Host, it.Path)
		if route == nil || now.After(it.job.until) {
			c.o.Log.Notice("item given up", "job", it.job.head.ID, "item", it.ID, "route_gone", route == nil, "after", it.after)
			c.finish(it, Result{ID: it.ID, State: Failed})
			continue
		}
		service := route.Pick(0)
		if blocked[service] {
			continue
		}
		if !c.start(ctx, it, service, table.Service(service)) {
			blocked[service] = true
		}
	}
}

// Wants returns the slots that arrivals and waiting items could use, by service.
func (c *Controller) Wants() map[string]dispatch.Want {
	table := c.o.Table()
	if table == nil {
		return nil
	}
	now := time.Now()
	wants := c.o.Placer.Arrivals()
	for _, it := range c.waitingItems(now) {
		route := table.Match(it.job.head.Host, it.Path)
		if route == nil {
			continue
		}
		service := route.Pick(0)
		want := wants[service]
		if want.Items == maxWant {
			continue
		}
		want.Items++
		if it.job.due.Sub(now) < c.rest(it, table.Service(service))+urgentSlack {
			want.Urgent++
		}
		wants[service] = want
	}
	return wants
}

// waitingItems returns the items that can start, in no order.
func (c *Controller) waitingItems(now time.Time) []*item {
	c.mu.Lock()
	jobs := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		jobs = append(jobs, j)
	}
	c.mu.Unlock()
	var list []*item
	for _, j := range jobs {
		j.mu.Lock()
		if j.open() {
			for _, it := range j.items {
				if it.phase == waiting && !now.Before(it.notBefore) {
					list = append(list, it)
				}
			}
		}
		j.mu.Unlock()
	}
	return list
}

// start begins a run of an item if a slot is free.
func (c *Controller) start(ctx context.Context, it *item, name string, service *routing.Service) bool {
	var upstream dispatch.Upstream
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	run := c.o.Placer.Batch(name, func(u dispatch.Upstream) *placer.BatchRun {
		upstream = u
		return &placer.BatchRun{
			Item: it.ID, Stop: cancel,
			Yields: func(now time.Time) bool {
				return it.job.due.Sub(now) > c.rest(it, service)+yieldMargin || now.After(it.job.due)
			},
		}
	})
	if run == nil {
		cancel()
		return false
	}
	it.job.mu.Lock()
	if it.phase != waiting || !it.job.open() {
		it.job.mu.Unlock()
		cancel()
		c.o.Placer.EndBatch(run)
		return true
	}
	it.phase, it.stop, it.began = running, cancel, time.Now()
	it.job.mu.Unlock()
	go func() {
		defer cancel()
		err := c.run(ctx, it, upstream)
		c.o.Placer.EndBatch(run)
		c.after(ctx, it, upstream, err)
	}()
	return true
}

// errDone is a final answer of an upstream about an item.
var errDone = Error.New("item can never be done")

// errFailedRun is an answer of 500.
var errFailedRun = Error.New("run failed at the upstream")

// run sends an item to an upstream and collects its events.
func (c *Controller) run(ctx context.Context, it *item, u dispatch.Upstream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(firstSilence, func() { cancel(forward.ErrSilent) })
	defer silence.Stop()
	header := make(http.Header, len(it.Header))
	for name, value := range it.Header {
		header.Set(name, value)
	}
	request := &forward.Request{
		ID: it.ID, Method: http.MethodPost, Host: it.job.head.Host, Target: it.Path, Header: header, Body: it.Body,
	}
	pace := c.o.Placer.Pace(u.ID, false)
	err := c.send(ctx, it, u, request, func(events int) {
		silence.Reset(eventSilence)
		pace.Heard(events, time.Now())
	})
	switch {
	case errors.Is(context.Cause(ctx), forward.ErrSilent):
		pace.Silent()
	case errors.Is(err, forward.ErrNotRun), ctx.Err() != nil:
		pace.Enter()
	default:
		pace.End(err != nil && !errors.Is(err, errDone))
	}
	return err
}

// send makes one call for an item; heard gets the number of events that came at once.
func (c *Controller) send(ctx context.Context, it *item, u dispatch.Upstream, request *forward.Request, heard func(events int)) error {
	resp, err := c.o.Client.Send(ctx, u, request, 0, it.after)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	c.o.Placer.Answered(u.ID, c.o.Client.Busy(resp.Header))
	switch {
	case resp.StatusCode == http.StatusUnprocessableEntity:
		return errDone
	case resp.StatusCode == http.StatusInternalServerError:
		return errFailedRun
	case resp.StatusCode != http.StatusOK:
		return Error.New("upstream answered %d", resp.StatusCode)
	}
	return it.collect(resp.Body, heard)
}

// collect appends whole events to the item until the stream ends as complete.
func (it *item) collect(body io.Reader, heard func(events int)) error {
	buffer := make([]byte, 0, 8<<10)
	for {
		if cap(buffer)-len(buffer) < 1<<10 {
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			before := it.after
			rest, err := it.take(buffer)
			if err != nil {
				return err
			}
			heard(int(it.after - before))
			buffer = buffer[:copy(buffer, rest)]
		}
		switch {
		case errors.Is(err, io.EOF) && len(buffer) == 0 && it.after >= 0:
			return nil
		case errors.Is(err, io.EOF):
			return Error.New("stream ended within an event")
		case err != nil:
			return Error.Wrap(err)
		}
	}
}

// take appends the whole events of held and returns the rest.
func (it *item) take(held []byte) ([]byte, error) {
	it.job.mu.Lock()
	defer it.job.mu.Unlock()
	for {
		event, rest, ok := bytes.Cut(held, eventstream.End)
		if !ok {
			return held, nil
		}
		if err := it.event(event); err != nil {
			return nil, err
		}
		held = rest
	}
}

// event appends one event, which must follow the last one.
func (it *item) event(event []byte) error {
	id, data := int64(-1), []byte(nil)
	hasData := false
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		n, ok, err := eventstream.ID(line)
		if err != nil {
			return err
		}
		if ok {
			id = n
		}
		if text, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			text, _ = bytes.CutPrefix(text, []byte(" "))
			if hasData {
				data = append(data, '\n')
			}
			data, hasData = append(data, text...), true
		}
	}
	if id < 0 {
		return nil
	}
	if err := eventstream.Follow(it.after, id); err != nil {
		return err
	}
	if it.lines.Load() > 0 {
		it.text = append(it.text, '\n')
	}
	it.text = append(it.text, data...)
	it.after = id
	it.lines.Add(1)
	return nil
}

// after decides what follows a run.
func (c *Controller) after(ctx context.Context, it *item, u dispatch.Upstream, err error) {
	stopped := ctx.Err() != nil
	it.job.mu.Lock()
	it.stop = nil
	if it.phase != running {
		it.job.mu.Unlock()
		return
	}
	it.phase = waiting
	route := c.route(it)
	fields := []any{"job", it.job.head.ID, "item", it.ID, "upstream", u.ID, "after", it.after, "error", err, "failures", it.failures,
		"ms", time.Since(it.began).Milliseconds(), "slack_ms", time.Until(it.job.due).Milliseconds()}
	state := State("")
	result := Result{ID: it.ID}
	switch {
	case err == nil:
		state, result.Text = Completed, string(it.text)
		c.learnLength(it.job, it, int(it.lines.Load()))
	case stopped:
		c.o.Metrics.run("stopped")
		c.o.Log.Routine("item stopped", fields...)
	case errors.Is(err, errDone):
		state = Failed
	case errors.Is(err, errFailedRun):
		it.failures++
		if route == nil || it.failures >= max(1, route.MaxAttempts) {
			state = Failed
		}
	default:
		c.o.Metrics.run("broken")
		c.broke(it, u, err)
	}
	if state != "" {
		// The result is queued under the same lock, so that no other run of the item begins meanwhile.
		result.State = state
		c.queue(it, result)
		it.job.mu.Unlock()
		c.o.Metrics.run(string(state))
		c.o.Metrics.finished(time.Since(it.job.head.Submitted))
		c.o.Log.Routine("item finished", append(fields, "state", state)...)
		return
	}
	it.job.mu.Unlock()
	if !stopped {
		c.o.Log.Notice("item goes on elsewhere", fields...)
	}
	c.wakeUp()
}

// broke counts a run that ended without an answer of the upstream about the item. The caller holds the job's lock.
func (c *Controller) broke(it *item, u dispatch.Upstream, err error) {
	switch {
	case errors.Is(err, forward.ErrFull):
		c.o.Placer.Refused(u.ID)
	case errors.Is(err, forward.ErrUnreachable):
		c.o.Placer.Failed(u.ID, true, err)
	case errors.Is(err, forward.ErrNotRun):
	default:
		c.o.Placer.Failed(u.ID, false, err)
		it.broken++
		wait := min(brokenPause<<min(it.broken-1, 10), brokenPauseMax)
		it.notBefore = time.Now().Add(wait + rand.N(wait/2))
	}
}

// route returns the route of an item in force, or nil.
func (c *Controller) route(it *item) *routing.Route {
	table := c.o.Table()
	if table == nil {
		return nil
	}
	return table.Match(it.job.head.Host, it.Path)
}

// finish queues the result of an item that is not running.
func (c *Controller) finish(it *item, result Result) {
	it.job.mu.Lock()
	defer it.job.mu.Unlock()
	if it.phase == waiting {
		c.queue(it, result)
	}
}

// queue queues an item's result for the log. The caller holds the job's lock.
func (c *Controller) queue(it *item, result Result) {
	j := it.job
	it.phase, it.result, it.text = finished, result, nil
	j.pending = append(j.pending, it)
	if !j.committing {
		j.committing = true
		go c.commit(j)
	}
}

// gather waits for more results, as long as some are to come soon.
func (j *job) gather() {
	for waited := time.Duration(0); waited < commitDelay; waited += commitStep {
		time.Sleep(commitStep)
		j.mu.Lock()
		all := len(j.results)+len(j.pending) >= len(j.items) || j.released || time.Until(j.due) < urgentSlack
		j.mu.Unlock()
		if all {
			return
		}
	}
}

// commit writes queued results to the log until none is left.
func (c *Controller) commit(j *job) {
	wait := commitRetry
	for {
		j.gather()
		j.mu.Lock()
		batch := j.takePending()
		if len(batch) == 0 || j.released {
			j.committing = false
			j.mu.Unlock()
			return
		}
		e := entry{Node: c.self().Node, Nonce: rand.Int64()}
		for _, it := range batch {
			e.Results = append(e.Results, it.result)
		}
		number := j.next
		j.mu.Unlock()
		if err := c.writeEntry(j, number, e); err != nil {
			c.o.Log.Notice("results not stored yet", "job", j.head.ID, "entry", number, "results", len(e.Results), "error", err)
			time.Sleep(wait + rand.N(wait/2))
			wait = min(2*wait, commitRetryMax)
			continue
		}
		wait = commitRetry
	}
}

// writeEntry creates an entry of the log, or takes the entry that another node created under the same number.
func (c *Controller) writeEntry(j *job, number int, e entry) error {
	value, err := json.Marshal(e)
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), adoptTimeout)
	defer cancel()
	_, err = c.o.Store.Put(ctx, entryKey(j.head.ID, number), value, store.CreateOnly)
	if err != nil {
		o, readErr := c.o.Store.Get(store.WithFresh(ctx), entryKey(j.head.ID, number))
		if readErr != nil {
			return errors.Join(err, readErr)
		}
		e = entry{}
		if err := json.Unmarshal(o.Value, &e); err != nil {
			return Error.Wrap(err)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.next == number {
		j.next++
		j.list(e.Results)
	}
	return nil
}

func (c *Controller) putHead(ctx context.Context, h head, revision int64) (int64, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return c.o.Store.Put(ctx, headKind+h.ID, value, revision)
}

func isConflict(err error) bool { return errors.Is(err, store.ErrConflict) }

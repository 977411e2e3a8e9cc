package listjob

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
	"unicode/utf8"

	"trefoilplank.example/pkg/adapter/answers"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/dispatch"
	decision "trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventstream"
	"trefoilplank.example/pkg/forward"
)

const (
	// maxCommitDelay is how long results are collected at most for one log entry, unless no other result of the job is
	// expected: each entry is a call to the store, and results lost in a crash meanwhile are computed again. It is shortened
	// to a commitDelayParts-th of the time until the job is due.
	maxCommitDelay, commitDelayParts = 3 * time.Second, 4
	// commitPoll is the interval at which waitForMore checks whether all items of the job are finished.
	commitPoll = 100 * time.Millisecond
	// commitRetry is the first pause after the store failed to store an entry; it doubles up to commitRetryMax.
	commitRetry, commitRetryMax = 100 * time.Millisecond, time.Second
	// maxEventBytes limits the size of an incomplete event, and maxTextBytes that of an item's text: callers accept reads of 1 MB.
	// minReadBytes is the least room for a read.
	maxEventBytes, maxTextBytes, minReadBytes = 256 << 10, 900 << 10, 1 << 10
	// brokenRunPause is the pause after the first run of an item that broke off; it doubles with each further one up
	// to brokenRunPauseMax.
	brokenRunPause, brokenRunPauseMax = 200 * time.Millisecond, 4 * time.Second
)

// errItemRejected means that an upstream rejected an item for good (status 422).
var errItemRejected = Error.New("upstream rejected the item")

// errAnswerTooLong means that an upstream sent more than an item's text may have.
var errAnswerTooLong = Error.New("answer is too long")

// errRunFailed means that an upstream answered with status 500.
var errRunFailed = Error.New("upstream answered with status 500")

// errMayBeLost means that another node may have taken the job over, or ended it, since the run was decided on.
var errMayBeLost = errors.Join(forward.ErrNotRun, Error.New("job may have another owner"))

// runItem sends an item to an upstream and collects its events.
func (c *Controller) runItem(ctx context.Context, it *item, u dispatch.Upstream) error {
	it.silentFor = 0
	mayRun := func() error {
		if !c.ownership().mayRun(it.job) {
			return errMayBeLost
		}
		return nil
	}
	if err := mayRun(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	it.job.mu.Lock()
	request := newRequest(it.job.head, &it.Item)
	request.MaySend = mayRun
	request.Identified = request.Identified || c.hasCustomers()
	it.beganWriting = false
	timeouts := newEventTimeouts(c.lengths.pace(u.Service), it.brokenRuns)
	it.job.mu.Unlock()
	silence := c.watchSilence(ctx, u, timeouts, func() { cancel(forward.ErrUnresponsive) })
	defer func() { it.silentFor = silence.stop(time.Now()) }()
	measurement, started := c.options.Placer.MeasureRun(u.ID, false), time.Now()
	received := 0
	err := c.sendItem(ctx, it, u, request, func(events int) {
		if events > 0 { // Bytes of an event that is never completed are no progress.
			silence.heard(time.Now())
		}
		c.options.FailedRuns.Alive(u.ID, started)
		if received += events; received > 1 && !it.beganWriting {
			it.beganWriting = true
			c.options.FailedRuns.PartsSurvived(c.works(it).Parts)
		}
		measurement.RecordEvents(events, time.Now())
	})
	if errors.Is(context.Cause(ctx), forward.ErrUnresponsive) {
		err = errors.Join(forward.ErrUnresponsive, err)
	}
	err = c.options.Client.Attribute(ctx, u, err)
	switch {
	case errors.Is(err, forward.ErrOwnConnection):
		measurement.Flush()
	case errors.Is(err, forward.ErrUnresponsive):
		measurement.RecordTimeout()
	case errors.Is(err, forward.ErrNotRun), ctx.Err() != nil:
		measurement.Flush()
	default:
		measurement.RecordEnd(err != nil && !errors.Is(err, errItemRejected))
	}
	return err
}

// newRequest returns an item as a request to an upstream.
func newRequest(h head, it *Item) *forward.Request {
	header := make(http.Header, len(it.Header))
	for name, value := range it.Header {
		header.Set(name, value)
	}
	return &forward.Request{
		ID: it.ID, Method: http.MethodPost, Host: h.Host, Target: it.Path, Header: header, Body: it.Body, Customer: h.Customer, Identified: h.Customer != "",
	}
}

// sendItem makes one call for an item; received is called with the number of events that arrived together.
func (c *Controller) sendItem(ctx context.Context, it *item, u dispatch.Upstream, request *forward.Request, received func(events int)) error {
	resp, err := c.options.Client.Send(ctx, u, request, 0, it.lastEvent)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	c.options.Placer.RecordAnswer(u.ID, c.options.Client.ReportedLoad(resp.Header))
	switch {
	case resp.StatusCode == http.StatusUnprocessableEntity:
		return errItemRejected
	case resp.StatusCode == http.StatusInternalServerError:
		return errRunFailed
	case resp.StatusCode != http.StatusOK:
		return Error.New("upstream answered with status %d", resp.StatusCode)
	}
	before := it.lastEvent
	if err := it.readEvents(resp.Body, u.SoftwareVersion, received); err != nil {
		return err
	}
	if it.lastEvent == before && answers.EndsWithConnection(resp) {
		return Error.New("stream ended without a complete event")
	}
	return nil
}

// readEvents appends complete events, from an upstream of a software version, to the item until the stream ends after a
// complete event.
func (it *item) readEvents(body io.Reader, version string, received func(events int)) error {
	buffer := make([]byte, 0, 8<<10)
	for {
		if cap(buffer)-len(buffer) < minReadBytes {
			buffer = append(make([]byte, 0, min(2*cap(buffer), maxEventBytes+minReadBytes)), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			before := it.lastEvent
			rest, err := it.appendEvents(buffer, version)
			if err != nil {
				return err
			}
			received(int(it.lastEvent - before))
			buffer = buffer[:copy(buffer, rest)]
		}
		switch {
		case errors.Is(err, io.EOF) && len(buffer) == 0 && it.lastEvent >= 0:
			return nil
		case errors.Is(err, io.EOF):
			return Error.New("stream ended within an event")
		case err != nil:
			return Error.Wrap(err)
		case len(buffer) > maxEventBytes:
			return errors.Join(errAnswerTooLong, Error.New("incomplete event is longer than %d bytes", maxEventBytes))
		}
	}
}

// appendEvents appends the complete events of data to the item and returns the remaining bytes.
func (it *item) appendEvents(data []byte, version string) ([]byte, error) {
	it.job.mu.Lock()
	defer it.job.mu.Unlock()
	defer func() {
		if it.version == nil && it.lastEvent >= 0 {
			it.version = &version
		}
	}()
	for {
		event, rest, ok := bytes.Cut(data, eventstream.EventEnd)
		if !ok {
			return data, nil
		}
		if err := it.appendEvent(event); err != nil {
			return nil, err
		}
		data = rest
	}
}

// appendEvent appends one event, whose number must follow the last one.
func (it *item) appendEvent(event []byte) error {
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
	if err := eventstream.CheckNext(it.lastEvent, id); err != nil {
		return err
	}
	if len(it.text)+len(data) > maxTextBytes {
		return errors.Join(errAnswerTooLong, Error.New("text is longer than %d bytes", maxTextBytes))
	}
	if it.lines.Load() > 0 {
		it.text = append(it.text, '\n')
	}
	it.text = append(it.text, data...)
	it.lastEvent = id
	it.lines.Add(1)
	return nil
}

// runEnded records the result of a run, or makes the item wait for another run.
func (c *Controller) runEnded(ctx context.Context, it *item, u dispatch.Upstream, err error) {
	stopped := ctx.Err() != nil
	it.job.mu.Lock()
	it.cancelRun = nil
	if it.phase != running {
		it.job.mu.Unlock()
		c.options.Log.Routine("run ended of an item that is listed already", "job", it.job.head.ID, "item", it.ID, "upstream", u.ID, "error", err)
		return
	}
	it.phase, it.waitingSince = waiting, time.Now()
	route := c.routeOf(it)
	fields := []any{"job", it.job.head.ID, "item", it.ID, "upstream", u.ID, "after", it.lastEvent, "error", err, "failures", it.failures,
		"ms", time.Since(it.runStart).Milliseconds(), "ended", it.job.head.Ended, "released", it.job.released, "slack_ms", time.Until(it.job.due()).Milliseconds()}
	state := State("")
	result := Result{ID: it.ID}
	switch {
	case err == nil:
		state, result.Text = Completed, decodeText(it.text)
		c.observeLength(it.job, it, int(it.lines.Load()))
	case stopped:
		c.holdSilent(it, u, err)
		c.options.Metrics.countRun("stopped")
		c.options.Log.Routine("run of item stopped", fields...)
	case errors.Is(err, errItemRejected):
		state = Failed
	case errors.Is(err, errRunFailed):
		it.failures++
		if failures := max(it.failures, c.options.FailedRuns.Failures(it.key, decision.Errored)); route == nil || failures >= max(1, route.MaxAttempts) {
			state = Failed
		}
	default:
		c.options.Metrics.countRun("broken")
		c.recordBrokenRun(it, u, err)
	}
	if state != "" {
		// The result is queued under the same lock, so that no other run of the item starts in between.
		result.State = state
		c.queueResult(it, result)
		it.job.mu.Unlock()
		c.options.Metrics.countRun(string(state))
		c.options.Metrics.observeItem(time.Since(it.job.head.Submitted))
		c.options.Log.Routine("item finished", append(fields, "state", state)...)
		return
	}
	it.job.mu.Unlock()
	if !stopped {
		c.options.Log.Notice("run of item failed, item waits for another run", append(fields, "fingerprint", it.fingerprint, "incarnation", u.Incarnation)...)
	}
	c.wakeUp()
}

// decodeText returns the text of an event stream, which is UTF-8 by definition: each byte that is not becomes the replacement
// character, as it does in JSON, so that the text is the same at all nodes.
func decodeText(text []byte) string {
	if utf8.Valid(text) {
		return string(text)
	}
	return string([]rune(string(text)))
}

// recordBrokenRun reports to placement a run that ended without a final answer, and delays the next run of the item
// unless the upstream did not run it.
// The caller holds the job's lock.
func (c *Controller) recordBrokenRun(it *item, u dispatch.Upstream, err error) {
	switch {
	case errors.Is(err, forward.ErrFull):
		c.options.Placer.RecordRefusal(u.ID)
	case errors.Is(err, forward.ErrUnreachable):
		c.options.Placer.RecordFailure(u.ID, true, err)
	case errors.Is(err, forward.ErrNotRun), errors.Is(err, forward.ErrOwnConnection):
	default:
		c.options.Placer.RecordFailure(u.ID, false, err)
		it.brokenRuns++
		wait := min(brokenRunPause<<min(it.brokenRuns-1, 10), brokenRunPauseMax)
		it.notBefore = time.Now().Add(wait + rand.N(wait/2))
		if errors.Is(err, errAnswerTooLong) {
			it.longAnswers++
			c.holdLongAnswer(it)
		}
	}
}

// holdLongAnswer keeps an item whose answers were too long at as many runs as the route allows from running again. It fails once
// it may be given up. The caller holds the job's lock.
func (c *Controller) holdLongAnswer(it *item) {
	it.discardText()
	if route := c.routeOf(it); route != nil && it.longAnswers < route.MaxAttempts {
		return
	}
	it.notBefore = it.job.retryUntil()
	c.options.Log.Notice("item waits until it may be given up, since its answers are too long", "job", it.job.head.ID, "item", it.ID, "runs", it.longAnswers,
		"for_ms", time.Until(it.notBefore).Milliseconds())
}

// routeOf returns the item's route in force, or nil.
func (c *Controller) routeOf(it *item) *routing.Route {
	table := c.options.Table()
	if table == nil {
		return nil
	}
	return table.Match(it.job.head.Host, it.Path)
}

// finishItem queues the result of an item that is not running.
func (c *Controller) finishItem(it *item, result Result) {
	it.job.mu.Lock()
	defer it.job.mu.Unlock()
	if it.phase == waiting {
		c.queueResult(it, result)
	}
}

// queueResult queues an item's result for the log. The caller holds the job's lock.
func (c *Controller) queueResult(it *item, result Result) {
	j := it.job
	it.phase, it.result, it.text = finished, result, nil
	j.pending = append(j.pending, it)
	if !j.committing {
		j.committing = true
		go c.commitResults(j)
	}
}

// waitForMore waits up to maxCommitDelay for more results. It returns early if no result is missing, or if the job was
// released or is due soon.
func (j *job) waitForMore() {
	delay := min(maxCommitDelay, time.Until(j.due())/commitDelayParts)
	for waited := time.Duration(0); waited < delay; waited += commitPoll {
		time.Sleep(commitPoll)
		j.mu.Lock()
		complete := len(j.results)+len(j.pending) >= len(j.items) || j.released || time.Until(j.due()) < urgentSlack
		j.mu.Unlock()
		if complete {
			return
		}
	}
}

// commitResults writes queued results to the log until none are left. Entries that the store refuses because of their size are
// written again as smaller ones.
func (c *Controller) commitResults(j *job) {
	wait := commitRetry
	for collect := true; ; {
		if collect {
			j.waitForMore()
		}
		collect = true
		j.mu.Lock()
		batch := j.nextBatch(int(c.entryLimit.Load()))
		if len(batch) == 0 || j.released {
			j.committing = false
			j.mu.Unlock()
			c.markDone(j)
			return
		}
		e := entry{Node: c.self().Node, Nonce: rand.Int64()}
		for _, it := range batch {
			e.Results = append(e.Results, it.result)
		}
		number := j.nextEntry
		j.mu.Unlock()
		err := c.writeEntry(j, number, e)
		switch {
		case err == nil:
			wait = commitRetry
		case errors.Is(err, store.ErrTooLarge) && c.lowerEntryLimit(e):
			collect = false
		default:
			c.options.Log.Notice("results not stored, retrying", "job", j.head.ID, "entry", number, "results", len(e.Results), "error", err)
			time.Sleep(wait + rand.N(wait/2))
			wait = min(2*wait, commitRetryMax)
		}
	}
}

// lowerEntryLimit halves the limit on entries, after the store refused an entry because of its size. It returns false if entries
// can't be smaller.
func (c *Controller) lowerEntryLimit(refused entry) bool {
	size := entryOverhead
	for n := range refused.Results {
		size += refused.Results[n].encodedLen()
	}
	limit := min(int64(size), c.entryLimit.Load()) / 2
	if limit < minEntryBytes {
		return false
	}
	c.entryLimit.Store(limit)
	c.options.Log.Notice("store refused an entry because of its size, writing smaller ones", "results", len(refused.Results), "bytes", size, "limit", limit)
	return true
}

// putHead replaces a stored head that has the given revision, and returns the new revision.
func (c *Controller) putHead(ctx context.Context, h head, revision int64) (int64, error) {
	h.Order = h.order(revision)
	return c.replaceHead(ctx, h, revision)
}

// replaceHead is putHead without keeping the order of the stored head.
func (c *Controller) replaceHead(ctx context.Context, h head, revision int64) (int64, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	return c.options.Store.Put(ctx, headKind+h.ID, value, revision)
}

func isConflict(err error) bool { return errors.Is(err, store.ErrConflict) }

package batch

import (
	"bytes"
	"context"
	"time"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/batch/filestore"
	"trefoilplank.example/pkg/batch/jobstore"
	"trefoilplank.example/pkg/batch/line"
	"trefoilplank.example/pkg/decision/jobstate"
)

// Causes with which the runs of a part are cancelled, and the error of a start mark that was not recorded.
var (
	errJobEnded = Error.New("job accepts no more results")
	errPartLost = Error.New("part is held by another node")
	errNoMark   = Error.New("start mark is not durable")
)

// item is an item of a part that this node holds. raw is its input line, nil once the item has its result.
type item struct {
	raw []byte
	// target is what can run the item, as targetOf names it.
	target string
	// charge is the charge that jobstate.AfterRun has added up, failures the number of consecutive runs without an
	// answer.
	charge, failures int
	// suspect means that the item may crash upstreams and must run alone.
	suspect bool
	// marked means that a start mark of a non-idempotent item is durable and no run has started since.
	marked bool
	// requestID is the request id of the next run, kept because the quarantine may have reserved a trial run for it; "" if
	// the next run gets a new one.
	requestID string
	// trialWaits counts how often the quarantine made the item wait for the trial run of an equal request.
	trialWaits int
	// unstreamed means that a stream lacked a part of the item's answer, so that the item must not be streamed again.
	unstreamed bool
}

// part is a part of a job that this node holds. Controller.mu guards the second group of fields; only the committer
// uses claim.
type part struct {
	c         *Controller
	id        partID
	summary   jobstate.Summary
	itemRange jobstate.Range
	claim     *jobstore.ClaimedPart
	holder    jobstate.Holder
	// ctx ends when the part is dropped; its cause is errPartDone, errPartLost or errJobEnded.
	ctx          context.Context
	cancel       context.CancelCauseFunc
	commitSignal chan struct{}

	// The fields from here on are guarded by Controller.mu. ready lists the items that may run now, by target.
	items   []item
	ready   map[string][]int
	running map[int]struct{}
	// remaining counts the items without a result, lineBytes is the size of their lines. group collects what the next
	// commit records; groupSince is when its first result was added.
	remaining  int
	lineBytes  int
	group      jobstore.Group
	groupSince time.Time
	startMarks []startMark
	// unsettled is set while claim has a write of unknown outcome, which records inflightGroup if it succeeds.
	unsettled     bool
	inflightGroup jobstore.Group
	// recovered are the results, known at the claim, of items that must not run: non-idempotent ones that an earlier
	// holder may have started, and damaged lines.
	recovered map[int]*line.Output
	// progressAt is when a run of the part last started or ended.
	progressAt time.Time
	dropped    bool
}

// startMark is the request of a non-idempotent run to record its start. result receives one value, nil once the start is
// durable.
type startMark struct {
	index  int
	result chan error
}

// targetOf returns the name of what runs an item: a model or adapter, or a plain service.
func targetOf(model, service string) string {
	if model != "" {
		return "model/" + model
	}
	return "service/" + service
}

// targetsOf returns the targets that an upstream can run.
func targetsOf(u api.Upstream, adapters []api.Adapter) []string {
	if u.Kind == api.UpstreamService {
		return []string{targetOf("", u.Service)}
	}
	var targets []string
	for _, m := range u.Models {
		targets = append(targets, targetOf(m, ""))
	}
	for _, a := range adapters {
		if u.Serves(a.Model, "") {
			targets = append(targets, targetOf(a.Name, ""))
		}
	}
	return targets
}

// input is the record of an input file with the plan of its parts.
type input struct {
	meta *filestore.Meta
	plan []jobstate.Range
}

// input returns the record and the part plan of an input file, from the cache if it is there.
func (c *Controller) input(ctx context.Context, id string) (*input, error) {
	if in, ok := c.inputs.Get(id); ok {
		return in, nil
	}
	m, err := filestore.Get(ctx, c.Store, id)
	if err != nil {
		return nil, err
	}
	in := &input{meta: m, plan: jobstate.Plan(m.ChunkLines())}
	c.inputs.Add(id, in)
	return in, nil
}

// loadPart reads the lines of a claimed part and makes the items without a result ready.
func (c *Controller) loadPart(ctx context.Context, in *input, summary jobstate.Summary, claim *jobstore.ClaimedPart, holder jobstate.Holder) (*part, error) {
	record := claim.Part()
	itemRange := in.plan[record.Index]
	data, err := filestore.ReadChunk(ctx, c.Store, in.meta, itemRange.Chunk)
	if err != nil {
		return nil, err
	}
	lines := bytes.Split(bytes.TrimSuffix(data, []byte("\n")), []byte("\n"))
	if itemRange.First+itemRange.Size > len(lines) {
		return nil, Error.New("chunk %d of file %s has %d lines", itemRange.Chunk, in.meta.ID, len(lines))
	}
	p := &part{c: c, id: partID{summary.ID, record.Index}, summary: summary, itemRange: itemRange, claim: claim, holder: holder,
		commitSignal: make(chan struct{}, 1), items: make([]item, itemRange.Size), ready: map[string][]int{},
		running: map[int]struct{}{}, progressAt: time.Now(), recovered: map[int]*line.Output{}}
	p.ctx, p.cancel = context.WithCancelCause(context.Background())
	for i := range p.items {
		if !record.Done.Has(i) {
			p.addItem(i, lines[itemRange.First+i], record)
		}
	}
	return p, nil
}

// addItem makes an item without a result ready. A non-idempotent item that an earlier holder may have started must not run
// again, so it gets its result here.
func (p *part) addItem(i int, raw []byte, record jobstate.Part) {
	p.remaining++
	parsed, err := line.Parse(raw)
	if err != nil {
		// The line was checked at the upload, so the stored data is damaged; the item fails.
		p.recovered[i] = &line.Output{Error: &line.Failure{Code: "internal", Message: err.Error(), Outcome: api.NotRun}}
		return
	}
	if record.Started.Has(i) {
		p.recovered[i] = &line.Output{CustomID: parsed.CustomID, Error: &line.Failure{Code: string(api.CodeUpstream),
			Message: "a node failed while it ran this non-idempotent item", Outcome: api.Unknown}}
		return
	}
	// The copy allows the memory of the chunk to be freed.
	p.items[i] = item{raw: bytes.Clone(raw), target: targetOf(parsed.Model, parsed.Service), charge: record.Charges[i]}
	p.lineBytes += len(raw)
	p.ready[p.items[i].target] = append(p.ready[p.items[i].target], i)
}

// addResult adds an item's result to the group that the committer records next; c.mu is held.
func (p *part) addResult(i int, o *line.Output) {
	if p.dropped {
		return
	}
	o.ID = line.OutputID(p.id.job, p.itemRange.Item+i)
	before := len(p.group.Lines)
	lines, err := line.AppendStored(p.group.Lines, o)
	if err != nil {
		// Only an answer that is not valid JSON can fail to encode, and line.JSONBody always returns valid JSON.
		o.Response, o.Error = nil, &line.Failure{Code: "internal", Message: err.Error(), Outcome: api.Failed}
		lines, _ = line.AppendStored(p.group.Lines, o)
	}
	if p.group.Items == nil {
		p.group.Items, p.groupSince = map[int]bool{}, time.Now()
	}
	p.group.Lines = lines
	p.group.Items[i] = o.OK()
	delete(p.group.Charges, i)
	// The mark of one byte that starts a stored line is not part of the file.
	size := int64(len(lines) - before - 1)
	if o.OK() {
		p.group.OutputBytes += size
	} else {
		p.group.ErrorBytes += size
	}
	p.c.pendingBytes += len(lines) - before
	p.lineBytes -= len(p.items[i].raw)
	p.items[i].raw = nil
	p.remaining--
	p.signalCommitter()
}

// requeue makes an item ready again after delay; c.mu is held.
func (p *part) requeue(i int, delay time.Duration) {
	if p.dropped {
		return
	}
	if delay <= 0 {
		target := p.items[i].target
		p.ready[target] = append(p.ready[target], i)
		p.c.notifyAdmission()
		return
	}
	time.AfterFunc(delay, func() {
		p.c.mu.Lock()
		defer p.c.mu.Unlock()
		p.requeue(i, 0)
	})
}

// starved reports whether the part has ready items that this node can't run any more, or for whose targets no item was
// started for idleRelease; c.mu is held. A part that waits behind other jobs for its share, or for the delay of a retry,
// is not starved.
func (p *part) starved(now time.Time) bool {
	if len(p.ready) == 0 {
		return false
	}
	if p.lostAllTargets(now) {
		return true
	}
	if now.Sub(p.progressAt) < idleRelease {
		return false
	}
	for target := range p.ready {
		if now.Sub(p.c.lastTaken[target]) < idleRelease {
			return false
		}
	}
	return true
}

// signalCommitter makes the committer check the part now.
func (p *part) signalCommitter() {
	select {
	case p.commitSignal <- struct{}{}:
	default:
	}
}

// drop removes a part from the controller, cancels its runs and discards what is not recorded; c.mu is held.
func (p *part) drop(cause error) {
	if p.dropped {
		return
	}
	p.dropped = true
	p.c.pendingBytes -= len(p.group.Lines)
	p.group = jobstore.Group{}
	delete(p.c.parts, p.id)
	p.c.states.dropPart(p.id)
	for _, s := range p.startMarks {
		s.result <- errNoMark
	}
	p.startMarks = nil
	p.cancel(cause)
	p.signalCommitter()
	p.c.signalClaimLoop()
}

// dropJob drops all parts of a job; c.mu is held.
func (c *Controller) dropJob(job string, cause error) {
	for id, p := range c.parts {
		if id.job == job {
			p.drop(cause)
		}
	}
}

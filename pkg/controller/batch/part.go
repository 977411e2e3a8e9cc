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

// Causes for which the runs of a part are cancelled, and errors of start marks.
var (
	errJobEnded = Error.New("job accepts no more results")
	errPartLost = Error.New("part is held by another node")
	errNoMark   = Error.New("start mark is not durable")
)

// item is an item of a held part. raw is nil once the item has its result.
type item struct {
	raw []byte
	// target is what runs the item, as targetOf gives it.
	target string
	// attempts is the charge of jobstate.AfterRun, failures the runs in a row without an answer.
	attempts, failures int
	// suspect means that the item may crash upstreams and must run alone.
	suspect bool
	// marked means that a start mark of a non-idempotent item is durable and the item did not start since.
	marked bool
	// requestID is kept for the next run when a check of the quarantine reserved a trial run for it.
	requestID string
	// held counts the times that the quarantine asked to come again.
	held int
	// unstreamed means that a stream did not hold the item's whole answer.
	unstreamed bool
}

// part is a part that this node holds. Fields below mu are guarded by the controller's mu; held is used by the
// committer only.
type part struct {
	c      *Controller
	id     partID
	sum    jobstate.Summary
	rng    jobstate.Range
	held   *jobstore.Held
	holder jobstate.Holder
	// ctx ends when the part is lost or its job ends; its cause says which.
	ctx    context.Context
	cancel context.CancelCauseFunc
	signal chan struct{}

	// mu stands for Controller.mu.
	items   []item
	ready   map[string][]int
	running map[int]struct{}
	// remaining counts items without a result in memory.
	remaining int
	bytes     int
	group     jobstore.Group
	groupAt   time.Time
	starts    []startMark
	// unsettled is set while held has a write of unknown outcome, which is to record inflight.
	unsettled bool
	inflight  jobstore.Group
	// recovered are results of non-idempotent items that an earlier holder may have started.
	recovered map[int]*line.Output
	// progressAt is when a run of the part last started or ended.
	progressAt time.Time
	over       bool
}

// startMark is a non-idempotent run that waits for its durable start mark.
type startMark struct {
	index  int
	result chan error
}

// targetOf names what runs an item: a model or adapter, or a plain service.
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

// input is a file's record with the plan of its parts.
type input struct {
	meta *filestore.Meta
	plan []jobstate.Range
}

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

// load reads the lines of a claimed part and builds its stock.
func (c *Controller) load(ctx context.Context, in *input, sum jobstate.Summary, held *jobstore.Held, holder jobstate.Holder) (*part, error) {
	record := held.Part()
	rng := in.plan[record.Index]
	data, err := filestore.ReadChunk(ctx, c.Store, in.meta, rng.Chunk)
	if err != nil {
		return nil, err
	}
	lines := bytes.Split(bytes.TrimSuffix(data, []byte("\n")), []byte("\n"))
	if rng.First+rng.Size > len(lines) {
		return nil, Error.New("chunk %d of file %s has %d lines", rng.Chunk, in.meta.ID, len(lines))
	}
	p := &part{c: c, id: partID{sum.ID, record.Index}, sum: sum, rng: rng, held: held, holder: holder,
		signal: make(chan struct{}, 1), items: make([]item, rng.Size), ready: map[string][]int{},
		running: map[int]struct{}{}, progressAt: time.Now(), recovered: map[int]*line.Output{}}
	p.ctx, p.cancel = context.WithCancelCause(context.Background())
	for i := range p.items {
		if !record.Done.Has(i) {
			p.add(i, lines[rng.First+i], record)
		}
	}
	return p, nil
}

// add puts an item that has no result into stock. A non-idempotent item that an earlier holder may have
// started gets its result now: it must not run again.
func (p *part) add(i int, raw []byte, record jobstate.Part) {
	p.remaining++
	parsed, err := line.Parse(raw)
	if err != nil {
		// The upload checked the line, so this is a fault of storage; the item still ends.
		p.recovered[i] = &line.Output{Error: &line.Failure{Code: "internal", Message: err.Error(), Outcome: api.NotRun}}
		return
	}
	if record.Started.Has(i) {
		p.recovered[i] = &line.Output{CustomID: parsed.CustomID, Error: &line.Failure{Code: string(api.CodeUpstream),
			Message: "a node failed while it ran this non-idempotent item", Outcome: api.Unknown}}
		return
	}
	// The copy lets the rest of the chunk be collected.
	p.items[i] = item{raw: bytes.Clone(raw), target: targetOf(parsed.Model, parsed.Service), attempts: record.Attempts[i]}
	p.bytes += len(raw)
	p.ready[p.items[i].target] = append(p.ready[p.items[i].target], i)
}

// finish takes an item's result into the group that the committer records next; c.mu is held.
func (p *part) finish(i int, o *line.Output) {
	if p.over {
		return
	}
	o.ID = line.OutputID(p.id.job, p.rng.Item+i)
	before := len(p.group.Lines)
	lines, err := line.Append(p.group.Lines, o)
	if err != nil {
		// Only an answer that is not valid JSON can fail, and line.Body makes it valid.
		o.Response, o.Error = nil, &line.Failure{Code: "internal", Message: err.Error(), Outcome: api.Failed}
		lines, _ = line.Append(p.group.Lines, o)
	}
	if p.group.Items == nil {
		p.group.Items, p.groupAt = map[int]bool{}, time.Now()
	}
	p.group.Lines = lines
	p.group.Items[i] = o.OK()
	delete(p.group.Attempts, i)
	// The stored mark of one byte is not part of the file.
	size := int64(len(lines) - before - 1)
	if o.OK() {
		p.group.OutputBytes += size
	} else {
		p.group.ErrorBytes += size
	}
	p.c.pending += len(lines) - before
	p.bytes -= len(p.items[i].raw)
	p.items[i].raw = nil
	p.remaining--
	p.kick()
}

// putBack returns an item to stock after delay; c.mu is held.
func (p *part) putBack(i int, delay time.Duration) {
	if p.over {
		return
	}
	if delay <= 0 {
		target := p.items[i].target
		p.ready[target] = append(p.ready[target], i)
		p.c.announce()
		return
	}
	time.AfterFunc(delay, func() {
		p.c.mu.Lock()
		defer p.c.mu.Unlock()
		p.putBack(i, 0)
	})
}

// starved reports that the part has items to run and that this node can't run them any more, or ran none of their
// targets for idleRelease; c.mu is held. A part that waits for its share behind other jobs, or for the delay of a retry, is not starved.
func (p *part) starved(now time.Time) bool {
	if len(p.ready) == 0 {
		return false
	}
	if p.lostTargets(now) {
		return true
	}
	if now.Sub(p.progressAt) < idleRelease {
		return false
	}
	for target := range p.ready {
		if now.Sub(p.c.served[target]) < idleRelease {
			return false
		}
	}
	return true
}

// kick makes the committer look at the part.
func (p *part) kick() {
	select {
	case p.signal <- struct{}{}:
	default:
	}
}

// drop forgets a part; its runs are cancelled and what is not recorded is discarded. c.mu is held.
func (p *part) drop(cause error) {
	if p.over {
		return
	}
	p.over = true
	p.c.pending -= len(p.group.Lines)
	p.group = jobstore.Group{}
	delete(p.c.parts, p.id)
	p.c.states.dropPart(p.id)
	for _, s := range p.starts {
		s.result <- errNoMark
	}
	p.starts = nil
	p.cancel(cause)
	p.kick()
	p.c.wake()
}

// dropJob drops all parts of a job; c.mu is held.
func (c *Controller) dropJob(job string, cause error) {
	for id, p := range c.parts {
		if id.job == job {
			p.drop(cause)
		}
	}
}

package jobstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/batch/faultstore"
	"trefoilplank.example/pkg/batch/filestore"
	"trefoilplank.example/pkg/batch/line"
	"trefoilplank.example/pkg/decision/jobstate"
)

// faultEvent is a fault at one store call of the workers; step is the number of the call from 1.
type faultEvent struct {
	step int
	kind string
}

// faultKinds are the possible faults. On "crash" the worker stops before the call. On "pause" it waits before the call
// until another worker has finished the job. The others are faults of the store; "outage" lasts longer than the retries
// of one call.
var faultKinds = []string{"crash", "pause", "lose-answer", "lose-request", "outage"}

const outageCalls = 8

// model runs one job with workers that take over from each other. Items with index%3 == 1 are non-idempotent.
type model struct {
	mem        *memstore.Store
	store      *faultstore.Store
	jobs       Jobs
	summary    jobstate.Summary
	plan       []jobstate.Range
	events     map[int]string
	step       int
	outageLeft int
	// workers counts started workers; leaseOver has those whose lease is over.
	workers   int
	leaseOver map[string]bool
	runs      map[string]int
	// durable maps an item to the worker whose successful result was confirmed as recorded.
	durable map[string]string
}

type workerCrash struct{}

func inputLines(items int) string {
	var b strings.Builder
	for i := range items {
		header := ""
		if i%3 == 1 {
			header = `,"headers":{"Trefoil-Non-Idempotent":"true"}`
		}
		fmt.Fprintf(&b, `{"custom_id":"item-%d","method":"POST","url":"/v1/services/ledger/charge","body":{"n":%d}%s}`+"\n", i, i, header)
	}
	return b.String()
}

func newModel(items int, events []faultEvent) (*model, error) {
	ctx := context.Background()
	m := &model{mem: memstore.New(), events: map[int]string{}, leaseOver: map[string]bool{},
		runs: map[string]int{}, durable: map[string]string{}}
	for _, e := range events {
		m.events[e.step] = e.kind
	}
	meta := &filestore.Meta{ID: filestore.NewID(), Institution: "agencia", Purpose: filestore.PurposeBatch}
	up := &filestore.Upload{Store: m.mem, Meta: meta, Services: []string{"ledger"}}
	if err := up.Read(ctx, strings.NewReader(inputLines(items))); err != nil {
		return nil, err
	}
	if err := filestore.Create(ctx, m.mem, meta); err != nil {
		return nil, err
	}
	m.plan = jobstate.Plan(meta.ChunkLines())
	now := time.Now()
	id := NewID()
	m.summary = jobstate.Summary{ID: id, Institution: "agencia", InputFile: meta.ID,
		Items: items, Parts: len(m.plan), Created: now, Deadline: now.Add(time.Hour)}
	j := jobstate.Job{ID: id, Institution: "agencia", InputFile: meta.ID, Status: jobstate.InProgress, Items: items,
		Parts: len(m.plan), Created: now, Deadline: now.Add(time.Hour)}
	if _, err := (Jobs{Store: m.mem}).Create(ctx, j, m.summary); err != nil {
		return nil, err
	}
	m.store = &faultstore.Store{Store: m.mem, Before: m.nextFault}
	m.jobs = Jobs{Store: m.store}
	return m, nil
}

func (m *model) nextFault(faultstore.Op) faultstore.Fault {
	m.step++
	if m.outageLeft > 0 {
		m.outageLeft--
		return faultstore.Down
	}
	kind := m.events[m.step]
	delete(m.events, m.step)
	switch kind {
	case "crash":
		panic(workerCrash{})
	case "pause":
		// The lease of the worker ends while it is paused between its lease check and the call.
		m.leaseOver[fmt.Sprint("worker-", m.workers)] = true
		m.runWorkers()
	case "lose-answer":
		return faultstore.LoseAnswer
	case "lose-request":
		return faultstore.LoseRequest
	case "outage":
		m.outageLeft = outageCalls
		return faultstore.Down
	}
	return faultstore.None
}

// runWorkers runs workers one after the other until one has finished the job, at most ten.
func (m *model) runWorkers() {
	for range 10 {
		m.workers++
		name := fmt.Sprint("worker-", m.workers)
		finished := m.runWorker(name)
		m.leaseOver[name] = true
		if finished {
			return
		}
	}
}

// runWorker runs all parts of the job and reports whether the job is final; false after a crash.
func (m *model) runWorker(name string) (finished bool) {
	defer func() {
		if e := recover(); e != nil {
			if _, ok := e.(workerCrash); !ok {
				panic(e)
			}
		}
	}()
	ctx := context.Background()
	holder := jobstate.Holder{Node: name, Lease: 1}
	lost := func(_ context.Context, h jobstate.Holder) bool { return m.leaseOver[h.Node] }
	for range 20 {
		for i, r := range m.plan {
			held, err := m.jobs.Claim(ctx, m.summary, i, r.Size, holder, func() bool { return true }, lost)
			if err == nil {
				m.runPart(ctx, name, held, r)
			}
		}
		if _, err := m.jobs.Finish(ctx, m.summary, time.Now(), time.Hour); err == nil {
			return true
		}
	}
	return false
}

// runPart runs the items of a part and commits one or two results at a time.
func (m *model) runPart(ctx context.Context, name string, held *ClaimedPart, r jobstate.Range) {
	record := held.Part()
	var group Group
	for i := range r.Size {
		if record.Done.Has(i) {
			continue
		}
		id := fmt.Sprint("item-", r.Item+i)
		o := line.Output{ID: id, CustomID: id}
		switch {
		case record.Started.Has(i):
			o.Error = &line.Failure{Code: "unknown"}
		default:
			if (r.Item+i)%3 == 1 && !m.commit(ctx, held, Group{Starts: []int{i}}) {
				return
			}
			m.runs[id]++
			o.Response = &line.Response{StatusCode: 200, RequestID: name}
		}
		if group.Items == nil {
			group.Items = map[int]bool{}
		}
		group.Items[i] = o.OK()
		group.Lines, _ = line.AppendStored(group.Lines, &o)
		if len(group.Items) == 2 || held.Part().Done.Count()+len(group.Items) == r.Size {
			if !m.commit(ctx, held, group) {
				return
			}
			_ = line.SelectStored(group.Lines, false, func(l []byte) error {
				var o line.Output
				err := json.Unmarshal(l, &o)
				m.durable[o.CustomID] = o.Response.RequestID
				return err
			})
			group = Group{}
		}
	}
}

// commit commits the group, retries until the outcome is known, and reports whether the group was recorded.
func (m *model) commit(ctx context.Context, held *ClaimedPart, g Group) bool {
	for range 20 {
		var err error
		if held.Unsettled() {
			err = held.RetryUnsettled(ctx)
		} else {
			err = held.Commit(ctx, g)
		}
		switch {
		case err == nil:
			return true
		case errors.Is(err, ErrPartLost), errors.Is(err, ErrJobEnded), errors.Is(err, jobstate.ErrState):
			return false
		}
	}
	return false
}

// check compares the output files of the finished job with the runs and commits of the workers.
func (m *model) check(items int) error {
	ctx := context.Background()
	jobs := Jobs{Store: m.mem}
	j, err := jobs.Get(ctx, "agencia", m.summary.ID)
	if err != nil {
		return err
	}
	if j.Status != jobstate.Completed || j.Counts.Completed+j.Counts.Failed != items {
		return fmt.Errorf("job ended as %s with %+v", j.Status, j.Counts)
	}
	seen := map[string]bool{}
	for _, file := range []string{j.OutputFile, j.ErrorFile} {
		if file == "" {
			continue
		}
		meta, err := filestore.Get(ctx, m.mem, file)
		if err != nil {
			return err
		}
		var content bytes.Buffer
		if err := jobs.WriteContent(ctx, meta, &content); err != nil {
			return err
		}
		for l := range bytes.Lines(content.Bytes()) {
			var o line.Output
			if err := json.Unmarshal(l, &o); err != nil {
				return err
			}
			if seen[o.CustomID] {
				return fmt.Errorf("%s has two results", o.CustomID)
			}
			seen[o.CustomID] = true
			if recordedBy := m.durable[o.CustomID]; recordedBy != "" && (o.Response == nil || o.Response.RequestID != recordedBy) {
				return fmt.Errorf("%s was recorded by %s and then replaced: %s", o.CustomID, recordedBy, l)
			}
		}
	}
	for i := range items {
		id := fmt.Sprint("item-", i)
		if !seen[id] {
			return fmt.Errorf("%s has no result", id)
		}
		if i%3 == 1 && m.runs[id] > 1 {
			return fmt.Errorf("non-idempotent %s ran %d times", id, m.runs[id])
		}
	}
	if _, _, err := jobs.Summary(ctx, j.ID); err == nil {
		return errors.New("the summary of the final job remains")
	}
	return nil
}

// runModel runs one job with the given faults and returns the number of store calls.
func runModel(t *testing.T, items int, events ...faultEvent) (steps int, err error) {
	synctest.Test(t, func(t *testing.T) {
		m, e := newModel(items, events)
		assert.NilError(t, e)
		m.runWorkers()
		if err = m.check(items); err != nil {
			err = fmt.Errorf("%v: %w", events, err)
		}
		steps = m.step
	})
	return steps, err
}

// modelItems gives a job of eight parts, some with a non-idempotent item and some with two commits.
const modelItems = 20

// Guards against an item that is lost, recorded twice or, if non-idempotent, run twice when one fault happens at any
// store call of a job.
func TestSingleFaultAtEveryStep(t *testing.T) {
	steps, err := runModel(t, modelItems)
	assert.NilError(t, err)
	t.Logf("%d store calls without a fault", steps)
	for step := 1; step <= steps; step++ {
		for _, kind := range faultKinds {
			_, err := runModel(t, modelItems, faultEvent{step, kind})
			assert.NilError(t, err)
		}
	}
}

// Guards against the failures of TestSingleFaultAtEveryStep when two faults happen, the second possibly during recovery
// from the first.
func TestPairsOfFaults(t *testing.T) {
	steps, err := runModel(t, modelItems)
	assert.NilError(t, err)
	rapid.Check(t, func(rt *rapid.T) {
		var events []faultEvent
		for range 2 {
			events = append(events, faultEvent{rapid.IntRange(1, 2*steps).Draw(rt, "step"), rapid.SampledFrom(faultKinds).Draw(rt, "kind")})
		}
		_, err := runModel(t, modelItems, events...)
		assert.NilError(rt, err)
	})
}

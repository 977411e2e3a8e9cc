package idempotency

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a second run while one is in progress, an answer to a different request, another run while the answer
// is stored, and memory above the capacity.
func TestBeginAndEnd(t *testing.T) {
	const capacity = 20_000
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(capacity)
		now := time.Unix(1000, 0)
		type run struct{ digest, request string }
		running := map[string]run{}
		first := map[string]*Answer{}
		digests := map[string]string{}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				digest := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "digest")
				request := fmt.Sprint("r", rapid.IntRange(0, 1000).Draw(t, "request"))
				v := table.Begin(key, digest, request, now.Add(100*365*24*time.Hour), now)
				r, busy := running[key]
				switch {
				case busy && r.digest != digest:
					assert.Equal(t, v.Action, Conflict)
				case busy && r.request != request:
					assert.Equal(t, v.Action, Join)
					assert.Equal(t, v.Runner, r.request)
				case busy:
					assert.Equal(t, v.Action, Run)
				case v.Action == Conflict:
					assert.Assert(t, digests[key] != digest)
				case v.Action == Done:
					assert.Assert(t, first[key] == v.Answer && digests[key] == digest)
				default:
					assert.Equal(t, v.Action, Run)
					assert.Assert(t, first[key] == nil)
					running[key] = run{digest, request}
				}
			},
			"end": func(t *rapid.T) {
				for _, key := range slices.Sorted(maps.Keys(running)) {
					if !rapid.Bool().Draw(t, "this") {
						continue
					}
					r := running[key]
					assert.Assert(t, !table.End(key, r.digest, "late-"+r.request, &Answer{}, now))
					var a *Answer
					if rapid.Bool().Draw(t, "answered") {
						a = &Answer{Body: make([]byte, rapid.IntRange(0, 3000).Draw(t, "size"))}
					}
					assert.Assert(t, table.End(key, r.digest, r.request, a, now))
					first[key], digests[key] = a, r.digest
					delete(running, key)
				}
			},
			"time": func(*rapid.T) {
				now = now.Add(AnswerRetention + time.Second)
				clear(first)
			},
			"": func(t *rapid.T) { assert.Assert(t, table.Bytes() <= capacity) },
		})
	})
}

// Guards against memory above the capacity with many answers, and against evicting a run in progress.
func TestCapacityKeepsRuns(t *testing.T) {
	table := NewTable(100_000)
	now := time.Unix(1000, 0)
	table.Begin("running", "x", "r", now.Add(time.Minute), now)
	for i := range 1000 {
		key := fmt.Sprint(i)
		table.Begin(key, "x", key, now.Add(time.Minute), now)
		table.End(key, "x", key, &Answer{Body: make([]byte, 5000)}, now)
		assert.Assert(t, table.Bytes() <= 100_000)
	}
	assert.Equal(t, table.Begin("running", "x", "s", now.Add(time.Minute), now).Action, Join)
	assert.Equal(t, table.Begin("999", "x", "s", now.Add(time.Minute), now).Action, Done)
	assert.Equal(t, table.Begin("0", "x", "s", now.Add(time.Minute), now).Action, Run)
	assert.DeepEqual(t, table.DropLost(func(r string) bool { return r == "r" }), []string{"running"})
	assert.Equal(t, table.Begin("running", "x", "s", now.Add(time.Minute), now).Action, Run)
	table.End("0", "x", "s", &Answer{Body: make([]byte, MaxAnswerBytes+1)}, now)
	assert.Equal(t, table.Begin("0", "x", "s", now.Add(time.Minute), now).Action, Run)
	now = now.Add(2 * time.Minute)
	assert.Equal(t, table.Begin("0", "x", "t", now.Add(time.Minute), now).Action, Run)
}

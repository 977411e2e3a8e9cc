package listjob

import (
	"bytes"
	"context"
	"fmt"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/jsontext"
)

// resultStore is a store that can refuse the entries of result logs: while down is set, and those larger than limit if it is
// set. entries counts those that it has stored.
type resultStore struct {
	store.Store
	down    atomic.Bool
	limit   int
	entries atomic.Int64
}

func (s *resultStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	if !strings.HasPrefix(key, resultsKind) {
		return s.Store.Put(ctx, key, value, expect)
	}
	if s.down.Load() {
		return 0, store.ErrUnavailable
	}
	if s.limit > 0 && len(value) > s.limit {
		return 0, store.ErrTooLarge
	}
	revision, err := s.Store.Put(ctx, key, value, expect)
	if err == nil {
		s.entries.Add(1)
	}
	return revision, err
}

// awaitFinished waits until all items of a job have a result that is not listed.
func awaitFinished(t *testing.T, j *job) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		j.mu.Lock()
		n := len(j.pending)
		j.mu.Unlock()
		if n == len(j.items) {
			return
		}
		assert.Assert(t, time.Now().Before(until), "%d of %d items are finished", n, len(j.items))
	}
}

// Guards against results that are never listed, because those that collect while the store is down exceed its limit on a value
// once they are encoded: an entry was limited by the length of its texts, of which markup takes six times as much.
func TestResultsThatCollectAreListed(t *testing.T) {
	for name, data := range map[string]string{
		"markup": `<w id="1"><l>tango</l></w>`, "line separators": "\u2028\u2029", "control characters": "\x01\x02", "quotes": `"\"`, "plain": "tango",
	} {
		t.Run(name, func(t *testing.T) {
			s, net, e := &resultStore{Store: memstore.New()}, newNetwork(), newEngine(t, 10, 0)
			e.data = func(id string, n int) string { return id + strings.Repeat(data, 3000/len(data)) }
			s.down.Store(true)
			a := net.addNode(t, s, e, "a", "b")
			b := net.addNode(t, s, e, "b", "a")
			assert.NilError(t, a.Accept(context.Background(), submission("j", 120)))
			awaitFinished(t, a.ownedJob("j"))
			s.down.Store(false)
			results := readAll(t, a.Controller, "j", 10*time.Second)
			checkResults(t, e, results)
			stored, _, err := b.readLog(context.Background(), "j")
			assert.NilError(t, err)
			assert.DeepEqual(t, stored, results)
		})
	}
}

// Guards against results that are stored one by one, or never, because a store counts a value as larger than this node does.
func TestStoreThatAcceptsLessGetsSmallerEntries(t *testing.T) {
	s, net, e := &resultStore{Store: memstore.New(), limit: 100 << 10}, newNetwork(), newEngine(t, 10, 0)
	e.data = func(id string, n int) string { return id + strings.Repeat("x", 1000) }
	s.down.Store(true)
	a := net.addNode(t, s, e, "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 100)))
	awaitFinished(t, a.ownedJob("j"))
	s.down.Store(false)
	checkResults(t, e, readAll(t, a.Controller, "j", 10*time.Second))
	assert.Assert(t, s.entries.Load() <= 25, "%d entries for 1 MB", s.entries.Load())
}

// Guards against a page of results that is larger than callers allow once it is encoded, and against one without results.
func TestPageIsLimitedAsItIsEncoded(t *testing.T) {
	var results []Result
	for n := range 40 {
		results = append(results, Result{ID: fmt.Sprint(n), State: Completed, Text: strings.Repeat(`<l class="x">`+"\x01", 4000)})
	}
	read := 0
	for read < len(results) {
		p := page(results, read)
		assert.Assert(t, len(p) > 0)
		encoded, err := jsontext.Marshal(p)
		assert.NilError(t, err)
		assert.Assert(t, len(encoded) <= 1_000_000, "page of %d bytes", len(encoded))
		read += len(p)
	}
	large := []Result{{ID: "large", State: Completed, Text: strings.Repeat("\x01", 500_000)}, {ID: "next", State: Completed}}
	assert.Equal(t, len(page(large, 0)), 1)
}

// Guards against a result that is never listed because it alone exceeds the store's limit on a value, and stops all results of
// its job behind it; and against one that is not whole at the node that takes the job over.
func TestResultLargerThanAValueIsListed(t *testing.T) {
	for name, limit := range map[string]int{"": 0, "store that accepts less": 300 << 10} {
		t.Run(name, func(t *testing.T) {
			s, net, e := &resultStore{Store: memstore.New(), limit: limit}, newNetwork(), newEngine(t, 10, 0)
			e.data = func(id string, n int) string {
				if id == "j-item1" {
					return strings.Repeat("\x01<\u2028é🎵\"", 5000)
				}
				return id
			}
			a := net.addNode(t, s, e, "a", "b")
			b := net.addNode(t, s, e, "b", "a")
			assert.NilError(t, a.Accept(context.Background(), submission("j", 3)))
			results := readAll(t, a.Controller, "j", 10*time.Second)
			checkResults(t, e, results)
			a.HandOver(context.Background())
			assert.NilError(t, b.adopt(context.Background(), "j", nil))
			assert.DeepEqual(t, readAll(t, b.Controller, "j", time.Second), results)
		})
	}
}

// Guards against a text of two writers: of two nodes that write the same entry one succeeds, and the pieces of the other are
// not part of its result.
func TestPiecesOfTheEntryThatFailedAreIgnored(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 10, 0)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	large := func(text string) entry {
		return entry{Results: []Result{{ID: "j-item0", State: Completed, Text: strings.Repeat(text, 300_000)}}}
	}
	j := newJob(head{ID: "j"}, 1, submission("j", 2).Items)
	other := newJob(head{ID: "j"}, 1, submission("j", 2).Items)
	won, lost := large("\x01"), large("\x02")
	won.Node, lost.Node = "a", "b"
	assert.NilError(t, a.writeEntry(j, 0, won))
	assert.NilError(t, b.writeEntry(other, 0, lost))
	assert.DeepEqual(t, other.results, won.Results)
	entries, err := b.readEntries(context.Background(), "j")
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, [][]Result{won.Results})
}

// Guards against a text that differs between the node that ran the item and others, because it has bytes that are no UTF-8: in
// JSON each of them is the replacement character.
func TestTextThatIsNoUTF8IsTheSameEverywhere(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, 0)
	e.data = func(string, int) string { return "a\xff\xe2\x80b" }
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 1)))
	atOwner := readAll(t, a.Controller, "j", 10*time.Second)
	assert.Equal(t, atOwner[0].Text, strings.Join([]string{"a\ufffd\ufffd\ufffdb", "a\ufffd\ufffd\ufffdb", "a\ufffd\ufffd\ufffdb"}, "\n"))
	a.HandOver(context.Background())
	assert.NilError(t, b.adopt(context.Background(), "j", nil))
	assert.DeepEqual(t, readAll(t, b.Controller, "j", time.Second), atOwner)
}

// Guards against a job that is refused each time it is submitted, because a single item exceeds the store's limit on a value; and
// against an item that is not whole at the node that takes the job over.
func TestItemLargerThanAValueIsAccepted(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 1000, 10*time.Millisecond)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	sub := submission("j", 5)
	for n := range sub.Items {
		sub.Items[n].Body = bytes.Repeat([]byte{byte(n), 0xff}, 1<<n*50_000)
		sub.Items[n].Header = map[string]string{"Model": strings.Repeat("<&>", 1000)}
	}
	assert.NilError(t, a.Accept(context.Background(), sub))
	stored, err := a.readItems(context.Background(), a.ownedJob("j").head)
	assert.NilError(t, err)
	assert.DeepEqual(t, stored, sub.Items)
	a.HandOver(context.Background())
	for _, it := range sub.Items {
		body, err := b.Body(context.Background(), "j", it.ID)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(body, it.Body), it.ID)
	}
}

// Guards against a job that its sender submits again and again, although it can never be stored: headers of an item exceed the
// store's limit on a value.
func TestItemThatCanNeverBeStoredIsRefusedForGood(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, 0)
	a := net.addNode(t, s, e, "a")
	sub := submission("j", 2)
	sub.Items[1].Header = map[string]string{"Model": strings.Repeat("x", store.MaxValueBytes)}
	err := a.Accept(context.Background(), sub)
	assert.ErrorIs(t, err, ErrRefused)
	assert.ErrorIs(t, err, ErrItemTooLarge)
}

// Guards against a chunk that exceeds the store's limit on a value, whatever the items are, and against items that are lost or
// changed in the chunks.
func TestChunksFitIntoValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var items []Item
		for n := range rapid.IntRange(1, 4).Draw(t, "items") {
			it := Item{ID: fmt.Sprint(n), Path: "/" + strings.Repeat("<", rapid.IntRange(0, 10_000).Draw(t, "path")), Tokens: n}
			if size := rapid.SampledFrom([]int{0, 1, 2, 100, 600_000, 750_000, 1_500_001}).Draw(t, "body"); size > 0 {
				it.Body = bytes.Repeat([]byte{byte(n)}, size)
			}
			if size := rapid.IntRange(0, 50_000).Draw(t, "header"); size > 0 {
				it.Header = map[string]string{"Model": strings.Repeat("\x01", size)}
			}
			items = append(items, it)
		}
		values, err := encodeChunks(items)
		assert.NilError(t, err)
		var got []Item
		for _, value := range values {
			assert.Assert(t, len(value) <= maxEntryBytes+2, "chunk of %d bytes", len(value))
			got, err = appendChunk(got, value)
			assert.NilError(t, err)
		}
		assert.Assert(t, reflect.DeepEqual(got, items))
	})
}

// Guards against an item that takes a slot again and again, although its answer is longer than a text may be at each run.
func TestItemWithAnswersThatAreTooLongStopsRunning(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 5, 0)
	e.data = func(id string, n int) string {
		if id == "j-item1" {
			return strings.Repeat("x", maxTextBytes/4)
		}
		return id
	}
	net.retention = 6 * time.Second
	a := net.addNode(t, s, e, "a")
	accepted := time.Now()
	assert.NilError(t, a.Accept(context.Background(), submission("j", 2)))
	states := map[string]State{}
	for _, r := range readAll(t, a.Controller, "j", 20*time.Second) {
		states[r.ID] = r.State
	}
	assert.Assert(t, time.Since(accepted) >= net.retention, "the item failed before it may be given up")
	assert.DeepEqual(t, states, map[string]State{"j-item0": Completed, "j-item1": Failed})
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Equal(t, e.runs["j-item1"], 3)
}

// Guards against a stopping node that hands a job to nobody, because the texts of its items exceed a message between nodes.
func TestJobWithLongTextsIsHandedOver(t *testing.T) {
	s, net, e := &resultStore{Store: memstore.New()}, newNetwork(), newEngine(t, 4, 0)
	e.data = func(id string, _ int) string { return id + strings.Repeat("x", 200_000) }
	s.down.Store(true)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	assert.NilError(t, a.Accept(context.Background(), submission("j", 16)))
	awaitFinished(t, a.ownedJob("j"))
	s.down.Store(false)
	a.HandOver(context.Background())
	assert.Assert(t, b.ownedJob("j") != nil, "nobody runs the job")
	checkResults(t, e, readAll(t, b.Controller, "j", 20*time.Second))
	e.mu.Lock()
	defer e.mu.Unlock()
	again := 0
	for _, runs := range e.runs {
		again += runs - 1
	}
	assert.Assert(t, again <= 12, "%d of 16 items ran again", again)
}

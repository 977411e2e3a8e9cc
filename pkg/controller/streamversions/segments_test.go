package streamversions

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/decision/softwareversion"
	"trefoilplank.example/pkg/eventlog"
)

// limitedStore is a store that is down until a time and accepts values of up to limit bytes.
type limitedStore struct {
	store.Store
	downUntil time.Time
	limit     int
	puts      atomic.Int64
}

func (s *limitedStore) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	s.puts.Add(1)
	switch {
	case time.Now().Before(s.downUntil):
		return 0, store.ErrUnavailable
	case len(value) > s.limit:
		return 0, store.ErrTooLarge
	}
	return s.Store.Put(ctx, key, value, expect)
}

// Guards against streams that can't be taken up after all nodes are lost, since the segment of a second does not fit into a value
// of the store: at a high rate of streams or with long IDs, after an outage of the store, and if the store counts more than the
// value.
func TestSegmentsFitIntoValues(t *testing.T) {
	for name, c := range map[string]struct {
		streams, idBytes, limit int
		down                    time.Duration
	}{
		"long IDs":                 {300, 8 << 10, store.MaxValueBytes, 0},
		"IDs that JSON escapes":    {60, 8 << 10, store.MaxValueBytes, 0},
		"outage":                   {40_000, 16, store.MaxValueBytes, 4200 * time.Millisecond},
		"store that accepts less":  {3000, 16, 12 << 10, 0},
		"record that fits nowhere": {1, 2 << 20, store.MaxValueBytes, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &limitedStore{Store: memstore.New(), limit: c.limit, downUntil: time.Now().Add(c.down)}
				start := func() (controller *Controller, stop func()) {
					ctx, cancel := context.WithCancel(t.Context())
					controller = New(Options{
						Peers: network{}, Hubs: func() []string { return nil }, Exchange: func() {}, ListAge: func() time.Duration { return 0 },
						Store: s, IsHub: func() bool { return true }, Joined: joined, Asked: joined, FirstStart: true, Log: &eventlog.Log{},
					})
					go func() { _ = controller.Run(ctx) }()
					controller.Observe(list("v1", "v2"))
					time.Sleep(100 * time.Millisecond)
					return controller, func() { cancel(); synctest.Wait() }
				}
				filler := "x"
				if strings.Contains(name, "escapes") {
					filler = "\x01"
				}
				id := func(n int) string { return fmt.Sprintf("%0*d", 8, n) + strings.Repeat(filler, c.idBytes-8) }
				controller, stop := start()
				for n := range c.streams {
					controller.Began(id(n), "s", fmt.Sprint("v", 1+n%2), "")
					if n%(1+c.streams/40) == 0 {
						time.Sleep(20 * time.Millisecond)
					}
				}
				time.Sleep(c.down + 2*time.Second)
				if name == "record that fits nowhere" {
					controller.Began("later", "s", "v1", "")
					time.Sleep(2 * segmentInterval)
				}
				stop()
				assert.Assert(t, s.puts.Load() < 120, "%d writes", s.puts.Load())
				page, err := store.ListAll(t.Context(), s, segmentPrefix)
				assert.NilError(t, err)
				stored := map[string]int{}
				for _, o := range page.Objects {
					var segment storedSegment
					assert.NilError(t, json.Unmarshal(o.Value, &segment))
					for _, r := range segment.records(time.Now()) {
						stored[r.Stream]++
						assert.Equal(t, stored[r.Stream], 1, "a stream is stored twice")
					}
				}
				controller, stop = start()
				defer stop()
				if name == "record that fits nowhere" {
					_, ok := controller.VersionOf(t.Context(), "later", "s", "")
					assert.Assert(t, ok, "later streams must not wait for it")
					return
				}
				for n := range c.streams {
					version, ok := controller.VersionOf(t.Context(), id(n), "s", "")
					assert.Assert(t, ok, "stream %d of %d", n, c.streams)
					assert.Equal(t, version, fmt.Sprint("v", 1+n%2))
				}
			})
		})
	}
	assert.Assert(t, softwareversion.Lifetime > 10*time.Second, "the streams of the test must not expire")
}

// Guards against streams that can't be taken up after all nodes are lost, since the segment of a second was replaced: by another hub in the same
// second, or by an earlier write of the same hub that the store carried out late.
func TestSegmentsAreNotReplacedInTheirSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		writer := func(streams ...string) *segmentWriter {
			c := New(Options{Peers: network{}, Hubs: func() []string { return nil }, Exchange: func() {}, Store: s, IsHub: func() bool { return true }, Joined: joined, Asked: joined, ListAge: func() time.Duration { return 0 }, Log: &eventlog.Log{}})
			c.Observe(list("v1", "v2"))
			for _, id := range streams {
				c.Began(id, "s", "v1", "")
			}
			return &segmentWriter{c: c, limit: maxPartBytes, revisions: map[string]int64{}}
		}
		now := time.Now()
		first, second := writer("a", "b"), writer("c")
		for _, w := range []*segmentWriter{first, second} {
			_, err := w.write(t.Context(), now)
			assert.NilError(t, err)
		}
		first.c.Began("d", "s", "v2", "")
		_, err := first.write(t.Context(), now)
		assert.NilError(t, err)
		page, err := store.ListAll(t.Context(), s, segmentPrefix)
		assert.NilError(t, err)
		kept := map[string]bool{}
		for _, o := range page.Objects {
			var segment storedSegment
			assert.NilError(t, json.Unmarshal(o.Value, &segment))
			for _, r := range segment.records(now) {
				kept[r.Stream] = true
			}
		}
		assert.DeepEqual(t, kept, map[string]bool{"a": true, "b": true, "c": true, "d": true})
	})
}

package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/blackboard"
	failed "trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/quarantine"
	"trefoilplank.example/pkg/gateway/peertest"
	"trefoilplank.example/pkg/serving"
)

// slowStore delays lists.
type slowStore struct {
	store.Store
	delay time.Duration
}

func (s slowStore) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	time.Sleep(s.delay)
	return s.Store.List(ctx, prefix, after, limit)
}

// Guards against a quarantined request that runs once more at a node that starts: it decided before it had read the
// stored quarantines.
func TestStartingNodeKnowsStoredQuarantines(t *testing.T) {
	objects := memstore.New()
	start := func() *Controller {
		node, board := peertest.New().AddNode("a"), blackboard.New()
		board.Members.Set(peertest.Members("a", "a"))
		c, err := New(Options{Self: "a", Board: board, Peers: node, Store: slowStore{objects, 200 * time.Millisecond}}, node)
		assert.NilError(t, err)
		go func() { _ = c.Run(t.Context()) }()
		return c
	}
	c := start()
	for _, request := range []string{"r1", "r2"} {
		c.crashDuringRun(t, "x", request, "u "+request)
	}
	verdict, _ := c.Check(t.Context(), failed.Works{Request: "x"}, "r3")
	assert.Equal(t, verdict, serving.VerdictQuarantined)
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if page, err := objects.List(t.Context(), storedPrefix, "", 1); err == nil && len(page.Objects) > 0 {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "the quarantine is not stored")
	}

	verdict, left := start().Check(t.Context(), failed.Works{Request: "x"}, "r4")
	assert.Equal(t, verdict, serving.VerdictQuarantined)
	assert.Assert(t, left < quarantine.QuarantineDuration)
}

// racingStore carries out another write between a read and the write that follows it.
type racingStore struct {
	store.Store
	between func()
}

func (s racingStore) Get(ctx context.Context, key string) (store.Object, error) {
	o, err := s.Store.Get(ctx, key)
	s.between()
	return o, err
}

// Guards against a quarantine that ends early for nodes that start later, since a write of an earlier end is carried out after that of a later
// one.
func TestStoredQuarantineIsNotReplacedByAnEarlierEnd(t *testing.T) {
	early, late := time.Now().Add(time.Minute), time.Now().Add(2*time.Minute)
	encode := func(until time.Time) []byte {
		value, err := json.Marshal(storedQuarantine{"x", until.UnixMilli()})
		assert.NilError(t, err)
		return value
	}
	for _, afterRead := range []bool{false, true} {
		t.Run(fmt.Sprint("after the read ", afterRead), func(t *testing.T) {
			objects := memstore.New()
			write := func() {
				_, err := objects.Put(t.Context(), storedPrefix+"x", encode(late), store.AnyRevision)
				assert.NilError(t, err)
			}
			c := &Controller{Options: Options{Store: objects}}
			if afterRead {
				c.Store = racingStore{objects, write}
			} else {
				write()
			}
			err := c.putQuarantine(t.Context(), "x", early, encode(early))
			assert.Equal(t, errors.Is(err, store.ErrConflict), afterRead, "%v", err)
			o, err := objects.Get(t.Context(), storedPrefix+"x")
			assert.NilError(t, err)
			assert.Equal(t, string(o.Value), string(encode(late)))
		})
	}
}

package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

// stall makes a mirror notice at its next look that its process did not run.
func (m *Mirror) stall() {
	m.lookMu.Lock()
	defer m.lookMu.Unlock()
	m.lookedAt = m.lookedAt.Add(-2 * stallTime)
}

// confirmStalled makes the copies of prefixes be confirmed after stalls.
func confirmStalled(mirrors ...*Mirror) {
	for _, m := range mirrors {
		m.lookMu.Lock()
		defer m.lookMu.Unlock()
		for _, c := range m.copy {
			c.prefix.ConfirmAfterStall = true
		}
	}
}

// Guards against a request to an upstream that has left while the process of the node was stopped: the node sent on what had arrived meanwhile
// before it had heard of the removal, as a follower, as the hub, and while its hub was stopped too.
func TestCopyIsReadAgainAfterAStall(t *testing.T) {
	for name, stalled := range map[string]func(hub, node *Mirror) []*Mirror{
		"follower": func(_, node *Mirror) []*Mirror { return []*Mirror{node} },
		"both":     func(hub, node *Mirror) []*Mirror { return []*Mirror{hub, node} },
	} {
		t.Run(name, func(t *testing.T) {
			s := &breakableStore{Store: memstore.New()}
			put(t, s, "k/left", "1")
			put(t, s, "k/stays", "1")
			p := peers{}
			hub, hubView := startMirror(t, s, p, nil, 0)
			hub.WatchStore(context.Background())
			p["hub"] = hub
			node, v := startMirror(t, s, p, []string{"hub"}, 0)
			confirmStalled(hub, node)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				node.FollowNode(context.Background(), "hub", hub.Revisions())
				return v.showing(map[string]string{"k/left": "1", "k/stays": "1"})(t)
			}, soon...)
			assert.NilError(t, s.Delete(context.Background(), "k/left", store.AnyRevision))
			want := map[string]string{"k/stays": "1"}
			poll.WaitOn(t, hubView.showing(want), soon...)
			for _, m := range stalled(hub, node) {
				m.stall()
			}
			begun := time.Now()
			node.AwaitConfirmed(context.Background(), "k/")
			assert.Assert(t, v.showing(want)(t).Done(), "the copy is old")
			assert.Assert(t, time.Since(begun) < confirmWait)
			begun = time.Now()
			node.AwaitConfirmed(context.Background(), "k/")
			assert.Assert(t, time.Since(begun) < confirmWait/5, "a process that runs waits")
		})
	}
}

// Guards against nodes that follow the copy of a hub which did not run and has not heard from the store since.
func TestStalledHubCoversNothingUntilItsWatchAnswers(t *testing.T) {
	s := &breakableStore{Store: memstore.New()}
	put(t, s, "k/a", "1")
	hub, v := startMirror(t, s, nil, nil, 0)
	confirmStalled(hub)
	hub.WatchStore(context.Background())
	poll.WaitOn(t, v.showing(map[string]string{"k/a": "1"}), soon...)
	covers := func(poll.LogT) poll.Result {
		if len(hub.Revisions()) == 1 {
			return poll.Success()
		}
		return poll.Continue("nothing is covered")
	}
	poll.WaitOn(t, covers, soon...)
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	hub.stall()
	assert.Equal(t, len(hub.Revisions()), 0)
	var reply ReadReply
	assert.NilError(t, hub.Receiver().Read(ReadArgs{Prefix: "k/", Revision: -1}, &reply))
	assert.Assert(t, !reply.Fresh)
	begun := time.Now()
	hub.AwaitConfirmed(context.Background(), "k/")
	assert.Assert(t, time.Since(begun) > confirmWait/2, "the copy is relied on at once")
	hub.AwaitConfirmed(context.Background(), "k/")
	assert.Assert(t, time.Since(begun) < 2*confirmWait, "requests wait for a store that is away")
	s.mu.Lock()
	s.down = false
	s.mu.Unlock()
	poll.WaitOn(t, covers, soon...)
}

// unansweredStore is a store that leaves calls for watches unanswered while hangs is set.
type unansweredStore struct {
	*breakableStore
	hangs atomic.Bool
}

func (s *unansweredStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	if s.hangs.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.breakableStore.Watch(ctx, prefix, from)
}

// Guards against a hub that names its copy as current after its watch broke: it stalled once before, while no watch was in progress.
func TestBrokenWatchCoversNothingAfterAStallDuringAPause(t *testing.T) {
	s := &unansweredStore{breakableStore: &breakableStore{Store: memstore.New()}}
	put(t, s, "k/a", "1")
	hub, v := startMirror(t, s, nil, nil, 0)
	confirmStalled(hub)
	hub.WatchStore(context.Background())
	poll.WaitOn(t, v.showing(map[string]string{"k/a": "1"}), soon...)
	covers := func(want int) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			if len(hub.Revisions()) == want {
				return poll.Success()
			}
			return poll.Continue("%d prefixes are covered, not %d", len(hub.Revisions()), want)
		}
	}
	poll.WaitOn(t, covers(1), soon...)
	s.setDown(true)
	poll.WaitOn(t, covers(0), soon...)
	time.Sleep(300 * time.Millisecond) // The pause between attempts has grown.
	hub.stall()
	assert.Equal(t, len(hub.Revisions()), 0)
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	s.down = false
	s.mu.Unlock()
	poll.WaitOn(t, covers(1), soon...)
	s.hangs.Store(true)
	s.setDown(false) // The watch ends, and the next one gets no answer.
	poll.WaitOn(t, covers(0), soon...)
}

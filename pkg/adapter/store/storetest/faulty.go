// Package storetest provides a store wrapper that injects faults in tests.
package storetest

import (
	"context"
	"sync"
	"sync/atomic"

	"trefoilplank.example/pkg/adapter/store"
)

// Faulty passes calls to an inner store and injects outages and lost answers.
type Faulty struct {
	inner store.Store

	mu   sync.Mutex
	down bool
	// answersToLose is the number of puts whose answers are still to be lost.
	answersToLose int
	// outage is closed when an outage begins, and replaced when it ends.
	outage chan struct{}
	// beforePut is called before each put, when set.
	beforePut func(key string)
	// Calls counts all calls, and Watches the watches among them.
	Calls, Watches atomic.Int64
}

var _ store.Store = (*Faulty)(nil)

// New wraps a store.
func New(inner store.Store) *Faulty { return &Faulty{inner: inner, outage: make(chan struct{})} }

// SetDown begins or ends an outage, during which calls return store.ErrUnavailable; watches break when it begins.
func (f *Faulty) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if down && !f.down {
		close(f.outage)
	} else if !down && f.down {
		f.outage = make(chan struct{})
	}
	f.down = down
}

// LoseAnswers makes the next count puts take effect and return store.ErrUnknown.
func (f *Faulty) LoseAnswers(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answersToLose = count
}

// BeforePut makes each put call hook before it reaches the store.
func (f *Faulty) BeforePut(hook func(key string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beforePut = hook
}

// beginCall counts a call and returns whether an outage lasts and the channel that is closed when the next one begins.
func (f *Faulty) beginCall() (down bool, outage chan struct{}) {
	f.Calls.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.outage
}

// consumeLostAnswer reports whether the answer of this put is to be lost, and decrements answersToLose if so.
func (f *Faulty) consumeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answersToLose == 0 {
		return false
	}
	f.answersToLose--
	return true
}

// Get implements store.Store.
func (f *Faulty) Get(ctx context.Context, key string) (store.Object, error) {
	if down, _ := f.beginCall(); down {
		return store.Object{}, store.ErrUnavailable
	}
	return f.inner.Get(ctx, key)
}

// List implements store.Store.
func (f *Faulty) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	if down, _ := f.beginCall(); down {
		return store.Page{}, store.ErrUnavailable
	}
	return f.inner.List(ctx, prefix, after, limit)
}

// Put implements store.Store.
func (f *Faulty) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	f.mu.Lock()
	hook := f.beforePut
	f.mu.Unlock()
	if hook != nil {
		hook(key)
	}
	if down, _ := f.beginCall(); down {
		return 0, store.ErrUnavailable
	}
	revision, err := f.inner.Put(ctx, key, value, expect)
	if err == nil && f.consumeLostAnswer() {
		return 0, store.ErrUnknown
	}
	return revision, err
}

// Delete implements store.Store.
func (f *Faulty) Delete(ctx context.Context, key string, expect int64) error {
	if down, _ := f.beginCall(); down {
		return store.ErrUnavailable
	}
	return f.inner.Delete(ctx, key, expect)
}

// Watch implements store.Store.
func (f *Faulty) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	down, outage := f.beginCall()
	if down {
		return nil, store.ErrUnavailable
	}
	f.Watches.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	events, err := f.inner.Watch(ctx, prefix, from)
	if err != nil {
		cancel()
		return nil, err
	}
	out := make(chan store.Event)
	go func() {
		defer cancel()
		defer close(out)
		for {
			select {
			case e, ok := <-events:
				if !ok {
					return
				}
				select {
				case out <- e:
				case <-outage:
					return
				case <-ctx.Done():
					return
				}
			case <-outage:
				return
			}
		}
	}()
	return out, nil
}

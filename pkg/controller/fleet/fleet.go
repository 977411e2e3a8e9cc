// Package fleet knows the nodes of a deployment: each node registers itself in the store, and the load exchange tells which
// of them are silent.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/eventlog"
	"trefoilplank.example/pkg/wait"
)

// Prefix is the kind of the members' objects in the store.
const Prefix = "members/"

const (
	// registerRetry is the pause between attempts to register, plus up to half of it.
	registerRetry = 300 * time.Millisecond
	// silenceKept is how long a report of silent nodes counts; then all registered nodes count as live again, since a
	// node that hears from no hub knows nothing.
	silenceKept = 3 * time.Second
	// heardFresh is how long after the last report of a hub this node is sure of its view: three idle exchanges.
	heardFresh = time.Second
	// sureAfter is how long a node knows the members before it takes others for lost: a node that starts while the store is
	// away learns them late, and then needs some exchanges to find the hub.
	sureAfter = 1500 * time.Millisecond
)

// Member is a node as it registered itself.
type Member struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	// CallerAddress and PeerAddress are IP:port; CallerAddress is empty on a node that takes no callers.
	CallerAddress string `json:"caller_address,omitempty"`
	PeerAddress   string `json:"peer_address"`
	// Incarnation is the Unix nanosecond of the start.
	Incarnation int64 `json:"incarnation"`
	// Weight is the node's part in shared duties, by its processor.
	Weight   float64 `json:"weight"`
	Draining bool    `json:"draining,omitempty"`
}

// Fleet is one node's view of all nodes. It is safe for concurrent use.
type Fleet struct {
	store store.Store
	log   *eventlog.Log

	mu      sync.Mutex
	self    Member
	members map[string]Member
	// revisions are those of the members' entries.
	revisions map[string]int64
	// registered is set while the node's own entry should be in the store; missing is signalled when it is not.
	registered bool
	missing    chan struct{}
	// knownSince is when the registered members were first seen.
	knownSince time.Time
	silent     map[string]bool
	silentAt   time.Time
	suspects   map[string]time.Time
	draining   map[string]bool
}

// New returns a fleet that holds only the node itself.
func New(s store.Store, self Member, log *eventlog.Log) *Fleet {
	return &Fleet{store: s, log: log, self: self, members: map[string]Member{}, suspects: map[string]time.Time{}, missing: make(chan struct{}, 1)}
}

// Handle takes the registered members from the mirror.
func (f *Fleet) Handle(objects map[string]store.Object) {
	next := make(map[string]Member, len(objects))
	revisions := make(map[string]int64, len(objects))
	for key, o := range objects {
		var m Member
		if err := json.Unmarshal(o.Value, &m); err != nil || m.Name == "" || Prefix+m.Name != key {
			f.log.Notice("member entry can't be read", "key", key, "error", err)
			continue
		}
		next[m.Name], revisions[m.Name] = m, o.Revision
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, here := next[f.self.Name]
	if _, was := f.members[f.self.Name]; f.registered && was && !here {
		select {
		case f.missing <- struct{}{}:
		default:
		}
	}
	for name, m := range next {
		if old, ok := f.members[name]; !ok || old.Incarnation != m.Incarnation || old.Draining != m.Draining {
			f.log.Notice("member seen", "member", name, "incarnation", m.Incarnation, "draining", m.Draining)
			delete(f.suspects, name)
		}
	}
	for name := range f.members {
		if _, ok := next[name]; !ok {
			f.log.Notice("member left", "member", name)
		}
	}
	f.members, f.revisions = next, revisions
	if f.knownSince.IsZero() && len(next) > 0 {
		f.knownSince = time.Now()
	}
}

// Introduce takes a node that made itself known, as long as no registered members are known, and reports whether it did.
func (f *Fleet) Introduce(m Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.knownSince.IsZero() || m.Name == "" || m.Name == f.self.Name {
		return false
	}
	if _, ok := f.members[m.Name]; !ok {
		f.log.Notice("member made itself known", "member", m.Name, "peer_address", m.PeerAddress)
	}
	f.members[m.Name] = m
	return true
}

// Self returns the node's own entry.
func (f *Fleet) Self() Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}

// Known returns all registered nodes and the node itself, sorted by name.
func (f *Fleet) Known() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := maps.Clone(f.members)
	all[f.self.Name] = f.self
	return slices.SortedFunc(maps.Values(all), func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// Live returns the known nodes without those that are silent or suspected.
func (f *Fleet) Live() []Member {
	all := f.Known()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return slices.DeleteFunc(all, func(m Member) bool { return !f.alive(m.Name, now) })
}

func (f *Fleet) alive(name string, now time.Time) bool {
	if name == f.self.Name {
		return true
	}
	if now.Before(f.suspects[name]) {
		return false
	}
	return !f.silent[name] || now.Sub(f.silentAt) > silenceKept
}

// Doubtful reports whether some nodes may see the fleet differently: no hub was heard lately, or a registered node is
// silent or suspected. Then another node may have taken over what this one holds.
func (f *Fleet) Doubtful() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.silentAt) > heardFresh || len(f.silent) > 0 {
		return true
	}
	for _, until := range f.suspects {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// Sure reports whether this node knows the members for a while and hears a hub: only then may it take another node for lost.
func (f *Fleet) Sure() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return !f.knownSince.IsZero() && now.Sub(f.knownSince) > sureAfter && now.Sub(f.silentAt) <= heardFresh
}

// Alive reports whether a node with this incarnation is registered and not silent. An incarnation of 0 matches any.
func (f *Fleet) Alive(name string, incarnation int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == f.self.Name {
		return incarnation == 0 || incarnation == f.self.Incarnation
	}
	m, ok := f.members[name]
	return ok && (incarnation == 0 || m.Incarnation == incarnation) && !m.Draining && f.alive(name, time.Now())
}

// Settled reports whether another node was registered by a time: then the fleet runs already, and its entries are all there.
func (f *Fleet) Settled(by time.Time) bool {
	self := f.Self().Name
	for _, m := range f.Known() {
		if m.Name != self && m.Incarnation < by.UnixNano() {
			return true
		}
	}
	return false
}

// Others returns the names of the other live nodes.
func (f *Fleet) Others() []string {
	var names []string
	self := f.Self().Name
	for _, m := range f.Live() {
		if m.Name != self {
			names = append(names, m.Name)
		}
	}
	return names
}

// Weights returns the weights of the live nodes that are not registered as draining, by name, for shared duties.
func (f *Fleet) Weights() map[string]float64 {
	weights := map[string]float64{}
	for _, m := range f.Live() {
		if !m.Draining {
			weights[m.Name] = m.Weight
		}
	}
	return weights
}

// Takers returns the weights of the other nodes that take new work: without those that the hub knows to drain.
func (f *Fleet) Takers() map[string]float64 {
	weights := f.Weights()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(weights, f.self.Name)
	for name := range f.draining {
		delete(weights, name)
	}
	return weights
}

// PeerAddress implements the resolver of the peer client.
func (f *Fleet) PeerAddress(name string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[name]
	return m.PeerAddress, ok
}

// Suspect takes a node out of the live ones for a time, after a call to it failed.
func (f *Fleet) Suspect(name string, d time.Duration, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !time.Now().Before(f.suspects[name]) {
		f.log.Notice("node suspected", "member", name, "for_ms", d.Milliseconds(), "error", cause)
	}
	f.suspects[name] = time.Now().Add(d)
}

// SetSilent takes the hub's report of silent and of draining nodes.
func (f *Fleet) SetSilent(silent, draining []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[string]bool, len(silent))
	for _, name := range silent {
		next[name] = true
		if !f.silent[name] && name != f.self.Name {
			f.log.Notice("node is silent", "member", name)
		}
	}
	for name := range f.silent {
		if !next[name] {
			f.log.Notice("node is heard again", "member", name)
		}
	}
	f.silent, f.silentAt = next, time.Now()
	f.draining = make(map[string]bool, len(draining))
	for _, name := range draining {
		f.draining[name] = true
	}
}

// Addresses returns the caller addresses of nodes that take new callers, those of the availability zone first.
func (f *Fleet) Addresses(availabilityZone string) []string {
	live := f.Live()
	f.mu.Lock()
	draining := f.draining
	f.mu.Unlock()
	var near, far []string
	for _, m := range live {
		if m.CallerAddress == "" || m.Draining || draining[m.Name] {
			continue
		}
		if m.AvailabilityZone == availabilityZone {
			near = append(near, m.CallerAddress)
		} else {
			far = append(far, m.CallerAddress)
		}
	}
	return append(near, far...)
}

// Register writes the node's entry until it is accepted or ctx ends.
func (f *Fleet) Register(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.write(ctx)
		if err == nil {
			f.mu.Lock()
			f.registered = true
			f.mu.Unlock()
			f.log.Notice("node registered", "incarnation", f.Self().Incarnation)
			return nil
		}
		f.log.Notice("node not registered yet", "error", err)
		_ = wait.Sleep(ctx, registerRetry+rand.N(registerRetry/2))
	}
	return ctx.Err()
}

// KeepRegistered writes the node's entry again whenever it was removed, until ctx ends: the others remove a node that is silent
// for long, and it may only have been cut off.
func (f *Fleet) KeepRegistered(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.missing:
		}
		f.log.Notice("own entry was removed", "incarnation", f.Self().Incarnation)
		if err := f.Register(ctx); err != nil {
			return err
		}
	}
}

// Remove deletes the entry of another node unless it was written anew since it was seen.
func (f *Fleet) Remove(ctx context.Context, name string) {
	f.mu.Lock()
	revision, known := f.revisions[name]
	incarnation := f.members[name].Incarnation
	f.mu.Unlock()
	if !known || name == f.Self().Name {
		return
	}
	err := f.store.Delete(ctx, Prefix+name, revision)
	f.log.Notice("lost node removed", "member", name, "incarnation", incarnation, "error", err)
}

func (f *Fleet) write(ctx context.Context) error {
	value, err := json.Marshal(f.Self())
	if err != nil {
		return err
	}
	_, err = f.store.Put(ctx, Prefix+f.Self().Name, value, store.AnyRevision)
	return err
}

// Drain marks the node as one that takes no new callers and tells the store.
func (f *Fleet) Drain(ctx context.Context) error {
	f.mu.Lock()
	f.self.Draining = true
	f.mu.Unlock()
	return f.write(ctx)
}

// Leave removes the node's entry.
func (f *Fleet) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.registered = false
	f.mu.Unlock()
	err := f.store.Delete(ctx, Prefix+f.Self().Name, store.AnyRevision)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

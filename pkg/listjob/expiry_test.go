package listjob

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
)

// storeFinished stores a finished job as a node that is gone has left it, with two items and a result, and returns its keys.
func storeFinished(t *testing.T, s store.Store, id string, age time.Duration) []string {
	create := func(key string, value any) string {
		encoded, err := json.Marshal(value)
		assert.NilError(t, err)
		_, err = s.Put(context.Background(), key, encoded, store.CreateOnly)
		assert.NilError(t, err)
		return key
	}
	return []string{
		create(headKind+id, head{ID: id, Host: testHost, Path: "/b/" + id, Total: 2, Chunks: 1, Submitted: time.Now().Add(-age), Owner: "gone", Incarnation: 1}),
		create(chunkKey(id, 0), submission(id, 2).Items),
		create(entryKey(id, 0), entry{Node: "gone", Results: []Result{{ID: id + "-item0", State: Completed, Text: "text"}}}),
	}
}

// exists returns how many of the keys are stored.
func exists(t *testing.T, s store.Store, keys []string) (count int) {
	for _, key := range keys {
		_, err := s.Get(context.Background(), key)
		assert.Assert(t, err == nil || errors.Is(err, store.ErrNotFound), "%v", err)
		if err == nil {
			count++
		}
	}
	return count
}

// Guards against finished jobs that stay in the store for ever: the hub read the heads of three days into memory each 0.7 s, exceeded its memory and was
// ended, and so were its successors, which also took such jobs over.
func TestJobsThatAreOverAreRemoved(t *testing.T) {
	s, net, e := memstore.New(), newNetwork(), newEngine(t, 3, time.Millisecond)
	net.retention = 5 * time.Minute
	keptFor := max(net.retention, 2*time.Minute) + expiryMargin
	var over, kept []string
	for n := range 2*maxRemovals/3 + maxRemovals {
		over = append(over, storeFinished(t, s, fmt.Sprint("over", n), keptFor+time.Duration(n+1)*time.Minute)...)
	}
	kept = storeFinished(t, s, "kept", keptFor-time.Minute)
	a := net.addNode(t, s, e, "a", "b")
	b := net.addNode(t, s, e, "b", "a")
	time.Sleep(2 * hubSweepInterval)
	assert.Equal(t, exists(t, s, over[:15]), 15, "jobs were removed that are older than the newest one by less than that")
	_, err := b.Read(context.Background(), "over0", 0, 0)
	assert.ErrorIs(t, err, ErrNotFound)
	assert.NilError(t, b.Accept(context.Background(), submission("j", 2)))
	for until := time.Now().Add(40 * time.Second); exists(t, s, over) > 0; time.Sleep(200 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%d of %d objects of jobs that are over are stored", exists(t, s, over), len(over))
		a.mu.Lock()
		assert.Assert(t, len(a.swept) <= 2, "the hub holds the heads of %d jobs", len(a.swept))
		a.mu.Unlock()
	}
	assert.Equal(t, exists(t, s, kept), len(kept))
	checkResults(t, e, readAll(t, a.Controller, "j", 5*time.Second))
	assert.Assert(t, a.ownedJob("over0") == nil && b.ownedJob("over0") == nil)
}

// Guards against owners of jobs that are remembered for as long as the process runs.
func TestOwnersOfOldJobsAreForgotten(t *testing.T) {
	var k knownOwners
	now := time.Now()
	k.rotate(now, time.Minute)
	k.set("j", owner{"a", 1})
	for range 3 {
		now = now.Add(30 * time.Second)
		k.rotate(now, time.Minute)
		got, ok := k.get("j")
		assert.Assert(t, ok && got == owner{"a", 1})
	}
	k.rotate(now.Add(time.Minute), time.Minute)
	_, ok := k.get("j")
	assert.Assert(t, !ok)
}

package listjob

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
)

// replaceLate carries out the first replacement of a head without an answer, after delay if its condition still holds.
type replaceLate struct {
	store.Store
	delay time.Duration
	first sync.Once
	// carriedOut holds the outcome of that write.
	carriedOut chan error
}

func (s *replaceLate) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	late := false
	if strings.HasPrefix(key, headKind) && expect > 0 {
		s.first.Do(func() { late = true })
	}
	if !late {
		return s.Store.Put(ctx, key, value, expect)
	}
	time.AfterFunc(s.delay, func() {
		_, err := s.Store.Put(context.Background(), key, value, expect)
		s.carriedOut <- err
	})
	return 0, store.ErrUnknown
}

// Guards against a job that runs though nothing has admitted it, because the store carries out late the write that puts its head in the place
// of that of an earlier, refused submission: the earlier refusal was taken for the withdrawal.
func TestLateReplacementOfARefusedHeadIsWithdrawn(t *testing.T) {
	s := &replaceLate{Store: memstore.New(), delay: 500 * time.Millisecond, carriedOut: make(chan error, 1)}
	_, e, nodes := quotaFleet(t, s, 30*time.Second, "a")
	earlier, err := json.Marshal(head{ID: "j", Host: testHost, Path: "/b/j", Total: 3, Chunks: 1, Submitted: time.Now().Add(-time.Second), Owner: "b", Incarnation: 1, Refused: true, Ended: true})
	assert.NilError(t, err)
	_, err = s.Store.Put(context.Background(), headKind+"j", earlier, store.CreateOnly)
	assert.NilError(t, err)
	assert.ErrorIs(t, nodes[0].Accept(context.Background(), sizedJob("j", 3)), ErrUnknown)
	assert.Check(t, <-s.carriedOut != nil, "the late write was carried out")
	time.Sleep(2 * sweepInterval) // Sweeps find the head.
	assert.Equal(t, e.totalRuns(), 0)
	stored, _, err := nodes[0].readStoredHead(context.Background(), "j")
	assert.NilError(t, err)
	assert.Assert(t, stored.Refused)
}

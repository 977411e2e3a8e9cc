package batch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/batch/batchtest"
	"trefoilplank.example/pkg/serving"
)

// serveAs sends a request to a node's handler as a caller of another institution with the same grants.
func (n *testNode) serveAs(institution string, r *http.Request) *httptest.ResponseRecorder {
	id := testIdentity
	id.Institution = institution
	w := httptest.NewRecorder()
	n.Handler().ServeHTTP(w, r.WithContext(serving.WithRequestID(serving.WithIdentity(r.Context(), id), n.Node+"-1")))
	return w
}

// Guards against a large job that starves small jobs of its own or another institution, and against small jobs that
// starve a large one. Institutions get their shares of the slots, and the jobs of one institution equal parts of that.
func TestManySmallJobsBesideOneLargeJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, slots, rounds, items = 2, 4, 20, 20
		// A quarter of the eight slots runs 20 items of one second in 10 s. If one node claims more than half of a small
		// job, that takes up to 2 s longer.
		const round = 12 * time.Second
		var mu sync.Mutex
		done := map[string]int{}
		invoker := &fakeInvoker{answer: func(ctx context.Context, c serving.Call, n int) (*serving.Result, error) {
			result, err := answerAfter(time.Second)(ctx, c, n)
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				done[strings.SplitN(c.CustomID, "-", 2)[0]]++
			}
			return result, err
		}}
		config := testConfig
		config.Rules.Institutions = []api.InstitutionRules{{Institution: "agencia", Share: 1}, {Institution: "board", Share: 1}}
		s := memstore.New()
		var fleet []*testNode
		for i := range nodes {
			n := startNode(t, s, fmt.Sprint("n", i), invoker, slots, func(o *Options) { o.Board.Config.Set(config) })
			defer n.close()
			fleet = append(fleet, n)
		}
		large := fleet[0].submit(t, fleet[0].upload(t, strings.ReplaceAll(chatFile(20_000), "item-", "large-")))
		time.Sleep(time.Minute)
		mu.Lock()
		before := done["large"]
		mu.Unlock()
		// Each round submits 40 items; the slots can run 96 items per round.
		for number := range rounds {
			own := fleet[1].submit(t, fleet[1].upload(t, namedFile(fmt.Sprint("own-", number), items)))
			file := decode(t, fleet[0].serveAs("board",
				batchtest.Upload("batch", namedFile(fmt.Sprint("other-", number), items), "")), http.StatusOK).ID
			other := decode(t, fleet[0].serveAs("board", batchRequest(file, "", "24h")), http.StatusOK).ID
			time.Sleep(round)
			assert.Equal(t, fleet[0].getBatch(t, own).Status, "completed", "round %d", number)
			w := fleet[0].serveAs("board", httptest.NewRequest(http.MethodGet, "/v1/batches/"+other, nil))
			assert.Equal(t, decode(t, w, http.StatusOK).Status, "completed", "round %d", number)
		}
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, done["own"], rounds*items)
		assert.Equal(t, done["other"], rounds*items)
		// The large job gets the slot time that the small jobs leave.
		left := rounds*int(round/time.Second)*nodes*slots - 2*rounds*items
		t.Logf("large job: %d of %d items", done["large"]-before, left)
		assert.Assert(t, done["large"]-before >= left*9/10, "%d of %d", done["large"]-before, left)
		assert.Equal(t, fleet[0].getBatch(t, large).Status, "in_progress")
	})
}

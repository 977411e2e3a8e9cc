package batch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store/memstore"
)

// Guards against items that are lost or recorded twice when two nodes work on the same job. The jobs have one part, a
// few parts, and parts of several file chunks.
func TestTwoNodesCompleteJobs(t *testing.T) {
	for _, items := range []int{1, 20, 2500} {
		synctest.Test(t, func(t *testing.T) {
			s := memstore.New()
			invoker := &fakeInvoker{}
			a := startNode(t, s, "a", invoker, 2, nil)
			defer a.close()
			b := startNode(t, s, "b", invoker, 2, nil)
			defer b.close()
			job := a.submit(t, b.upload(t, chatFile(items)))
			o := b.await(t, job, 5*time.Minute)
			assert.Equal(t, o.Status, "completed")
			assert.Equal(t, o.Counts.Completed, items)
			assert.Equal(t, len(a.outputs(t, o.OutputFileID)), items)
			assert.Equal(t, o.ErrorFileID, "")
		})
	}
}

package batch

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/store/memstore"
	"trefoilplank.example/pkg/batch/batchtest"
	"trefoilplank.example/pkg/batch/faultstore"
)

// storedKeys returns the keys of all stored objects except leases.
func storedKeys(t *testing.T, s store.Store) []string {
	t.Helper()
	page, err := s.List(t.Context(), "", "", 0)
	assert.NilError(t, err)
	var found []string
	for _, o := range page.Objects {
		if !strings.HasPrefix(o.Key, "nodes/") {
			found = append(found, o.Key)
		}
	}
	return found
}

// Guards against objects that stay in the store for ever: after finished jobs, and after an upload whose node lost the
// store at any of its store calls.
func TestRetentionLeavesNothing(t *testing.T) {
	for last := range 9 {
		synctest.Test(t, func(t *testing.T) {
			calls, failing := 0, false
			mem := memstore.New()
			failingStore := &faultstore.Store{Store: mem, Before: func(faultstore.Op) faultstore.Fault {
				if calls++; failing && calls > last {
					return faultstore.Down
				}
				return faultstore.None
			}}
			a := startNode(t, mem, "a", &fakeInvoker{}, 1, func(o *Options) { o.Retention = 10 * 24 * time.Hour })
			defer a.close()
			file := a.upload(t, chatFile(20))
			o := decode(t, a.serve(batchRequest(file, "key", "24h")), http.StatusOK)
			o = a.await(t, o.ID, time.Hour)

			uploader, err := New(Options{Node: "b", Store: failingStore, Board: a.board, Invoker: &fakeInvoker{}})
			assert.NilError(t, err)
			b := &testNode{Controller: uploader}
			calls, failing = 0, true
			b.serve(batchtest.Upload("batch", strings.ReplaceAll(chatFile(2500), "item", fmt.Sprint("x", last)), ""))

			const day = 24 * time.Hour
			assert.NilError(t, a.Collect(t.Context(), time.Now().Add(9*day)))
			assert.Equal(t, len(a.outputs(t, o.OutputFileID)), 20)
			assert.NilError(t, a.Collect(t.Context(), time.Now().Add(32*day)))
			assert.DeepEqual(t, storedKeys(t, mem), []string(nil))
		})
	}
}

// brokenReader ends with an error instead of io.EOF, as a broken connection of a caller does.
type brokenReader struct{ r io.Reader }

func (b brokenReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Guards against chunks that stay in the store after the caller's connection broke during the upload.
func TestBrokenUploadLeavesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New()
		a := startNode(t, mem, "a", &fakeInvoker{}, 0, nil)
		defer a.close()
		r := batchtest.Upload("batch", chatFile(5000), "")
		r.Body = io.NopCloser(brokenReader{io.LimitReader(r.Body, 500_000)})
		decode(t, a.serve(r), http.StatusBadRequest)
		assert.DeepEqual(t, storedKeys(t, mem), []string(nil))
	})
}

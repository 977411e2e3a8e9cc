package jobstore

import (
	"testing"

	"trefoilplank.example/pkg/batch/filestore"
	"trefoilplank.example/pkg/batch/line"
	"trefoilplank.example/pkg/batch/objects"
	"trefoilplank.example/pkg/decision/jobstate"

	"gotest.tools/v3/assert"
)

// Guards against panics and unbounded memory when records in the store are damaged.
func FuzzStoredRecords(f *testing.F) {
	f.Add([]byte(`{"job":"batch_1","index":1,"size":3,"state":"open","holder":{"node":"a","lease":1},"token":1,"done":"Aw==","released":{"1":2}}`))
	f.Add([]byte(`{"id":"batch_1","parts":3,"done":"Bw==","chunks":[{"lines":-1}]}`))
	if frame, err := objects.Compress([]byte("+{}\n-{}\n")); err == nil {
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if p, err := DecodePart(value); err == nil {
			h := jobstate.Holder{Node: "a", Lease: 1}
			if next, err := p.Claim(h, true); err == nil {
				assert.Assert(t, next.Token > p.Token || p.Token == 1<<63-1)
				// An item that has its result is never recorded again.
				for i := range next.Size {
					_, err := next.Apply(h, next.Token, jobstate.Commit{Items: map[int]bool{i: true}})
					assert.Equal(t, err != nil, next.Done.Has(i))
				}
			}
		}
		if s, err := DecodeSummary(value); err == nil {
			s.AllDone()
			next, _ := s.MarkDone(0, 7)
			assert.Assert(t, next.Done.Has(7))
		}
		_, _ = DecodeJob(value)
		if m, err := filestore.Decode(value); err == nil {
			jobstate.Plan(m.ChunkLines())
		}
		raw, err := objects.Decompress(value)
		assert.Assert(t, len(raw) <= objects.MaxBlobBytes)
		if err == nil {
			_ = line.SelectStored(raw, true, func([]byte) error { return nil })
		}
	})
}

package jobstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/batch/filestore"
	"trefoilplank.example/pkg/batch/line"
	"trefoilplank.example/pkg/batch/objects"
	"trefoilplank.example/pkg/decision/jobstate"
)

// Guards against an output file that can't be read although all its results are stored: those of one commit, or of several small
// ones, have more bytes than a value may have once it is decompressed.
func TestOutputOfLargeCommitsIsRead(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	noise := func(n int) string {
		var b strings.Builder
		for b.Len() < n {
			fmt.Fprintf(&b, "%x", random.Uint64())
		}
		return b.String()
	}
	const items = 20
	for name, c := range map[string]struct {
		body      func() string
		perCommit int
	}{
		"one commit after an outage": {func() string { return noise(9 << 20) }, items},
		"one answer":                 {func() string { return strings.Repeat("x", objects.MaxBlobBytes+1) }, items},
		"small commits":              {func() string { return strings.Repeat("x", 9<<20) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			m, err := newModel(items, nil)
			assert.NilError(t, err)
			held := map[int]*ClaimedPart{}
			for i, r := range m.plan {
				held[i], err = m.jobs.Claim(ctx, m.summary, i, r.Size, jobstate.Holder{Node: "a", Lease: 1}, func() bool { return true }, nil)
				assert.NilError(t, err)
				var g Group
				for n := range r.Size {
					if g.Items == nil {
						g = Group{Items: map[int]bool{}}
					}
					id := fmt.Sprint("item-", r.Item+n)
					body, err := json.Marshal(noise(16))
					assert.NilError(t, err)
					if i == 0 && (name != "one answer" || n == 0) {
						body, err = json.Marshal(c.body())
						assert.NilError(t, err)
					}
					o := line.Output{ID: id, CustomID: id, Response: &line.Response{StatusCode: 200, Body: body}}
					g.Items[n] = true
					g.Lines, err = line.AppendStored(g.Lines, &o)
					assert.NilError(t, err)
					if len(g.Items) == c.perCommit || n == r.Size-1 {
						assert.NilError(t, held[i].Commit(ctx, g))
						g = Group{}
					}
				}
			}
			meta := &filestore.Meta{ID: OutputFile(m.summary.ID), Institution: "agencia", Job: m.summary.ID}
			var content bytes.Buffer
			assert.NilError(t, m.jobs.WriteContent(ctx, meta, &content))
			seen := map[string]bool{}
			for l := range bytes.Lines(content.Bytes()) {
				var o line.Output
				assert.NilError(t, json.Unmarshal(l, &o))
				seen[o.CustomID] = true
			}
			assert.Equal(t, len(seen), items)
		})
	}
}

package confchain_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/config"
	"trefoilplank.example/pkg/decision/confchain"
)

// fleetConfig returns a configuration of the size planned for two years ahead: 400 institutions, 1,500 upstreams.
func fleetConfig(version int64) api.Config {
	c := api.Config{Version: version}
	zones := []string{"centro", "cordon", "pocitos", "prado", "triolet", "terre-rouge", "pamplemousses", "zone-8"}
	for i := range 400 {
		name := fmt.Sprintf("institution-%03d", i)
		digest := sha256.Sum256([]byte(name))
		c.Register.Institutions = append(c.Register.Institutions, api.Institution{Name: name, DisplayName: "Institution " + name})
		for j := range 3 {
			c.Register.Callers = append(c.Register.Callers, api.Caller{
				Name: fmt.Sprintf("caller-%03d-%d", i, j), Institution: name, KeyDigests: []string{hex.EncodeToString(digest[:])},
				Grants: api.Grants{Models: []string{"summary", "rights"}, Services: []string{"status"}, Batch: j == 0},
			})
			digest = sha256.Sum256(digest[:])
		}
		c.Rules.Institutions = append(c.Rules.Institutions, api.InstitutionRules{
			Institution: name, Share: float64(i%7 + 1), Rate: api.Rate{RequestsPerSecond: float64(10 + i)},
			Classes:          []api.Class{{Name: "status", Match: api.Match{Service: "status"}}, {Name: "interactive"}},
			Objectives:       []api.Objective{{Name: "first", Metric: api.MetricFirstToken, Latency: api.Duration(time.Second), Target: 0.95}},
			CompletionWindow: api.Duration(24 * time.Hour), OnlineTailWeight: 0.5,
		})
	}
	for i := range 1500 {
		c.Register.Upstreams = append(c.Register.Upstreams, api.Upstream{
			Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.%d.%d.7:8000", i/250, i%250), VM: fmt.Sprintf("vm-%04d", i),
			AvailabilityZone: zones[i%8], Kind: api.UpstreamEngine, Models: []string{"summary", "rights", "draft"}, Fencing: api.FencingEnforced,
		})
	}
	return c
}

func mustEncode(t testing.TB, c api.Config) confchain.Payload {
	t.Helper()
	p, err := confchain.EncodePayload(c)
	assert.NilError(t, err)
	return p
}

// nextConfig returns version 2 of fleetConfig, which changes one upstream and one share.
func nextConfig() api.Config {
	c := fleetConfig(2)
	c.Register.Upstreams[700].Leaving = true
	c.Rules.Institutions[100].Share = 9
	return c
}

// TestPayloadForms guards against a payload that changes when it is compressed and split into chunks, or sent as a
// delta, and against deltas that are not much smaller than the payload.
func TestPayloadForms(t *testing.T) {
	a, b := mustEncode(t, fleetConfig(1)), mustEncode(t, nextConfig())
	data, err := b.Compress()
	assert.NilError(t, err)
	joined := []byte{}
	for _, chunk := range confchain.SplitChunks(data) {
		assert.Assert(t, len(chunk) <= confchain.ChunkBytes)
		joined = append(joined, chunk...)
	}
	decompressed, err := confchain.Decompress(2, joined)
	assert.NilError(t, err)
	delta, err := b.Delta(a)
	assert.NilError(t, err)
	assert.Assert(t, len(delta) < len(data)/10, "delta of %d bytes", len(delta))
	byDelta, err := confchain.ApplyDelta(a, 2, delta)
	assert.NilError(t, err)
	e := confchain.Entry{Record: config.Record{Version: 2}, Digest: confchain.Digest(b.JSON)}
	assert.NilError(t, decompressed.Verify(e))
	assert.NilError(t, byDelta.Verify(e))
	assert.ErrorContains(t, a.Verify(e), "does not match")
	got, err := byDelta.Config()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, nextConfig())
	assert.Equal(t, len(confchain.SplitChunks(make([]byte, 3*confchain.ChunkBytes+1))), 4)
}

// BenchmarkPayload reports the sizes of fleetConfig in its forms, and the times to compute a delta and to apply one.
func BenchmarkPayload(b *testing.B) {
	from, to := mustEncode(b, fleetConfig(1)), mustEncode(b, nextConfig())
	data, err := to.Compress()
	assert.NilError(b, err)
	delta, err := to.Delta(from)
	assert.NilError(b, err)
	b.Run("delta", func(b *testing.B) {
		for b.Loop() {
			_, err = to.Delta(from)
			assert.NilError(b, err)
		}
		b.ReportMetric(float64(len(to.JSON)), "json-bytes")
		b.ReportMetric(float64(len(data)), "compressed-bytes")
		b.ReportMetric(float64(len(delta)), "delta-bytes")
	})
	b.Run("install", func(b *testing.B) {
		e := confchain.Entry{Record: config.Record{Version: 2}, Digest: confchain.Digest(to.JSON)}
		for b.Loop() {
			p, err := confchain.ApplyDelta(from, 2, delta)
			assert.NilError(b, err)
			assert.NilError(b, p.Verify(e))
			_, err = p.Config()
			assert.NilError(b, err)
		}
	})
}

// testNode holds the versions that a node of TestChain knows of and has in force.
type testNode struct {
	known   confchain.KnownVersion
	inForce confchain.Entry
}

// TestChain guards against two accepted changes with the same version, a resend that is accepted again, a node that
// returns to an earlier version, and nodes with different content for one version. Conditional writes arrive late and
// in any order, and the store may be restored from a backup.
func TestChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stored, backup confchain.Head
		nodes := make([]testNode, 3)
		accepted := map[int64]string{}
		byKey := map[string]int64{}
		attempts := 0
		// proposal is a conditional write that has not arrived yet: it replaces base by head.
		type proposal struct {
			head confchain.Head
			base confchain.Head
		}
		var inFlight []proposal
		apply := func(p proposal) bool {
			if p.base.Version() != stored.Version() || len(stored.History) > 0 && p.base.History[0].Attempt != stored.History[0].Attempt {
				return false
			}
			stored = p.head
			e := stored.History[0]
			if other, ok := accepted[e.Version]; ok && other != e.Attempt {
				t.Fatalf("version %d was accepted twice", e.Version)
			}
			accepted[e.Version] = e.Attempt
			if e.Key != "" {
				if first, ok := byKey[e.Key]; ok && first != e.Version {
					if stillStored, _ := stored.FindAttempt(first, accepted[first]); stillStored {
						t.Fatalf("key %s was accepted as versions %d and %d", e.Key, first, e.Version)
					}
				}
				byKey[e.Key] = e.Version
			}
			return true
		}
		t.Repeat(map[string]func(*rapid.T){
			"operator": func(t *rapid.T) {
				c := config.Change{Key: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "key")}
				c.IfMatch = rapid.SampledFrom([]int64{config.AnyVersion, config.NoVersion, stored.Version(), max(0, stored.Version()-1)}).Draw(t, "if match")
				digest := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "change")
				version, err := stored.CheckChange(c, digest, int64(len(accepted)))
				var race *config.RaceError
				var reuse *config.KeyReuseError
				switch {
				case version > 0:
					i := slices.IndexFunc(stored.History, func(e confchain.Entry) bool { return e.Version == version })
					if e := stored.History[i]; e.Key != c.Key || e.Change != digest {
						t.Fatalf("resend of key %q answered with version %d", c.Key, version)
					}
				case errors.As(err, &race):
					if c.IfMatch == config.AnyVersion || c.IfMatch == stored.Version() || c.IfMatch == config.NoVersion && len(accepted) == 0 {
						t.Fatalf("refused as a race at version %d, although the change matches version %d", stored.Version(), c.IfMatch)
					}
				case errors.As(err, &reuse):
				case err == nil:
					if c.IfMatch == config.NoVersion && len(accepted) > 0 {
						t.Fatalf("a change that requires an empty configuration was accepted after %d versions", len(accepted))
					}
					attempts++
					proposer := nodes[rapid.IntRange(0, 2).Draw(t, "node")]
					// Live members report the versions in force, so the proposer knows of all accepted ones.
					known := max(proposer.known.Version, int64(len(accepted)))
					p := confchain.Proposal{Version: stored.NextVersion(known), Change: digest, Key: c.Key, Attempt: fmt.Sprint(attempts), Digest: digest, Chunks: 1}
					inFlight = append(inFlight, proposal{stored.Append(p), stored})
				}
			},
			"write arrives": func(t *rapid.T) {
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "write")
					apply(inFlight[i])
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
				}
			},
			"node receives entry": func(t *rapid.T) {
				n := &nodes[rapid.IntRange(0, 2).Draw(t, "node")]
				from := &nodes[rapid.IntRange(0, 2).Draw(t, "from")]
				e := from.inForce
				if rapid.Bool().Draw(t, "from store") && stored.Version() > 0 {
					e = stored.History[rapid.IntRange(0, len(stored.History)-1).Draw(t, "entry")]
				}
				before := n.inForce.Version
				n.known = n.known.Advance(e.Version, true)
				if confchain.IsNewer(n.inForce.Version, e.Version) {
					n.inForce = e
				}
				if n.inForce.Version < before || n.known.Version < n.inForce.Version {
					t.Fatalf("node went from version %d to %d, knows %d", before, n.inForce.Version, n.known.Version)
				}
			},
			"backup": func(*rapid.T) { backup = stored },
			"store loses writes": func(*rapid.T) {
				// Writes that have not arrived are conditional on revisions that no longer exist, so they fail.
				stored, inFlight = backup, nil
				for k, v := range byKey {
					if v > stored.Version() {
						delete(byKey, k)
					}
				}
			},
			"": func(t *rapid.T) {
				for _, n := range nodes {
					if v := n.inForce.Version; v > 0 && accepted[v] != n.inForce.Attempt {
						t.Fatalf("version %d has attempt %q in force, accepted was %q", v, n.inForce.Attempt, accepted[v])
					}
				}
				if len(stored.History) > 0 {
					if _, err := confchain.DecodeHead(stored.Encode()); err != nil {
						t.Fatal(err)
					}
				}
			},
		})
	})
}

// TestFindAttempt guards against wrong results for a write whose answer was lost, also after many later versions, and
// against a head of 32 KB or more.
func TestFindAttempt(t *testing.T) {
	h := confchain.Head{}
	for v := int64(1); v <= 200; v++ {
		h = h.Append(confchain.Proposal{Version: v, Attempt: fmt.Sprint("a", v), Digest: "d", Chunks: 1})
		decoded, err := confchain.DecodeHead(h.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, h)
		found, _ := h.FindAttempt(v, fmt.Sprint("a", v))
		assert.Assert(t, found)
		found, complete := h.FindAttempt(v, "lost")
		assert.Assert(t, !found && complete)
	}
	assert.Equal(t, len(h.History), confchain.MaxHistory)
	found, complete := h.FindAttempt(180, "a180")
	assert.Assert(t, !found && !complete, "an entry without its attempt was searched as if it were complete")
	assert.Assert(t, len(h.Encode()) < 32<<10)
}

// TestQuorum guards against a start without the store on answers of too few peers.
func TestQuorum(t *testing.T) {
	known, unknown := confchain.PeerAnswer{Version: 4, Ready: true}, confchain.PeerAnswer{Version: 9}
	for _, tt := range []struct {
		peers   int
		answers []confchain.PeerAnswer
		version int64
		ok      bool
	}{
		{0, nil, 0, false},
		{1, []confchain.PeerAnswer{known}, 4, true},
		{2, []confchain.PeerAnswer{known}, 4, false},
		{3, []confchain.PeerAnswer{known, {Version: 6, Ready: true}}, 6, true},
		{3, []confchain.PeerAnswer{known, unknown, unknown}, 4, false},
		{3, []confchain.PeerAnswer{{Ready: true}, {Ready: true}}, 0, true},
	} {
		version, ok := confchain.Quorum(tt.peers, tt.answers)
		assert.Equal(t, ok, tt.ok, "%+v", tt)
		assert.Equal(t, version, tt.version, "%+v", tt)
	}
}

// FuzzHead guards against a panic on a malformed head, chunk key or compressed payload.
func FuzzHead(f *testing.F) {
	f.Add(confchain.Head{}.Append(confchain.Proposal{Version: 3, Attempt: "a", Digest: "d", Chunks: 1}).Encode())
	f.Add([]byte(`{"history":[{"version":1}]}`))
	base := mustEncode(f, api.Config{Version: 1})
	delta, _ := mustEncode(f, api.Config{Version: 2}).Delta(base)
	f.Add(delta)
	f.Fuzz(func(t *testing.T, data []byte) {
		if h, err := confchain.DecodeHead(data); err == nil && h.Version() <= 0 {
			t.Fatalf("version %d", h.Version())
		} else if err == nil {
			_, _ = h.History[0].ChunkKeys()
		}
		_, _ = confchain.ChunkVersion(string(data))
		if p, err := confchain.ApplyDelta(base, 2, data); err == nil {
			_, _ = p.Config()
		}
		_, _ = confchain.Decompress(1, data)
	})
}

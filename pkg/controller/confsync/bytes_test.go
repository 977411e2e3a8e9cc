package confsync_test

import (
	"bytes"
	"encoding/gob"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/config"
	"trefoilplank.example/pkg/controller/confsync"
	"trefoilplank.example/pkg/controller/membership"
	"trefoilplank.example/pkg/decision/confchain"
	"trefoilplank.example/pkg/decision/dissemination"
	"trefoilplank.example/pkg/decision/lease"
	decision "trefoilplank.example/pkg/decision/membership"
)

// BenchmarkMessageBytes reports the size of each message after the first on a connection, without TCP/IP headers. The
// simulation of package dissemination uses these sizes.
func BenchmarkMessageBytes(b *testing.B) {
	digest := strings.Repeat("0123456789abcdef", 4)
	stamp := decision.Stamp{Incarnation: time.Now().UnixMilli(), Seq: 3}
	entry := confchain.Entry{
		Record: config.Record{Version: 90_000, Key: digest[:32], Who: "operator-1", When: time.Now()},
		Change: digest[:16], Digest: digest, Attempt: digest[:26], Chunks: 1, Node: "node-117",
	}
	route := dissemination.Route{Stage: dissemination.StageMembers, Root: "node-117", Zone: "terre-rouge"}
	head := confchain.Head{}
	for i := range confchain.MaxHistory {
		head = head.Append(confchain.Proposal{
			Version: int64(i + 1), Change: digest[:16], Digest: digest, Attempt: digest[:26], Chunks: 1, Node: "node-117", Key: digest[:32], Who: "operator-1", When: time.Now(),
		})
	}
	record := lease.Record{
		Name: "node-117", AvailabilityZone: "terre-rouge", Region: "mu-north", Address: "10.20.30.40:18080", AdminAddress: "10.20.30.40:18081",
		PeerAddress: "10.20.30.40:18082", Incarnation: stamp.Incarnation, Token: 123456, Renewal: 77, Expiry: time.Now(),
	}
	messages := map[string][2]any{
		"exchange": {
			&membership.ExchangeArgs{From: "node-117", Stamp: stamp, About: stamp, Version: 90_000, Digest: 1 << 63},
			&membership.ExchangeReply{Stamp: stamp, You: stamp, Version: 90_000, Digest: 1 << 63},
		},
		"config-push": {&confsync.PushArgs{From: "node-117", Entry: entry, Base: 89_999, Delta: make([]byte, 131), Route: route}, &confsync.PushReply{Version: 90_000}},
		"versions": {
			&membership.PushArgs{Versions: &membership.Versions{AvailabilityZone: "terre-rouge", At: time.Now().UnixMilli(), Version: 90_000}, Route: route},
			&membership.PushReply{},
		},
		"report": {&membership.ReportArgs{From: "node-117", Version: 90_000}, &membership.PushReply{}},
	}
	for name, m := range messages {
		b.Run(name, func(b *testing.B) {
			var out bytes.Buffer
			encoder := gob.NewEncoder(&out)
			for b.Loop() {
				out.Reset()
				assert.NilError(b, encoder.Encode(&rpc.Request{ServiceMethod: "Membership.Exchange", Seq: 1 << 20}))
				assert.NilError(b, encoder.Encode(m[0]))
				request := out.Len()
				assert.NilError(b, encoder.Encode(&rpc.Response{ServiceMethod: "Membership.Exchange", Seq: 1 << 20}))
				assert.NilError(b, encoder.Encode(m[1]))
				b.ReportMetric(float64(request), "request-bytes")
				b.ReportMetric(float64(out.Len()-request), "reply-bytes")
			}
		})
	}
	b.Run("stored", func(b *testing.B) {
		for b.Loop() {
			b.ReportMetric(float64(len(record.Encode())), "lease-bytes")
			b.ReportMetric(float64(len(head.Encode())), "head-bytes")
		}
	})
}

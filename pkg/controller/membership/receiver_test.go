package membership

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/pkg/decision/membership"
)

// TestBriefReplyEqualsFull guards against a brief reply that differs from the full one once its omitted fields are
// filled in, against one sent to a node of an earlier version, which would read it as a node without an incarnation,
// and against full replies where a brief one is possible.
func TestBriefReplyEqualsFull(t *testing.T) {
	stamp := rapid.Custom(func(t *rapid.T) membership.Stamp {
		return membership.Stamp{Incarnation: rapid.Int64Range(0, 2).Draw(t, "incarnation"), Seq: rapid.Int64Range(0, 1).Draw(t, "seq"),
			Status: membership.Status(rapid.IntRange(0, 1).Draw(t, "status"))}
	})
	small := rapid.Int64Range(0, 1)
	rapid.Check(t, func(t *rapid.T) {
		args := ExchangeArgs{Stamp: stamp.Draw(t, "from"), About: stamp.Draw(t, "about"), Version: small.Draw(t, "version"),
			Digest: uint64(small.Draw(t, "digest")), Brief: rapid.Bool().Draw(t, "brief")}
		full := ExchangeReply{Stamp: stamp.Draw(t, "self"), You: stamp.Draw(t, "you"), Version: small.Draw(t, "own version"),
			Digest: uint64(small.Draw(t, "own digest")), Draining: rapid.Bool().Draw(t, "draining")}
		if rapid.Bool().Draw(t, "agree") {
			full.Stamp, full.You, full.Version, full.Digest = args.About, args.Stamp, args.Version, args.Digest
			reply := full
			reply.omitKnown(&args)
			assert.Equal(t, reply.Brief, args.Brief)
		}
		reply := full
		reply.omitKnown(&args)
		assert.Assert(t, args.Brief || reply == full)
		reply.fillOmitted(&args)
		reply.Brief = false
		assert.Equal(t, reply, full)
	})
}

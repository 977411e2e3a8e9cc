package failedruns

import (
	"fmt"
	"testing"
)

// BenchmarkLedger measures what a ledger of n crashes costs: the check of a request, the changes for an exchange in which
// one record changed, and the memory of a record.
func BenchmarkLedger(b *testing.B) {
	for _, n := range []int{50, 500, 4000} {
		newLedger := func() *Ledger {
			l := NewLedger()
			for i := range n {
				l.Merge([]Record{crash(fmt.Sprintf("%032x", i), fmt.Sprintf("node%d/18edf658e521934e/%d", i%380, i), fmt.Sprintf("i-%010x", i/8))}, "", start)
			}
			return l
		}
		b.Run(fmt.Sprintf("check/%d", n), func(b *testing.B) {
			l := newLedger()
			for b.Loop() {
				l.QuarantinedFor(Works{Request: "00000000000000000000000000000001"}, start)
			}
		})
		b.Run(fmt.Sprintf("since/%d", n), func(b *testing.B) {
			l := newLedger()
			for b.Loop() {
				l.Since(l.revision-1, "", 256, start)
			}
		})
		b.Run(fmt.Sprintf("memory/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				newLedger()
			}
		})
	}
}

package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against counting the work of cancelled runs as kept, although only a resumed run keeps it, against counting
// work outside the span, and against counting online runs as batch work.
func TestSumUseCountsKeptBatchWork(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	row := func(id, custom string, from, to float64, cancelled bool) execution {
		end := at(to)
		return execution{RequestID: id, CustomID: custom, Started: at(from), Finished: &end, Cancelled: cancelled}
	}
	rows := []execution{
		row("online", "", 1, 3, false),
		row("before", "b-0", 0, 0.5, false),
		row("across", "b-1", 0, 2, false),
		row("lost", "b-2", 2, 3, true),
		row("moved", "b-3", 2, 4, true),
		row("moved-import", "b-3", 5, 6, false),
		{RequestID: "goes-on", CustomID: "b-4", Started: at(8)},
		row("late", "b-5", 9, 12, true),
	}
	u := sumUse(rows, 4, at(1), at(11))
	assert.DeepEqual(t, u, SlotUse{Total: 40, Online: 2, Batch: 1 + 1 + 2 + 1 + 3 + 2, Kept: 1 + 2 + 1 + 3 + 2,
		Finished: 2, Cancelled: 2, Seconds: 10})
}

// Guards against a throughput that is compared with all slots instead of those that online calls leave idle.
func TestThroughputComparesWithIdleSlots(t *testing.T) {
	b := Backlog{BatchOnly: SlotUse{Total: 80, Batch: 70, Finished: 70, Seconds: 10},
		OnlineOnly:     SlotUse{Total: 80, Online: 30, Seconds: 10},
		OnlineAndBatch: SlotUse{Total: 80, Online: 48, Batch: 24, Kept: 16, Finished: 45, Cancelled: 9, Seconds: 10}}
	got := b.Throughput()
	want := Throughput{ItemsPerSecond: 4.5, OfIdle: 0.9, IdleUsed: 0.75, Kept: 0.5, Cancelled: 0.2}
	assert.DeepEqual(t, got, want)
}

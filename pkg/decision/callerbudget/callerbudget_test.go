package callerbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const mb = 1 << 20

func usage(holders []Holder) (u Usage) {
	for _, h := range holders {
		u.Bytes += h.Usage.Bytes
		u.Descriptors += h.Usage.Descriptors
	}
	return u
}

// Guards against the load that made a node of 256 MB hold 411 MB: 400 callers send a body of 1 MB each but for its last byte.
// Ordinary requests that arrive meanwhile, and the ones that are served, do not give way.
func TestBodiesThatStopGiveWayBeforeOrdinaryRequests(t *testing.T) {
	limit := Limit(Callers, 64*mb, 3075)
	var holders []Holder
	for i := range 400 {
		holders = append(holders, Holder{Phase: Body, Usage: Usage{ConnectionBytes + mb, 2}, Age: time.Second, Stalled: time.Duration(500+i) * time.Millisecond})
	}
	ordinary := len(holders)
	holders = append(holders,
		Holder{Phase: Body, Usage: Usage{ConnectionBytes + 100<<10, 2}, Age: 30 * time.Millisecond, Stalled: time.Millisecond},
		Holder{Phase: Head, Usage: Usage{ConnectionBytes + 1000, 1}, Age: 20 * time.Millisecond, Stalled: 20 * time.Millisecond},
		Holder{Phase: Serving, Usage: Usage{ConnectionBytes + mb, 2}, Age: time.Minute, Stalled: time.Minute},
		Holder{Phase: Answer, Usage: Usage{ConnectionBytes, 2}, Age: 10 * time.Second, Stalled: time.Millisecond},
		Holder{Phase: Idle, Usage: Usage{ConnectionBytes, 1}, Age: 12 * time.Second, Stalled: 12 * time.Second, Served: true},
	)
	victims := Victims(holders, usage(holders), limit)
	assert.Equal(t, victims[0], ordinary-1, "the one that stopped first and holds most gives way first")
	used := usage(holders)
	for _, i := range victims {
		assert.Assert(t, i < ordinary, "holder %d gave way", i)
		used.Bytes -= holders[i].Usage.Bytes
		used.Descriptors -= holders[i].Usage.Descriptors
	}
	assert.Assert(t, !used.Exceeds(limit))
}

// Guards against closing the idle connections that callers reuse while others hold as many that never carried a request.
func TestConnectionsWithoutRequestsGiveWayBeforeIdleOnes(t *testing.T) {
	var holders []Holder
	for range 50 {
		holders = append(holders,
			Holder{Phase: Idle, Usage: Usage{ConnectionBytes, 1}, Age: 11 * time.Second, Stalled: 11 * time.Second, Served: true},
			Holder{Phase: Head, Usage: Usage{ConnectionBytes + 200, 1}, Age: time.Second, Stalled: time.Second})
	}
	victims := Victims(holders, usage(holders), Usage{Descriptors: 60})
	assert.Equal(t, len(victims), 43)
	for _, i := range victims {
		assert.Equal(t, holders[i].Phase, Head)
	}
}

// Guards against giving up those that make progress before those that send a byte at a time, and a long stream whose caller reads.
func TestProgressGivesWayLast(t *testing.T) {
	holders := []Holder{
		{Phase: Body, Usage: Usage{4 * mb, 2}, Age: 10 * time.Second, Stalled: 10 * time.Millisecond, Received: 4 * mb},
		{Phase: Body, Usage: Usage{ConnectionBytes + 100, 2}, Age: 30 * time.Second, Stalled: 100 * time.Millisecond, Received: 300},
		{Phase: Body, Usage: Usage{ConnectionBytes, 2}, Age: 30 * time.Second, Stalled: 10 * time.Millisecond, Received: 100 * mb},
		{Phase: Answer, Usage: Usage{ConnectionBytes + 32<<10, 2}, Age: time.Hour, Stalled: 10 * time.Millisecond},
	}
	assert.DeepEqual(t, Victims(holders, usage(holders), Usage{Descriptors: 3}), []int{0, 1, 2})
	assert.DeepEqual(t, Victims(holders[1:], usage(holders[1:]), Usage{Descriptors: 5}), []int{0})
}

// Guards against giving up requests while there is room: a caller may take its whole time limit to send one.
func TestNobodyGivesWayWithinTheLimit(t *testing.T) {
	slow := []Holder{{Phase: Body, Usage: Usage{4 * mb, 2}, Age: 15 * time.Second, Stalled: time.Second}}
	assert.Equal(t, len(Victims(slow, usage(slow), Limit(Callers, 36*mb, 3075))), 0)
}

// Guards against refusing requests that are being served, which a closed connection would not undo.
func TestServedRequestsDoNotGiveWay(t *testing.T) {
	served := []Holder{{Phase: Serving, Usage: Usage{40 * mb, 2}, Age: time.Second, Stalled: time.Second}, {Phase: Body, Usage: Usage{mb, 2}, Age: time.Second}}
	assert.DeepEqual(t, Victims(served, usage(served), Usage{Bytes: 30 * mb}), []int{1})
}

// Guards against a class of servers without room of its own, and against parts that together exceed the whole.
func TestLimitsOfClasses(t *testing.T) {
	var sum Usage
	for c := range parts {
		l := Limit(c, 32*mb, 3075)
		assert.Assert(t, l.Descriptors >= minDescriptors)
		if c == Operators {
			continue // In place of Directory.
		}
		sum.Bytes += l.Bytes
		sum.Descriptors += l.Descriptors
	}
	assert.Assert(t, sum.Bytes <= 32*mb && sum.Descriptors <= 3075*8/10)
	assert.Equal(t, Limit(Callers, 32*mb, 0).Descriptors, int64(0), "an unknown limit is none")
	assert.Assert(t, HeadBytes(16<<10, 2300) > 200<<10, "2,300 fields in 16 KiB took 250 KB")
}

// Guards against complete requests of legal size, on a slow route, that hold everything: they do not give way, so that nobody else
// could connect.
func TestServedRequestsLeaveRoomForOthers(t *testing.T) {
	limit := Limit(Callers, 36*mb, 3075)
	served := int64(0)
	for range 400 {
		if MayServe(4*mb, served, limit) {
			served += 4 * mb
		}
	}
	assert.Equal(t, served, int64(16*mb))
	assert.Assert(t, MayServe(2000, served, limit), "a small request is served")
	assert.Assert(t, MayServe(4*mb, 0, limit), "a single request of the largest size is served")
}

package drain

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/blackboard"
)

// Guards against a request that is let in while the gate closes for lack of requests, and would be cut.
func TestGateClosesOnlyWhileIdle(t *testing.T) {
	const rounds, callers = 2000, 4
	for range rounds {
		g := NewGate()
		var inside, late atomic.Int64
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				for g.Enter() {
					inside.Add(1)
					inside.Add(-1)
					g.Leave()
					runtime.Gosched() // Else the gate is hardly ever idle on a busy machine.
				}
			})
		}
		group.Go(func() {
			for !g.CloseIfIdle() {
			}
			late.Add(inside.Load())
		})
		group.Wait()
		assert.Equal(t, late.Load(), int64(0))
		assert.Assert(t, !g.Enter() && g.CloseIfIdle())
		assert.Equal(t, g.Active(), int64(0))
	}
}

// Guards against requests that are refused at a closed gate and counted as requests that the drain ends.
func TestClosedGateCountsNoRefusedRequest(t *testing.T) {
	g := NewGate()
	assert.Assert(t, g.Enter())
	g.Close()
	var stop atomic.Bool
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for !stop.Load() {
				if g.Enter() {
					t.Error("entered a closed gate")
				}
				runtime.Gosched()
			}
		})
	}
	for range 200_000 {
		if n := g.Active(); n != 1 {
			t.Errorf("%d requests in progress at a gate that let one in", n)
			break
		}
	}
	stop.Store(true)
	group.Wait()
	g.Leave()
	assert.Equal(t, g.Active(), int64(0))
}

// Guards against requests that can't tell the end of a drain from a caller that has left, or from their deadline.
func TestEndOfGateIsTheCause(t *testing.T) {
	g := NewGate()
	request, leave := context.WithCancel(g.Context())
	limited, cancel := context.WithTimeout(g.Context(), 0)
	defer cancel()
	left, leaveFirst := context.WithCancel(g.Context())
	leaveFirst()
	g.End()
	g.End()
	leave()
	assert.Assert(t, Ended(request))
	assert.Assert(t, !Ended(limited) && !Ended(left) && !Ended(context.Background()))
	assert.Assert(t, errors.Is(request.Err(), context.Canceled))
}

// Guards against a node that does not end after a part of it has failed, since its servers go on, and cuts what is in progress.
func TestAbortAnswersRequests(t *testing.T) {
	s := startServers(t, nil)
	c := New(Options{Board: blackboard.New(), AddressesValidUntil: time.Now, Servers: s.Servers})
	answers := make(chan string, 1)
	conn := s.dial()
	go func() {
		answer, err := conn.send("/wait")
		answers <- fmt.Sprint(answer, " ", err)
	}()
	s.await(1)
	c.Abort()
	assert.Equal(t, <-answers, "504 ended true <nil>")
	assert.NilError(t, <-s.served)
	<-c.Done()
}

package customerlimits

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventlog"
)

// network is nodes whose reports go to the first one.
type network struct {
	// exchanging admits one exchange at a time; a mutex would stop the virtual time.
	exchanging chan struct{}
	nodes      []*Controller
	calls      int
	// silent is set while the hub does not answer; old while it is of a build without limits.
	silent, old bool
}

func newNetwork(count int, customers ...routing.Customer) *network {
	n := &network{exchanging: make(chan struct{}, 1)}
	table := routing.NewTable(routing.Configuration{Customers: customers})
	for i := range count {
		n.nodes = append(n.nodes, New(Options{
			Table: func() *routing.Table { return table }, Nodes: func() int { return count }, Window: 5 * time.Second, Log: &eventlog.Log{},
			ExchangeNow: func(context.Context) bool { return n.exchange(i) },
		}))
	}
	return n
}

// exchange reports a node's figures to the hub.
func (n *network) exchange(i int) bool {
	if n.silent {
		time.Sleep(30 * time.Millisecond) // As long as Exchange.ExchangeNow waits.
		return false
	}
	n.exchanging <- struct{}{}
	defer func() { <-n.exchanging }()
	n.calls++
	r, sent := n.nodes[i].Report("hub")
	time.Sleep(2 * time.Millisecond)
	if n.old {
		n.nodes[i].Answered(sent, nil)
		return true
	}
	n.nodes[i].Answered(sent, n.nodes[0].HandleReport(fmt.Sprint("node", i), 1, r))
	return true
}

// load sends requests of the customer to all nodes for a time and returns how many pass, and the most that pass in a window.
func (n *network) load(c *routing.Customer, perSecond int, d time.Duration) (count, most int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var passed []time.Time
	for i := range int(d.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		wg.Go(func() {
			if _, ok := n.nodes[i%len(n.nodes)].Take(context.Background(), c); ok {
				mu.Lock()
				defer mu.Unlock()
				passed = append(passed, time.Now())
			}
		})
		if i%20 == 0 {
			wg.Go(func() { n.exchange(i / 20 % len(n.nodes)) })
		}
	}
	wg.Wait()
	first := 0
	for i, at := range passed {
		for at.Sub(passed[first]) >= 5*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return len(passed), most
}

// Guards against a limit that holds for each node only, or that refuses below it, or that is not kept while the hub does not
// answer or is of an older build.
func TestLimitOverAllNodes(t *testing.T) {
	for name, change := range map[string]func(n *network){
		"hub answers": func(*network) {}, "hub does not answer": func(n *network) { n.silent = true }, "hub of an older build": func(n *network) { n.old = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &routing.Customer{Name: "c", Rate: 50, Burst: 20}
				n := newNetwork(4, *c)
				change(n)
				passed, most := n.load(c, 300, 10*time.Second)
				t.Logf("%d of 3000 passed in 10 s, at most %d in 5 s, %d calls to the hub", passed, most, n.calls)
				assert.Assert(t, passed >= 475, "%d passed", passed)
				// A window allows (50 x 5 + 20) x 1.02 + 8 = 283.
				assert.Assert(t, most <= 283+10, "%d passed in 5 s", most)
				assert.Assert(t, passed <= 2*283+10, "%d passed in two windows", passed)
			})
		})
	}
}

// Guards against customers without a limit that are counted or refused, and against messages of deployments without
// customers.
func TestNoLimitAndNoCustomers(t *testing.T) {
	n := newNetwork(1)
	for range 1000 {
		_, ok := n.nodes[0].Take(context.Background(), &routing.Customer{Name: "c"})
		assert.Assert(t, ok)
	}
	r, sent := n.nodes[0].Report("hub")
	assert.Assert(t, r == nil)
	n.nodes[0].Answered(sent, nil)
	assert.Assert(t, n.nodes[0].HandleReport("node", 1, nil) == nil)
	assert.Equal(t, n.calls, 0)
}

// Guards against a refusal without a time after which a request can pass, or with one after which it can't.
func TestRetryAfterIsTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &routing.Customer{Name: "c", Rate: 0.5, Burst: 1}
		n := newNetwork(2, *c)
		refusals := 0
		ctx, cancel := context.WithCancel(t.Context())
		var reports sync.WaitGroup
		defer reports.Wait()
		defer cancel()
		for i := range n.nodes {
			reports.Go(func() {
				for ctx.Err() == nil {
					n.exchange(i)
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		time.Sleep(time.Second)
		for range 20 {
			retry, ok := n.nodes[0].Take(context.Background(), c)
			if ok {
				continue
			}
			refusals++
			assert.Assert(t, retry > 0 && retry <= 5250*time.Millisecond, "%s is longer than the window and a slot", retry)
			time.Sleep(retry + 10*time.Millisecond)
			_, ok = n.nodes[1].Take(context.Background(), c)
			assert.Assert(t, ok, "refused %s after a refusal", retry)
		}
		assert.Assert(t, refusals >= 5, "%d refusals", refusals)
	})
}

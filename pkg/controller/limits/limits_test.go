package limits

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/blackboard"
)

// network is a fake peer transport between the controllers of a test; the nodes in unresponsive do not answer.
type network struct {
	mu           sync.Mutex
	nodes        map[string]*Controller
	unresponsive map[string]bool
	calls        int
	// renewDelay is how long a renewal takes to reach the owner.
	renewDelay time.Duration
}

func (n *network) Call(ctx context.Context, node, _ string, args, reply any) error {
	n.mu.Lock()
	n.calls++
	c, unresponsive, delay := n.nodes[node], n.unresponsive[node], n.renewDelay
	n.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return peer.ErrTimeout
	}
	if r, ok := reply.(*RenewReply); ok {
		time.Sleep(delay)
		a := &RenewArgs{}
		return errors.Join(copyTo(args, a), (&Service{c}).Renew(a, r))
	}
	a := &GrantArgs{}
	return errors.Join(copyTo(args, a), (&Service{c}).Grant(a, reply.(*GrantReply)))
}

// copyTo copies a message by gob encoding, as the transport does.
func copyTo(from, to any) error {
	var b bytes.Buffer
	return errors.Join(gob.NewEncoder(&b).Encode(from), gob.NewDecoder(&b).Decode(to))
}

func (n *network) CallAddress(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

func cluster(t *testing.T, count int, r api.Rate) *network {
	n := &network{nodes: map[string]*Controller{}, unresponsive: map[string]bool{}}
	live := map[string]blackboard.Member{}
	for i := range count {
		live[fmt.Sprint("n", i)] = blackboard.Member{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for name := range live {
		b := blackboard.New()
		b.Members.Set(blackboard.Members{Self: name, Live: live})
		b.Config.Set(api.Config{Rules: api.Rules{Institutions: []api.InstitutionRules{{Institution: "board", Rate: r}}}})
		c, err := New(Options{Self: name, Board: b, Peers: n})
		assert.NilError(t, err)
		n.nodes[name] = c
		wg.Go(func() { _ = c.Run(ctx) })
	}
	return n
}

// Guards against limits that hold only per node, and against a node that can't use what other nodes leave: all requests
// arrive at one node, which must pass as many as the limit over all nodes allows and no more.
func TestOneNodeUsesWholeRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := cluster(t, 8, api.Rate{RequestsPerSecond: 100, Burst: 20})
		passed := 0
		var last error
		for range 2000 {
			time.Sleep(5 * time.Millisecond)
			if err := n.nodes["n0"].TakeToken(context.Background(), "board"); err == nil {
				passed++
			} else {
				last = err
			}
		}
		assert.Assert(t, passed >= 950 && passed <= 1020, "passed %d in 10 s", passed)
		var e *api.Error
		assert.Assert(t, errors.As(last, &e) && e.Status == 429 && e.Outcome == api.NotRun && e.RetryAfter > 0, "%v", last)
		assert.Assert(t, n.calls <= 600, "an institution over its limit costs %d owner calls in 10 s", n.calls)
	})
}

// Guards against an institution whose requests are all refused or all passed while its limit owner does not answer: each
// node must pass its fair share of the limit.
func TestSilentOwnerLeavesFairShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := cluster(t, 4, api.Rate{RequestsPerSecond: 100, Burst: 8})
		owner := n.nodes["n0"].owner("board")
		n.unresponsive[owner] = true
		node := "n0"
		if owner == node {
			node = "n1"
		}
		passed, longest := 0, time.Duration(0)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			began := time.Now()
			if n.nodes[node].TakeToken(context.Background(), "board") == nil {
				passed++
			}
			longest = max(longest, time.Since(began))
		}
		assert.Assert(t, passed >= 240 && passed <= 275, "passed %d in 10 s of the node's 25/s", passed)
		assert.Assert(t, longest <= ownerTimeout)
	})
}

// Guards against a concurrency limit that holds only per node, and against slots of a lost node that are never freed.
func TestConcurrencyOverNodesAndLostNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := cluster(t, 3, api.Rate{Concurrency: 6})
		owner := n.nodes["n0"].owner("board")
		var others []*Controller
		for name, c := range n.nodes {
			if name != owner {
				others = append(others, c)
			}
		}
		in, leaves := 0, []func(){}
		for i := range 20 {
			if leave, err := others[i%2].Enter(context.Background(), "board"); err == nil {
				in++
				leaves = append(leaves, leave)
			}
		}
		assert.Equal(t, in, 6)
		leaves[0]()
		_, err := others[0].Enter(context.Background(), "board")
		assert.NilError(t, err, "a slot that a request left must be free again")
		others[1].cancelRunCtx()
		others[1].mu.Lock()
		clear(others[1].buckets)
		others[1].mu.Unlock()
		time.Sleep(5 * time.Second)
		_, err = others[0].Enter(context.Background(), "board")
		assert.NilError(t, err, "slots of a lost node must expire")
	})
}

// Guards against refusals below the limit, and against more requests than the limit, when many requests arrive at once
// and share one call to the owner: such requests must not get only two slots together.
func TestSimultaneousRequestsUseWholeConcurrency(t *testing.T) {
	for _, limit := range []int{10, 500} {
		synctest.Test(t, func(t *testing.T) {
			const arrivals = 64
			n := cluster(t, 3, api.Rate{RequestsPerSecond: 1000, Concurrency: limit})
			var mu sync.Mutex
			passed := 0
			var wg sync.WaitGroup
			for i := range arrivals {
				wg.Go(func() {
					c := n.nodes[fmt.Sprint("n", i%2)]
					if c.TakeToken(context.Background(), "board") != nil {
						return
					}
					if _, err := c.Enter(context.Background(), "board"); err == nil {
						mu.Lock()
						defer mu.Unlock()
						passed++
					}
				})
			}
			wg.Wait()
			assert.Equal(t, passed, min(limit, arrivals))
		})
	}
}

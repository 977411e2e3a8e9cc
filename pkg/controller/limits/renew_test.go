package limits

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/ratelimit"
)

// steadyCluster has 40 requests of 40 institutions in flight on n0, of a limit of 20 each, for half an hour.
func steadyCluster(t *testing.T, nodes int) (n *network, institutions []string, leave func()) {
	n = cluster(t, nodes, api.Rate{Concurrency: 20})
	cfg := api.Config{}
	for i := range 40 {
		name := fmt.Sprint("institution", i)
		institutions = append(institutions, name)
		cfg.Rules.Institutions = append(cfg.Rules.Institutions, api.InstitutionRules{Institution: name, Rate: api.Rate{Concurrency: 20}})
	}
	for _, c := range n.nodes {
		c.Board.Config.Set(cfg)
	}
	var leaves []func()
	for _, name := range institutions {
		l, err := n.nodes["n0"].Enter(context.Background(), name)
		assert.NilError(t, err)
		leaves = append(leaves, l)
	}
	time.Sleep(30 * time.Minute)
	return n, institutions, func() {
		for _, l := range leaves {
			l()
		}
	}
}

// entered returns how many requests of an institution the node can book besides those in flight.
func entered(c *Controller, institution string) (count int) {
	for {
		if _, err := c.Enter(context.Background(), institution); err != nil {
			return count
		}
		count++
	}
}

func (n *network) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// lose takes a node out of the members of the others.
func (n *network) lose(node string) {
	for name, c := range n.nodes {
		m := c.Board.Members.Value()
		m.Live = maps.Clone(m.Live)
		if name != node {
			delete(m.Live, node)
		}
		c.Board.Members.Set(m)
	}
}

// Guards against a call for each institution, against grants that stay short while use is steady, and against an owner
// that forgets long grants and gives their slots away.
func TestSteadyRenewalsAreFewAndHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, institutions, _ := steadyCluster(t, 3)
		before := n.count()
		time.Sleep(10 * time.Minute)
		calls := n.count() - before
		assert.Assert(t, calls <= 2*7, "%d renewals to two other owners in 10 minutes", calls)
		for _, name := range institutions {
			assert.Equal(t, entered(n.nodes["n1"], name), 19, name)
		}
	})
}

// Guards against a new owner that grants the whole limit although the old one had granted a part for minutes.
func TestNewOwnerLearnsGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, institutions, _ := steadyCluster(t, 4)
		n.lose("n1")
		time.Sleep(renewInterval + time.Millisecond)
		synctest.Wait()
		for _, name := range institutions {
			assert.Equal(t, entered(n.nodes["n2"], name), 19, name)
		}
	})
}

// Guards against an owner that was restarted before anyone missed it and grants the whole limit again.
func TestRestartedOwnerLearnsGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, institutions, _ := steadyCluster(t, 3)
		restarted := n.nodes["n1"]
		restarted.mu.Lock()
		clear(restarted.allocators)
		restarted.mu.Unlock()
		for _, c := range n.nodes {
			m := c.Board.Members.Value()
			m.Live = maps.Clone(m.Live)
			m.Live["n1"] = blackboard.Member{Incarnation: 2}
			c.Board.Members.Set(m)
		}
		time.Sleep(renewInterval + time.Millisecond)
		synctest.Wait()
		for _, name := range institutions {
			assert.Equal(t, entered(n.nodes["n2"], name), 19, name)
		}
	})
}

// Guards against slots of a lost node that stay reserved for as long as a steady grant, and against a node that was
// paused meanwhile and goes on under its old grants.
func TestLostNodeFreesLongGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, institutions, leave := steadyCluster(t, 3)
		lost := n.nodes["n0"]
		n.mu.Lock()
		n.silent["n0"] = true
		n.mu.Unlock()
		n.lose("n0")
		time.Sleep(renewInterval + time.Millisecond)
		for _, name := range institutions {
			if n.nodes["n1"].owner(name) != "n0" {
				assert.Equal(t, entered(n.nodes["n1"], name), 20, name)
			}
		}
		leave()
		lost.mu.Lock()
		lost.renewedAt = time.Now().Add(-time.Minute)
		p := lost.buckets[institutions[0]]
		holding := p.Holds(time.Now())
		lost.mu.Unlock()
		assert.Assert(t, holding, "the node still believes in its grants")
		time.Sleep(renewInterval + time.Millisecond)
		synctest.Wait()
		for _, name := range institutions {
			if owner := lost.owner(name); owner != "n0" {
				assert.Equal(t, entered(lost, name), 0, name)
			}
		}
	})
}

// Guards against idle slots that a long grant holds back until it ends, and against ones that nobody returns.
func TestIdleSlotsOfLongGrantsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := cluster(t, 3, api.Rate{Concurrency: 20})
		owner := n.nodes["n0"].owner("board")
		node, other := n.nodes["n0"], n.nodes["n1"]
		if owner == "n0" {
			node, other = n.nodes["n1"], n.nodes["n2"]
		}
		var leaves []func()
		for range 3 {
			leave, err := node.Enter(context.Background(), "board")
			assert.NilError(t, err)
			leaves = append(leaves, leave)
		}
		time.Sleep(20 * time.Minute)
		for _, leave := range leaves {
			leave()
		}
		time.Sleep(ratelimit.SteadySlotLife/3 + 2*renewInterval)
		synctest.Wait()
		assert.Equal(t, entered(other, "board"), 20)
	})
}

// Guards against a renewal that reaches the owner after a later ask and takes back the slot of a request that entered.
func TestEnterWaitsForRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := cluster(t, 3, api.Rate{Concurrency: 20})
		node, other := n.nodes["n0"], n.nodes["n1"]
		if node.owner("board") == "n0" {
			node, other = n.nodes["n1"], n.nodes["n2"]
		}
		_, err := node.Enter(context.Background(), "board")
		assert.NilError(t, err)
		time.Sleep(20 * time.Minute)
		n.mu.Lock()
		n.renewDelay = ownerSilence * 4 / 5
		n.mu.Unlock()
		node.mu.Lock()
		node.renewedAt = time.Now().Add(-time.Minute)
		node.mu.Unlock()
		node.renew()
		time.Sleep(time.Millisecond)
		_, err = node.Enter(context.Background(), "board")
		assert.NilError(t, err)
		time.Sleep(ownerSilence)
		assert.Assert(t, entered(other, "board") <= 18, "20 requests are the limit, and this node has two")
	})
}

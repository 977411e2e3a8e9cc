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

// steadyCluster returns a cluster in which n0 has had one request of each of 40 institutions in flight for half an hour,
// of a concurrency limit of 20 each.
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

// enterAll enters requests of an institution at the node until one is refused, and returns how many it has entered.
func enterAll(c *Controller, institution string) (count int) {
	for {
		if _, err := c.Enter(context.Background(), institution); err != nil {
			return count
		}
		count++
	}
}

func (n *network) callCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// removeMember removes a node from the members of the others.
func (n *network) removeMember(node string) {
	for name, c := range n.nodes {
		m := c.Board.Members.Value()
		m.Live = maps.Clone(m.Live)
		if name != node {
			delete(m.Live, node)
		}
		c.Board.Members.Set(m)
	}
}

// Guards against one renewal call per institution, against grants that stay short although use is steady, and against an
// owner that drops long grants early and grants their slots to others.
func TestSteadyRenewalsAreFewAndKeepSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, institutions, _ := steadyCluster(t, 3)
		before := n.callCount()
		time.Sleep(10 * time.Minute)
		calls := n.callCount() - before
		assert.Assert(t, calls <= 2*7, "%d renewals to two other owners in 10 minutes", calls)
		for _, name := range institutions {
			assert.Equal(t, enterAll(n.nodes["n1"], name), 19, name)
		}
	})
}

// Guards against a new owner that grants the whole limit although the old one had granted a part of it for minutes.
func TestNewOwnerLearnsGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, institutions, _ := steadyCluster(t, 4)
		n.removeMember("n1")
		time.Sleep(renewInterval + time.Millisecond)
		synctest.Wait()
		for _, name := range institutions {
			assert.Equal(t, enterAll(n.nodes["n2"], name), 19, name)
		}
	})
}

// Guards against an owner that grants the whole limit again because it was restarted before the other nodes noticed that
// it was gone.
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
			assert.Equal(t, enterAll(n.nodes["n2"], name), 19, name)
		}
	})
}

// Guards against slots of a lost node that stay reserved for as long as a steady grant, and against a node that was only
// paused and continues to use its old grants.
func TestLostNodeFreesLongGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, institutions, leave := steadyCluster(t, 3)
		lost := n.nodes["n0"]
		n.mu.Lock()
		n.unresponsive["n0"] = true
		n.mu.Unlock()
		n.removeMember("n0")
		time.Sleep(renewInterval + time.Millisecond)
		for _, name := range institutions {
			if n.nodes["n1"].owner(name) != "n0" {
				assert.Equal(t, enterAll(n.nodes["n1"], name), 20, name)
			}
		}
		leave()
		lost.mu.Lock()
		lost.renewedAt = time.Now().Add(-time.Minute)
		b := lost.buckets[institutions[0]]
		holding := b.Holds(time.Now())
		lost.mu.Unlock()
		assert.Assert(t, holding, "the node must still hold its old grants")
		time.Sleep(renewInterval + time.Millisecond)
		synctest.Wait()
		for _, name := range institutions {
			if owner := lost.owner(name); owner != "n0" {
				assert.Equal(t, enterAll(lost, name), 0, name)
			}
		}
	})
}

// Guards against idle slots that stay reserved until a long grant ends, and against idle slots that are never returned.
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
		assert.Equal(t, enterAll(other, "board"), 20)
	})
}

// Guards against a renewal that reaches the owner after a later call and takes back the slot of a request that entered.
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
		n.renewDelay = ownerTimeout * 4 / 5
		n.mu.Unlock()
		node.mu.Lock()
		node.renewedAt = time.Now().Add(-time.Minute)
		node.mu.Unlock()
		node.renew()
		time.Sleep(time.Millisecond)
		_, err = node.Enter(context.Background(), "board")
		assert.NilError(t, err)
		time.Sleep(ownerTimeout)
		assert.Assert(t, enterAll(other, "board") <= 18, "20 requests are the limit, and this node has two")
	})
}

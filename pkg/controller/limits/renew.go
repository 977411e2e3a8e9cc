package limits

import (
	"context"
	"maps"
	"slices"
	"time"

	"trefoilplank.example/pkg/decision/ratelimit"
)

const (
	// pauseGap is the time between two calls of renew above which the node was probably paused. Owners may have granted
	// its slots to others meanwhile, so it renews all of its grants.
	pauseGap = 3 * time.Second
	// maxRenewals bounds the number of institutions in one call.
	maxRenewals = 1000
)

// RenewArgs asks a limit owner to renew a node's concurrency grants for several institutions.
type RenewArgs struct {
	Node  string
	Items []RenewItem
}

// RenewItem is the part of RenewArgs for one institution.
type RenewItem struct {
	Institution string
	Ask         ratelimit.Ask
}

// RenewReply holds the grants in the order of the items.
type RenewReply struct{ Grants []ratelimit.Grant }

// Renew decides on the renewal of a node's concurrency grants.
func (s *Service) Renew(a *RenewArgs, reply *RenewReply) error {
	if len(a.Items) > maxRenewals {
		return Error.New("%d renewals in one call", len(a.Items))
	}
	for _, it := range a.Items {
		reply.Grants = append(reply.Grants, s.c.grant(a.Node, it.Institution, it.Ask))
	}
	return nil
}

// renew starts the renewal of concurrency grants that are due, with one call per owner and maxRenewals institutions, and
// drops idle institutions.
func (c *Controller) renew() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLost()
	maps.DeleteFunc(c.allocators, func(_ string, l *allocator) bool {
		return now.Sub(l.usedAt) > idleAfter && !l.Reserved(now)
	})
	maps.DeleteFunc(c.buckets, func(_ string, b *bucket) bool {
		return b.InFlight() == 0 && now.Sub(b.usedAt) > idleAfter && !b.Holds(now) && b.asks == 0 && b.renewing == nil
	})
	paused := !c.renewedAt.IsZero() && now.Sub(c.renewedAt) > pauseGap
	c.renewedAt = now
	due := map[string][]string{}
	for institution, b := range c.buckets {
		owner := c.owner(institution)
		// A new owner, or a restarted one, does not know what this node holds and would grant it to others as well.
		moved := b.Holds(now) && b.grantedBy != c.processOf(owner)
		if (paused || moved || b.RenewDue(now)) && b.asks == 0 && b.renewing == nil && !now.Before(c.backoffUntil[owner]) &&
			c.limitOf(institution).Concurrency > 0 {
			due[owner] = append(due[owner], institution)
		}
	}
	for owner, institutions := range due {
		for part := range slices.Chunk(institutions, maxRenewals) {
			c.startRenewal(now, owner, part)
		}
	}
}

// dropLost frees the slots of nodes that are no longer live; c.mu is held.
func (c *Controller) dropLost() {
	live := c.Board.Members.Value().Live
	for node := range c.live {
		if _, ok := live[node]; !ok {
			for _, l := range c.allocators {
				l.DropNode(node)
			}
		}
	}
	c.live = live
}

// startRenewal sends one renewal in the background; c.mu is held.
func (c *Controller) startRenewal(now time.Time, owner string, institutions []string) {
	if c.runCtx.Err() != nil {
		return
	}
	done, owningProcess := make(chan struct{}), c.processOf(owner)
	args, buckets := &RenewArgs{Node: c.Self}, []*bucket{}
	for _, institution := range institutions {
		b := c.buckets[institution]
		b.renewing = done
		buckets = append(buckets, b)
		args.Items = append(args.Items, RenewItem{institution, b.AskSlots(now)})
	}
	c.backgroundCalls.Go(func() {
		reply := &RenewReply{}
		err := c.sendRenewal(owner, args, reply)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil {
			c.backoffUntil[owner] = time.Now().Add(ownerBackoff)
		}
		for i, b := range buckets {
			b.renewing = nil
			if err == nil {
				// The owner counts the grant's lifetime from when it received the call, which is later than now.
				b.GrantedSlots(now, reply.Grants[i])
				b.grantedBy = owningProcess
			}
		}
		close(done)
	})
}

// sendRenewal calls the owner, which may be this node, and checks the number of grants.
func (c *Controller) sendRenewal(owner string, args *RenewArgs, reply *RenewReply) error {
	ctx, cancel := context.WithTimeout(c.runCtx, ownerTimeout)
	defer cancel()
	if owner == c.Self {
		return (&Service{c}).Renew(args, reply)
	}
	if err := c.Peers.Call(ctx, owner, "Limits.Renew", args, reply); err != nil {
		return err
	}
	if len(reply.Grants) != len(args.Items) {
		return Error.New("renewal call: got %d grants for %d institutions", len(reply.Grants), len(args.Items))
	}
	return nil
}

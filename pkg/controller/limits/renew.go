package limits

import (
	"context"
	"maps"
	"slices"
	"time"

	"trefoilplank.example/pkg/decision/ratelimit"
)

const (
	// pauseGap is the time between two passes of renew from which this node was paused: owners may have given its
	// slots away meanwhile, so that it renews all before it trusts them.
	pauseGap = 3 * time.Second
	// maxRenewals bounds the institutions in one call.
	maxRenewals = 1000
)

// RenewArgs renews the concurrency of institutions that the receiver is limit owner of.
type RenewArgs struct {
	Node  string
	Items []RenewItem
}

// RenewItem is the ask for one institution.
type RenewItem struct {
	Institution string
	Ask         ratelimit.Ask
}

// RenewReply holds the grants in the order of the items.
type RenewReply struct{ Grants []ratelimit.Grant }

// Renew decides on a node's renewals.
func (s *Service) Renew(a *RenewArgs, reply *RenewReply) error {
	if len(a.Items) > maxRenewals {
		return Error.New("%d renewals in one call", len(a.Items))
	}
	for _, it := range a.Items {
		reply.Grants = append(reply.Grants, s.c.grant(a.Node, it.Institution, it.Ask))
	}
	return nil
}

// renew renews the concurrency of busy institutions, by one call to each owner, and forgets idle ones.
func (c *Controller) renew() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLost()
	maps.DeleteFunc(c.allocators, func(_ string, l *allocator) bool {
		return now.Sub(l.used) > idleAfter && !l.Reserved(now)
	})
	maps.DeleteFunc(c.buckets, func(_ string, p *bucket) bool {
		return p.InFlight() == 0 && now.Sub(p.used) > idleAfter && !p.Holds(now) && p.asks == 0 && p.renewing == nil
	})
	paused := !c.renewedAt.IsZero() && now.Sub(c.renewedAt) > pauseGap
	c.renewedAt = now
	due := map[string][]string{}
	for institution, p := range c.buckets {
		owner := c.owner(institution)
		// A new owner, or a new process of it, does not know what this node holds and would grant it to others as well.
		moved := p.Holds(now) && p.owner != c.processOf(owner)
		if (paused || moved || p.RenewDue(now)) && p.asks == 0 && p.renewing == nil && !now.Before(c.silent[owner]) &&
			c.limit(institution).Concurrency > 0 {
			due[owner] = append(due[owner], institution)
		}
	}
	for owner, institutions := range due {
		for part := range slices.Chunk(institutions, maxRenewals) {
			c.startRenewal(now, owner, part)
		}
	}
}

// dropLost frees what nodes hold that are no longer live; c.mu is held.
func (c *Controller) dropLost() {
	live := c.Board.Members.Value().Live
	for node := range c.live {
		if _, ok := live[node]; !ok {
			for _, l := range c.allocators {
				l.Drop(node)
			}
		}
	}
	c.live = live
}

// startRenewal sends one renewal without waiting for it; c.mu is held.
func (c *Controller) startRenewal(now time.Time, owner string, institutions []string) {
	if c.life.Err() != nil {
		return
	}
	done, granting := make(chan struct{}), c.processOf(owner)
	args, buckets := &RenewArgs{Node: c.Self}, []*bucket{}
	for _, institution := range institutions {
		p := c.buckets[institution]
		p.renewing = done
		buckets = append(buckets, p)
		args.Items = append(args.Items, RenewItem{institution, p.AskSlots(now)})
	}
	c.background.Go(func() {
		reply := &RenewReply{}
		err := c.sendRenewal(owner, args, reply)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil {
			c.silent[owner] = time.Now().Add(silencePause)
		}
		for i, p := range buckets {
			p.renewing = nil
			if err == nil {
				// The owner counts from when it got the ask, which was later.
				p.GrantedSlots(now, reply.Grants[i])
				p.owner = granting
			}
		}
		close(done)
	})
}

func (c *Controller) sendRenewal(owner string, args *RenewArgs, reply *RenewReply) error {
	ctx, cancel := context.WithTimeout(c.life, ownerSilence)
	defer cancel()
	if owner == c.Self {
		return (&Service{c}).Renew(args, reply)
	}
	if err := c.Peers.Call(ctx, owner, "Limits.Renew", args, reply); err != nil {
		return err
	}
	if len(reply.Grants) != len(args.Items) {
		return Error.New("%d grants for %d renewals", len(reply.Grants), len(args.Items))
	}
	return nil
}

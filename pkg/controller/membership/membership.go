// Package membership keeps the board's Members section: the nodes that this node believes to be alive.
package membership

import (
	"context"
	"maps"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/decision/lease"
)

// Controller follows the lease objects.
type Controller struct {
	store store.Store
	board *blackboard.Board
	self  lease.Record
}

// New returns a controller. self describes this node.
func New(s store.Store, b *blackboard.Board, self lease.Record) *Controller {
	c := &Controller{store: s, board: b, self: self}
	b.Members.Set(blackboard.Members{Self: self.Name, Live: map[string]blackboard.Member{self.Name: member(self)}})
	return c
}

func member(r lease.Record) blackboard.Member {
	return blackboard.Member{
		Name: r.Name, AvailabilityZone: r.AvailabilityZone, Region: r.Region, Address: r.Address,
		AdminAddress: r.AdminAddress, PeerAddress: r.PeerAddress, Incarnation: r.Incarnation, Draining: r.Draining,
		LastHeard: time.Now(),
	}
}

// Run follows the lease objects until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return store.Follow(ctx, c.store, lease.Prefix, func(u store.Update) {
		c.board.Members.Update(func(m blackboard.Members) blackboard.Members {
			m.Live = maps.Clone(m.Live)
			for _, o := range u.Objects {
				apply(m.Live, o)
			}
			switch u.Event.Type {
			case store.EventPut:
				apply(m.Live, u.Event.Object)
			case store.EventDelete:
				delete(m.Live, strings.TrimPrefix(u.Event.Object.Key, lease.Prefix))
			}
			return m
		})
	})
}

func apply(live map[string]blackboard.Member, o store.Object) {
	r, err := lease.Decode(o.Key, o.Value, o.Revision)
	if err != nil {
		klog.Warningf("%v", err)
		return
	}
	live[r.Name] = member(r)
}

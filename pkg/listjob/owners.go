package listjob

import (
	"context"
	"time"

	"trefoilplank.example/pkg/decision/rendezvous"
)

const (
	// announceToAllBelow is the number of other nodes up to which each of them is told who owns a job.
	announceToAllBelow = 12
	// locators is how many nodes know the owner of a job in larger fleets. They follow from the job's ID, so that any node can
	// ask one of them.
	locators = 3
	// locateTimeout limits the question to one of them.
	locateTimeout = 200 * time.Millisecond
)

// locatorsOf returns the other live nodes that know the owner of a job.
func (c *Controller) locatorsOf(id string) []string {
	weights := c.options.Fleet.Weights()
	delete(weights, c.self().Node)
	if len(weights) <= announceToAllBelow {
		return c.options.Fleet.OtherLive()
	}
	return rendezvous.Ranked(id, weights)[:locators]
}

// announce announces to the nodes that others ask for it that this one owns a job, so that they need not ask the store.
func (c *Controller) announce(id string, revision int64) {
	for _, node := range c.locatorsOf(id) {
		go c.announceTo(node, id, revision)
	}
}

// announceTo announces to one node that this one owns a job.
func (c *Controller) announceTo(node, id string, revision int64) {
	self := c.self()
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if err := c.options.Peers.Call(ctx, node, "Jobs.Owned", Owned{ID: id, Owner: self.Node, Incarnation: self.Incarnation, Revision: revision}, &Nothing{}); err != nil {
		c.options.Log.Routine("job owner not announced to peer", "job", id, "peer", node, "error", err)
	}
}

// LocateArgs asks who owns a job.
type LocateArgs struct{ ID string }

// LocateReply is what the asked node knows. Found is false if it knows no owner.
type LocateReply struct {
	Found       bool
	Owner       string
	Incarnation int64
}

// Locate answers who owns a job, as far as this node knows.
func (r *Receiver) Locate(args LocateArgs, reply *LocateReply) error {
	if r.c.ownedJob(args.ID) != nil {
		self := r.c.self()
		*reply = LocateReply{Found: true, Owner: self.Node, Incarnation: self.Incarnation}
		return nil
	}
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	if known, ok := r.c.knownOwners.get(args.ID); ok {
		*reply = LocateReply{Found: true, Owner: known.Node, Incarnation: known.Incarnation}
	}
	return nil
}

// locate asks the locators of a job for its owner, one after the other.
func (c *Controller) locate(ctx context.Context, id string) (owner, bool) {
	candidates := c.locatorsOf(id)
	if len(candidates) > locators {
		return owner{}, false // In a small fleet all nodes were told.
	}
	for _, node := range candidates {
		var reply LocateReply
		call, cancel := context.WithTimeout(ctx, locateTimeout)
		err := c.options.Peers.Call(call, node, "Jobs.Locate", LocateArgs{ID: id}, &reply)
		cancel()
		switch {
		case err != nil:
			c.options.Log.Routine("node was not asked for the owner of a job", "job", id, "peer", node, "error", err)
		case reply.Found:
			return owner{reply.Owner, reply.Incarnation}, true
		}
	}
	return owner{}, false
}

// ownerOf returns the owner of a job, and its head if that had to be read from the store. The error is ErrNotFound if
// the job does not exist.
func (c *Controller) ownerOf(ctx context.Context, id string) (owner, head, error) {
	c.mu.Lock()
	known, ok := c.knownOwners.get(id)
	c.mu.Unlock()
	if ok && c.options.Fleet.Alive(known.Node, known.Incarnation) {
		return known, head{}, nil
	}
	found, ok := c.locate(ctx, id)
	var h head
	if !ok || found == known || !c.options.Fleet.Alive(found.Node, found.Incarnation) {
		var err error
		if h, _, err = c.readHead(ctx, id); err != nil {
			return owner{}, head{}, err
		}
		found = owner{h.Owner, h.Incarnation}
	}
	c.mu.Lock()
	c.knownOwners.set(id, found)
	c.mu.Unlock()
	return found, h, nil
}

package loadshare

import (
	"context"
	"errors"
	"time"

	"trefoilplank.example/pkg/decision/quota"
)

// errNoHub means that no hub answered the last exchange of load.
var errNoHub = errors.New("no hub answers")

// WaitingArgs asks for the waiting tokens of all jobs. Reserve, if it is set, also asks whether another job fits.
type WaitingArgs struct {
	Node    string
	Reserve *quota.Reservation
}

// WaitingReply holds the waiting tokens of the jobs on routes with a limit on them, by job, or by how much the job that was
// to be reserved exceeds the limit.
type WaitingReply struct {
	Tokens map[string]int64
	Excess int64
}

// HubWaiting asks the hub for the waiting tokens of the jobs of all nodes on routes with a limit on them. It fails if this
// node has no hub.
func (e *Exchange) HubWaiting(ctx context.Context) (map[string]int64, error) {
	reply, err := e.askWaiting(ctx, nil)
	return reply.Tokens, err
}

// ReserveWaiting asks the hub whether a job fits into the limit of its route, and returns by how much it exceeds it. It
// fails if this node has no hub.
func (e *Exchange) ReserveWaiting(ctx context.Context, r quota.Reservation) (excess int64, err error) {
	reply, err := e.askWaiting(ctx, &r)
	return reply.Excess, err
}

func (e *Exchange) askWaiting(ctx context.Context, r *quota.Reservation) (reply WaitingReply, err error) {
	hub := e.currentHub.Load()
	if hub == nil {
		return reply, errNoHub
	}
	err = e.options.Peers.Call(ctx, hub.name, "Load.Waiting", WaitingArgs{Node: e.options.Fleet.Self().Name, Reserve: r}, &reply)
	return reply, err
}

// Waiting answers from what the nodes last reported.
func (r *Receiver) Waiting(args WaitingArgs, reply *WaitingReply) error {
	r.hub.mu.Lock()
	defer r.hub.mu.Unlock()
	if args.Reserve != nil {
		reply.Excess = r.hub.waiting.Reserve(*args.Reserve, time.Now())
	} else {
		reply.Tokens = r.hub.waiting.Tokens()
	}
	return nil
}

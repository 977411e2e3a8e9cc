package listjob

import (
	"context"
	"maps"
	"time"

	"trefoilplank.example/pkg/wait"
)

const (
	// tellInterval is the least time between two attempts to tell a node what changed of jobs, and tellFor how long they go on:
	// longer than a node is frozen or cut off without intervention.
	tellInterval, tellFor = 500 * time.Millisecond, 2 * time.Minute
)

// untold is what a process must be told of jobs that it owns or owned.
type untold struct {
	jobs map[string]Owned
	// until is when attempts end, and next when the next one may begin.
	until, next time.Time
	calling     bool
}

// tell has a process told what the store says of a job that it owns or owned, until it has answered.
func (c *Controller) tell(process owner, stored Owned) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.untold[process]
	if u == nil {
		u = &untold{jobs: map[string]Owned{}}
		c.untold[process] = u
	}
	u.until = time.Now().Add(tellFor)
	if stored.Revision >= u.jobs[stored.ID].Revision {
		u.jobs[stored.ID] = stored
	}
}

// reportedJob is what the store says of a job by the node that wrote it, kept until a time.
type reportedJob struct {
	Owned
	until time.Time
}

// deliverLoop tells processes what they must be told, and looks at the clock of this process, until ctx ends. Sweeps wait for the store, and
// this does not.
func (c *Controller) deliverLoop(ctx context.Context) {
	for wait.Sleep(ctx, checkInterval) == nil {
		c.ran.look(time.Now())
		c.deliver(ctx)
	}
}

// deliver tells processes what they must be told. A node that does not respond is told once it does.
func (c *Controller) deliver(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for process, u := range c.untold {
		switch {
		case u.calling:
		case c.options.Fleet.Restarted(process.Node, process.Incarnation), now.After(u.until), len(u.jobs) == 0:
			delete(c.untold, process)
		case !now.Before(u.next) && !c.options.Fleet.Lost(process.Node, process.Incarnation):
			u.calling, u.next = true, now.Add(tellInterval)
			list := make([]Owned, 0, len(u.jobs))
			for _, stored := range u.jobs {
				list = append(list, stored)
			}
			go c.deliverTo(ctx, process.Node, u, list)
			go c.reportToHub(ctx, process.Node, list)
		}
	}
}

// reportToHub tells the hub what a process must be told, unless the process is the hub. A process that can't be called may still call the hub,
// whose own lists may be seconds old.
func (c *Controller) reportToHub(ctx context.Context, process string, list []Owned) {
	hub := c.options.Hub()
	switch {
	case c.options.IsHub():
		c.keepReported(list)
	case hub != "" && hub != process:
		c.callSwept(ctx, hub, "Jobs.Reported", ChangedArgs{Jobs: list})
	}
}

// Reported keeps what another node says of jobs whose owners, or former owners, it could not tell. Builds up to 72b0519 lack the method.
func (r *Receiver) Reported(args ChangedArgs, _ *Nothing) error {
	r.c.keepReported(args.Jobs)
	return nil
}

// keepReported keeps what is newer than the last sweep.
func (c *Controller) keepReported(list []Owned) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropReported(now)
	for _, stored := range list {
		if stored.Revision > c.latest(stored.ID).Revision {
			c.reported[stored.ID] = reportedJob{stored, now.Add(tellFor)}
		}
	}
}

// latest returns the newest that this node knows, as the hub, of a job's head. The caller holds c.mu.
func (c *Controller) latest(id string) Owned {
	if r := c.reported[id]; r.Revision > c.swept[id].Revision {
		return r.Owned
	}
	return c.swept[id]
}

// dropReported forgets what the last sweep shows, or what is old. The caller holds c.mu.
func (c *Controller) dropReported(now time.Time) {
	maps.DeleteFunc(c.reported, func(id string, r reportedJob) bool { return now.After(r.until) || c.swept[id].Revision >= r.Revision })
}

func (c *Controller) deliverTo(ctx context.Context, node string, u *untold, list []Owned) {
	ctx, cancel := context.WithTimeout(ctx, sweepCallTimeout)
	defer cancel()
	err := c.options.Peers.Call(ctx, node, "Jobs.Changed", ChangedArgs{Jobs: list}, &Nothing{})
	if err != nil {
		c.options.Log.Routine("node not told of changes of its jobs, retrying", "peer", node, "jobs", len(list), "error", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u.calling = false
	if err != nil {
		return
	}
	for _, stored := range list {
		if u.jobs[stored.ID] == stored {
			delete(u.jobs, stored.ID)
		}
	}
}

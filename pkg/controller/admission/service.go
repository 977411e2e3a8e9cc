package admission

import "time"

// Service is the net/rpc receiver "Admission".
type Service struct{ c *Controller }

// Acquire decides on a request for a slot on an upstream that this node owns.
func (s *Service) Acquire(a *AcquireArgs, reply *AcquireReply) error {
	s.c.ownedUpstream(a.Upstream).acquire(a, reply)
	if s.c.Observer != nil && len(a.PrefixHashes) > 0 {
		reply.CachedBlocks, reply.CacheTrust = s.c.Observer.Cached(a.Upstream, a.PrefixHashes)
		if reply.Status == StatusGranted {
			// The prompt will be in the cache before the upstream's cache event arrives.
			s.c.Observer.RecordPrompt(a.Upstream, a.PrefixHashes)
		}
	}
	only := ""
	if reply.Status == StatusGranted {
		// Only a request that must try another upstream needs the loads of the others.
		only = a.Upstream
	}
	reply.Loads = s.c.ownedLoads(only, false)
	return nil
}

// maxPoll bounds how long a Wait call is kept open, whatever the caller asks for.
const maxPoll = 5 * time.Second

// Wait waits for the decision on a queued request.
func (s *Service) Wait(a *WaitArgs, reply *AcquireReply) error {
	a.Poll = min(max(a.Poll, 0), maxPoll)
	s.c.ownedUpstream(a.Upstream).wait(s.c.runCtx, a, reply)
	reply.Loads = s.c.ownedLoads("", false)
	return nil
}

// Release returns a slot or a place in the queue.
func (s *Service) Release(a *ReleaseArgs, reply *ReleaseReply) error {
	s.c.ownedUpstream(a.Upstream).release(a)
	if s.c.Observer != nil && a.Usage.Result != "" && a.Node != s.c.Self {
		s.c.Observer.Report(a.Upstream, a.Usage.Result)
	}
	reply.Loads = s.c.ownedLoads("", false)
	return nil
}

// Load stores the slots that a node holds and returns the loads of this node's upstreams.
func (s *Service) Load(a *LoadArgs, reply *LoadReply) error {
	byUpstream := map[string][]Work{}
	for _, h := range a.Held {
		byUpstream[h.Upstream] = append(byUpstream[h.Upstream], h.Work)
	}
	for name := range byUpstream {
		s.c.ownedUpstream(name)
	}
	// A node that chose the owners among others may have reported its slots on an upstream to another node.
	sameOwners := a.Owners == 0 || a.Owners == s.c.registerIndex().ownersDigest
	for _, o := range s.c.ownedList() {
		o.reconcile(a.Node, byUpstream[o.name], sameOwners && s.c.owner(o.name) == s.c.Self)
	}
	reply.Loads = s.c.ownedLoads("", true)
	return nil
}

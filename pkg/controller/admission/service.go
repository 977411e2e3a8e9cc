package admission

import "time"

// Service is the net/rpc receiver "Admission".
type Service struct{ c *Controller }

// Acquire offers a request to an upstream of this node.
func (s *Service) Acquire(a *AcquireArgs, reply *AcquireReply) error {
	s.c.upstream(a.Upstream).acquire(a, reply)
	if s.c.Observer != nil && len(a.PrefixHashes) > 0 {
		reply.CachedBlocks, reply.CacheTrust = s.c.Observer.Cached(a.Upstream, a.PrefixHashes)
		if reply.Status == StatusGranted {
			// The prompt is in the cache before its event arrives.
			s.c.Observer.Ran(a.Upstream, a.PrefixHashes)
		}
	}
	only := ""
	if reply.Status == StatusGranted {
		// The load of other upstreams matters only to a request that must look elsewhere.
		only = a.Upstream
	}
	reply.Loads = s.c.loads(only, false)
	return nil
}

// maxPoll bounds how long a Wait call is kept, whatever the caller asks for.
const maxPoll = 5 * time.Second

// Wait waits for the decision on a queued request.
func (s *Service) Wait(a *WaitArgs, reply *AcquireReply) error {
	a.Poll = min(max(a.Poll, 0), maxPoll)
	s.c.upstream(a.Upstream).wait(s.c.life, a, reply)
	reply.Loads = s.c.loads("", false)
	return nil
}

// Release returns a slot or a place in the queue.
func (s *Service) Release(a *ReleaseArgs, reply *ReleaseReply) error {
	s.c.upstream(a.Upstream).release(a)
	if s.c.Observer != nil && a.Usage.Result != "" && a.Node != s.c.Self {
		s.c.Observer.Report(a.Upstream, a.Usage.Result)
	}
	reply.Loads = s.c.loads("", false)
	return nil
}

// Load takes the slots that a node holds and returns the load of this node's upstreams.
func (s *Service) Load(a *LoadArgs, reply *LoadReply) error {
	byUpstream := map[string][]Work{}
	for _, h := range a.Held {
		byUpstream[h.Upstream] = append(byUpstream[h.Upstream], h.Work)
	}
	for name := range byUpstream {
		s.c.upstream(name)
	}
	for _, o := range s.c.ownedList() {
		o.reconcile(a.Node, byUpstream[o.name])
	}
	reply.Loads = s.c.loads("", true)
	return nil
}
